//! How a disk comes to hold what the voters hold: a member of a new set before it votes, and a learner beforehand.
use crate::core::Core;
use wv_inner::{Held, Msg, Voters};
use wv_reg::Seat;

/// A learner asks for what it lacks no more often.
const LEARN_US: u64 = 800_000;
/// Whoever has not answered within this is asked no more.
const SILENT_US: u64 = 3_000_000;
/// It counts as ready when a comparison that found nothing missing began no longer ago.
const READY_US: u64 = 1_200_000;

impl Core {
    /// A member of the newest set that does not vote in it yet asks for what it must hold.
    pub(crate) fn pull(&mut self) {
        let is_due = self.seat.is_member(&self.me) && self.seat.votes_in(&self.me) == 0;
        if !is_due {
            return;
        }
        let (voters, before) = (self.seat.voters.clone(), self.seat.before.clone());
        let msg = Msg::GetAll { voters: voters.clone(), before: before.clone(), held: Seat::held(&self.store) };
        let addrs: std::collections::BTreeSet<&str> = voters.addrs().chain(before.addrs()).collect();
        for addr in addrs.into_iter() {
            self.send_peer(addr, msg.clone());
        }
        // This disk's own word on the set before counts as any other's.
        if self.seat.set > 0 {
            let (me, set) = (self.me.clone(), self.seat.set);
            self.pulled(&me, set, Vec::new());
        }
    }

    /// A majority of the set before, each of which has left it, holds whatever was acknowledged there; so does any
    /// single voter of the newest set, which took it from such a majority. What was acknowledged in the newest set
    /// stands on a majority of it without this disk.
    pub(crate) fn pulled(&mut self, addr: &str, set: u64, cells: Vec<(String, Held)>) {
        if !self.seat.is_member(&self.me) || self.seat.votes_in(&self.me) > 0 {
            return;
        }
        self.pulls.insert(addr.to_owned(), (set, cells));
        let (voters, before) = (&self.seat.voters, &self.seat.before);
        let has_newest = self.pulls.values().any(|held| held.0 == voters.number);
        let has_left = |addr: &&str| self.pulls.get(*addr).is_some_and(|held| held.0 == before.number);
        let has_before = before.number > 0 && before.addrs().filter(has_left).count() >= before.majority();
        if !has_newest && !has_before {
            return;
        }
        let cells = std::mem::take(&mut self.pulls).into_values().flat_map(|(_, cells)| cells);
        match self.seat.install(&mut self.store, cells) {
            Ok(()) => {
                log::warn!("this disk votes in set {}", self.seat.set);
                self.ping();
            }
            Err(error) => log::error!("the registers of the new set are not kept: {error}"),
        }
    }

    pub(crate) fn give_all(
        &mut self,
        link: u64,
        voters: &Voters,
        before: &Voters,
        held: &[(String, wv_inner::Ballot, u64, u32)],
    ) {
        // Knowing of the set is to have left the one before: only then is what is told here final.
        self.learn_voters(voters, before);
        if self.seat.voters.number > voters.number {
            let msg = self.peers_msg();
            return self.send(link, msg);
        }
        if self.seat.set > 0 {
            self.send(link, Msg::GotAll { set: self.seat.set, cells: Seat::cells(&self.store, held) });
        }
    }

    /// A disk that is no member holds what some voter holds all the same, so that it may become one at once.
    pub(crate) fn learn(&mut self) {
        let voters = &self.seat.voters;
        if !self.is_core || self.seat.is_member(&self.me) || voters.members.is_empty() {
            return;
        }
        // One question at a time: what is told counts from when it was asked for.
        let pause = self.asked.as_ref().map(|(_, at)| at + SILENT_US).or(self.learnt.map(|at| at + LEARN_US));
        let asked = pause.unwrap_or(0);
        let is_voter = |addr: &&str| self.peers.get(*addr).is_some_and(|peer| peer.is_up && peer.set == voters.number);
        let Some(addr) = voters.addrs().find(is_voter).filter(|_| asked <= self.now).map(str::to_owned) else { return };
        let (voters, before, held) = (voters.clone(), self.seat.before.clone(), Seat::held(&self.store));
        self.asked = Some((addr.clone(), self.now));
        self.send_peer(&addr, Msg::GetAll { voters, before, held });
    }

    /// What a voter held when it was asked stands here now.
    pub(crate) fn learned(&mut self, addr: &str, set: u64, cells: &[(String, Held)]) {
        let is_asked = self.asked.as_ref().is_some_and(|(asked, _)| asked == addr);
        if !is_asked || set != self.seat.voters.number || self.seat.is_member(&self.me) {
            return;
        }
        match self.store.adopt(cells.to_vec()) {
            Ok(_) => self.learnt = self.asked.take().map(|(_, at)| at),
            Err(error) => log::warn!("what a voter holds is not kept: {error}"),
        }
    }

    /// Whether this disk, no member yet, lacks nothing but the last moments of what a voter held.
    pub(crate) fn is_ready(&self) -> bool {
        let is_new = self.learnt.is_some_and(|at| at + READY_US > self.now);
        self.is_core && is_new && !self.seat.is_member(&self.me)
    }
}
