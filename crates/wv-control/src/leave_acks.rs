//! Acknowledgements of databases that leave: each waits until enough control nodes hold the leave.
//!
//! Comes in: a call that says that a database leaves, other nodes' word that they hold it, and time. Goes out: calls that
//! may be acknowledged, and calls that may not. Remembered: the calls that wait, and the leaves that were acknowledged.
//! Invariant: a leave is acknowledged only once it stands on a majority of the voters, of whom any node that comes back asks
//! as many, and on more nodes than may be lost at once, where there are that many (docs/consistency-1-contact.md).
use crate::core::Core;
use std::collections::BTreeSet;

/// A database waits a second for its acknowledgement.
const WAIT_US: u64 = 700_000;

/// A call whose acknowledgement waits until enough others hold the leave.
struct PendingAck {
    token: u64,
    request: u64,
    id: String,
    /// The control nodes that hold it too.
    held_by: BTreeSet<String>,
    deadline: u64,
}

/// How many nodes have to hold a leave, as things are now.
pub(crate) struct Quota<'a> {
    /// Whether this node is one of the voters.
    pub is_own_vote: bool,
    pub is_voter: &'a dyn Fn(&str) -> bool,
    pub majority: usize,
    /// How many other nodes have to hold it, voters or not.
    pub others: usize,
}

impl Quota<'_> {
    fn is_met(&self, pending: &PendingAck) -> bool {
        let votes = pending.held_by.iter().filter(|addr| (self.is_voter)(addr)).count();
        usize::from(self.is_own_vote) + votes >= self.majority && pending.held_by.len() >= self.others
    }
}

#[derive(Default)]
pub(crate) struct LeaveAcks {
    pending: Vec<PendingAck>,
    acknowledged: BTreeSet<String>,
}

impl LeaveAcks {
    pub fn is_acknowledged(&self, id: &str) -> bool {
        self.acknowledged.contains(id)
    }

    pub fn begin(&mut self, token: u64, request: u64, id: String, now: u64) {
        self.pending.push(PendingAck { token, request, id, held_by: BTreeSet::new(), deadline: now + WAIT_US });
    }

    pub fn held(&mut self, addr: &str, request: u64, id: &str) {
        let pending = self.pending.iter_mut().find(|pending| pending.request == request && pending.id == id);
        pending.into_iter().for_each(|pending| {
            pending.held_by.insert(addr.to_owned());
        });
    }

    /// The calls, with the database of each, that enough nodes hold by now.
    pub fn take_settled(&mut self, quota: &Quota<'_>) -> Vec<(u64, String)> {
        let (settled, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|pending| quota.is_met(pending));
        self.pending = rest;
        self.acknowledged.extend(settled.iter().map(|pending| pending.id.clone()));
        settled.into_iter().map(|pending| (pending.token, pending.id)).collect()
    }

    /// The calls whose time is over: too few nodes hold the leave.
    pub fn take_expired(&mut self, now: u64) -> Vec<u64> {
        let (expired, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|pending| pending.deadline <= now);
        self.pending = rest;
        expired.into_iter().map(|pending| pending.token).collect()
    }

    pub fn forget(&mut self, is_known: impl Fn(&str) -> bool) {
        self.acknowledged.retain(|id| is_known(id));
    }
}

impl Core {
    /// Another control node holds it too: counted once, and only where this life asked it about this database.
    pub(crate) fn inst_held(&mut self, addr: &str, (asker, request): (u64, u64), id: &str) {
        if asker == self.quorum.who() {
            self.leave_acks.held(addr, request, id);
        }
        self.settle_leaves();
    }

    pub(crate) fn settle_leaves(&mut self) {
        let voters = self.quorum.voters();
        let others_up = self.peers.values().filter(|peer| peer.is_up).count();
        let quota = Quota {
            is_own_vote: self.sits(),
            is_voter: &|addr| voters.contains(addr),
            majority: self.quorum.majority(),
            others: self.tolerated_machines.min(others_up),
        };
        for (token, id) in self.leave_acks.take_settled(&quota) {
            self.count_leave(&id);
            self.respond(token, 200, "{}");
        }
    }

    /// Leaves that too few nodes hold are not acknowledged: the database calls another node.
    pub(crate) fn end_leaves(&mut self) {
        let expired = self.leave_acks.take_expired(self.now);
        expired.into_iter().for_each(|token| self.respond(token, 503, crate::heartbeats::NO_MAJORITY));
    }
}
