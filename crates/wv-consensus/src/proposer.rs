//! The proposer for all registers, following CASPaxos: a majority promises, then a majority accepts.
use crate::attempt::{base_round, voter_set_number, Attempt, Operation, Phase, Transition};
use crate::completion::{Completion, OperationOutcome};
use crate::register_queue::RegisterQueue;
use crate::UpdateFn;
use std::collections::BTreeMap;
use wv_internal_protocol::{AcceptorState, Ballot, Message, RegisterReply, RegisterValue, VoterSet};

/// Timeout of an operation; it must be below the one second that callers of the operator API wait.
const OPERATION_TIMEOUT_US: u64 = 900_000;
const RESEND_INTERVAL_US: u64 = 150_000;
const MAX_OPS: usize = 256;
/// Upper bound of the random backoff after a conflict, doubled with each further conflict up to the maximum.
const BACKOFF_US: u64 = 8_000;
const MAX_BACKOFF_US: u64 = 128_000;
/// Values of at least this size are cached, so that voters do not have to send them again.
const MIN_CACHED_BYTES: usize = 1 << 10;

/// Returns the first request ID of a process incarnation, distant from those of other incarnations.
fn first_request(incarnation: u64) -> u64 {
    incarnation.wrapping_mul(0xd6e8_feb8_6659_fd93).rotate_left(29)
}

/// Runs reads and updates on the voters; the caller transports the messages.
#[derive(Clone, Debug)]
pub struct Proposer {
    voters: VoterSet,
    /// Random for each incarnation of the process, so that ballots and replies of different incarnations never match.
    incarnation: u64,
    /// At least as high as every round seen.
    round: u64,
    next_request: u64,
    seed: u64,
    queues: BTreeMap<String, RegisterQueue>,
    cached: BTreeMap<String, AcceptorState>,
    outgoing: Vec<(String, Message)>,
    done: Vec<Completion>,
}

impl Proposer {
    pub fn new(incarnation: u64) -> Proposer {
        Proposer {
            voters: VoterSet::default(),
            incarnation,
            round: 0,
            next_request: first_request(incarnation),
            seed: incarnation | 1,
            queues: BTreeMap::new(),
            cached: BTreeMap::new(),
            outgoing: Vec::new(),
            done: Vec::new(),
        }
    }

    /// Switches to a newer voter set and restarts all active attempts there. A value accepted by too few voters of the
    /// previous set is either found again or was never acknowledged.
    pub fn set_voters(&mut self, voters: VoterSet) {
        // Rounds of the new set are above any round that a voter left behind in an earlier set still holds.
        self.round = self.round.max(base_round(voters.number));
        self.voters = voters;
        let keys: Vec<String> = self.queues.keys().cloned().collect();
        keys.iter().for_each(|key| self.restart(key));
    }

    pub fn voters(&self) -> &VoterSet {
        &self.voters
    }

    pub fn majority(&self) -> usize {
        self.voters.majority()
    }

    /// The ID of this incarnation, sent with this node's requests.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns a request ID that no other incarnation uses; never 0.
    pub fn next_request(&mut self) -> u64 {
        self.next_request = self.next_request.wrapping_add(1).max(1);
        self.next_request
    }

    /// Raises the round to that of `ballot`. Ballots of a set not known here yet are ignored, as ballots of this node
    /// could match them.
    pub fn observe_ballot(&mut self, ballot: Ballot) {
        if voter_set_number(ballot) <= self.voters.number {
            self.round = self.round.max(ballot.round);
        }
    }

    /// Reads `key`, or updates it atomically. `update` must be pure, as it may be called several times. Operations on
    /// one register run one after the other; waiting ones share a proposal.
    pub fn start(&mut self, token: u64, key: &str, update: Option<UpdateFn>, now: u64) {
        // Rejected before anything was sent, so the caller can retry elsewhere.
        if self.voters.members.is_empty() || self.queues.values().map(RegisterQueue::count).sum::<usize>() >= MAX_OPS {
            return self.done.push(Completion::unknown(token, key));
        }
        let op = Operation {
            token,
            update: update.map(Into::into),
            deadline: now + OPERATION_TIMEOUT_US,
            previous: RegisterValue::default(),
            is_applied: false,
        };
        self.queues.entry(key.to_owned()).or_default().waiting.push(op);
        self.start_next(key, now);
    }

    fn restart(&mut self, key: &str) {
        let (request, round) = (self.next_request(), self.round + 1);
        let cached = self.cached.get(key).cloned().unwrap_or_default();
        let Some(attempt) = self.queues.get_mut(key).and_then(|queue| queue.active.as_mut()) else { return };
        attempt.known = cached;
        if attempt.is_read() {
            return attempt.enter(Phase::Reading, Ballot::default(), request);
        }
        self.round = round;
        attempt.enter(Phase::Preparing, Ballot { round, proposer: self.incarnation }, request);
    }

