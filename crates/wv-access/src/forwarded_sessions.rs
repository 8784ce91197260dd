//! The owner's side: other nodes' clients are served here as this node's own, but never handed on.
use crate::core::Core;
use crate::types::Act;
use crate::types::Guest;
use wv_internal_protocol::{ForwardMessage, ForwardedSessionId};
use wv_wire_protocol::{ErrorCode, Statement};

const MAX_FORWARDED_SESSIONS: usize = 8192;

impl Core {
    /// A link from another node came in.
    pub fn accept_peer_link(&mut self, now: u64) -> u64 {
        self.now = self.now.max(now);
        self.fresh_id()
    }

    /// A message on a link between access nodes.
    pub fn handle_forward_message(&mut self, link: u64, msg: ForwardMessage, now: u64) {
        self.now = self.now.max(now);
        match msg {
            ForwardMessage::Open { session: hand, host, user: who } => {
                self.open_forwarded_session(link, hand, host, who)
            }
            ForwardMessage::Request { session: hand, request: ask, lines } => {
                self.handle_forwarded_request(link, (hand, ask), &lines)
            }
            ForwardMessage::Response { session: hand, request: ask, bytes } => {
                self.find_outbound_session(link, hand)
                    .into_iter()
                    .for_each(|hand| self.hand_returned(hand, ask, &bytes));
            }
            ForwardMessage::Rejected { session: hand, request: ask } => {
                self.find_outbound_session(link, hand).into_iter().for_each(|hand| self.hand_refused(hand, ask));
            }
            ForwardMessage::Close { session: hand } => match self.hands.inbound.get(&(link, hand)).copied() {
                Some(client) => self.client_gone(client, now),
                None => self.find_outbound_session(link, hand).into_iter().for_each(|hand| self.hand_ended(hand)),
            },
        }
    }

    /// A hand that this life opened on this link. Another node's hand, or one that went over another link, may have the
    /// same number.
    fn find_outbound_session(&self, link: u64, hand: ForwardedSessionId) -> Option<u64> {
        let is_own = |number: &u64| self.hands.outbound.get(number).is_some_and(|out| out.link == link);
        Some(hand.number).filter(|number| hand.incarnation == self.slots.incarnation && is_own(number))
    }

    fn open_forwarded_session(&mut self, link: u64, hand: ForwardedSessionId, host: String, who: String) {
        if self.hands.inbound.contains_key(&(link, hand)) {
            return;
        }
        let is_known = self.conf.as_ref().is_some_and(|conf| conf.route(&host).is_some());
        if !is_known || self.hands.inbound.len() >= MAX_FORWARDED_SESSIONS {
            return self.acts.push(Act::SendHand { link, msg: ForwardMessage::Rejected { session: hand, request: 0 } });
        }
        let id = self.client_open(self.now);
        if let Some(client) = self.clients.get_mut(&id) {
            (client.database, client.who, client.guest) = (Some(host), who, Some(Guest { link, hand, ask: 0 }));
        }
        self.hands.inbound.insert((link, hand), id);
        if !self.admit_session(id) {
            self.reject_forwarded_session(link, (hand, 0), id);
        }
    }

    fn reject_forwarded_session(&mut self, link: u64, (hand, ask): (ForwardedSessionId, u64), id: u64) {
        self.acts.push(Act::SendHand { link, msg: ForwardMessage::Rejected { session: hand, request: ask } });
        // Forgotten first: a client that leaves is not to be told of its end as well.
        self.clients.get_mut(&id).into_iter().for_each(|client| client.guest = None);
        self.hands.inbound.remove(&(link, hand));
        self.client_gone(id, self.now);
    }

    fn handle_forwarded_request(&mut self, link: u64, (hand, ask): (ForwardedSessionId, u64), lines: &[u8]) {
        let Some(id) = self.hands.inbound.get(&(link, hand)).copied() else {
            // Refused before, or unknown: nothing of this has run or will.
            return self
                .acts
                .push(Act::SendHand { link, msg: ForwardMessage::Rejected { session: hand, request: ask } });
        };
        let Some(client) = self.clients.get_mut(&id) else { return };
        let Some(guest) = client.guest.as_mut().filter(|guest| guest.ask < ask) else { return };
        // One ask at a time and none left out: what is out of turn might run beside, or without, what came before it.
        if guest.ask + 1 != ask || client.request.is_open || !client.inbuf.is_empty() {
            return self.close_client(id);
        }
        guest.ask = ask;
        let is_resting = |client: &crate::types::Client| client.txn.is_none() && !client.request.is_open;
        let is_new = self.clients.get(&id).is_some_and(is_resting);
        // What has begun here ends here; new work goes to whoever owns the shard now.
        if is_new && (!self.owns_shard(id) || self.is_shutting_down()) {
            return self.reject_forwarded_session(link, (hand, ask), id);
        }
        self.client_data(id, lines, self.now);
    }

    /// What the handing node says for itself under the id `-`, which no client may use: session values, shapes, and
    /// the end of a transaction. Nothing else, for no statement runs unasked.
    pub(crate) fn handle_internal_line(&mut self, id: u64, line: &[u8]) {
        let text = line.strip_prefix(b"QUERY - ").unwrap_or_default();
        match Statement::parse(text) {
            Statement::Assign { .. } | Statement::Define { .. } | Statement::Abort => self.query(id, b"-", text),
            _ => self.end_with(id, ErrorCode::Malformed, "not understood"),
        }
    }

    /// Whether the shard of this client's route is this node's. Where no owner is known, nobody is refused.
    fn owns_shard(&self, id: u64) -> bool {
        let route = self
            .clients
            .get(&id)
            .and_then(|client| client.database.as_ref())
            .and_then(|host| self.conf.as_ref().and_then(|conf| conf.route(host)));
        let owner = route.and_then(|route| self.checks.find(&route.service)).and_then(|at| self.hands.owners.get(&at));
        owner.is_none_or(|owner| owner.node == self.hands.node_name)
    }

    /// What a guest would have heard goes back to the node that handed it over.
    pub fn take_forwarded_response(&mut self, id: u64) -> Option<(u64, ForwardMessage)> {
        let client = self.clients.get_mut(&id)?;
        let Guest { link, hand, ask } = client.guest?;
        Some((link, ForwardMessage::Response { session: hand, request: ask, bytes: std::mem::take(&mut client.out) }))
    }
}
