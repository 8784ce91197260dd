//! Shards owned by other nodes: their primary work is handed over to the owner, at most once, and else done here.
use crate::core::{Core, Map};
use crate::types::{Act, Verb};
use wv_configuration::Category;
use wv_internal_protocol::{ForwardMessage, ForwardedSessionId, Owner};
use wv_wire_protocol::write_query;

/// What was asked of an owner in one go: answers that are nothing of the client's, and then the client's, if any.
pub(crate) struct PendingRequest {
    pub request: u64,
    pub internal_responses: u32,
    pub has_client_response: bool,
}

/// A client's session at an owner.
pub(crate) struct OutboundSession {
    pub client: u64,
    pub link: u64,
    connection_state: wv_session_state::ConnectionState,
    /// The newest ask, and those that are not wholly answered yet.
    pub last_request: u64,
    pub pending: std::collections::VecDeque<PendingRequest>,
    pub buf: Vec<u8>,
    /// An error line is being read; its code and text.
    pub error: Option<(wv_wire_protocol::ErrorCode, Vec<u8>)>,
}

/// The way to one owner.
#[derive(Default)]
pub(crate) struct OwnerLink {
    pub link: u64,
    pub is_up: bool,
    /// Requests that wait for the link to stand.
    pub waiting: Vec<u64>,
    pub failed_until: u64,
}

#[derive(Default)]
pub(crate) struct Forwarding {
    pub node_name: String,
    pub owners: Map<u16, Owner>,
    pub outbound: Map<u64, OutboundSession>,
    pub owner_links: Map<String, OwnerLink>,
    /// Sessions here of other nodes' clients: by link and hand, the client they are here.
    pub inbound: Map<(u64, ForwardedSessionId), u64>,
    /// Requests handed over since the start.
    pub request_count: u64,
}

impl Core {
    /// This node's own name, by which owners are known.
    pub fn set_node_name(&mut self, name: &str) {
        self.hands.node_name = name.to_owned();
        self.salt = name.bytes().fold(7u16, |sum, byte| sum.wrapping_mul(31).wrapping_add(u16::from(byte)));
    }

    pub fn is_shutting_down(&self) -> bool {
        self.leaving_since.is_some()
    }

    pub(crate) fn set_owner(&mut self, owner: Owner) {
        let service = self.checks.service(&owner.service);
        let is_newer = self.hands.owners.get(&service).is_none_or(|held| held.epoch < owner.epoch);
        if is_newer {
            self.hands.owners.insert(service, owner);
        }
    }

    /// How many asks this node has handed over.
    pub fn forwarded_request_count(&self) -> u64 {
        self.hands.request_count
    }

    /// Which shards go through which node, as far as it is known here.
    pub fn shard_owners(&self) -> Vec<(String, String, u64)> {
        let list = self.hands.owners.values();
        list.map(|owner| (owner.service.clone(), owner.node.clone(), owner.epoch)).collect()
    }

    /// Where this request is to be handed over to; nowhere if it is this node's own work.
    fn forwarding_target(&self, id: u64) -> Option<&Owner> {
        let conf = self.conf.as_ref().filter(|conf| !conf.partners.is_empty())?;
        let client = self.clients.get(&id).filter(|client| client.guest.is_none())?;
        let route = client.request.route.as_ref().filter(|route| route.category == Category::Primary)?;
        let is_here =
            client.request.is_direct || client.txn.as_ref().is_some_and(|txn| txn.db.is_some() || txn.is_begun);
        conf.shards.binary_search(&route.service).ok().filter(|_| !is_here)?;
        let owner = self.hands.owners.get(&self.checks.find(&route.service)?)?;
        let is_failed =
            self.hands.owner_links.get(&owner.handover_address).is_some_and(|way| way.failed_until > self.now);
        (owner.node != self.hands.node_name && !owner.handover_address.is_empty() && !is_failed).then_some(owner)
    }

