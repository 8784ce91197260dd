//! Inbound forwarding: sessions of other nodes' clients, served like this node's own clients but never forwarded again.
use crate::core::Core;
use crate::types::Act;
use crate::types::Guest;
use wv_internal_protocol::{ForwardMessage, ForwardedSessionId};
use wv_wire_protocol::{ErrorCode, Statement};

const MAX_FORWARDED_SESSIONS: usize = 8192;

impl Core {
    /// Returns the id of a new link from another access node.
    pub fn accept_peer_link(&mut self, now: u64) -> u64 {
        self.now = self.now.max(now);
        self.fresh_id()
    }

    pub fn handle_forward_message(&mut self, link: u64, msg: ForwardMessage, now: u64) {
        self.now = self.now.max(now);
        match msg {
            ForwardMessage::Open { session, host, user } => self.open_forwarded_session(link, session, host, user),
            ForwardMessage::Request { session, request, lines } => {
                self.handle_forwarded_request(link, (session, request), &lines)
            }
            ForwardMessage::Response { session, request, bytes } => {
                self.find_outbound_session(link, session)
                    .into_iter()
                    .for_each(|number| self.hand_returned(number, request, &bytes));
            }
            ForwardMessage::Rejected { session, request } => {
                self.find_outbound_session(link, session)
                    .into_iter()
                    .for_each(|number| self.hand_refused(number, request));
            }
            ForwardMessage::Close { session } => match self.hands.inbound.get(&(link, session)).copied() {
                Some(client) => self.client_gone(client, now),
                None => {
                    self.find_outbound_session(link, session).into_iter().for_each(|number| self.hand_ended(number))
                }
            },
        }
    }

    /// Finds a session that this process opened on this link. Sessions of other nodes, of earlier incarnations or on
    /// other links may have the same number.
    fn find_outbound_session(&self, link: u64, session: ForwardedSessionId) -> Option<u64> {
        let is_own = |number: &u64| self.hands.outbound.get(number).is_some_and(|session| session.link == link);
        Some(session.number).filter(|number| session.incarnation == self.slots.incarnation && is_own(number))
    }

    fn open_forwarded_session(&mut self, link: u64, session: ForwardedSessionId, host: String, user: String) {
        if self.hands.inbound.contains_key(&(link, session)) {
            return;
        }
        let is_known = self.conf.as_ref().is_some_and(|conf| conf.route(&host).is_some());
        if !is_known || self.hands.inbound.len() >= MAX_FORWARDED_SESSIONS {
            return self.acts.push(Act::SendHand { link, msg: ForwardMessage::Rejected { session, request: 0 } });
        }
        let id = self.client_open(self.now);
        if let Some(client) = self.clients.get_mut(&id) {
            (client.database, client.who, client.guest) =
                (Some(host), user, Some(Guest { link, hand: session, ask: 0 }));
        }
        self.hands.inbound.insert((link, session), id);
        if !self.admit_session(id) {
            self.reject_forwarded_session(link, (session, 0), id);
        }
    }

    fn reject_forwarded_session(&mut self, link: u64, (session, request): (ForwardedSessionId, u64), id: u64) {
        self.acts.push(Act::SendHand { link, msg: ForwardMessage::Rejected { session, request } });
        // Cleared first, so that closing the client sends no `Close` after the rejection.
        self.clients.get_mut(&id).into_iter().for_each(|client| client.guest = None);
        self.hands.inbound.remove(&(link, session));
        self.client_gone(id, self.now);
    }

    fn handle_forwarded_request(&mut self, link: u64, (session, request): (ForwardedSessionId, u64), lines: &[u8]) {
        let Some(id) = self.hands.inbound.get(&(link, session)).copied() else {
            // Rejected before, or unknown: no part of this request has been or will be executed.
            return self.acts.push(Act::SendHand { link, msg: ForwardMessage::Rejected { session, request } });
        };
        let Some(client) = self.clients.get_mut(&id) else { return };
        let Some(guest) = client.guest.as_mut().filter(|guest| guest.ask < request) else { return };
        // Requests must arrive in sequence, one at a time: executing one out of order could overtake or skip another.
        if guest.ask + 1 != request || client.request.is_open || !client.inbuf.is_empty() {
            return self.close_client(id);
        }
        guest.ask = request;
        let is_idle = |client: &crate::types::Client| client.txn.is_none() && !client.request.is_open;
        let is_new = self.clients.get(&id).is_some_and(is_idle);
        // An open transaction continues here; new work is rejected if another node owns the shard now.
        if is_new && (!self.owns_shard(id) || self.is_shutting_down()) {
            return self.reject_forwarded_session(link, (session, request), id);
        }
        self.client_data(id, lines, self.now);
    }

    /// Handles a statement that the forwarding node sends on its own behalf under the id `-`, which clients cannot use:
    /// session values, prepared statements and rollbacks. Anything else is rejected.
    pub(crate) fn handle_internal_line(&mut self, id: u64, line: &[u8]) {
        let text = line.strip_prefix(b"QUERY - ").unwrap_or_default();
        match Statement::parse(text) {
            Statement::Assign { .. } | Statement::Define { .. } | Statement::Abort => self.query(id, b"-", text),
            _ => self.end_with(id, ErrorCode::Malformed, "not understood"),
        }
    }

    /// Whether this node owns the shard of the client's route. True if no owner is known.
    fn owns_shard(&self, id: u64) -> bool {
        let route = self
            .clients
            .get(&id)
            .and_then(|client| client.database.as_ref())
            .and_then(|host| self.conf.as_ref().and_then(|conf| conf.route(host)));
        let owner =
            route.and_then(|route| self.checks.service_index(&route.service)).and_then(|at| self.hands.owners.get(&at));
        owner.is_none_or(|owner| owner.node == self.hands.node_name)
    }

    /// Returns the output of a forwarded session as a response to the node that forwarded it.
    pub fn take_forwarded_response(&mut self, id: u64) -> Option<(u64, ForwardMessage)> {
        let client = self.clients.get_mut(&id)?;
        let Guest { link, hand: session, ask: request } = client.guest?;
        Some((link, ForwardMessage::Response { session, request, bytes: std::mem::take(&mut client.out) }))
    }
}
