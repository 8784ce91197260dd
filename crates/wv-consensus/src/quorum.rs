//! The proposer's side of all registers, after the published CASPaxos: a promise of a majority, then its acceptance;
//! there is no log and no leader.
use crate::attempt::{first_round, set_of, Attempt, Next, Op, Phase};
use crate::done::{Done, Outcome};
use crate::line::Line;
use crate::Edit;
use std::collections::BTreeMap;
use wv_internal_protocol::{AcceptorState, Ballot, Message, RegisterReply, RegisterValue, VoterSet};

/// How long one quorum operation may take; callers of the operator wait a second.
const LIMIT_US: u64 = 900_000;
const RESEND_US: u64 = 150_000;
const OPS_MAX: usize = 256;
/// Two proposers that met pause for a random time below this, doubled with each further meeting up to the second.
const PAUSE_US: u64 = 8_000;
const PAUSE_MAX_US: u64 = 128_000;
/// Cells over this are remembered, so that voters need not send them again.
const LONG: usize = 1 << 10;

/// Where a life's numbers begin: spread over all there are, and unlike the number of the life itself.
fn first_request(who: u64) -> u64 {
    who.wrapping_mul(0xd6e8_feb8_6659_fd93).rotate_left(29)
}

/// Runs reads and edits over the voters; the caller carries the messages.
#[derive(Clone, Debug)]
pub struct Quorum {
    voters: VoterSet,
    /// Drawn at random for this life: ballots and answers of another one never pass for ours.
    who: u64,
    /// Above every round that was heard of.
    round: u64,
    next_request: u64,
    seed: u64,
    lines: BTreeMap<String, Line>,
    known: BTreeMap<String, AcceptorState>,
    out: Vec<(String, Message)>,
    done: Vec<Done>,
}

impl Quorum {
    pub fn new(who: u64) -> Quorum {
        Quorum {
            voters: VoterSet::default(),
            who,
            round: 0,
            next_request: first_request(who),
            seed: who | 1,
            lines: BTreeMap::new(),
            known: BTreeMap::new(),
            out: Vec::new(),
            done: Vec::new(),
        }
    }

    /// A newer set counts from now on: whatever is under way begins again there. What it wrote to too few of the set
    /// before is either found again or was never promised.
    pub fn set_voters(&mut self, voters: VoterSet) {
        // What is proposed in a later set is above all that any straggler of an earlier one still holds.
        self.round = self.round.max(first_round(voters.number));
        self.voters = voters;
        let keys: Vec<String> = self.lines.keys().cloned().collect();
        keys.iter().for_each(|key| self.restart(key));
    }

    pub fn voters(&self) -> &VoterSet {
        &self.voters
    }

    pub fn majority(&self) -> usize {
        self.voters.majority()
    }

    /// The life that asks, as it stands in this node's calls.
    pub fn who(&self) -> u64 {
        self.who
    }

    /// Numbers of another life are never ours: each begins somewhere of its own. 0 is none.
    pub fn next_request(&mut self) -> u64 {
        self.next_request = self.next_request.wrapping_add(1).max(1);
        self.next_request
    }

    /// A ballot was heard of: the next own one is above it. Those of a set that is not known here yet do not count: no
    /// proposal of this set may pass for one of theirs.
    pub fn see(&mut self, ballot: Ballot) {
        if set_of(ballot) <= self.voters.number {
            self.round = self.round.max(ballot.round);
        }
    }

    /// Reads `key`; with an edit, changes it atomically. The edit may be tried on several cells and must depend on
    /// nothing else. Operations on one register go one after the other, those that wait together in one proposal.
    pub fn start(&mut self, token: u64, key: &str, edit: Option<Edit>, now: u64) {
        // Refused before anything was sent: the caller may well try elsewhere.
        if self.voters.members.is_empty() || self.lines.values().map(Line::count).sum::<usize>() >= OPS_MAX {
            return self.done.push(Done::unsure(token, key));
        }
        let op = Op {
            token,
            edit: edit.map(Into::into),
            limit: now + LIMIT_US,
            before: RegisterValue::default(),
            is_ours: false,
        };
        self.lines.entry(key.to_owned()).or_default().waiting.push(op);
        self.begin(key, now);
    }

    fn restart(&mut self, key: &str) {
        let (request, round) = (self.next_request(), self.round + 1);
        let known = self.known.get(key).cloned().unwrap_or_default();
        let Some(attempt) = self.lines.get_mut(key).and_then(|line| line.active.as_mut()) else { return };
        attempt.known = known;
        if attempt.is_read() {
            return attempt.turn(Phase::Looking, Ballot::default(), request);
        }
        self.round = round;
        attempt.turn(Phase::Preparing, Ballot { round, proposer: self.who }, request);
    }

