//! The invariants of a voter set change.
use super::{World, NAMES};
use std::collections::BTreeMap;
use wv_internal_protocol::{Member, VoterSet};

impl World {
    /// Returns the members of a set whose disks vote in it, whether up or down.
    fn voting(&self, voters: &VoterSet) -> Vec<usize> {
        let votes = |member: &Member| self.at(member).filter(|at| self.voting_set(*at) == voters.number);
        voters.members.iter().filter_map(votes).collect()
    }

    fn sets(&self) -> Result<BTreeMap<u64, VoterSet>, String> {
        let mut sets = BTreeMap::new();
        let voter_states = self.nodes.iter().map(|node| &node.disk.voter_state);
        for voters in voter_states
            .flat_map(|voter_state| [&voter_state.voters, &voter_state.previous])
            .filter(|voters| voters.number > 0)
        {
            let known: &mut VoterSet = sets.entry(voters.number).or_insert_with(|| voters.clone());
            if known != voters {
                return Err(format!("two different sets have number {}", voters.number));
            }
        }
        Ok(sets)
    }

    /// At most one set has a voting majority, and every majority of it holds the acknowledged writes.
    pub(super) fn acknowledged_writes_are_kept(&self) -> Result<(), String> {
        let sets = self.sets()?;
        let voting_sets: Vec<&VoterSet> =
            sets.values().filter(|voters| self.voting(voters).len() >= voters.majority()).collect();
        if voting_sets.len() > 1 {
            return Err(format!(
                "sets {} and {} both have a voting majority",
                voting_sets[0].number, voting_sets[1].number
            ));
        }
        for voters in voting_sets {
            let lacks = |at: &usize| self.nodes[*at].disk.register.value.version < self.writer.acknowledged;
            let lacking = self.voting(voters).into_iter().filter(lacks).count();
            if lacking >= voters.majority() {
                return Err(format!("a majority of set {} lacks an acknowledged write", voters.number));
            }
        }
        Ok(())
    }

    fn has_voting_majority(&self) -> bool {
        let sets = self.sets().unwrap_or_default();
        let has_voting_majority = |voters: &VoterSet| {
            self.voting(voters).into_iter().filter(|at| self.nodes[*at].is_up).count() >= voters.majority()
        };
        sets.values().any(has_voting_majority)
    }

    /// Returns the successor that a majority of a set accepted under one fence.
    fn accepted_successor(&self, voters: &VoterSet) -> Option<VoterSet> {
        let accepted = |member: &Member| {
            let voter_state = self.voter_state(self.at(member)?);
            voter_state.successor.clone().filter(|_| voter_state.installed_set == voters.number)
        };
        let all: Vec<(u64, VoterSet)> = voters.members.iter().filter_map(accepted).collect();
        let is_most = |next: &&(u64, VoterSet)| all.iter().filter(|other| other == next).count() >= voters.majority();
        all.iter().find(is_most).map(|next| next.1.clone())
    }

    /// If a majority of the newest known set is up, a voting set can be reached without further faults.
    pub(super) fn can_make_progress(&self) -> Result<(), String> {
        if self.has_voting_majority() {
            return Ok(());
        }
        let up: Vec<usize> = (0..self.nodes.len()).filter(|at| self.nodes[*at].is_up).collect();
        let newest = up.iter().map(|at| &self.voter_state(*at).voters).max_by_key(|voters| voters.number);
        let Some(newest) = newest else { return Ok(()) };
        let accepted_successor = self.accepted_successor(newest).filter(|_| self.setup.is_strict);
        let newest = accepted_successor.as_ref().unwrap_or(newest);
        if newest.members.iter().filter(|member| self.is_up(member)).count() < newest.majority() {
            return Ok(());
        }
        let mut fault_free = self.clone();
        for _ in 0..4 {
            let pairs = || up.iter().flat_map(|at| up.iter().map(move |other| (*at, *other)));
            pairs().filter(|(at, other)| at != other).for_each(|(at, other)| fault_free.inform(at, other));
            for (at, other) in pairs().filter(|(at, other)| at != other) {
                let voter_state = fault_free.voter_state(at);
                if voter_state.is_member(NAMES[at]) && voter_state.successor_voting_set(NAMES[at]) == 0 {
                    fault_free.catch_up(at, other);
                }
            }
            if fault_free.has_voting_majority() {
                return fault_free.acknowledged_writes_are_kept();
            }
            for at in up.iter().copied() {
                if fault_free.voter_state(at).successor_voting_set(NAMES[at]) > 0 {
                    fault_free.nodes[at].change = None;
                    fault_free.deliveries.clear();
                    fault_free.plan(at, None);
                    fault_free.run();
                }
            }
        }
        Err(format!("set {} has a majority up and cannot make progress", newest.number))
    }

    /// Delivers all messages, including those sent in response.
    fn run(&mut self) {
        let mut done = 0;
        while done < self.deliveries.len() {
            let delivery = self.deliveries[done].clone();
            done += 1;
            if self.nodes[delivery.0.to].is_up {
                self.deliver(&delivery.0, true);
            }
        }
    }
}
