//! Participant side of a voter set change: prepare, seal, transfer registers, accept.
use crate::core::Core;
use wv_consensus::{anti_entropy, RegisterError};
use wv_internal_protocol::{AcceptorState, Handover, Message, RegisterSummary};

fn log_not_stored(error: RegisterError) {
    log::error!("cannot store a step of the voter set change, not replying to it: {error}");
}

impl Core {
    /// Sends a step of a change. This node's own part comes last, because it may already trigger the next step.
    pub(crate) fn send_change_step(&mut self, messages: Vec<(String, Message)>) {
        let digests = anti_entropy::range_digests(&self.store);
        let me = self.address.clone();
        let (own, others): (Vec<_>, Vec<_>) = messages.into_iter().partition(|(voter, _)| *voter == me);
        for (voter, mut message) in others {
            match &mut message {
                Message::Handover(Handover::Seal { digest, .. }) => *digest = anti_entropy::combined_digest(&digests),
                Message::Handover(Handover::Fetch { digests: outgoing, .. }) => *outgoing = digests.clone(),
                _ => {}
            }
            self.send_peer(&voter, message);
        }
        for (_, message) in own {
            match message {
                // This node holds its own registers already, so there is nothing to compare or fetch.
                Message::Handover(Handover::Seal { request, set, fence, .. }) => {
                    let sealed = self.seal_voter(set, fence);
                    sealed.into_iter().for_each(|ok| self.on_sealed(&me, request, ok));
                }
                Message::Handover(Handover::Fetch { request, set, next, .. }) => {
                    if self.voter_state.is_successor_member(&me, set, &next) && self.is_handover_complete(set) {
                        self.on_fetched(&me, request);
                    }
                }
                message => {
                    let reply = self.answer_change(message);
                    reply.into_iter().for_each(|reply| self.on_successor(&me, reply));
                }
            }
        }
    }

    /// A voter's reply to the node that drives the change.
    pub(crate) fn answer_change(&mut self, message: Message) -> Option<Message> {
        match message {
            Message::PrepareSuccessor { request, voter_set: set, fence } => {
                let claimed = self
                    .voter_state
                    .prepare_successor(&mut self.store, &self.address, set, fence)?
                    .map_err(log_not_stored)
                    .ok()?;
                Some(Message::SuccessorVote {
                    request,
                    ok: claimed.is_ok,
                    fence: claimed.fence,
                    successor: claimed.successor,
                })
            }
            Message::AcceptSuccessor { request, voter_set: set, fence, successor: next } => {
                let ok = self
                    .voter_state
                    .accept_successor(&mut self.store, &self.address, (set, fence), &next)?
                    .map_err(log_not_stored)
                    .ok()?;
                Some(Message::SuccessorAccepted { request, ok })
            }
            _ => None,
        }
    }

    fn seal_voter(&mut self, set: u64, fence: u64) -> Option<bool> {
        self.voter_state.seal(&mut self.store, &self.address, (set, fence))?.map_err(log_not_stored).ok()
    }

    fn is_handover_complete(&mut self, set: u64) -> bool {
        self.voter_state.mark_complete(&mut self.store, set).map_err(log_not_stored).unwrap_or(false)
    }

    pub(crate) fn on_handover(&mut self, link: u64, addr: &str, message: Handover) {
        match message {
            Handover::Seal { request, set, fence, digest } => {
                let Some(ok) = self.seal_voter(set, fence) else { return };
                let digests = anti_entropy::range_digests(&self.store);
                let digests = if anti_entropy::combined_digest(&digests) == digest { Vec::new() } else { digests };
                self.send(link, Message::Handover(Handover::Sealed { request, ok, digests }));
            }
            Handover::Sealed { request, ok, digests } => {
                let open = anti_entropy::differing_ranges(&self.store, &digests);
                match self.voter_state.voters.number {
                    set if ok && !open.is_empty() => self.request_ranges(link, (request, set, false), &open),
                    _ => self.on_sealed(addr, request, ok),
                }
            }
            Handover::Fetch { request, set, next, digests } => {
                if self.voter_state.is_successor_member(&self.address, set, &next) {
                    let open = anti_entropy::differing_ranges(&self.store, &digests);
                    self.on_newer_registers(link, addr, (request, set, true), Vec::new(), &open);
                }
            }
            Handover::CompareRanges { request, set, is_member, ranges, other_ranges: others } => {
                self.send_newer_registers(link, (request, set, is_member), &ranges, others);
            }
            Handover::NewerRegisters { request, set, is_member, registers, remaining_ranges: remaining } => {
                self.on_newer_registers(link, addr, (request, set, is_member), registers, &remaining);
            }
            Handover::Fetched { request } => self.on_fetched(addr, request),
        }
    }

