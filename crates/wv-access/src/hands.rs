//! Shards owned by other nodes: their primary work is handed over to the owner, at most once, and else done here.
use crate::core::{Core, Map};
use crate::types::{Effect, Verb};
use wv_configuration::Category;
use wv_internal_protocol::{ForwardMessage, ForwardedSessionId, Owner};
use wv_wire_protocol::write_query;

/// What was asked of an owner in one go: answers that are nothing of the client's, and then the client's, if any.
pub(crate) struct Asked {
    pub ask: u64,
    pub own: u32,
    pub is_client: bool,
}

/// A client's session at an owner.
pub(crate) struct Out {
    pub client: u64,
    pub link: u64,
    tie: wv_session_state::ConnectionState,
    /// The newest ask, and those that are not wholly answered yet.
    pub ask: u64,
    pub open: std::collections::VecDeque<Asked>,
    pub buf: Vec<u8>,
    /// An error line is being read; its code and text.
    pub error: Option<(wv_wire_protocol::ErrorCode, Vec<u8>)>,
}

/// The way to one owner.
#[derive(Default)]
pub(crate) struct Way {
    pub link: u64,
    pub is_up: bool,
    /// Requests that wait for the link to stand.
    pub waiting: Vec<u64>,
    pub failed_until: u64,
}

#[derive(Default)]
pub(crate) struct Hands {
    pub me: String,
    pub owners: Map<u16, Owner>,
    pub out: Map<u64, Out>,
    pub ways: Map<String, Way>,
    /// Sessions here of other nodes' clients: by link and hand, the client they are here.
    pub guests: Map<(u64, ForwardedSessionId), u64>,
    /// Requests handed over since the start.
    pub count: u64,
}

