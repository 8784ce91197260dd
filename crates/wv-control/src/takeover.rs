//! How a disk comes to hold what the voters hold: a member of a new set before it votes, and a learner beforehand.
use crate::core::Core;
use std::collections::BTreeSet;
use wv_consensus::parts;
use wv_internal_protocol::{AcceptorState, CatchUp, Message};

/// A learner that holds everything compares again after this.
const LEARN_US: u64 = 500_000;
/// It counts as ready while the last comparison that ended with nothing missing began no longer ago.
const READY_US: u64 = 1_200_000;
/// Whoever has not answered within this is asked no more; doubled with each that stays silent in a row, up to sixteen
/// times: a long register over a thin link takes its time.
const SILENT_US: u64 = 600_000;

/// One comparison with one source.
struct Comparison {
    source: String,
    request: u64,
    began: u64,
    heard: u64,
    /// The set in which the source voted last, once it said so.
    set: u64,
    /// Ranges that differ still, and how many of them were asked for last.
    open: Vec<u32>,
    asked: usize,
}

#[derive(Default)]
pub(crate) struct Progress {
    current: Option<Comparison>,
    /// Members of the set before, which have left it and of which all stands here.
    told: BTreeSet<String>,
    /// Who stayed silent, since anybody last answered.
    silent: Vec<String>,
    /// When the last comparison began that ended with nothing missing.
    learnt: Option<u64>,
    /// No learner asks before this.
    rests: u64,
}

impl Progress {
    /// Another set is the newest: what was told for the one before counts no more. What stands here, stands.
    pub fn restart(&mut self) {
        *self = Progress::default();
    }
}

impl Core {
    /// A member of the newest set that does not vote in it yet.
    fn is_taking_over(&self) -> bool {
        self.seat.is_member(&self.address) && self.seat.sits_in(&self.address) == 0
    }

    fn is_learner(&self) -> bool {
        self.has_disk && !self.seat.is_member(&self.address) && !self.seat.voters.members.is_empty()
    }

    /// Whether this disk, no member yet, lacks nothing but the last moments of what a voter held.
    pub fn is_ready(&self) -> bool {
        self.is_learner() && self.progress.learnt.is_some_and(|at| at + READY_US > self.now)
    }

    /// Compares with one source at a time, and goes on to another where one is silent.
    pub(crate) fn take_over(&mut self) {
        let is_urgent = self.is_taking_over();
        if !is_urgent && !self.is_learner() {
            return;
        }
        let span = SILENT_US << self.progress.silent.len().min(4);
        if let Some(held) = &self.progress.current {
            let is_up = self.peers.get(&held.source).is_some_and(|peer| peer.is_up);
            if is_up && held.heard + span > self.now {
                return;
            }
            let source = held.source.clone();
            self.progress.silent.push(source);
            self.progress.current = None;
        }
        if !is_urgent && self.progress.rests > self.now {
            return;
        }
        let Some(source) = self.next_source(is_urgent) else { return };
        let (voters, before, request) =
            (self.seat.voters.clone(), self.seat.before.clone(), self.quorum.next_request());
        let sum = parts::total(&parts::sums(&self.store));
        let (now, open) = (self.now, Vec::new());
        self.send_peer(&source, Message::Takeover(CatchUp::Compare { request, voters, previous: before, digest: sum }));
        self.progress.current = Some(Comparison { source, request, began: now, heard: now, set: 0, open, asked: 0 });
    }

    /// A voter of the newest set tells all at once; else those of the set before, one after the other. Of equals the
    /// one that has been silent least often.
    fn next_source(&self, is_urgent: bool) -> Option<String> {
        let (voters, before) = (&self.seat.voters, &self.seat.before);
        let addrs: BTreeSet<&str> = voters.addrs().chain(before.addrs().filter(|_| is_urgent)).collect();
        let order = |addr: &&str| {
            let peer = self.peers.get(*addr).filter(|peer| peer.is_up && !self.progress.told.contains(*addr))?;
            let silent = self.progress.silent.iter().filter(|silent| silent == addr).count();
            let is_voter = peer.voter_set == voters.number;
            (is_voter || is_urgent).then_some((silent, !is_voter, std::cmp::Reverse(peer.last_contact)))
        };
        let ordered = addrs.into_iter().filter_map(|addr| Some((order(&addr)?, addr)));
        ordered.min().map(|(_, addr)| addr.to_owned())
    }