    fn draw(&mut self) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed
    }

    /// A voter's word. What was not asked in this life, for this request and this register is passed over.
    pub fn voted(&mut self, voter: &str, (asker, request): (u64, u64), key: &str, vote: RegisterReply, now: u64) {
        if asker != self.who || !self.voters.contains(voter) {
            return;
        }
        match &vote {
            RegisterReply::Current { accepted, .. } => self.see(*accepted),
            RegisterReply::Rejected { promised } => self.see(*promised),
            RegisterReply::Accepted => {}
        }
        let attempt = self.lines.get_mut(key).and_then(|line| line.active.as_mut());
        let Some(attempt) = attempt.filter(|attempt| attempt.request == request) else { return };
        match attempt.hear(voter, vote, &self.voters) {
            Next::Wait => {}
            Next::Decided(accepted, cell) => self.decided(key, accepted, cell, now),
            // A look that needs a proposal begins one of its own.
            Next::Turn(Phase::Preparing, _) => self.prepare(key),
            Next::Turn(phase, ballot) => {
                let request = self.next_request();
                if let Some(attempt) = self.lines.get_mut(key).and_then(|line| line.active.as_mut()) {
                    attempt.turn(phase, ballot, request);
                }
            }
            Next::Met if attempt.is_first_round() => {
                // Only the own rounds were behind: nobody need be in the way.
                attempt.tries += 1;
                self.prepare(key);
            }
            Next::Met => self.pause(key, now),
        }
    }

    fn prepare(&mut self, key: &str) {
        let request = self.next_request();
        self.round += 1;
        let ballot = Ballot { round: self.round, proposer: self.who };
        let attempt = self.lines.get_mut(key).and_then(|line| line.active.as_mut());
        attempt.into_iter().for_each(|attempt| attempt.turn(Phase::Preparing, ballot, request));
    }

    /// Another proposer was met. Of two that go on at once neither would ever end; random pauses let one pass.
    fn pause(&mut self, key: &str, now: u64) {
        let (request, drawn) = (self.next_request(), self.draw());
        let Some(attempt) = self.lines.get_mut(key).and_then(|line| line.active.as_mut()) else { return };
        let span = (PAUSE_US << attempt.tries.min(8)).min(PAUSE_MAX_US);
        attempt.tries += 1;
        attempt.turn(Phase::Pausing { until: now + 1_000 + drawn % span }, Ballot::default(), request);
    }

    fn decided(&mut self, key: &str, accepted: Ballot, cell: RegisterValue, now: u64) {
        if cell.bytes.len() >= LONG && accepted != Ballot::default() {
            self.known.insert(key.to_owned(), AcceptorState { promised: accepted, accepted, value: cell.clone() });
        }
        let attempt = self.lines.get_mut(key).and_then(|line| line.active.take());
        for op in attempt.into_iter().flat_map(|attempt| attempt.ops) {
            let outcome = match (op.edit.is_some(), op.is_ours) {
                (false, _) => Outcome::Read(cell.clone()),
                (true, true) => Outcome::Written(cell.clone()),
                (true, false) => Outcome::Held(cell.clone()),
            };
            self.done.push(Done { token: op.token, key: key.to_owned(), outcome, accepted, before: op.before });
        }
        self.begin(key, now);
    }

    /// The next attempt at `key`, with all that wait for it.
    fn begin(&mut self, key: &str, now: u64) {
        let Some(line) = self.lines.get_mut(key).filter(|line| line.active.is_none()) else { return };
        let ops = std::mem::take(&mut line.waiting);
        if ops.is_empty() {
            self.lines.remove(key);
            return;
        }
        line.active = Some(Attempt::new(ops, AcceptorState::default()));
        self.restart(key);
        self.send(key, now);
    }

    fn send(&mut self, key: &str, now: u64) {
        let Some(attempt) = self.lines.get_mut(key).and_then(|line| line.active.as_mut()) else { return };
        if attempt.resend > now {
            return;
        }
        attempt.resend = now + RESEND_US;
        let (requester, request, voter_set) = (self.who, attempt.request, self.voters.number);
        for voter in self.voters.addrs() {
            let Some(step) = attempt.step(voter) else { continue };
            let message = Message::RegisterRequest { requester, request, voter_set, key: key.to_owned(), step };
            self.out.push((voter.to_owned(), message));
        }
    }

    /// Sends what is due and gives up what is over its limit.
    pub fn tick(&mut self, now: u64) {
        let keys: Vec<String> = self.lines.keys().cloned().collect();
        for key in keys {
            let Some(line) = self.lines.get_mut(&key) else { continue };
            let late = line.expire(now);
            let is_due = line.is_rested(now);
            self.done.extend(late.into_iter().map(|op| Done::unsure(op.token, &key)));
            if is_due {
                self.prepare(&key);
            }
            self.begin(&key, now);
            self.send(&key, now);
        }
    }

    /// When something is next to be done, in microseconds of the caller's clock; pauses are shorter than its turns.
    pub fn next_due(&self) -> Option<u64> {
        self.lines.values().filter_map(Line::next_due).min()
    }

    pub fn take_out(&mut self) -> Vec<(String, Message)> {
        std::mem::take(&mut self.out)
    }

    pub fn take_done(&mut self) -> Vec<Done> {
        std::mem::take(&mut self.done)
    }
}
