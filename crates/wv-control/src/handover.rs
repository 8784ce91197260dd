//! The steps of a change of voters between those that take part: claimed, sealed, handed over, settled.
use crate::core::Core;
use wv_consensus::{parts, RegError};
use wv_internal_protocol::{AcceptorState, Handover, Message, RegisterSummary};

fn noted(error: RegError) {
    log::error!("a word on the next voters is not kept: {error}");
}

impl Core {
    /// Sends a step of a change. This node's own part in it comes last: it may already lead to the next step.
    pub(crate) fn send_change(&mut self, msgs: Vec<(String, Message)>) {
        let sums = parts::sums(&self.store);
        let me = self.address.clone();
        let (own, others): (Vec<_>, Vec<_>) = msgs.into_iter().partition(|(voter, _)| *voter == me);
        for (voter, mut msg) in others {
            match &mut msg {
                Message::Handover(Handover::Seal { digest: sum, .. }) => *sum = parts::total(&sums),
                Message::Handover(Handover::Fetch { digests: told, .. }) => *told = sums.clone(),
                _ => {}
            }
            self.send_peer(&voter, msg);
        }
        for (_, msg) in own {
            match msg {
                // What is told or to be fetched stands here already.
                Message::Handover(Handover::Seal { request, set, fence, .. }) => {
                    let sealed = self.seal(set, fence);
                    sealed.into_iter().for_each(|ok| self.sealed(&me, request, ok));
                }
                Message::Handover(Handover::Fetch { request, set, next, .. }) => {
                    if self.seat.is_named(&me, set, &next) && self.is_whole(set) {
                        self.fetched(&me, request);
                    }
                }
                msg => {
                    let word = self.change_word(msg);
                    word.into_iter().for_each(|word| self.change_heard(&me, word));
                }
            }
        }
    }

    /// A voter's answer to the one that changes the set.
    pub(crate) fn change_word(&mut self, msg: Message) -> Option<Message> {
        match msg {
            Message::PrepareSuccessor { request, voter_set: set, fence } => {
                let claimed = self.seat.claim(&mut self.store, &self.address, set, fence)?.map_err(noted).ok()?;
                Some(Message::SuccessorVote {
                    request,
                    ok: claimed.is_ok,
                    fence: claimed.fence,
                    successor: claimed.next,
                })
            }
            Message::AcceptSuccessor { request, voter_set: set, fence, successor: next } => {
                let ok = self.seat.settle(&mut self.store, &self.address, (set, fence), &next)?.map_err(noted).ok()?;
                Some(Message::SuccessorAccepted { request, ok })
            }
            _ => None,
        }
    }

    fn seal(&mut self, set: u64, fence: u64) -> Option<bool> {
        self.seat.seal(&mut self.store, &self.address, (set, fence))?.map_err(noted).ok()
    }

    fn is_whole(&mut self, set: u64) -> bool {
        self.seat.finish(&mut self.store, set).map_err(noted).unwrap_or(false)
    }

    pub(crate) fn hear_handover(&mut self, link: u64, addr: &str, msg: Handover) {
        match msg {
            Handover::Seal { request, set, fence, digest: sum } => {
                let Some(ok) = self.seal(set, fence) else { return };
                let sums = parts::sums(&self.store);
                let sums = if parts::total(&sums) == sum { Vec::new() } else { sums };
                self.send(link, Message::Handover(Handover::Sealed { request, ok, digests: sums }));
            }
            Handover::Sealed { request, ok, digests: sums } => {
                let open = parts::differing(&self.store, &sums);
                match self.seat.voters.number {
                    set if ok && !open.is_empty() => self.ask_rest(link, (request, set, false), &open),
                    _ => self.sealed(addr, request, ok),
                }
            }
            Handover::Fetch { request, set, next, digests: sums } => {
                if self.seat.is_named(&self.address, set, &next) {
                    let open = parts::differing(&self.store, &sums);
                    self.rest(link, addr, (request, set, true), Vec::new(), &open);
                }
            }
            Handover::CompareRanges { request, set, is_member, ranges, other_ranges: others } => {
                self.lacking(link, (request, set, is_member), &ranges, others);
            }
            Handover::NewerRegisters { request, set, is_member, registers: cells, remaining_ranges: left } => {
                self.rest(link, addr, (request, set, is_member), cells, &left);
            }
            Handover::Fetched { request } => self.fetched(addr, request),
        }
    }

    fn ask_rest(&mut self, link: u64, (request, set, is_member): (u64, u64, bool), open: &[u32]) {
        let ranges = parts::listed(&self.store, open);
        let is_asked = |range: &u32| ranges.iter().any(|asked| asked.0 == *range);
        let others = open.iter().copied().filter(|range| !is_asked(range)).collect();
        self.send(
            link,
            Message::Handover(Handover::CompareRanges { request, set, is_member, ranges, other_ranges: others }),
        );
    }

    /// Told is only what is final: by a voter that is sealed, or by the one to which a sealed majority has told all.
    fn lacking(
        &mut self,
        link: u64,
        (request, set, is_member): (u64, u64, bool),
        ranges: &[(u32, Vec<RegisterSummary>)],
        others: Vec<u32>,
    ) {
        let is_handing = || self.change.as_ref().is_some_and(|change| change.is_handing(request));
        let is_final = if is_member { is_handing() } else { self.seat.sealed == set };
        if set != self.seat.voters.number || !is_final {
            return;
        }
        let (cells, is_whole) = parts::part(&self.store, ranges);
        let again = ranges.iter().map(|range| range.0).filter(|_| !is_whole);
        let left = again.chain(others).collect();
        self.send(
            link,
            Message::Handover(Handover::NewerRegisters {
                request,
                set,
                is_member,
                registers: cells,
                remaining_ranges: left,
            }),
        );
    }

    /// More of what was lacking here; what cannot be kept was not told.
    fn rest(
        &mut self,
        link: u64,
        addr: &str,
        (request, set, is_member): (u64, u64, bool),
        cells: Vec<(String, AcceptorState)>,
        left: &[u32],
    ) {
        if set != self.seat.voters.number || self.store.adopt(cells).map_err(noted).is_err() {
            return;
        }
        if !left.is_empty() {
            return self.ask_rest(link, (request, set, is_member), left);
        }
        if !is_member {
            self.sealed(addr, request, true);
        } else if self.is_whole(set) {
            self.send(link, Message::Handover(Handover::Fetched { request }));
        }
    }

    fn sealed(&mut self, voter: &str, request: u64, is_ok: bool) {
        let end = self.change.as_mut().and_then(|change| change.sealed(voter, request, is_ok));
        self.step_change(end);
    }

    fn fetched(&mut self, voter: &str, request: u64) {
        self.change.iter_mut().for_each(|change| change.fetched(voter, request));
        self.step_change(None);
    }

    pub(crate) fn change_heard(&mut self, voter: &str, msg: Message) {
        let end = self.change.as_mut().and_then(|change| match msg {
            Message::SuccessorVote { request, ok, fence, successor: next } => {
                change.claimed(voter, request, ok, fence, next)
            }
            Message::SuccessorAccepted { request, ok } => change.settled(voter, request, ok),
            _ => None,
        });
        self.step_change(end);
    }

    fn step_change(&mut self, end: Option<wv_consensus::End>) {
        match end {
            Some(end) => self.end_change(end),
            // Its next step goes out at once.
            None => {
                let due = self.change.as_mut().map(|change| change.tick(self.now));
                due.into_iter().flatten().for_each(|msgs| self.send_change(msgs));
            }
        }
    }
}
