//! Inbound forwarding: sessions of other nodes' clients, served like this node's own clients but never forwarded again.
use crate::core::Core;
use crate::types::Effect;
use crate::types::ForwardOrigin;
use wv_internal_protocol::{ForwardMessage, ForwardedSessionId};
use wv_wire_protocol::{ErrorCode, Statement};

const MAX_FORWARDED_SESSIONS: usize = 8192;

impl Core {
    /// Returns the id of a new link from another access node.
    pub fn accept_peer_link(&mut self, now: u64) -> u64 {
        self.now = self.now.max(now);
        self.allocate_id()
    }

    pub fn handle_forward_message(&mut self, link: u64, message: ForwardMessage, now: u64) {
        self.advance_clock(now);
        match message {
            ForwardMessage::Open { session, host, user } => self.open_forwarded_session(link, session, host, user),
            ForwardMessage::UnversionedRequest { session, request, lines } => {
                self.handle_forwarded_request(link, (session, request), None, &lines)
            }
            ForwardMessage::Request { session, request, configuration_version, lines } => {
                self.handle_forwarded_request(link, (session, request), Some(configuration_version), &lines)
            }
            ForwardMessage::Hello => self.on_peer_hello(link),
            ForwardMessage::Response { session, request, bytes } => {
                self.find_outbound_session(link, session)
                    .into_iter()
                    .for_each(|number| self.forwarded_data(number, request, &bytes));
            }
            ForwardMessage::Rejected { session, request } => {
                self.find_outbound_session(link, session)
                    .into_iter()
                    .for_each(|number| self.forwarded_request_refused(number, request));
            }
            ForwardMessage::Close { session } => match self.forwarding.inbound.get(&(link, session)).copied() {
                Some(client) => self.client_closed(client, now),
                None => self
                    .find_outbound_session(link, session)
                    .into_iter()
                    .for_each(|number| self.forwarded_session_closed(number)),
            },
        }
    }

    /// Finds a session that this process opened on this link. Sessions of other nodes, of earlier incarnations or on
    /// other links may have the same number.
    fn find_outbound_session(&self, link: u64, session: ForwardedSessionId) -> Option<u64> {
        let is_own = |number: &u64| self.forwarding.outbound.get(number).is_some_and(|session| session.link == link);
        Some(session.number).filter(|number| session.incarnation == self.slots.incarnation && is_own(number))
    }

    fn open_forwarded_session(&mut self, link: u64, session: ForwardedSessionId, host: String, user: String) {
        if self.forwarding.inbound.contains_key(&(link, session)) {
            return;
        }
        let is_known = self.configuration.as_ref().is_some_and(|configuration| configuration.route(&host).is_some());
        if !is_known || self.forwarding.inbound.len() >= MAX_FORWARDED_SESSIONS {
            return self
                .effects
                .push(Effect::SendToPeer { link, message: ForwardMessage::Rejected { session, request: 0 } });
        }
        let id = self.client_opened(self.now);
        if let Some(client) = self.clients.get_mut(&id) {
            (client.database, client.login, client.forward_origin) =
                (Some(host), user, Some(ForwardOrigin { link, session, request: 0 }));
        }
        self.forwarding.inbound.insert((link, session), id);
        if !self.admit_session(id) {
            self.reject_forwarded_session(link, (session, 0), id);
        }
    }

    fn reject_forwarded_session(&mut self, link: u64, (session, request): (ForwardedSessionId, u64), id: u64) {
        self.effects.push(Effect::SendToPeer { link, message: ForwardMessage::Rejected { session, request } });
        // Cleared first, so that closing the client sends no `Close` after the rejection.
        self.clients.get_mut(&id).into_iter().for_each(|client| client.forward_origin = None);
        self.forwarding.inbound.remove(&(link, session));
        self.client_closed(id, self.now);
    }

    fn handle_forwarded_request(
        &mut self,
        link: u64,
        (session, request): (ForwardedSessionId, u64),
        configuration_version: Option<u64>,
        lines: &[u8],
    ) {
        let Some(id) = self.forwarding.inbound.get(&(link, session)).copied() else {
            // Rejected before, or unknown: no part of this request has been or will be executed.
            return self
                .effects
                .push(Effect::SendToPeer { link, message: ForwardMessage::Rejected { session, request } });
        };
        let Some(client) = self.clients.get_mut(&id) else { return };
        let Some(origin) = client.forward_origin.as_mut().filter(|origin| origin.request < request) else { return };
        // Requests must arrive in sequence, one at a time: executing one out of order could overtake or skip another.
        if origin.request + 1 != request || client.request.is_open || !client.inbuf.is_empty() {
            return self.close_client(id);
        }
        origin.request = request;
        let is_idle = |client: &crate::types::Client| client.txn.is_none() && !client.request.is_open;
        let is_new = self.clients.get(&id).is_some_and(is_idle);
        // An open transaction continues here. New work is rejected if another node owns the shard now, or if it was
        // routed by another configuration version: the route could differ from the one that its client's node goes by.
        let is_same_version = configuration_version == self.configuration_version();
        if is_new && (!is_same_version || !self.owns_shard(id) || self.is_shutting_down()) {
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
            _ => self.close_with_error(id, ErrorCode::Malformed, "not understood"),
        }
    }

    /// Whether this node owns the shard of the client's route. True if no owner is known.
    fn owns_shard(&self, id: u64) -> bool {
        let route = self
            .clients
            .get(&id)
            .and_then(|client| client.database.as_ref())
            .and_then(|host| self.configuration.as_ref().and_then(|configuration| configuration.route(host)));
        let owner = route
            .and_then(|route| self.health.service_index(&route.service))
            .and_then(|at| self.forwarding.owners.get(&at));
        owner.is_none_or(|owner| owner.node == self.forwarding.node_name)
    }

    /// Returns the output of a forwarded session as a response to the node that forwarded it.
    pub fn take_forwarded_response(&mut self, id: u64) -> Option<(u64, ForwardMessage)> {
        let client = self.clients.get_mut(&id)?;
        let ForwardOrigin { link, session, request } = client.forward_origin?;
        Some((link, ForwardMessage::Response { session, request, bytes: std::mem::take(&mut client.out) }))
    }
}