    /// The side that is asked, and the side that asks.
    pub(crate) fn hear_takeover(&mut self, link: u64, addr: &str, msg: CatchUp) {
        match msg {
            CatchUp::Compare { request, voters, previous: before, digest: sum } => {
                // Knowing of the set is to have left the one before: only then is what is told here final.
                self.learn_voters(&voters, &before);
                if self.seat.voters.number > voters.number {
                    let msg = self.peers_msg();
                    return self.send(link, msg);
                }
                let set = self.seat.tells_of(&self.address);
                if set > 0 {
                    let sums = parts::sums(&self.store);
                    let sums = if parts::total(&sums) == sum { Vec::new() } else { sums };
                    self.send(link, Message::Takeover(CatchUp::Digests { request, set, digests: sums }));
                }
            }
            CatchUp::CompareRanges { request, ranges } => {
                let (cells, is_whole) = parts::part(&self.store, &ranges);
                self.send(
                    link,
                    Message::Takeover(CatchUp::NewerRegisters { request, registers: cells, is_complete: is_whole }),
                );
            }
            CatchUp::Digests { request, set, digests: sums } => self.compared(addr, request, set, &sums),
            CatchUp::NewerRegisters { request, registers: cells, is_complete: is_whole } => {
                self.told_part(addr, request, cells, is_whole)
            }
        }
    }

    fn current(&mut self, addr: &str, request: u64) -> Option<&mut Comparison> {
        let now = self.now;
        let held = self.progress.current.as_mut().filter(|held| held.source == addr && held.request == request)?;
        held.heard = now;
        Some(held)
    }

    fn compared(&mut self, addr: &str, request: u64, set: u64, theirs: &[u64]) {
        let ours = parts::sums(&self.store);
        let Some(held) = self.current(addr, request) else { return };
        let differs = |range: &u32| theirs.get(*range as usize).is_some_and(|sum| *sum != ours[*range as usize]);
        (held.set, held.open) = (set, (0..parts::RANGES as u32).filter(differs).collect());
        self.progress.silent.clear();
        self.ask_part();
    }

    /// What came is kept at once, whoever it is from and however late: before it votes a disk may always hold more.
    fn told_part(&mut self, addr: &str, request: u64, cells: Vec<(String, AcceptorState)>, is_whole: bool) {
        if !self.is_taking_over() && !self.is_learner() {
            return;
        }
        if let Err(error) = self.store.adopt(cells) {
            log::error!("what a voter holds is not kept: {error}");
            self.progress.current = None;
            return;
        }
        let Some(held) = self.current(addr, request) else { return };
        if is_whole {
            let asked = std::mem::take(&mut held.asked).min(held.open.len());
            held.open.drain(..asked);
        }
        self.progress.silent.clear();
        self.ask_part();
    }

    /// One part is under way at a time: no link is filled, and those that are asked have their turns between.
    fn ask_part(&mut self) {
        let Some(held) = self.progress.current.as_mut() else { return };
        if held.open.is_empty() {
            return self.end_comparison();
        }
        let ranges = parts::listed(&self.store, &held.open);
        held.asked = ranges.len();
        let (source, request) = (held.source.clone(), held.request);
        self.send_peer(&source, Message::Takeover(CatchUp::CompareRanges { request, ranges }));
    }

    /// All that the source held when it was asked stands here.
    fn end_comparison(&mut self) {
        let Some(held) = self.progress.current.take() else { return };
        self.progress.rests = self.now + LEARN_US;
        let (voters, before) = (self.seat.voters.clone(), self.seat.before.clone());
        if held.set == voters.number {
            self.progress.learnt = Some(held.began);
        }
        if !self.is_taking_over() {
            return;
        }
        // Who has not voted in either set yet knows no more than this disk: others come first.
        if held.set == before.number {
            self.progress.told.insert(held.source);
        } else if held.set != voters.number {
            return self.progress.silent.push(held.source);
        }
        // This disk's own word on the set before counts as any other's.
        let has_left = |addr: &&str| {
            self.progress.told.contains(*addr)
                || (*addr == self.address && self.seat.tells_of(&self.address) == before.number)
        };
        let has_before = before.number > 0 && before.addrs().filter(has_left).count() >= before.majority();
        // A majority of the set before, each of which had left it when it told, holds whatever was acknowledged there;
        // so does any single voter of the newest set, which took it from such a majority. What was acknowledged in the
        // newest set stands on a majority of it without this disk.
        if held.set != voters.number && !has_before {
            return self.take_over();
        }
        match self.seat.install(&mut self.store) {
            Ok(()) => {
                log::warn!("this disk votes in set {}", self.seat.set);
                self.progress.restart();
                self.ping();
            }
            Err(error) => log::error!("the vote in the new set is not kept: {error}"),
        }
    }
}