    fn request_ranges(&mut self, link: u64, (request, set, is_member): (u64, u64, bool), open: &[u32]) {
        let ranges = anti_entropy::summarize_ranges(&self.store, open);
        let is_summarized = |range: &u32| ranges.iter().any(|summary| summary.0 == *range);
        let others = open.iter().copied().filter(|range| !is_summarized(range)).collect();
        self.send(
            link,
            Message::Handover(Handover::CompareRanges { request, set, is_member, ranges, other_ranges: others }),
        );
    }

    /// Sends only final registers: a sealed voter does, or the driver to which a sealed majority has sent all of its
    /// own.
    fn send_newer_registers(
        &mut self,
        link: u64,
        (request, set, is_member): (u64, u64, bool),
        ranges: &[(u32, Vec<RegisterSummary>)],
        others: Vec<u32>,
    ) {
        let is_handing_over = || self.change.as_ref().is_some_and(|change| change.is_handing_over(request));
        let is_final = if is_member { is_handing_over() } else { self.voter_state.sealed_set == set };
        if set != self.voter_state.voters.number || !is_final {
            return;
        }
        let (registers, is_complete) = anti_entropy::newer_registers(&self.store, ranges);
        let again = ranges.iter().map(|range| range.0).filter(|_| !is_complete);
        let remaining = again.chain(others).collect();
        self.send(
            link,
            Message::Handover(Handover::NewerRegisters {
                request,
                set,
                is_member,
                registers,
                remaining_ranges: remaining,
            }),
        );
    }

    /// Stores received registers, and requests the remaining ranges. If storing fails, they count as not received.
    fn on_newer_registers(
        &mut self,
        link: u64,
        addr: &str,
        (request, set, is_member): (u64, u64, bool),
        registers: Vec<(String, AcceptorState)>,
        remaining: &[u32],
    ) {
        if set != self.voter_state.voters.number || self.store.adopt_newer(registers).map_err(log_not_stored).is_err() {
            return;
        }
        if !remaining.is_empty() {
            return self.request_ranges(link, (request, set, is_member), remaining);
        }
        if !is_member {
            self.on_sealed(addr, request, true);
        } else if self.is_handover_complete(set) {
            self.send(link, Message::Handover(Handover::Fetched { request }));
        }
    }

    fn on_sealed(&mut self, voter: &str, request: u64, is_ok: bool) {
        let outcome = self.change.as_mut().and_then(|change| change.handle_sealed(voter, request, is_ok));
        self.advance_change(outcome);
    }

    fn on_fetched(&mut self, voter: &str, request: u64) {
        self.change.iter_mut().for_each(|change| change.handle_fetched(voter, request));
        self.advance_change(None);
    }

    pub(crate) fn on_successor(&mut self, voter: &str, message: Message) {
        let outcome = self.change.as_mut().and_then(|change| match message {
            Message::SuccessorVote { request, ok, fence, successor: next } => {
                change.handle_prepared(voter, request, ok, fence, next)
            }
            Message::SuccessorAccepted { request, ok } => change.handle_accepted(voter, request, ok),
            _ => None,
        });
        self.advance_change(outcome);
    }

    fn advance_change(&mut self, outcome: Option<wv_consensus::ChangeOutcome>) {
        match outcome {
            Some(outcome) => self.end_change(outcome),
            // Sends the next step at once instead of at the next tick.
            None => {
                let due = self.change.as_mut().map(|change| change.tick(self.now));
                due.into_iter().flatten().for_each(|messages| self.send_change_step(messages));
            }
        }
    }
}