    /// Hands the open request over, where that is to be done. `false` leaves it to this node.
    pub(crate) fn try_forward(&mut self, id: u64) -> bool {
        if let Some(hand) = self.clients.get(&id).and_then(|client| client.txn.as_ref()?.hand) {
            self.forward_request(id, hand);
            return true;
        }
        let Some(place) = self.forwarding_target(id).map(|owner| owner.handover_address.clone()) else { return false };
        let link = match self.hands.owner_links.get(&place).filter(|way| way.link > 0) {
            Some(way) => way.link,
            None => {
                let link = self.fresh_id();
                self.hands.owner_links.insert(place.clone(), OwnerLink { link, ..OwnerLink::default() });
                self.acts.push(Act::DialHand { link, place: place.clone() });
                link
            }
        };
        let Some(way) = self.hands.owner_links.get_mut(&place) else { return false };
        if !way.is_up {
            way.waiting.push(id);
            self.give_time(id);
            return true;
        }
        let held = self.clients.get(&id).and_then(|client| client.hand);
        let hand = match held.filter(|hand| self.hands.outbound.get(hand).is_some_and(|out| out.link == link)) {
            Some(hand) => hand,
            None => self.open_outbound_session(id, link),
        };
        self.forward_request(id, hand);
        true
    }

    fn open_outbound_session(&mut self, id: u64, link: u64) -> u64 {
        self.close_client_outbound_session(id);
        let hand = self.fresh_id();
        let (tie, open) = Default::default();
        let out = OutboundSession {
            client: id,
            link,
            connection_state: tie,
            last_request: 0,
            pending: open,
            buf: Vec::new(),
            error: None,
        };
        self.hands.outbound.insert(hand, out);
        if let Some(client) = self.clients.get_mut(&id) {
            client.hand = Some(hand);
            let (host, who) = (client.database.clone().unwrap_or_default(), client.who.clone());
            let hand = self.forwarded_session_id(hand);
            self.acts.push(Act::SendHand { link, msg: ForwardMessage::Open { session: hand, host, user: who } });
        }
        hand
    }

    /// How the owner knows a session that was opened there.
    pub(crate) fn forwarded_session_id(&self, number: u64) -> ForwardedSessionId {
        ForwardedSessionId { incarnation: self.slots.incarnation, number }
    }

    /// The client's session values and shapes, the beginning of its transaction where it is none yet, and its request.
    fn forward_request(&mut self, id: u64, hand: u64) {
        let name = self.forwarded_session_id(hand);
        let (Some(client), Some(out)) = (self.clients.get_mut(&id), self.hands.outbound.get_mut(&hand)) else {
            return self.retry_here(id);
        };
        let request = &mut client.request;
        (request.hand, request.queued) = (Some(hand), None);
        request.ret.clear();
        let mut lines = Vec::new();
        let mut own = wv_session_state::sync_connection(
            &mut lines,
            &mut out.connection_state,
            &client.session,
            request.shape,
            &self.shapes,
        ) as u32;
        if let Some(txn) = client.txn.as_mut() {
            if txn.hand.is_none() {
                let begin: &[u8] = if txn.only_reads { b"BEGIN READ" } else { b"BEGIN" };
                write_query(&mut lines, &txn.begin_id, &[begin]);
                own += 1;
                txn.hand = Some(hand);
            }
            txn.may_have_written |= request.verb() == Verb::Write;
        }
        write_query(&mut lines, &request.id, &[&request.text]);
        self.hands.request_count += 1;
        out.last_request += 1;
        out.pending.push_back(PendingRequest {
            request: out.last_request,
            internal_responses: own,
            has_client_response: true,
        });
        let msg = ForwardMessage::Request { session: name, request: out.last_request, lines };
        self.acts.push(Act::SendHand { link: out.link, msg });
    }

    /// Ends the client's session at an owner; what is open there is rolled back.
    pub(crate) fn close_client_outbound_session(&mut self, id: u64) {
        let hand = self.clients.get_mut(&id).and_then(|client| client.hand.take());
        hand.into_iter().for_each(|hand| self.close_outbound_session(hand));
    }

    pub(crate) fn close_outbound_session(&mut self, hand: u64) {
        if let Some(out) = self.hands.outbound.remove(&hand) {
            let hand = self.forwarded_session_id(hand);
            self.acts.push(Act::SendHand { link: out.link, msg: ForwardMessage::Close { session: hand } });
        }
    }

    /// Rolls a handed-over transaction back, and keeps the session there.
    pub(crate) fn abort_forwarded_txn(&mut self, hand: u64) {
        let name = self.forwarded_session_id(hand);
        if let Some(out) = self.hands.outbound.get_mut(&hand) {
            let mut lines = Vec::new();
            write_query(&mut lines, b"-", &[b"ABORT"]);
            out.last_request += 1;
            out.pending.push_back(PendingRequest {
                request: out.last_request,
                internal_responses: 1,
                has_client_response: false,
            });
            let msg = ForwardMessage::Request { session: name, request: out.last_request, lines };
            self.acts.push(Act::SendHand { link: out.link, msg });
        }
    }
}
