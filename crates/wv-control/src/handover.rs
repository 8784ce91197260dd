//! The steps of a change of voters between those that take part: claimed, sealed, handed over, settled.
use crate::core::Core;
use wv_inner::{Member, Msg};
use wv_reg::{RegError, Seat};

fn noted(error: RegError) {
    log::error!("a word on the next voters is not kept: {error}");
}

impl Core {
    pub(crate) fn send_change(&mut self, msgs: Vec<(String, Msg)>) {
        let me = self.me.clone();
        for (voter, msg) in msgs {
            let msg = match msg {
                // Only what is newer than what stands here needs to be told.
                Msg::Seal { request, set, fence, .. } => {
                    Msg::Seal { request, set, fence, held: Seat::held(&self.store) }
                }
                msg => msg,
            };
            if voter != me {
                self.send_peer(&voter, msg);
                continue;
            }
            let word = match msg {
                // What is to be fetched stands here already.
                Msg::Fetch { request, set, next } => {
                    self.fetch(request, set, &next).and_then(|_| self.finish(request, set, Vec::new()))
                }
                msg => self.change_word(msg),
            };
            word.into_iter().for_each(|word| self.change_heard(&me, word));
        }
    }

    /// An answer to the one that changes the set.
    pub(crate) fn change_word(&mut self, msg: Msg) -> Option<Msg> {
        match msg {
            Msg::Claim { request, set, fence } => {
                let claimed = self.seat.claim(&mut self.store, &self.me, set, fence)?.map_err(noted).ok()?;
                Some(Msg::Claimed { request, ok: claimed.is_ok, fence: claimed.fence, next: claimed.next })
            }
            Msg::Seal { request, set, fence, held } => {
                let ok = self.seat.seal(&mut self.store, &self.me, (set, fence))?.map_err(noted).ok()?;
                let cells = if ok { Seat::cells(&self.store, &held) } else { Vec::new() };
                Some(Msg::Sealed { request, ok, cells })
            }
            Msg::Fetch { request, set, next } => self.fetch(request, set, &next),
            Msg::Rest { request, set, cells } => self.finish(request, set, cells),
            Msg::Settle { request, set, fence, next } => {
                let ok = self.seat.settle(&mut self.store, &self.me, (set, fence), &next)?.map_err(noted).ok()?;
                Some(Msg::Settled { request, ok })
            }
            _ => None,
        }
    }

    /// Only the disk that is named is to hold it.
    fn fetch(&self, request: u64, set: u64, next: &wv_inner::Voters) -> Option<Msg> {
        let own = Member { addr: self.me.clone(), disk: self.seat.disk };
        let is_meant = set == self.seat.voters.number && next.members.contains(&own);
        is_meant.then(|| Msg::Lacking { request, held: Seat::held(&self.store) })
    }

    fn finish(&mut self, request: u64, set: u64, cells: Vec<(String, wv_inner::Held)>) -> Option<Msg> {
        let is_whole = self.seat.finish(&mut self.store, set, cells).map_err(noted).ok()?;
        is_whole.then_some(Msg::Fetched { request })
    }

    /// What is lacking at a member of the next set, as soon as all of it stands here.
    pub(crate) fn lacking(&mut self, link: u64, request: u64, held: &[(String, wv_inner::Ballot, u64, u32)]) {
        if self.change.as_ref().is_some_and(|change| change.has_rest(request)) {
            let (set, cells) = (self.seat.voters.number, Seat::cells(&self.store, held));
            self.send(link, Msg::Rest { request, set, cells });
        }
    }

    pub(crate) fn change_heard(&mut self, voter: &str, msg: Msg) {
        let Some(change) = self.change.as_mut() else { return };
        let end = match msg {
            Msg::Claimed { request, ok, fence, next } => change.claimed(voter, request, ok, fence, next),
            Msg::Sealed { request, ok, cells } => {
                // What is not kept here cannot be handed on: then it was not told.
                let kept = self.store.adopt(cells).map_err(noted);
                kept.ok().and_then(|_| change.sealed(voter, request, ok))
            }
            Msg::Fetched { request } => {
                change.fetched(voter, request);
                None
            }
            Msg::Settled { request, ok } => change.settled(voter, request, ok),
            _ => None,
        };
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
