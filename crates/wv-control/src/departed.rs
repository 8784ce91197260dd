//! Databases that said that they leave: until they have ended they may receive and be counted, and what they had
//! received is lost with them.
use crate::core::Core;
use std::collections::{BTreeMap, BTreeSet};
use wv_internal_protocol::Instance;
use wv_promotion::{Left, Silent, StatusReply};

/// One that left is looked at no more often, at first and when it serves on: most end soon, and what was seen of the
/// primary counts only from then on.
const WATCH_FIRST_US: u64 = 200_000;
const WATCH_US: u64 = 500_000;
const FIRST_US: u64 = 3_000_000;
/// One that left and has not answered for this long has ended: its machine is gone with it.
const DARK_US: u64 = 20_000_000;

/// When a database left, since when it is known to have ended or to be silent, and when it was looked at last.
#[derive(Default)]
pub(crate) struct Departure {
    pub at: u64,
    ended: Option<u64>,
    dark: Option<u64>,
    looked: u64,
}

impl Departure {
    pub fn new(at: u64) -> Departure {
        Departure { at, ..Departure::default() }
    }
}

impl Core {
    /// What the duty is told of one that left. Whoever took its place came after its end.
    pub(crate) fn departed(&self, inst: &Instance) -> Left {
        let is_heir = |new: &&Instance| new.address == inst.address && new.id != inst.id;
        let heir = self.table.of(&inst.service).filter(|new| !new.gone).find(is_heir).map(|new| new.id.clone());
        let held = self.departures.get(&inst.id);
        let dark = held.and_then(|held| held.dark).map(|dark| dark + DARK_US).filter(|end| *end <= self.now);
        let ended = held.and_then(|held| held.ended).or(dark);
        Left { ended_us: ended.map(|ended| self.now.saturating_sub(ended)), heir }
    }

    /// The holder looks at those that left under the present lead until they have ended.
    pub(crate) fn watch_departed(&mut self) {
        let now = self.now;
        let is_due = |(id, held): &(&String, &Departure)| {
            let service = self.table.get(id).map(|inst| inst.service.as_str());
            let is_counted = service.is_some_and(|service| {
                let is_later = self.leader_changed_at.get(service).is_none_or(|led| held.at >= *led);
                is_later && self.membership.is_duty_holder(service)
            });
            let gap = if held.at + FIRST_US > now { WATCH_FIRST_US } else { WATCH_US };
            held.ended.is_none() && held.looked + gap <= now && is_counted
        };
        let due: Vec<String> = self.departures.iter().filter(is_due).map(|(id, _)| id.clone()).collect();
        for id in due {
            let Some(service) = self.table.get(&id).map(|inst| inst.service.clone()) else { continue };
            self.departures.entry(id.clone()).or_default().looked = now;
            self.ask_db(&service, id, "ENQUIRY".to_owned(), 0);
        }
    }

    /// Those that may still count under the present lead: who has not ended, and of the others the last to end, since what
    /// is asked of a nominee for its sake covers those before it. They are never forgotten, however long ago they left.
    pub(crate) fn needed(&self) -> BTreeSet<String> {
        let mut last: BTreeMap<&str, (u64, &str)> = BTreeMap::new();
        let mut needed = BTreeSet::new();
        for (id, held) in &self.departures {
            let Some(inst) = self.table.get(id).filter(|inst| inst.gone) else { continue };
            if self.leader_changed_at.get(&inst.service).is_some_and(|led| held.at < *led) {
                continue;
            }
            match self.departed(inst).ended_us {
                None => drop(needed.insert(id.clone())),
                Some(ago) => {
                    let ended = self.now.saturating_sub(ago);
                    let kept = last.entry(&inst.service).or_insert((ended, id));
                    *kept = (*kept).max((ended, id));
                }
            }
        }
        needed.extend(last.into_values().map(|(_, id)| id.to_owned()));
        needed
    }

    /// What a look at one that left says of its end.
    pub(crate) fn note_ended(&mut self, id: &str, word: StatusReply) {
        let is_replaced = self.table.get(id).is_some_and(|inst| inst.gone && self.departed(inst).heir.is_some());
        let now = self.now;
        let Some(held) = self.departures.get_mut(id) else { return };
        match word {
            Ok(_) => (held.ended, held.dark) = (None, None),
            Err(Silent::Refused) => held.ended = held.ended.or(Some(now)),
            Err(Silent::Dark) if is_replaced => held.ended = held.ended.or(Some(now)),
            Err(Silent::Dark) => held.dark = held.dark.or(Some(now)),
        }
    }
}
