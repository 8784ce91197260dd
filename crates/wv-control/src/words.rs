//! Words of access nodes on databases: each goes to the control node that holds the duty of the service, and no further.
use crate::core::Core;
use std::collections::BTreeMap;
use wv_internal_protocol::{Health, HealthReport, Message};
use wv_wire_protocol::LogPosition;

/// Sightings older than this count no more.
const SIGHT_US: u64 = 9_000_000;
/// In a large fleet a few that agree are enough: each sees only what it uses.
const WITNESSES_MAX: usize = 4;

impl Core {
    /// What was sent to this node may have waited for as long as the process stood still: a fenced sighting counts as that
    /// much older, here and wherever it is passed on to. Bad words are not made older by it, since they would prove more.
    pub(crate) fn date_sights(&self, sights: &mut [HealthReport]) {
        let lag_us = self.contact.stalls.lag_us(self.now);
        sights.iter_mut().for_each(|sight| sight.fenced_age_us = sight.fenced_age_us.saturating_add(lag_us));
    }

    /// A node's words, heard on its own session.
    pub(crate) fn hear_sights(&mut self, node: &str, mut sights: Vec<HealthReport>) {
        self.date_sights(&mut sights);
        self.hand_over(node, &sights);
        self.record_health_reports(node, sights);
    }

    fn hand_over(&mut self, node: &str, sights: &[HealthReport]) {
        let mut parts: BTreeMap<String, Vec<HealthReport>> = BTreeMap::new();
        for sight in sights {
            let Some(service) = self.table.get(&sight.id).map(|inst| inst.service.as_str()) else { continue };
            let holder = self.roster.duty_holder(service);
            if holder != self.me {
                parts.entry(holder.to_owned()).or_default().push(sight.clone());
            }
        }
        for (holder, sights) in parts {
            self.send_peer(&holder, Message::PeerHealthReports { node: node.to_owned(), reports: sights });
        }
    }

    /// Duties went to other hands: the new holders are told what this node's sessions said.
    pub(crate) fn settle_holders(&mut self) {
        let live = self.roster.eligible_peers();
        if live == self.holders {
            return;
        }
        self.holders = live;
        for node in self.roster.sessions(self.now).into_iter().map(|held| held.node) {
            let said = |words: &BTreeMap<String, (u64, HealthReport)>| {
                let (at, sight) = words.get(&node)?;
                let ago = self.now.saturating_sub(*at);
                let (since_us, fenced_ago_us) = (sight.health_age_us + ago, sight.fenced_age_us + ago);
                let heard_ago_us = sight.last_heard_age_us.saturating_add(ago);
                Some(HealthReport {
                    health_age_us: since_us,
                    fenced_age_us: fenced_ago_us,
                    last_heard_age_us: heard_ago_us,
                    ..sight.clone()
                })
            };
            let sights: Vec<HealthReport> = self.sights.values().filter_map(said).collect();
            self.hand_over(&node, &sights);
        }
    }

    /// Words of nodes that are gone count no more.
    pub(crate) fn forget_words(&mut self) {
        let (nodes, table) = (self.roster.node_names(), &self.table);
        self.sights.retain(|id, words| {
            let is_known = table.get(id).is_some();
            words.retain(|node, (_, sight)| nodes.contains(node) && (is_known || sight.health != Health::Unknown));
            !words.is_empty()
        });
    }

    /// Each node's word on `id`: the sighting and how old it is.
    pub(crate) fn words<'a>(&'a self, id: &str) -> impl Iterator<Item = (&'a HealthReport, u64)> {
        let now = self.now;
        let words = self.sights.get(id).into_iter().flat_map(|words| words.values());
        let is_live = move |(at, sight): &&(u64, HealthReport)| at + SIGHT_US > now || sight.health == Health::Up;
        words.filter(is_live).map(move |(at, sight)| (sight, now - at))
    }

    /// Several nodes agree, though not all need to: one cut link is no reason, one blind node no hindrance.
    pub(crate) fn is_down(&self, id: &str) -> bool {
        let is_bad = |sight: &HealthReport| matches!(sight.health, Health::Refused | Health::Unreachable);
        let down = self.words(id).filter(|(sight, _)| is_bad(sight)).count();
        let nodes = self.roster.node_count();
        down >= nodes.div_ceil(4).clamp(2, WITNESSES_MAX).min(nodes.max(1))
    }

    /// For how long all that look at it have been refused. Who looks later than others says nothing against them, unless
    /// it has heard from the database since they were first refused.
    pub(crate) fn refused_us(&self, id: &str) -> Option<u64> {
        let is_refused = |sight: &HealthReport| sight.health == Health::Refused;
        self.words(id).all(|(sight, _)| is_refused(sight)).then_some(())?;
        let lasting = || self.words(id).map(|(sight, ago)| sight.health_age_us + ago);
        let (longest, shortest) = (lasting().max()?, lasting().min()?);
        let is_heard = self.words(id).any(|(sight, ago)| sight.last_heard_age_us.saturating_add(ago) < longest);
        Some(if is_heard { shortest } else { longest })
    }

    pub(crate) fn fenced(&self, id: &str) -> Option<(u64, LogPosition)> {
        self.words(id)
            .filter_map(|(sight, ago)| {
                Some((sight.fenced_age_us + ago, LogPosition::parse(sight.fenced_position.as_bytes())?))
            })
            .min_by_key(|(ago, _)| *ago)
    }

    /// The newest term that anyone has seen of this service.
    pub(crate) fn known_term(&self, service: &str) -> u64 {
        let ids = self.table.service_instances(service).map(|inst| inst.id.as_str());
        let seen = ids
            .flat_map(|id| self.words(id))
            .filter_map(|(sight, _)| LogPosition::parse(sight.fenced_position.as_bytes()));
        let told = self.feed.leader(service).map_or(0, |lead| lead.term);
        seen.map(|pos| pos.term).max().unwrap_or(0).max(told)
    }

    /// A split wants the term of this service left behind, as source or as target.
    pub(crate) fn is_raise_wanted(&self, service: &str) -> bool {
        let term = || self.known_term(service);
        let target =
            |map: &wv_internal_protocol::SlotMap| map.moving.as_ref().is_some_and(|range| range.target == service);
        self.feed.slots().values().any(|map| {
            (map.shard == service && map.superseded_term > 0 && term() <= map.superseded_term)
                || (target(map) && map.superseded_target_term > 0 && term() <= map.superseded_target_term)
        })
    }
}
