//! Copying registers to a disk that does not vote yet: a member of a new set before its first vote, or a learner.
use crate::core::Core;
use std::collections::BTreeSet;
use wv_consensus::anti_entropy;
use wv_internal_protocol::{AcceptorState, CatchUp, Message};

/// Interval between comparisons of a learner that is up to date.
const LEARNER_INTERVAL_US: u64 = 500_000;
/// A learner counts as ready if its last complete comparison started no longer ago than this.
const READY_WINDOW_US: u64 = 1_200_000;
/// How long to wait for a source; doubled with each consecutive source that times out, up to sixteen times, since long
/// registers take time over a slow link.
const SOURCE_TIMEOUT_US: u64 = 600_000;

/// A comparison with one source.
struct Comparison {
    source: String,
    request: u64,
    started_at: u64,
    answered_at: u64,
    /// The set in which the source last voted, once known.
    set: u64,
    /// Ranges that still differ, and how many of them were requested last.
    differing: Vec<u32>,
    requested: usize,
}

#[derive(Default)]
pub(crate) struct CatchUpProgress {
    current: Option<Comparison>,
    /// Members of the previous set that have left it and whose registers are all held here.
    complete_sources: BTreeSet<String>,
    /// Sources that timed out since any source last answered.
    timed_out_sources: Vec<String>,
    /// When the last complete comparison started.
    up_to_date_at: Option<u64>,
    /// A learner starts no comparison before this time.
    next_attempt_at: u64,
}

impl CatchUpProgress {
    /// Discards progress made toward an older set. The registers copied so far are kept.
    pub fn reset(&mut self) {
        *self = CatchUpProgress::default();
    }
}

impl Core {
    /// Whether this node is a member of the newest set that does not vote in it yet.
    fn is_joining(&self) -> bool {
        self.voter_state.is_member(&self.address) && self.voter_state.successor_voting_set(&self.address) == 0
    }

    fn is_learner(&self) -> bool {
        self.has_disk && !self.voter_state.is_member(&self.address) && !self.voter_state.voters.members.is_empty()
    }

    /// Whether this learner holds everything that a voter held as of a moment ago.
    pub fn is_ready_to_vote(&self) -> bool {
        self.is_learner() && self.catch_up.up_to_date_at.is_some_and(|at| at + READY_WINDOW_US > self.now)
    }

    /// Compares with one source at a time, and switches to another if it times out.
    pub(crate) fn run_catch_up(&mut self) {
        let is_joining = self.is_joining();
        if !is_joining && !self.is_learner() {
            return;
        }
        let timeout = SOURCE_TIMEOUT_US << self.catch_up.timed_out_sources.len().min(4);
        if let Some(comparison) = &self.catch_up.current {
            let is_up = self.peers.get(&comparison.source).is_some_and(|peer| peer.is_up);
            if is_up && comparison.answered_at + timeout > self.now {
                return;
            }
            let source = comparison.source.clone();
            self.catch_up.timed_out_sources.push(source);
            self.catch_up.current = None;
        }
        if !is_joining && self.catch_up.next_attempt_at > self.now {
            return;
        }
        let Some(source) = self.next_source(is_joining) else { return };
        let (voters, previous, request) =
            (self.voter_state.voters.clone(), self.voter_state.previous.clone(), self.proposer.next_request());
        let digest = anti_entropy::combined_digest(&anti_entropy::range_digests(&self.store));
        let (now, differing) = (self.now, Vec::new());
        self.send_peer(&source, Message::CatchUp(CatchUp::Compare { request, voters, previous, digest }));
        self.catch_up.current =
            Some(Comparison { source, request, started_at: now, answered_at: now, set: 0, differing, requested: 0 });
    }

    /// A voter of the newest set alone is sufficient; otherwise members of the previous set are asked in turn. Among
    /// equals the source with the fewest timeouts is chosen.
    fn next_source(&self, is_joining: bool) -> Option<String> {
        let (voters, previous) = (&self.voter_state.voters, &self.voter_state.previous);
        let addrs: BTreeSet<&str> = voters.addrs().chain(previous.addrs().filter(|_| is_joining)).collect();
        let order = |addr: &&str| {
            let peer =
                self.peers.get(*addr).filter(|peer| peer.is_up && !self.catch_up.complete_sources.contains(*addr))?;
            let timeouts = self.catch_up.timed_out_sources.iter().filter(|source| *source == addr).count();
            let is_voter = peer.voter_set == voters.number;
            (is_voter || is_joining).then_some((timeouts, !is_voter, std::cmp::Reverse(peer.last_contact)))
        };
        let ordered = addrs.into_iter().filter_map(|addr| Some((order(&addr)?, addr)));
        ordered.min().map(|(_, addr)| addr.to_owned())
    }

