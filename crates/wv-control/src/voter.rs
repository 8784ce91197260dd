//! The voter's side of the register, and the quorum's traffic.
use crate::core::Core;
use wv_inner::{Cell, Msg};

impl Core {
    /// What a voter of `set` here says to a read; nobody else says anything.
    pub(crate) fn local_get(&self, set: u64, key: &str) -> Option<Cell> {
        (set > 0 && self.seat.votes_in(&self.me) == set).then(|| self.store.get(key).cloned().unwrap_or_default())
    }

    /// Keeps a cell on this disk. `None` is no vote at all, neither for nor against: that of a disk which fails, or of
    /// a node that does not vote in `set`. A refusal would only make the writer read again, and never end while the
    /// disk is full.
    pub(crate) fn local_put(&mut self, set: u64, key: &str, cell: &Cell) -> Option<bool> {
        if set == 0 || self.seat.votes_in(&self.me) != set {
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
                    Msg::Get { request, set, key } => {
                        let cell = self.local_get(set, &key);
                        cell.into_iter().for_each(|cell| self.quorum.got(&me, request, cell));
                    }
                    Msg::Put { request, set, key, cell } => {
                        let vote = self.local_put(set, &key, &cell);
                        vote.into_iter().for_each(|ok| self.quorum.put_done(&me, request, ok));
                    }
                    _ => {}
                }
            }
        }
        let done = self.quorum.take_done();
        done.into_iter().for_each(|done| self.quorum_done(done));
    }
}
