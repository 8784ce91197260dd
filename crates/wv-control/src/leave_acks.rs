//! Acknowledgements of database leaves: each waits until enough control nodes hold the leave.
//!
//! Inputs: calls that announce a leave, acknowledgements from other control nodes, and time. Outputs: calls to
//! acknowledge or to reject. State: pending calls and acknowledged leaves. Invariant: a leave is acknowledged only once
//! it is held by a majority of the voters, so that a node that resyncs from a majority learns of it, and by more nodes
//! than may fail at once, where there are that many (docs/consistency-1-contact.md).
use crate::core::Core;
use std::collections::BTreeSet;

/// When a leave is rejected that too few nodes hold. A database waits 1 s for its acknowledgement.
const ACK_TIMEOUT_US: u64 = 700_000;

/// A call whose acknowledgement waits until enough other nodes hold the leave.
struct PendingAck {
    token: u64,
    request: u64,
    id: String,
    /// The other control nodes that hold the leave.
    held_by: BTreeSet<String>,
    deadline: u64,
}

/// How many nodes currently have to hold a leave.
pub(crate) struct AckRequirement<'a> {
    /// Whether this node is a voter.
    pub is_own_vote: bool,
    pub is_voter: &'a dyn Fn(&str) -> bool,
    pub majority: usize,
    /// How many other nodes must hold the leave, whether they vote or not.
    pub others: usize,
}

impl AckRequirement<'_> {
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

    pub fn add(&mut self, token: u64, request: u64, id: String, now: u64) {
        self.pending.push(PendingAck { token, request, id, held_by: BTreeSet::new(), deadline: now + ACK_TIMEOUT_US });
    }

    pub fn record_holder(&mut self, addr: &str, request: u64, id: &str) {
        let pending = self.pending.iter_mut().find(|pending| pending.request == request && pending.id == id);
        pending.into_iter().for_each(|pending| {
            pending.held_by.insert(addr.to_owned());
        });
    }

    /// Removes the calls whose leave is held by enough nodes, and returns them with their database ids.
    pub fn take_settled(&mut self, requirement: &AckRequirement<'_>) -> Vec<(u64, String)> {
        let (settled, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|pending| requirement.is_met(pending));
        self.pending = rest;
        self.acknowledged.extend(settled.iter().map(|pending| pending.id.clone()));
        settled.into_iter().map(|pending| (pending.token, pending.id)).collect()
    }

    /// Removes the calls that timed out before enough nodes held the leave.
    pub fn take_expired(&mut self, now: u64) -> Vec<u64> {
        let (expired, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending).into_iter().partition(|pending| pending.deadline <= now);
        self.pending = rest;
        expired.into_iter().map(|pending| pending.token).collect()
    }

    pub fn retain_known(&mut self, is_known: impl Fn(&str) -> bool) {
        self.acknowledged.retain(|id| is_known(id));
    }
}

impl Core {
    /// Counts each node once, and only replies to requests of this incarnation about this database.
    pub(crate) fn on_instance_ack(&mut self, addr: &str, (requester, request): (u64, u64), id: &str) {
        if requester == self.proposer.incarnation() {
            self.leave_acks.record_holder(addr, request, id);
        }
        self.acknowledge_leaves();
    }

    pub(crate) fn acknowledge_leaves(&mut self) {
        let voters = self.proposer.voters();
        let others_up = self.peers.values().filter(|peer| peer.is_up).count();
        let requirement = AckRequirement {
            is_own_vote: self.is_majority_member(),
            is_voter: &|addr| voters.contains(addr),
            majority: self.proposer.majority(),
            others: self.tolerated_machines.min(others_up),
        };
        for (token, id) in self.leave_acks.take_settled(&requirement) {
            self.count_leave(&id);
            self.respond(token, 200, "{}");
        }
    }

    /// Rejects leaves that too few nodes hold in time: the database then calls another node.
    pub(crate) fn expire_leaves(&mut self) {
        let expired = self.leave_acks.take_expired(self.now);
        expired.into_iter().for_each(|token| self.respond(token, 503, crate::heartbeats::NO_MAJORITY));
    }
}