    /// Handles both sides of a comparison.
    pub(crate) fn on_catch_up(&mut self, link: u64, addr: &str, message: CatchUp) {
        match message {
            CatchUp::Compare { request, voters, previous, digest } => {
                // Learning of the new set ends voting in the previous one: only then are the registers sent from here
                // final.
                self.learn_voters(&voters, &previous);
                if self.voter_state.voters.number > voters.number {
                    let message = self.peers_message();
                    return self.send(link, message);
                }
                let set = self.voter_state.source_set(&self.address);
                if set > 0 {
                    let digests = anti_entropy::range_digests(&self.store);
                    let digests = if anti_entropy::combined_digest(&digests) == digest { Vec::new() } else { digests };
                    self.send(link, Message::CatchUp(CatchUp::Digests { request, set, digests }));
                }
            }
            CatchUp::CompareRanges { request, ranges } => {
                let (registers, is_complete) = anti_entropy::newer_registers(&self.store, &ranges);
                self.send(link, Message::CatchUp(CatchUp::NewerRegisters { request, registers, is_complete }));
            }
            CatchUp::Digests { request, set, digests } => self.on_digests(addr, request, set, &digests),
            CatchUp::NewerRegisters { request, registers, is_complete } => {
                self.on_registers(addr, request, registers, is_complete)
            }
        }
    }

    fn current_comparison(&mut self, addr: &str, request: u64) -> Option<&mut Comparison> {
        let now = self.now;
        let comparison = self
            .catch_up
            .current
            .as_mut()
            .filter(|comparison| comparison.source == addr && comparison.request == request)?;
        comparison.answered_at = now;
        Some(comparison)
    }

    fn on_digests(&mut self, addr: &str, request: u64, set: u64, theirs: &[u64]) {
        let ours = anti_entropy::range_digests(&self.store);
        let Some(comparison) = self.current_comparison(addr, request) else { return };
        let differs = |range: &u32| theirs.get(*range as usize).is_some_and(|sum| *sum != ours[*range as usize]);
        (comparison.set, comparison.differing) = (set, (0..anti_entropy::RANGE_COUNT as u32).filter(differs).collect());
        self.catch_up.timed_out_sources.clear();
        self.request_next_part();
    }

    /// Stores received registers regardless of source or delay: before its first vote a disk may always hold more.
    fn on_registers(&mut self, addr: &str, request: u64, registers: Vec<(String, AcceptorState)>, is_complete: bool) {
        if !self.is_joining() && !self.is_learner() {
            return;
        }
        if let Err(error) = self.store.adopt_newer(registers) {
            log::error!("cannot store registers copied from {addr}, abandoning the comparison: {error}");
            self.catch_up.current = None;
            return;
        }
        let Some(comparison) = self.current_comparison(addr, request) else { return };
        if is_complete {
            let requested = std::mem::take(&mut comparison.requested).min(comparison.differing.len());
            comparison.differing.drain(..requested);
        }
        self.catch_up.timed_out_sources.clear();
        self.request_next_part();
    }

    /// Requests one part at a time, so that links and sources stay available for other work.
    fn request_next_part(&mut self) {
        let Some(comparison) = self.catch_up.current.as_mut() else { return };
        if comparison.differing.is_empty() {
            return self.finish_comparison();
        }
        let ranges = anti_entropy::summarize_ranges(&self.store, &comparison.differing);
        comparison.requested = ranges.len();
        let (source, request) = (comparison.source.clone(), comparison.request);
        self.send_peer(&source, Message::CatchUp(CatchUp::CompareRanges { request, ranges }));
    }

    /// Everything that the source held when the comparison started is stored here.
    fn finish_comparison(&mut self) {
        let Some(comparison) = self.catch_up.current.take() else { return };
        self.catch_up.next_attempt_at = self.now + LEARNER_INTERVAL_US;
        let (voters, previous) = (self.voter_state.voters.clone(), self.voter_state.previous.clone());
        if comparison.set == voters.number {
            self.catch_up.up_to_date_at = Some(comparison.started_at);
        }
        if !self.is_joining() {
            return;
        }
        // A source that has not voted in either set knows no more than this disk: others are preferred.
        if comparison.set == previous.number {
            self.catch_up.complete_sources.insert(comparison.source);
        } else if comparison.set != voters.number {
            return self.catch_up.timed_out_sources.push(comparison.source);
        }
        // This disk's own state in the previous set counts like any other member's.
        let has_left = |addr: &&str| {
            self.catch_up.complete_sources.contains(*addr)
                || (*addr == self.address && self.voter_state.source_set(&self.address) == previous.number)
        };
        let has_previous = previous.number > 0 && previous.addrs().filter(has_left).count() >= previous.majority();
        // A majority of the previous set, each member having left it before it answered, holds everything acknowledged
        // in it. So does any voter of the newest set, which copied it from such a majority. Anything acknowledged in
        // the newest set is stored on a majority of it without counting this disk.
        if comparison.set != voters.number && !has_previous {
            return self.run_catch_up();
        }
        match self.voter_state.install(&mut self.store) {
            Ok(()) => {
                log::warn!("this disk now votes in set {}", self.voter_state.installed_set);
                self.catch_up.reset();
                self.ping();
            }
            Err(error) => log::error!("cannot store the vote in set {}, not voting in it yet: {error}", voters.number),
        }
    }
}
