//! Who leads a service: what the control side tells, under terms, and what the databases show.
use crate::Checker;
use wv_internal_protocol::Leader;

impl Checker {
    /// Takes what the control side says of the lead. Another one under an older term is the word of a node that was out
    /// of touch, or that never heard of the term: it is kept aside while the one that is held leads here. Returns whether
    /// it is taken.
    pub fn lead(&mut self, lead: &Leader, now: u64) -> bool {
        let is_older = |held: &&Leader| held.id != lead.id && held.term > lead.term;
        if self.lead.as_ref().filter(is_older).is_some() {
            self.spare = Some(lead.clone());
            return self.settle_lead(now);
        }
        let term = self.lead.as_ref().filter(|held| held.id == lead.id).map_or(0, |held| held.term);
        (self.lead, self.spare) = (Some(Leader { term: term.max(lead.term), ..lead.clone() }), None);
        // Fresh word from the control side lifts an older doubt.
        self.members_mut().filter(|member| member.inst.id == lead.id).for_each(|member| member.doubted_until = 0);
        true
    }

    /// The one that is held does not lead here any more, or not to be seen, and another one was told of: the two change
    /// places, so that neither an old word nor a missed term stands for long. Returns whether they did.
    pub fn settle_lead(&mut self, now: u64) -> bool {
        let is_fit = |lead: &&Leader| {
            let member = self.members().find(|(_, member)| member.inst.id == lead.id).map(|(_, member)| member);
            member.is_some_and(|member| !member.inst.gone && !member.is_isolated() && member.doubted_until <= now)
        };
        let is_due = self.spare.as_ref().filter(is_fit).is_some() && self.live_writer(now).is_none();
        if is_due {
            std::mem::swap(&mut self.lead, &mut self.spare);
        }
        is_due
    }
}
