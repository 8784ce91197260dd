//! The voter's side of the register, the quorum's traffic and the mending of a lost disk.
use crate::core::{Core, LOCAL};
use wv_inner::{Cell, Msg};

impl Core {
    /// What a voter here says to a read.
    pub(crate) fn local_get(&self, key: &str) -> (Cell, bool) {
        (self.store.get(key).cloned().unwrap_or_default(), self.is_mended && self.is_voter())
    }

    /// Keeps a cell on this disk. `None` is no vote at all, neither for nor against: an unmended voter's, or that of a
    /// disk that fails. A refusal would only make the writer read again, and never end while the disk is full.
    pub(crate) fn local_put(&mut self, key: &str, cell: &Cell) -> Option<bool> {
        if !self.is_mended || !self.is_voter() {
            return None;
        }
        self.store.put(key, cell).map_err(|error| log::error!("register {key} not kept: {error}")).ok()
    }

    /// Carries the quorum's messages and takes up what is done.
    pub(crate) fn run_quorum(&mut self) {
        loop {
            // Whatever moved on sends its next step at once, not at the next turn.
            self.quorum.tick(self.now);
            let out = self.quorum.take_out();
            if out.is_empty() {
                break;
            }
            for (voter, msg) in out {
                if voter != self.me {
                    self.send_peer(&voter, msg);
                    continue;
                }
                let me = self.me.clone();
                match msg {
                    Msg::Get { ask, key } => {
                        let (cell, mended) = self.local_get(&key);
                        self.quorum.got(&me, ask, cell, mended);
                    }
                    Msg::Put { ask, key, cell } => {
                        let vote = self.local_put(&key, &cell);
                        vote.into_iter().for_each(|ok| self.quorum.put_done(&me, ask, ok));
                    }
                    _ => {}
                }
            }
        }
        let done = self.quorum.take_done();
        done.into_iter().for_each(|done| self.quorum_done(done));
    }

    /// A disk came back empty: it counts in no quorum until a majority of all voters, itself not counted,
    /// has told what it holds.
    pub(crate) fn mend(&mut self) {
        if self.is_mended || self.quorum.voters().is_empty() {
            return;
        }
        if !self.is_voter() {
            // Not a voter: there is nothing to mend, only the voters to remember.
            let state = wv_reg::State { me: self.me.clone(), voters: self.quorum.voters().to_vec(), cells: Vec::new() };
            self.keep_state(state);
            return;
        }
        let ask = self.quorum.next_ask();
        let others: Vec<String> = self.quorum.voters().iter().filter(|voter| **voter != self.me).cloned().collect();
        others.iter().for_each(|voter| {
            self.send_peer(voter, Msg::GetAll { ask });
        });
    }

    pub(crate) fn mended_by(&mut self, voter: &str, cells: Vec<(String, Cell)>) {
        if self.is_mended || !self.is_voter() || !self.quorum.voters().iter().any(|known| known == voter) {
            return;
        }
        self.mends.insert(voter.to_owned(), cells);
        if self.mends.len() < self.quorum.majority() {
            return;
        }
        let mut merged: std::collections::BTreeMap<String, Cell> = Default::default();
        for (key, cell) in std::mem::take(&mut self.mends).into_values().flatten() {
            if key.starts_with(LOCAL) {
                continue;
            }
            let held = merged.entry(key).or_default();
            if wv_reg::newer(&cell, held) {
                *held = cell;
            }
        }
        let voters = self.quorum.voters().to_vec();
        self.keep_state(wv_reg::State { me: self.me.clone(), voters, cells: merged.into_iter().collect() });
        log::warn!("the lost disk is mended from a majority of the others");
    }

    fn keep_state(&mut self, state: wv_reg::State) {
        match self.store.reset(state) {
            Ok(()) => self.is_mended = true,
            Err(error) => log::error!("state not kept: {error}"),
        }
    }

    pub(crate) fn learn_voters(&mut self, voters: Vec<String>) {
        if self.quorum.voters().is_empty() && !voters.is_empty() {
            for addr in voters.iter().filter(|addr| **addr != self.me) {
                self.peers.entry(addr.clone()).or_default();
            }
            self.quorum.set_voters(voters);
            self.mend();
        }
    }
}
