//! Promotion calls that may still take effect although nobody waits for their answers any more.
//!
//! Nothing limits how long the platform works on a call, so no call expires by time alone. A call is resolved by
//! evidence only:
//! - the platform refused it, or it was never sent;
//! - the platform answered a call under a higher fence: it accepts no lower one afterwards. A call that it accepted
//!   before takes effect within `SETTLE_US`;
//! - all unresolved calls name the database that leads: for the present primary a call changes nothing, and before
//!   another database leads, the platform has answered a higher fence.
//!
//! While calls are unresolved, every acknowledged commit must be in the log of each database that they name.

/// Upper bound of the time between the platform's answer to a call and the named database leading.
pub(crate) const SETTLE_US: u64 = 3_000_000;

/// A call that asks the platform to promote a database, identified by its fence.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct PromotionCall {
    /// The named database. Empty if it is unknown, as an earlier build did not record its calls.
    pub id: String,
    pub fence: u64,
}

/// What the answer to a call proves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum CallOutcome {
    /// The platform has seen the fence and promotes the database, unless it is the primary already.
    Accepted,
    /// The platform has seen the fence, or a higher one, and the call has no effect.
    Rejected,
    /// The call has no effect; the platform may not have looked at its fence.
    Refused,
    /// The call may take effect at any time.
    Unknown,
}

impl CallOutcome {
    /// Classifies the HTTP status of the answer, `None` without one.
    pub fn from_status(status: Option<u16>) -> CallOutcome {
        match status {
            Some(200..=299) => CallOutcome::Accepted,
            Some(409) => CallOutcome::Rejected,
            // After a timeout at the platform the call may still be worked on.
            Some(408) | None => CallOutcome::Unknown,
            Some(400..=499) => CallOutcome::Refused,
            Some(_) => CallOutcome::Unknown,
        }
    }
}

#[derive(Clone, PartialEq, Eq, Debug)]
struct UnresolvedCall {
    call: PromotionCall,
    /// The exchange with the platform is still open.
    may_be_answered: bool,
    /// The call has no effect any more from this time on, if that is known.
    resolved_at: Option<u64>,
}

/// The unresolved calls of one service, ordered by fence.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(crate) struct UnresolvedCalls {
    calls: Vec<UnresolvedCall>,
}

impl UnresolvedCalls {
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// Whether a call names this database.
    pub fn names(&self, id: &str) -> bool {
        self.calls.iter().any(|unresolved| unresolved.call.id == id)
    }

    /// Whether a call names another database than this one.
    pub fn names_other_than(&self, id: &str) -> bool {
        self.calls.iter().any(|unresolved| unresolved.call.id != id)
    }

    /// A database that a call names besides this one.
    pub fn name_other_than(&self, id: &str) -> Option<String> {
        self.calls.iter().map(|unresolved| &unresolved.call.id).find(|named| *named != id).cloned()
    }

    /// Whether it is unknown which database a call names.
    pub fn has_unknown_subject(&self) -> bool {
        self.names("")
    }

    pub fn forget_unknown_subject(&mut self) {
        self.calls.retain(|unresolved| !unresolved.call.id.is_empty());
    }

    /// Adds a call that is about to be sent.
    pub fn add(&mut self, id: &str, fence: u64) {
        let call = PromotionCall { id: id.to_owned(), fence };
        self.calls.push(UnresolvedCall { call, may_be_answered: true, resolved_at: None });
    }

    /// Adds the calls that the register lists.
    pub fn restore(&mut self, listed: Vec<PromotionCall>) {
        for call in listed {
            if !self.calls.iter().any(|known| known.call == call) {
                self.calls.push(UnresolvedCall { call, may_be_answered: false, resolved_at: None });
            }
        }
        self.calls.sort_by_key(|unresolved| unresolved.call.fence);
        self.merge_abandoned();
    }

    /// The calls to list in the register.
    pub fn list(&self) -> Vec<PromotionCall> {
        self.calls.iter().map(|unresolved| unresolved.call.clone()).collect()
    }

    /// Handles the answer to a call, or the end of its exchange without one.
    pub fn on_outcome(&mut self, fence: u64, outcome: CallOutcome, leader: Option<&str>, now: u64) {
        match outcome {
            CallOutcome::Accepted => {
                let is_settling = |unresolved: &UnresolvedCall| {
                    let is_for_leader = unresolved.call.fence == fence && Some(unresolved.call.id.as_str()) == leader;
                    unresolved.call.fence < fence || is_for_leader
                };
                self.settle(is_settling, now);
            }
            CallOutcome::Rejected => {
                self.remove(fence);
                self.settle(|unresolved| unresolved.call.fence < fence, now);
            }
            CallOutcome::Refused => self.remove(fence),
            CallOutcome::Unknown => {}
        }
        let answered = self.calls.iter_mut().filter(|unresolved| unresolved.call.fence == fence);
        answered.for_each(|unresolved| unresolved.may_be_answered = false);
        self.merge_abandoned();
    }

    /// Drops a call that was never sent, or that has no effect.
    pub fn remove(&mut self, fence: u64) {
        self.calls.retain(|unresolved| unresolved.call.fence != fence);
    }

    fn settle(&mut self, is_settling: impl Fn(&UnresolvedCall) -> bool, now: u64) {
        let settling = self.calls.iter_mut().filter(|unresolved| is_settling(unresolved));
        settling.for_each(|unresolved| {
            unresolved.resolved_at.get_or_insert(now + SETTLE_US);
        });
    }

    /// When the last call is resolved, if that is known of all of them.
    pub fn resolved_at(&self) -> Option<u64> {
        let times: Option<Vec<u64>> = self.calls.iter().map(|unresolved| unresolved.resolved_at).collect();
        times.and_then(|times| times.into_iter().max())
    }

    /// Drops the calls that are resolved.
    pub fn expire(&mut self, leader: Option<&str>, now: u64) {
        self.calls.retain(|unresolved| unresolved.resolved_at.is_none_or(|at| at > now));
        if leader.is_some_and(|leader| !self.names_other_than(leader)) {
            self.calls.clear();
        }
    }

    /// Of the calls that name the same database and get no answer of their own any more, only a higher fence resolves
    /// any, so the highest one stands for all.
    fn merge_abandoned(&mut self) {
        let is_abandoned =
            |unresolved: &UnresolvedCall| !unresolved.may_be_answered && unresolved.resolved_at.is_none();
        let calls = self.calls.clone();
        let is_superseded = |one: &UnresolvedCall| {
            is_abandoned(one)
                && calls.iter().any(|other| {
                    is_abandoned(other) && other.call.id == one.call.id && other.call.fence > one.call.fence
                })
        };
        self.calls.retain(|unresolved| !is_superseded(unresolved));
    }
}
