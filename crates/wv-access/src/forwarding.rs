//! Outbound forwarding: requests to the primary of a shard owned by another node are forwarded to the owner at most
//! once; if that is not possible, they are executed here.
use crate::core::{Core, Map};
use crate::types::{Effect, Verb};
use wv_configuration::Category;
use wv_internal_protocol::{ForwardMessage, ForwardedSessionId, Owner};
use wv_wire_protocol::write_query;

/// A request sent to an owner: the responses to internal statements precede the client's response, if there is one.
pub(crate) struct PendingRequest {
    pub request: u64,
    pub internal_responses: u32,
    pub has_client_response: bool,
}

/// A client's session at the owner of a shard.
pub(crate) struct OutboundSession {
    pub client: u64,
    pub link: u64,
    connection_state: wv_session_state::ConnectionState,
    /// Number of the newest request, and the configuration version that it was routed by.
    pub last_request: u64,
    configuration_version: u64,
    /// Requests that are not fully answered yet, oldest first.
    pub pending: std::collections::VecDeque<PendingRequest>,
    pub buf: Vec<u8>,
    /// Code and text of an error line whose response is not complete yet.
    pub error: Option<(wv_wire_protocol::ErrorCode, Vec<u8>)>,
}

impl OutboundSession {
    /// Numbers a request and returns the effect that sends it.
    fn next_request(
        &mut self,
        session: ForwardedSessionId,
        lines: Vec<u8>,
        internal_responses: u32,
        has_client_response: bool,
    ) -> Effect {
        self.last_request += 1;
        self.pending.push_back(PendingRequest { request: self.last_request, internal_responses, has_client_response });
        let message = ForwardMessage::Request {
            session,
            request: self.last_request,
            configuration_version: self.configuration_version,
            lines,
        };
        Effect::SendToPeer { link: self.link, message }
    }
}

/// The link to one owner.
#[derive(Default)]
pub(crate) struct OwnerLink {
    pub link: u64,
    /// The owner has answered `Hello`.
    pub is_up: bool,
    /// Clients whose requests wait for the link to be established.
    pub waiting: Vec<u64>,
    pub failed_until: u64,
}

#[derive(Default)]
pub(crate) struct Forwarding {
    pub node_name: String,
    pub owners: Map<u16, Owner>,
    pub outbound: Map<u64, OutboundSession>,
    pub owner_links: Map<String, OwnerLink>,
    /// Clients of other nodes' sessions here, by link and session.
    pub inbound: Map<(u64, ForwardedSessionId), u64>,
    /// Requests forwarded since the start of the process.
    pub request_count: u64,
}

impl Core {
    /// Sets the name under which this node appears as an owner.
    pub fn set_node_name(&mut self, name: &str) {
        self.forwarding.node_name = name.to_owned();
        self.tie_break_salt = name.bytes().fold(7u16, |sum, byte| sum.wrapping_mul(31).wrapping_add(u16::from(byte)));
    }

    pub fn is_shutting_down(&self) -> bool {
        self.leaving_since.is_some()
    }

    pub(crate) fn set_owner(&mut self, owner: Owner) {
        let service = self.health.intern_service(&owner.service);
        let is_newer = self.forwarding.owners.get(&service).is_none_or(|known| known.epoch < owner.epoch);
        if is_newer {
            self.forwarding.owners.insert(service, owner);
        }
    }

    /// Number of requests forwarded since the start of the process.
    pub fn forwarded_request_count(&self) -> u64 {
        self.forwarding.request_count
    }

    /// Known shard owners as (service, node, epoch).
    pub fn shard_owners(&self) -> Vec<(String, String, u64)> {
        let list = self.forwarding.owners.values();
        list.map(|owner| (owner.service.clone(), owner.node.clone(), owner.epoch)).collect()
    }

    /// The owner to forward this request to, or `None` to execute it here.
    fn forwarding_target(&self, id: u64) -> Option<&Owner> {
        let configuration = self.configuration.as_ref().filter(|configuration| !configuration.partners.is_empty())?;
        let client = self.clients.get(&id).filter(|client| client.forward_origin.is_none())?;
        let route = client.request.route.as_ref().filter(|route| route.category == Category::Primary)?;
        let is_here = client.request.is_local_only
            || client.txn.as_ref().is_some_and(|txn| txn.db.is_some() || txn.has_completed_statement);
        configuration.shards.binary_search(&route.service).ok().filter(|_| !is_here)?;
        let owner = self.forwarding.owners.get(&self.health.service_index(&route.service)?)?;
        let is_failed = self
            .forwarding
            .owner_links
            .get(&owner.forwarding_address)
            .is_some_and(|owner_link| owner_link.failed_until > self.now);
        (owner.node != self.forwarding.node_name && !owner.forwarding_address.is_empty() && !is_failed).then_some(owner)
    }

