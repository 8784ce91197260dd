use crate::newer;
use wv_inner::{Cell, Msg, Voters};

/// How long one quorum operation may take; callers of the operator wait a second.
const LIMIT_US: u64 = 900_000;
const RESEND_US: u64 = 150_000;
/// No node runs more operations than this at once.
const OPS_MAX: usize = 256;

#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The newest cell, confirmed on a majority.
    Read(Cell),
    /// Ours is now on a majority.
    Written(Cell),
    /// A copy that is not older was there; it is confirmed on a majority.
    Held(Cell),
    /// No majority answered in time: the write may be there or not.
    Unsure,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    pub token: u64,
    pub key: String,
    pub outcome: Outcome,
}

enum Phase {
    Reading { acks: Vec<(String, Cell)> },
    Writing { cell: Cell, acks: Vec<String>, is_ours: bool },
}

struct Op {
    request: u64,
    token: u64,
    key: String,
    wanted: Option<Cell>,
    phase: Phase,
    limit: u64,
    resend: u64,
}

/// Runs reads and writes over the voters; the caller carries the messages.
#[derive(Default)]
pub struct Quorum {
    voters: Voters,
    next_request: u64,
    ops: Vec<Op>,
    out: Vec<(String, Msg)>,
    done: Vec<Done>,
}

impl Quorum {
    /// A newer set counts from now on: whatever is under way begins again there. What it wrote to too few of the set
    /// before is either found again or was never promised.
    pub fn set_voters(&mut self, voters: Voters) {
        self.voters = voters;
        for op in &mut self.ops {
            self.next_request += 1;
            (op.request, op.resend, op.phase) = (self.next_request, 0, Phase::Reading { acks: Vec::new() });
        }
    }

    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    pub fn majority(&self) -> usize {
        self.voters.majority()
    }

    pub fn next_request(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request
    }

    /// Reads `key`; with `wanted`, writes it where nothing newer is found.
    pub fn start(&mut self, token: u64, key: &str, wanted: Option<Cell>, now: u64) {
        if self.voters.members.is_empty() || self.ops.len() >= OPS_MAX {
            self.done.push(Done { token, key: key.to_owned(), outcome: Outcome::Unsure });
            return;
        }
        let request = self.next_request();
        let phase = Phase::Reading { acks: Vec::new() };
        self.ops.push(Op { request, token, key: key.to_owned(), wanted, phase, limit: now + LIMIT_US, resend: now });
        self.tick(now);
    }

    pub fn got(&mut self, voter: &str, request: u64, cell: Cell) {
        let (majority, next_request) = (self.majority(), self.next_request + 1);
        let Some(op) = self.ops.iter_mut().find(|op| op.request == request) else { return };
        let Phase::Reading { acks } = &mut op.phase else { return };
        if acks.iter().any(|(known, _)| known == voter) {
            return;
        }
        acks.push((voter.to_owned(), cell));
        if acks.len() < majority {
            return;
        }
        let best = acks.iter().map(|(_, cell)| cell).fold(Cell::default(), |best, cell| {
            if newer(cell, &best) {
                cell.clone()
            } else {
                best
            }
        });
        let is_agreed = acks.iter().all(|(_, cell)| *cell == best);
        let ours = op.wanted.clone().filter(|wanted| wanted.version > best.version);
        // Nothing is shown before a majority holds it, else a later reader could miss it.
        if ours.is_none() && is_agreed {
            let outcome = if op.wanted.is_some() { Outcome::Held(best) } else { Outcome::Read(best) };
            self.finish(request, outcome);
            return;
        }
        let is_ours = ours.is_some();
        op.phase = Phase::Writing { cell: ours.unwrap_or(best), acks: Vec::new(), is_ours };
        op.request = next_request;
        op.resend = 0;
        self.next_request = next_request;
    }

    pub fn put_done(&mut self, voter: &str, request: u64, ok: bool) {
        let (majority, next_request) = (self.majority(), self.next_request + 1);
        let Some(op) = self.ops.iter_mut().find(|op| op.request == request) else { return };
        let Phase::Writing { cell, acks, is_ours } = &mut op.phase else { return };
        if !ok {
            // A newer copy came in between: look again and settle on what is there.
            op.phase = Phase::Reading { acks: Vec::new() };
            (op.request, op.resend) = (next_request, 0);
            self.next_request = next_request;
            return;
        }
        if !acks.iter().any(|known| known == voter) {
            acks.push(voter.to_owned());
        }
        if acks.len() >= majority {
            let cell = std::mem::take(cell);
            let outcome = match (*is_ours, op.wanted.is_some()) {
                (true, _) => Outcome::Written(cell),
                (false, true) => Outcome::Held(cell),
                (false, false) => Outcome::Read(cell),
            };
            self.finish(request, outcome);
        }
    }

    fn finish(&mut self, request: u64, outcome: Outcome) {
        if let Some(at) = self.ops.iter().position(|op| op.request == request) {
            let op = self.ops.swap_remove(at);
            self.done.push(Done { token: op.token, key: op.key, outcome });
        }
    }

    /// Sends what is due and gives up what is over its limit.
    pub fn tick(&mut self, now: u64) {
        let over: Vec<u64> = self.ops.iter().filter(|op| op.limit <= now).map(|op| op.request).collect();
        over.into_iter().for_each(|request| self.finish(request, Outcome::Unsure));
        for op in self.ops.iter_mut().filter(|op| op.resend <= now) {
            op.resend = now + RESEND_US;
            for voter in self.voters.addrs() {
                let msg = match &op.phase {
                    Phase::Reading { acks } if !acks.iter().any(|(known, _)| known == voter) => {
                        Msg::Get { request: op.request, set: self.voters.number, key: op.key.clone() }
                    }
                    Phase::Writing { cell, acks, .. } if !acks.iter().any(|known| known == voter) => Msg::Put {
                        request: op.request,
                        set: self.voters.number,
                        key: op.key.clone(),
                        cell: cell.clone(),
                    },
                    _ => continue,
                };
                self.out.push((voter.to_owned(), msg));
            }
        }
    }

    pub fn take_out(&mut self) -> Vec<(String, Msg)> {
        std::mem::take(&mut self.out)
    }

    pub fn take_done(&mut self) -> Vec<Done> {
        std::mem::take(&mut self.done)
    }
}
