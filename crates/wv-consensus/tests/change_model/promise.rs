//! What has to hold in each state of a change.
use super::{World, NAMES};
use std::collections::BTreeMap;
use wv_internal_protocol::{Member, VoterSet};

impl World {
    /// Members of a set whose disks vote in it, up or down.
    fn voting(&self, voters: &VoterSet) -> Vec<usize> {
        let votes = |member: &Member| self.at(member).filter(|at| self.voting_set(*at) == voters.number);
        voters.members.iter().filter_map(votes).collect()
    }

    fn sets(&self) -> Result<BTreeMap<u64, VoterSet>, String> {
        let mut sets = BTreeMap::new();
        let seats = self.nodes.iter().map(|node| &node.disk.seat);
        for voters in seats.flat_map(|seat| [&seat.voters, &seat.previous]).filter(|voters| voters.number > 0) {
            let known: &mut VoterSet = sets.entry(voters.number).or_insert_with(|| voters.clone());
            if known != voters {
                return Err(format!("two sets have the number {}", voters.number));
            }
        }
        Ok(sets)
    }

    /// At most one set answers, and whatever majority of it is asked holds what was acknowledged.
    pub(super) fn is_kept(&self) -> Result<(), String> {
        let sets = self.sets()?;
        let answering: Vec<&VoterSet> =
            sets.values().filter(|voters| self.voting(voters).len() >= voters.majority()).collect();
        if answering.len() > 1 {
            return Err(format!("sets {} and {} both answer", answering[0].number, answering[1].number));
        }
        for voters in answering {
            let lacks = |at: &usize| self.nodes[*at].disk.held.value.version < self.writer.acknowledged;
            let lacking = self.voting(voters).into_iter().filter(lacks).count();
            if lacking >= voters.majority() {
                return Err(format!("a majority of set {} lacks what was acknowledged", voters.number));
            }
        }
        Ok(())
    }

    fn is_answering(&self) -> bool {
        let sets = self.sets().unwrap_or_default();
        let is_answering = |voters: &VoterSet| {
            self.voting(voters).into_iter().filter(|at| self.nodes[*at].is_up).count() >= voters.majority()
        };
        sets.values().any(is_answering)
    }

    /// The successor that a majority of a set accepted under one fence, whoever knows it.
    fn settled(&self, voters: &VoterSet) -> Option<VoterSet> {
        let accepted = |member: &Member| {
            let seat = self.seat(self.at(member)?);
            seat.successor.clone().filter(|_| seat.installed_set == voters.number)
        };
        let all: Vec<(u64, VoterSet)> = voters.members.iter().filter_map(accepted).collect();
        let is_most = |next: &&(u64, VoterSet)| all.iter().filter(|other| other == next).count() >= voters.majority();
        all.iter().find(is_most).map(|next| next.1.clone())
    }

    /// Where a majority of the newest set that anybody knows is up, some way leads on to a set that answers: here the
    /// one on which nothing more goes wrong.
    pub(super) fn leads_on(&self) -> Result<(), String> {
        if self.is_answering() {
            return Ok(());
        }
        let up: Vec<usize> = (0..self.nodes.len()).filter(|at| self.nodes[*at].is_up).collect();
        let newest = up.iter().map(|at| &self.seat(*at).voters).max_by_key(|voters| voters.number);
        let Some(newest) = newest else { return Ok(()) };
        let settled = self.settled(newest).filter(|_| self.setup.is_strict);
        let newest = settled.as_ref().unwrap_or(newest);
        if newest.members.iter().filter(|member| self.is_up(member)).count() < newest.majority() {
            return Ok(());
        }
        let mut calm = self.clone();
        for _ in 0..4 {
            let pairs = || up.iter().flat_map(|at| up.iter().map(move |other| (*at, *other)));
            pairs().filter(|(at, other)| at != other).for_each(|(at, other)| calm.tell(at, other));
            for (at, other) in pairs().filter(|(at, other)| at != other) {
                let seat = calm.seat(at);
                if seat.is_member(NAMES[at]) && seat.successor_voting_set(NAMES[at]) == 0 {
                    calm.take_over(at, other);
                }
            }
            if calm.is_answering() {
                return calm.is_kept();
            }
            for at in up.iter().copied() {
                if calm.seat(at).successor_voting_set(NAMES[at]) > 0 {
                    calm.nodes[at].change = None;
                    calm.asks.clear();
                    calm.plan(at, None);
                    calm.run();
                }
            }
        }
        Err(format!("set {} has a majority up and never answers again", newest.number))
    }

    /// All that is asked arrives, and what follows from it.
    fn run(&mut self) {
        let mut done = 0;
        while done < self.asks.len() {
            let ask = self.asks[done].clone();
            done += 1;
            if self.nodes[ask.0.to].is_up {
                self.asked(&ask.0, true);
            }
        }
    }
}
