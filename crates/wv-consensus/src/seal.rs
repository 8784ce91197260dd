//! Sealing a set: its voters stop, what they hold is final, and the next set has it before it is settled.
use crate::{RegError, Seat, Store};
use wv_internal_protocol::VoterSet;

impl Seat {
    /// Votes no more in the registers of `set`, unless a higher fence was seen. Kept before it is answered: what is told
    /// after it stays all that this disk ever voted for in that set.
    pub fn seal(&mut self, store: &mut Store, me: &str, (set, fence): (u64, u64)) -> Option<Result<bool, RegError>> {
        (set > 0 && self.sits_in(me) == set).then_some(())?;
        if fence < self.fence {
            return Some(Ok(false));
        }
        let is_kept = self.sealed == set && self.fence == fence;
        let kept = if is_kept { Ok(()) } else { self.turn(store, Seat { fence, sealed: set, ..self.clone() }) };
        Some(kept.map(|()| true))
    }

    /// Whether this very disk is a member of `next`, and `set` the one that is in force here: only then it is handed over
    /// to. An address with another disk is another member.
    pub fn is_named(&self, me: &str, set: u64, next: &VoterSet) -> bool {
        let is_own = |member: &wv_internal_protocol::Member| member.addr == me && member.disk == self.disk;
        set == self.voters.number && next.members.iter().any(is_own)
    }

    /// All that a sealed majority of `set` told stands in the store: nothing acknowledged in that set is missing here from
    /// now on. False where another set is in force.
    pub fn finish(&mut self, store: &mut Store, set: u64) -> Result<bool, RegError> {
        if set == 0 || set != self.voters.number {
            return Ok(false);
        }
        if self.whole != set {
            self.turn(store, Seat { whole: set, ..self.clone() })?;
        }
        Ok(true)
    }
}