impl Core {
    /// This node's own name, by which owners are known.
    pub fn set_name(&mut self, name: &str) {
        self.forwarding.me = name.to_owned();
        self.tie_break_salt = name.bytes().fold(7u16, |sum, byte| sum.wrapping_mul(31).wrapping_add(u16::from(byte)));
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    pub(crate) fn own(&mut self, owner: Owner) {
        let service = self.checks.service(&owner.service);
        let is_newer = self.forwarding.owners.get(&service).is_none_or(|held| held.epoch < owner.epoch);
        if is_newer {
            self.forwarding.owners.insert(service, owner);
        }
    }

    /// How many asks this node has handed over.
    pub fn handed(&self) -> u64 {
        self.forwarding.count
    }

    /// Which shards go through which node, as far as it is known here.
    pub fn owners(&self) -> Vec<(String, String, u64)> {
        let list = self.forwarding.owners.values();
        list.map(|owner| (owner.service.clone(), owner.node.clone(), owner.epoch)).collect()
    }

    /// Where this request is to be handed over to; nowhere if it is this node's own work.
    fn owner_place(&self, id: u64) -> Option<&Owner> {
        let conf = self.conf.as_ref().filter(|conf| !conf.partners.is_empty())?;
        let client = self.clients.get(&id).filter(|client| client.forward_origin.is_none())?;
        let route = client.request.route.as_ref().filter(|route| route.category == Category::Primary)?;
        let is_here = client.request.is_local_only
            || client.txn.as_ref().is_some_and(|txn| txn.db.is_some() || txn.has_completed_statement);
        conf.shards.binary_search(&route.service).ok().filter(|_| !is_here)?;
        let owner = self.forwarding.owners.get(&self.checks.find(&route.service)?)?;
        let is_failed =
            self.forwarding.ways.get(&owner.handover_address).is_some_and(|way| way.failed_until > self.now);
        (owner.node != self.forwarding.me && !owner.handover_address.is_empty() && !is_failed).then_some(owner)
    }

    /// Hands the open request over, where that is to be done. `false` leaves it to this node.
    pub(crate) fn try_hand(&mut self, id: u64) -> bool {
        if let Some(hand) = self.clients.get(&id).and_then(|client| client.txn.as_ref()?.forwarded_session) {
            self.hand_request(id, hand);
            return true;
        }
        let Some(place) = self.owner_place(id).map(|owner| owner.handover_address.clone()) else { return false };
        let link = match self.forwarding.ways.get(&place).filter(|way| way.link > 0) {
            Some(way) => way.link,
            None => {
                let link = self.allocate_id();
                self.forwarding.ways.insert(place.clone(), Way { link, ..Way::default() });
                self.effects.push(Effect::DialPeer { link, address: place.clone() });
                link
            }
        };
        let Some(way) = self.forwarding.ways.get_mut(&place) else { return false };
        if !way.is_up {
            way.waiting.push(id);
            self.schedule_wait_limit(id);
            return true;
        }
        let held = self.clients.get(&id).and_then(|client| client.forwarded_session);
        let hand = match held.filter(|hand| self.forwarding.out.get(hand).is_some_and(|out| out.link == link)) {
            Some(hand) => hand,
            None => self.open_hand(id, link),
        };
        self.hand_request(id, hand);
        true
    }

    fn open_hand(&mut self, id: u64, link: u64) -> u64 {
        self.end_hand(id);
        let hand = self.allocate_id();
        let (tie, open) = Default::default();
        let out = Out { client: id, link, tie, ask: 0, open, buf: Vec::new(), error: None };
        self.forwarding.out.insert(hand, out);
        if let Some(client) = self.clients.get_mut(&id) {
            client.forwarded_session = Some(hand);
            let (host, who) = (client.database.clone().unwrap_or_default(), client.login.clone());
            let hand = self.hand_id(hand);
            self.effects
                .push(Effect::SendToPeer { link, message: ForwardMessage::Open { session: hand, host, user: who } });
        }
        hand
    }

    /// How the owner knows a session that was opened there.
    pub(crate) fn hand_id(&self, number: u64) -> ForwardedSessionId {
        ForwardedSessionId { incarnation: self.slots.life, number }
    }

    /// The client's session values and shapes, the beginning of its transaction where it is none yet, and its request.
    fn hand_request(&mut self, id: u64, hand: u64) {
        let name = self.hand_id(hand);
        let (Some(client), Some(out)) = (self.clients.get_mut(&id), self.forwarding.out.get_mut(&hand)) else {
            return self.dispatch_locally(id);
        };
        let request = &mut client.request;
        (request.forwarded_session, request.queue) = (Some(hand), None);
        request.response.clear();
        let mut lines = Vec::new();
        let mut own = wv_session_state::sync_connection(
            &mut lines,
            &mut out.tie,
            &client.session,
            request.statement_id,
            &self.statements,
        ) as u32;
        if let Some(txn) = client.txn.as_mut() {
            if txn.forwarded_session.is_none() {
                let begin: &[u8] = if txn.is_read_only { b"BEGIN READ" } else { b"BEGIN" };
                write_query(&mut lines, &txn.begin_id, &[begin]);
                own += 1;
                txn.forwarded_session = Some(hand);
            }
            txn.may_have_written |= request.verb() == Verb::Write;
        }
        write_query(&mut lines, &request.query_id, &[&request.text]);
        self.forwarding.count += 1;
        out.ask += 1;
        out.open.push_back(Asked { ask: out.ask, own, is_client: true });
        let msg = ForwardMessage::Request { session: name, request: out.ask, lines };
        self.effects.push(Effect::SendToPeer { link: out.link, message: msg });
    }

    /// Ends the client's session at an owner; what is open there is rolled back.
    pub(crate) fn end_hand(&mut self, id: u64) {
        let hand = self.clients.get_mut(&id).and_then(|client| client.forwarded_session.take());
        hand.into_iter().for_each(|hand| self.drop_hand(hand));
    }

    pub(crate) fn drop_hand(&mut self, hand: u64) {
        if let Some(out) = self.forwarding.out.remove(&hand) {
            let hand = self.hand_id(hand);
            self.effects.push(Effect::SendToPeer { link: out.link, message: ForwardMessage::Close { session: hand } });
        }
    }

    /// Rolls a handed-over transaction back, and keeps the session there.
    pub(crate) fn abort_hand(&mut self, hand: u64) {
        let name = self.hand_id(hand);
        if let Some(out) = self.forwarding.out.get_mut(&hand) {
            let mut lines = Vec::new();
            write_query(&mut lines, b"-", &[b"ABORT"]);
            out.ask += 1;
            out.open.push_back(Asked { ask: out.ask, own: 1, is_client: false });
            let msg = ForwardMessage::Request { session: name, request: out.ask, lines };
            self.effects.push(Effect::SendToPeer { link: out.link, message: msg });
        }
    }
}
