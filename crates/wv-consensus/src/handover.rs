//! Sealing a voter set: its voters stop accepting writes, and the next set holds their final state before it is
//! accepted.
use crate::{RegisterError, Store, VoterState};
use wv_internal_protocol::VoterSet;

impl VoterState {
    /// Stops voting on the registers of `set` unless a higher fence has been seen. Persisted before the reply, so that
    /// the registers sent afterwards include everything this disk accepted in that set.
    pub fn seal(
        &mut self,
        store: &mut Store,
        addr: &str,
        (set, fence): (u64, u64),
    ) -> Option<Result<bool, RegisterError>> {
        (set > 0 && self.successor_voting_set(addr) == set).then_some(())?;
        if fence < self.fence {
            return Some(Ok(false));
        }
        let is_sealed = self.sealed_set == set && self.fence == fence;
        let persisted =
            if is_sealed { Ok(()) } else { self.replace(store, VoterState { fence, sealed_set: set, ..self.clone() }) };
        Some(persisted.map(|()| true))
    }

    /// Whether `set` is the newest set here and this disk is a member of `next`, so that the handover is meant for it.
    /// The same address with another disk is a different member.
    pub fn is_successor_member(&self, addr: &str, set: u64, next: &VoterSet) -> bool {
        let is_own = |member: &wv_internal_protocol::Member| member.addr == addr && member.disk == self.disk;
        set == self.voters.number && next.members.iter().any(is_own)
    }

    /// Records that this disk holds everything a sealed majority of `set` has sent, and so every write acknowledged in
    /// that set. Returns false if another set is the newest here.
    pub fn mark_complete(&mut self, store: &mut Store, set: u64) -> Result<bool, RegisterError> {
        if set == 0 || set != self.voters.number {
            return Ok(false);
        }
        if self.complete_set != set {
            self.replace(store, VoterState { complete_set: set, ..self.clone() })?;
        }
        Ok(true)
    }
}