    /// Forwards the open request if another node owns its shard. Returns `false` if it is to be executed here.
    pub(crate) fn try_forward(&mut self, id: u64) -> bool {
        if let Some(session) = self.clients.get(&id).and_then(|client| client.txn.as_ref()?.forwarded_session) {
            self.forward_request(id, session);
            return true;
        }
        let Some(address) = self.forwarding_target(id).map(|owner| owner.forwarding_address.clone()) else {
            return false;
        };
        let link = match self.forwarding.owner_links.get(&address).filter(|owner_link| owner_link.link > 0) {
            Some(owner_link) => owner_link.link,
            None => {
                let link = self.allocate_id();
                self.forwarding.owner_links.insert(address.clone(), OwnerLink { link, ..OwnerLink::default() });
                self.effects.push(Effect::DialPeer { link, address: address.clone() });
                link
            }
        };
        let Some(owner_link) = self.forwarding.owner_links.get_mut(&address) else { return false };
        if !owner_link.is_up {
            owner_link.waiting.push(id);
            self.schedule_wait_limit(id);
            return true;
        }
        let existing = self.clients.get(&id).and_then(|client| client.forwarded_session);
        let session = match existing
            .filter(|session| self.forwarding.outbound.get(session).is_some_and(|outbound| outbound.link == link))
        {
            Some(session) => session,
            None => self.open_outbound_session(id, link),
        };
        self.forward_request(id, session);
        true
    }

    fn open_outbound_session(&mut self, id: u64, link: u64) -> u64 {
        self.close_client_outbound_session(id);
        let session = self.allocate_id();
        let (connection_state, pending) = Default::default();
        let outbound = OutboundSession {
            client: id,
            link,
            connection_state,
            last_request: 0,
            configuration_version: 0,
            pending,
            buf: Vec::new(),
            error: None,
        };
        self.forwarding.outbound.insert(session, outbound);
        if let Some(client) = self.clients.get_mut(&id) {
            client.forwarded_session = Some(session);
            let (host, user) = (client.database.clone().unwrap_or_default(), client.login.clone());
            let session = self.forwarded_session_id(session);
            self.effects.push(Effect::SendToPeer { link, message: ForwardMessage::Open { session, host, user } });
        }
        session
    }

    /// The id of an outbound session on the wire.
    pub(crate) fn forwarded_session_id(&self, number: u64) -> ForwardedSessionId {
        ForwardedSessionId { incarnation: self.slots.incarnation, number }
    }

    /// Sends the client's session values and prepared statements, `BEGIN` if its transaction has not begun, and its
    /// request.
    fn forward_request(&mut self, id: u64, session: u64) {
        let session_id = self.forwarded_session_id(session);
        let (Some(client), Some(outbound)) = (self.clients.get_mut(&id), self.forwarding.outbound.get_mut(&session))
        else {
            return self.dispatch_locally(id);
        };
        let request = &mut client.request;
        (request.forwarded_session, request.queue) = (Some(session), None);
        request.response.clear();
        let mut lines = Vec::new();
        let mut internal_responses = wv_session_state::sync_connection(
            &mut lines,
            &mut outbound.connection_state,
            &client.session,
            request.statement_id,
            &self.statements,
        ) as u32;
        if let Some(txn) = client.txn.as_mut() {
            if txn.forwarded_session.is_none() {
                let begin: &[u8] = if txn.is_read_only { b"BEGIN READ" } else { b"BEGIN" };
                write_query(&mut lines, &txn.begin_id, &[begin]);
                internal_responses += 1;
                txn.forwarded_session = Some(session);
            }
            txn.may_have_written |= request.verb() == Verb::Write;
        }
        write_query(&mut lines, &request.query_id, &[&request.text]);
        self.forwarding.request_count += 1;
        outbound.configuration_version = request.configuration_version;
        let effect = outbound.next_request(session_id, lines, internal_responses, true);
        self.effects.push(effect);
    }

    /// Closes the client's session at the owner, which rolls back its open transaction.
    pub(crate) fn close_client_outbound_session(&mut self, id: u64) {
        let session = self.clients.get_mut(&id).and_then(|client| client.forwarded_session.take());
        session.into_iter().for_each(|session| self.close_outbound_session(session));
    }

    pub(crate) fn close_outbound_session(&mut self, session: u64) {
        if let Some(outbound) = self.forwarding.outbound.remove(&session) {
            let session = self.forwarded_session_id(session);
            self.effects.push(Effect::SendToPeer { link: outbound.link, message: ForwardMessage::Close { session } });
        }
    }

    /// Rolls back a forwarded transaction and keeps the session at the owner.
    pub(crate) fn abort_forwarded_txn(&mut self, session: u64) {
        let session_id = self.forwarded_session_id(session);
        if let Some(outbound) = self.forwarding.outbound.get_mut(&session) {
            let mut lines = Vec::new();
            write_query(&mut lines, b"-", &[b"ABORT"]);
            let effect = outbound.next_request(session_id, lines, 1, false);
            self.effects.push(effect);
        }
    }
}
