//! Leaving in order: what a node holds goes to others before it ends.
use crate::core::Core;
use wv_internal_protocol::{Member, Message};

/// After its last call to the platform a holder keeps its duties for so long, if it lives.
const TURNS_US: u64 = 1_500_000;

impl Core {
    /// SIGTERM: sessions are sent elsewhere. Duties, splits and shards go to others, and a voter whose set could not bear
    /// one more loss is replaced where somebody stands ready. Calls are served on until the end.
    pub fn leave(&mut self, now: u64) {
        self.at(now);
        self.is_leaving = true;
        self.send_heartbeats();
        self.run_leaving();
    }

    /// A promotion that is under way is brought to its end first, and two holders that are in touch do not call the
    /// platform one right after the other.
    pub(crate) fn run_leaving(&mut self) {
        let is_under_way = |duty: &wv_promotion::Duty| duty.is_engaged() && !duty.is_resting();
        let is_busy = self.duties.values().any(is_under_way)
            || (self.calls.last_call > 0 && self.calls.last_call + TURNS_US > self.now);
        if !self.is_leaving || self.is_leaving_announced || is_busy {
            return;
        }
        self.is_leaving_announced = true;
        // Where all others have no disk, they hold what there is to hold from now on.
        self.membership.set_has_disk(false);
        self.send_peers(&Message::Leaving);
        self.run_duties();
    }

    pub(crate) fn peer_leaves(&mut self, addr: &str) {
        self.peers.get_mut(addr).into_iter().for_each(|peer| peer.is_leaving = true);
        self.membership.set_peer_has_disk(addr, false);
    }

    /// Whether a node that leaves may end before its time is over. A voter may not while it is about to be replaced, or
    /// while its set is sealed and not settled yet; nor may the one that drives a change.
    pub fn is_relieved(&self) -> bool {
        if !self.seat.is_member(&self.address) {
            return self.is_fresh();
        }
        let own = Member { addr: self.address.clone(), disk: self.seat.disk };
        let is_kept = |next: wv_internal_protocol::VoterSet| next.members.contains(&own);
        let is_sealed = self.seat.votes_in(&self.address) == 0;
        !is_sealed && !self.is_changing() && self.planned().is_none_or(is_kept)
    }
}
