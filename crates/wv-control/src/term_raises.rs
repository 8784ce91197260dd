//! Planned promotions that slot maps ask for: the source and the target of a split leave the terms that the map names.
use crate::core::Core;
use wv_internal_protocol::{Leader, SlotMap};

/// A term that a service has to leave.
pub(crate) struct TermRaise {
    shard: String,
    superseded_term: u64,
    /// The leader when the request became known here. Its announced term may be above the one that it leads: terms of
    /// suspensions may never start. While it is announced, no promotion has answered the request.
    leader: Option<Leader>,
}

impl Core {
    /// Takes over the terms that a published slot map names.
    pub(crate) fn update_term_raises(&mut self, map: &SlotMap) {
        self.term_raises.retain(|_, raise| raise.shard != map.shard);
        let target = map.moving.as_ref().map(|range| range.target.as_str());
        let source = (Some(map.shard.as_str()), map.superseded_term);
        for (service, superseded_term) in [source, (target, map.superseded_target_term)] {
            if let Some(service) = service.filter(|_| superseded_term > 0) {
                let leader = self.feed.leader(service).cloned();
                let raise = TermRaise { shard: map.shard.clone(), superseded_term, leader };
                self.term_raises.insert(service.to_owned(), raise);
            }
        }
    }

    /// Whether a split requires a new term of this service, as its source or target.
    pub(crate) fn is_term_raise_needed(&self, service: &str) -> bool {
        self.term_raises.get(service).is_some_and(|raise| {
            let is_same_leader = self.feed.leader(service) == raise.leader.as_ref();
            is_same_leader || self.known_term(service) <= raise.superseded_term
        })
    }
}