    fn next_random(&mut self) -> u64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        self.seed
    }

    /// Handles a voter's reply. Replies to other incarnations, requests or registers are ignored.
    pub fn on_reply(&mut self, voter: &str, (origin, request): (u64, u64), key: &str, reply: RegisterReply, now: u64) {
        if origin != self.incarnation || !self.voters.contains(voter) {
            return;
        }
        match &reply {
            RegisterReply::Current { accepted, .. } => self.observe_ballot(*accepted),
            RegisterReply::Rejected { promised } => self.observe_ballot(*promised),
            RegisterReply::Accepted => {}
        }
        let attempt = self.queues.get_mut(key).and_then(|queue| queue.active.as_mut());
        let Some(attempt) = attempt.filter(|attempt| attempt.request_id == request) else { return };
        match attempt.handle_reply(voter, reply, &self.voters) {
            Transition::Wait => {}
            Transition::Decided(accepted, value) => self.finish(key, accepted, value, now),
            // A read that needs a proposal starts one with a new ballot.
            Transition::Enter(Phase::Preparing, _) => self.prepare(key),
            Transition::Enter(phase, ballot) => {
                let request = self.next_request();
                if let Some(attempt) = self.queues.get_mut(key).and_then(|queue| queue.active.as_mut()) {
                    attempt.enter(phase, ballot, request);
                }
            }
            Transition::Conflict if attempt.is_first_round() => {
                // Only this proposer's rounds were behind: there may be no other proposer.
                attempt.conflicts += 1;
                self.prepare(key);
            }
            Transition::Conflict => self.back_off(key, now),
        }
    }

    fn prepare(&mut self, key: &str) {
        let request = self.next_request();
        self.round += 1;
        let ballot = Ballot { round: self.round, proposer: self.incarnation };
        let attempt = self.queues.get_mut(key).and_then(|queue| queue.active.as_mut());
        attempt.into_iter().for_each(|attempt| attempt.enter(Phase::Preparing, ballot, request));
    }

    /// Backs off for a random time after a conflict, so that concurrent proposers do not block each other forever.
    fn back_off(&mut self, key: &str, now: u64) {
        let (request, random) = (self.next_request(), self.next_random());
        let Some(attempt) = self.queues.get_mut(key).and_then(|queue| queue.active.as_mut()) else { return };
        let max_backoff_us = (BACKOFF_US << attempt.conflicts.min(8)).min(MAX_BACKOFF_US);
        attempt.conflicts += 1;
        attempt.enter(Phase::BackingOff { until: now + 1_000 + random % max_backoff_us }, Ballot::default(), request);
    }

    fn finish(&mut self, key: &str, ballot: Ballot, value: RegisterValue, now: u64) {
        if value.bytes.len() >= MIN_CACHED_BYTES && ballot != Ballot::default() {
            self.cached
                .insert(key.to_owned(), AcceptorState { promised: ballot, accepted: ballot, value: value.clone() });
        }
        let attempt = self.queues.get_mut(key).and_then(|queue| queue.active.take());
        for op in attempt.into_iter().flat_map(|attempt| attempt.ops) {
            let outcome = match (op.update.is_some(), op.is_applied) {
                (false, _) => OperationOutcome::Read(value.clone()),
                (true, true) => OperationOutcome::Written(value.clone()),
                (true, false) => OperationOutcome::Unchanged(value.clone()),
            };
            self.done.push(Completion { token: op.token, key: key.to_owned(), outcome, ballot, previous: op.previous });
        }
        self.start_next(key, now);
    }

    /// Starts the next attempt for `key` with all waiting operations.
    fn start_next(&mut self, key: &str, now: u64) {
        let Some(queue) = self.queues.get_mut(key).filter(|queue| queue.active.is_none()) else { return };
        let ops = std::mem::take(&mut queue.waiting);
        if ops.is_empty() {
            self.queues.remove(key);
            return;
        }
        queue.active = Some(Attempt::new(ops, AcceptorState::default()));
        self.restart(key);
        self.send_requests(key, now);
    }

    fn send_requests(&mut self, key: &str, now: u64) {
        let Some(attempt) = self.queues.get_mut(key).and_then(|queue| queue.active.as_mut()) else { return };
        if attempt.resend_at > now {
            return;
        }
        attempt.resend_at = now + RESEND_INTERVAL_US;
        let (requester, request, voter_set) = (self.incarnation, attempt.request_id, self.voters.number);
        for voter in self.voters.addrs() {
            let Some(step) = attempt.request_for(voter) else { continue };
            let message = Message::RegisterRequest { requester, request, voter_set, key: key.to_owned(), step };
            self.outgoing.push((voter.to_owned(), message));
        }
    }

    /// Sends due requests and fails expired operations.
    pub fn tick(&mut self, now: u64) {
        let keys: Vec<String> = self.queues.keys().cloned().collect();
        for key in keys {
            let Some(queue) = self.queues.get_mut(&key) else { continue };
            let expired = queue.expire(now);
            let is_due = queue.is_backoff_over(now);
            self.done.extend(expired.into_iter().map(|op| Completion::unknown(op.token, &key)));
            if is_due {
                self.prepare(&key);
            }
            self.start_next(&key, now);
            self.send_requests(&key, now);
        }
    }

    /// Returns when `tick` is due next; backoffs are shorter than the caller's regular interval.
    pub fn next_due_us(&self) -> Option<u64> {
        self.queues.values().filter_map(RegisterQueue::next_due_us).min()
    }

    pub fn take_messages(&mut self) -> Vec<(String, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    pub fn take_completions(&mut self) -> Vec<Completion> {
        std::mem::take(&mut self.done)
    }
}
