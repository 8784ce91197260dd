//! The owner's side: other nodes' clients are served here as this node's own, but never handed on.
use crate::core::Core;
use crate::types::Act;
use wv_inner::Hand;
use wv_wire::{Code, Text};

const GUESTS_MAX: usize = 8192;

impl Core {
    /// A link from another node came in.
    pub fn hand_in(&mut self, now: u64) -> u64 {
        self.now = self.now.max(now);
        self.fresh_id()
    }

    /// A message on a link between access nodes.
    pub fn hand(&mut self, link: u64, msg: Hand, now: u64) {
        self.now = self.now.max(now);
        match msg {
            Hand::Open { hand, host, who } => self.open_guest(link, hand, host, who),
            Hand::Request { hand, lines } => self.guest_request(link, hand, &lines),
            Hand::Return { hand, bytes } => self.hand_returned(hand, &bytes),
            Hand::Refused { hand } => self.hand_refused(hand),
            Hand::End { hand } => match self.hands.guests.get(&(link, hand)).copied() {
                Some(client) => self.client_gone(client, now),
                None => self.hand_ended(hand),
            },
        }
    }

    fn open_guest(&mut self, link: u64, hand: u64, host: String, who: String) {
        let is_known = self.conf.as_ref().is_some_and(|conf| conf.route(&host).is_some());
        if !is_known || self.hands.guests.len() >= GUESTS_MAX {
            return self.acts.push(Act::SendHand { link, msg: Hand::Refused { hand } });
        }
        let id = self.client_open(self.now);
        if let Some(client) = self.clients.get_mut(&id) {
            (client.database, client.who, client.guest) = (Some(host), who, Some((link, hand)));
        }
        self.hands.guests.insert((link, hand), id);
        if !self.seat_session(id) {
            self.refuse_guest(link, hand, id);
        }
    }

    fn refuse_guest(&mut self, link: u64, hand: u64, id: u64) {
        self.acts.push(Act::SendHand { link, msg: Hand::Refused { hand } });
        // Forgotten first: a client that leaves is not to be told of its end as well.
        self.clients.get_mut(&id).into_iter().for_each(|client| client.guest = None);
        self.hands.guests.remove(&(link, hand));
        self.client_gone(id, self.now);
    }

    fn guest_request(&mut self, link: u64, hand: u64, lines: &[u8]) {
        let Some(id) = self.hands.guests.get(&(link, hand)).copied() else {
            // Refused before, or unknown: nothing of this has run or will.
            return self.acts.push(Act::SendHand { link, msg: Hand::Refused { hand } });
        };
        let is_resting = |client: &crate::types::Client| client.txn.is_none() && !client.request.is_open;
        let is_new = self.clients.get(&id).is_some_and(is_resting);
        // What has begun here ends here; new work goes to whoever owns the shard now.
        if is_new && (!self.owns(id) || self.is_leaving()) {
            return self.refuse_guest(link, hand, id);
        }
        self.client_data(id, lines, self.now);
    }

    /// What the handing node says for itself under the id `-`, which no client may use: session values, shapes, and
    /// the end of a transaction. Nothing else, for no statement runs unasked.
    pub(crate) fn guest_line(&mut self, id: u64, line: &[u8]) {
        let text = line.strip_prefix(b"QUERY - ").unwrap_or_default();
        match Text::parse(text) {
            Text::Assign { .. } | Text::Define { .. } | Text::Abort => self.query(id, b"-", text),
            _ => self.end_with(id, Code::Malformed, "not understood"),
        }
    }

    /// Whether the shard of this client's route is this node's. Where no owner is known, nobody is refused.
    fn owns(&self, id: u64) -> bool {
        let route = self
            .clients
            .get(&id)
            .and_then(|client| client.database.as_ref())
            .and_then(|host| self.conf.as_ref().and_then(|conf| conf.route(host)));
        let owner = route.and_then(|route| self.checks.find(&route.service)).and_then(|at| self.hands.owners.get(&at));
        owner.is_none_or(|owner| owner.node == self.hands.me)
    }

    /// What a guest would have heard goes back to the node that handed it over.
    pub fn take_guest_out(&mut self, id: u64) -> Option<(u64, Hand)> {
        let client = self.clients.get_mut(&id)?;
        let (link, hand) = client.guest?;
        Some((link, Hand::Return { hand, bytes: std::mem::take(&mut client.out) }))
    }
}
