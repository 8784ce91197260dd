//! Graceful shutdown: other nodes take over what this node holds before the process exits.
use crate::core::Core;
use wv_internal_protocol::{Member, Message};

/// How long a holder keeps its duties after its last promotion call to the platform.
const PROMOTION_CALL_GAP_US: u64 = 1_500_000;

impl Core {
    /// Starts the shutdown on SIGTERM. Sessions, duties, splits and shards move to other nodes. A voter is replaced if
    /// a candidate is ready and its set could not tolerate another failure. Calls are served until exit.
    pub fn begin_shutdown(&mut self, now: u64) {
        self.advance_clock(now);
        self.is_leaving = true;
        self.send_heartbeats();
        self.run_shutdown();
    }

    /// Finishes a promotion in progress first, and keeps promotion calls of two successive holders apart.
    pub(crate) fn run_shutdown(&mut self) {
        let is_under_way = |duty: &wv_promotion::PromotionCoordinator| duty.is_active() && !duty.is_idle();
        let is_busy = self.duties.values().any(is_under_way)
            || (self.platform_calls.last_call > 0 && self.platform_calls.last_call + PROMOTION_CALL_GAP_US > self.now);
        if !self.is_leaving || self.is_leaving_announced || is_busy {
            return;
        }
        self.is_leaving_announced = true;
        // If no other node has a disk, the remaining nodes hold the duties from now on.
        self.membership.set_has_disk(false);
        self.send_peers(&Message::Leaving);
        self.run_duties();
    }

    pub(crate) fn on_peer_leaving(&mut self, addr: &str) {
        self.peers.get_mut(addr).into_iter().for_each(|peer| peer.is_leaving = true);
        self.membership.set_peer_has_disk(addr, false);
    }

    /// Whether this node may exit before its timeout. A voter may not while it is about to be replaced or while its
    /// sealed set has no accepted successor; nor may the node that drives a change.
    pub fn may_exit(&self) -> bool {
        if !self.voter_state.is_member(&self.address) {
            return self.has_majority();
        }
        let own = Member { addr: self.address.clone(), disk: self.voter_state.disk };
        let is_kept = |next: wv_internal_protocol::VoterSet| next.members.contains(&own);
        let is_sealed = self.voter_state.voting_set(&self.address) == 0;
        !is_sealed && !self.is_changing_voters() && self.planned_voters().is_none_or(is_kept)
    }
}
