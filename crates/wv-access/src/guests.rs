//! The owner's side: other nodes' clients are served here as this node's own, but never handed on.
use crate::core::Core;
use crate::types::Effect;
use crate::types::ForwardOrigin;
use wv_internal_protocol::{ForwardMessage, ForwardedSessionId};
use wv_wire_protocol::{ErrorCode, Statement};

const GUESTS_MAX: usize = 8192;

impl Core {
    /// A link from another node came in.
    pub fn hand_in(&mut self, now: u64) -> u64 {
        self.now = self.now.max(now);
        self.allocate_id()
    }

    /// A message on a link between access nodes.
    pub fn hand(&mut self, link: u64, msg: ForwardMessage, now: u64) {
        self.now = self.now.max(now);
        match msg {
            ForwardMessage::Open { session: hand, host, user: who } => self.open_guest(link, hand, host, who),
            ForwardMessage::Request { session: hand, request: ask, lines } => {
                self.guest_request(link, (hand, ask), &lines)
            }
            ForwardMessage::Response { session: hand, request: ask, bytes } => {
                self.own_hand(link, hand).into_iter().for_each(|hand| self.forwarded_data(hand, ask, &bytes));
            }
            ForwardMessage::Rejected { session: hand, request: ask } => {
                self.own_hand(link, hand).into_iter().for_each(|hand| self.forwarded_request_refused(hand, ask));
            }
            ForwardMessage::Close { session: hand } => match self.forwarding.guests.get(&(link, hand)).copied() {
                Some(client) => self.client_closed(client, now),
                None => self.own_hand(link, hand).into_iter().for_each(|hand| self.forwarded_session_closed(hand)),
            },
        }
    }

    /// A hand that this life opened on this link. Another node's hand, or one that went over another link, may have the
    /// same number.
    fn own_hand(&self, link: u64, hand: ForwardedSessionId) -> Option<u64> {
        let is_own = |number: &u64| self.forwarding.out.get(number).is_some_and(|out| out.link == link);
        Some(hand.number).filter(|number| hand.incarnation == self.slots.life && is_own(number))
    }

    fn open_guest(&mut self, link: u64, hand: ForwardedSessionId, host: String, who: String) {
        if self.forwarding.guests.contains_key(&(link, hand)) {
            return;
        }
        let is_known = self.conf.as_ref().is_some_and(|conf| conf.route(&host).is_some());
        if !is_known || self.forwarding.guests.len() >= GUESTS_MAX {
            return self
                .effects
                .push(Effect::SendToPeer { link, message: ForwardMessage::Rejected { session: hand, request: 0 } });
        }
        let id = self.client_opened(self.now);
        if let Some(client) = self.clients.get_mut(&id) {
            (client.database, client.login, client.forward_origin) =
                (Some(host), who, Some(ForwardOrigin { link, session: hand, request: 0 }));
        }
        self.forwarding.guests.insert((link, hand), id);
        if !self.seat_session(id) {
            self.refuse_guest(link, (hand, 0), id);
        }
    }

    fn refuse_guest(&mut self, link: u64, (hand, ask): (ForwardedSessionId, u64), id: u64) {
        self.effects
            .push(Effect::SendToPeer { link, message: ForwardMessage::Rejected { session: hand, request: ask } });
        // Forgotten first: a client that leaves is not to be told of its end as well.
        self.clients.get_mut(&id).into_iter().for_each(|client| client.forward_origin = None);
        self.forwarding.guests.remove(&(link, hand));
        self.client_closed(id, self.now);
    }

    fn guest_request(&mut self, link: u64, (hand, ask): (ForwardedSessionId, u64), lines: &[u8]) {
        let Some(id) = self.forwarding.guests.get(&(link, hand)).copied() else {
            // Refused before, or unknown: nothing of this has run or will.
            return self
                .effects
                .push(Effect::SendToPeer { link, message: ForwardMessage::Rejected { session: hand, request: ask } });
        };
        let Some(client) = self.clients.get_mut(&id) else { return };
        let Some(guest) = client.forward_origin.as_mut().filter(|guest| guest.request < ask) else { return };
        // One ask at a time and none left out: what is out of turn might run beside, or without, what came before it.
        if guest.request + 1 != ask || client.request.is_open || !client.inbuf.is_empty() {
            return self.close_client(id);
        }
        guest.request = ask;
        let is_resting = |client: &crate::types::Client| client.txn.is_none() && !client.request.is_open;
        let is_new = self.clients.get(&id).is_some_and(is_resting);
        // What has begun here ends here; new work goes to whoever owns the shard now.
        if is_new && (!self.owns(id) || self.is_leaving()) {
            return self.refuse_guest(link, (hand, ask), id);
        }
        self.client_data(id, lines, self.now);
    }

    /// What the handing node says for itself under the id `-`, which no client may use: session values, shapes, and
    /// the end of a transaction. Nothing else, for no statement runs unasked.
    pub(crate) fn guest_line(&mut self, id: u64, line: &[u8]) {
        let text = line.strip_prefix(b"QUERY - ").unwrap_or_default();
        match Statement::parse(text) {
            Statement::Assign { .. } | Statement::Define { .. } | Statement::Abort => self.query(id, b"-", text),
            _ => self.close_with_error(id, ErrorCode::Malformed, "not understood"),
        }
    }

    /// Whether the shard of this client's route is this node's. Where no owner is known, nobody is refused.
    fn owns(&self, id: u64) -> bool {
        let route = self
            .clients
            .get(&id)
            .and_then(|client| client.database.as_ref())
            .and_then(|host| self.conf.as_ref().and_then(|conf| conf.route(host)));
        let owner =
            route.and_then(|route| self.checks.find(&route.service)).and_then(|at| self.forwarding.owners.get(&at));
        owner.is_none_or(|owner| owner.node == self.forwarding.me)
    }

    /// What a guest would have heard goes back to the node that handed it over.
    pub fn take_guest_out(&mut self, id: u64) -> Option<(u64, ForwardMessage)> {
        let client = self.clients.get_mut(&id)?;
        let ForwardOrigin { link, session: hand, request: ask } = client.forward_origin?;
        Some((link, ForwardMessage::Response { session: hand, request: ask, bytes: std::mem::take(&mut client.out) }))
    }
}
