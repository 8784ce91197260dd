//! What a planned shard's holder keeps in registers. A ballot says who writes; a write counts once the ballot is seen
//! to stand after it, so that of two holders at most one believes in what it wrote.
use crate::core::Core;
use crate::shards::key;
use crate::types::Waiting;
use wv_inner::{Msg, News, SlotMap};
use wv_reg::Outcome;

/// Steps that a write to a shard's registers goes through.
#[derive(Clone, Debug)]
pub(crate) enum Keep {
    /// A control node that has just started, or a new plan: what stands, and whether its writer still holds the ballot.
    SyncSlots,
    SyncBallot(SlotMap),
    BallotSeen,
    BallotPut(u64),
    /// Reading what stands: the map, the counts, the parts of the names.
    Slots,
    Fill,
    Things,
    Fresh,
    SlotsPut(SlotMap),
    FillPut,
    ThingsPut(usize),
    FreshPut,
    /// Looking whether the ballot still stands, after a write.
    Confirm(Box<Keep>),
}

/// A map that lets nothing start: there is one, and who wrote it is not known to stand.
fn locked(map: &SlotMap) -> SlotMap {
    SlotMap { shard: map.shard.clone(), number: 1, term: u64::MAX, ..SlotMap::default() }
}

/// Names as they were written, a line each.
fn names(cell: &wv_inner::Cell) -> String {
    let text = wv_pack::unpack(&cell.value, wv_conf::BODY_MAX * 16).map(|text| text.into_owned());
    String::from_utf8(text.unwrap_or_default()).unwrap_or_default()
}

impl Core {
    fn start_keep(&mut self, shard: &str, part: &str, keep: Keep, value: Option<(u64, Vec<u8>)>) {
        let token = self.fresh_id();
        self.waiting.insert(token, Waiting::Keep(shard.to_owned(), keep));
        let cell = value.map(|(version, value)| wv_reg::cell(version, value));
        self.quorum.start(token, &key(part, shard), cell, self.now);
    }

    /// Slot maps that are not known here yet are read before anyone follows.
    pub(crate) fn sync_slots(&mut self) {
        let Some(conf) = &self.conf else { return };
        let is_new = |shard: &String| !self.synced.contains(shard) && !self.syncing.contains(shard);
        let new: Vec<String> = conf.plans.iter().map(|plan| plan.shard.clone()).filter(is_new).collect();
        for shard in new {
            self.syncing.insert(shard.clone());
            self.start_keep(&shard, "slots", Keep::SyncSlots, None);
        }
    }

    pub(crate) fn claim_shard(&mut self, shard: &str) {
        self.start_keep(shard, "ballot", Keep::BallotSeen, None);
    }

    pub(crate) fn put_slots(&mut self, shard: &str, version: u64, map: SlotMap) {
        let map = SlotMap { number: version, ..map };
        let value = nanoserde::SerBin::serialize_bin(&map);
        self.start_keep(shard, "slots", Keep::SlotsPut(map), Some((version, value)));
    }

    pub(crate) fn put_fill(&mut self, shard: &str, version: u64, value: Vec<u8>) {
        self.start_keep(shard, "fill", Keep::FillPut, Some((version, value)));
    }

    pub(crate) fn put_things(&mut self, shard: &str, version: u64, (at, text): (usize, &str)) {
        let value = wv_pack::pack(text.as_bytes());
        self.start_keep(shard, &format!("things-{at}"), Keep::ThingsPut(at), Some((version, value)));
    }

    pub(crate) fn put_fresh(&mut self, shard: &str, version: u64, text: &str) {
        let value = wv_pack::pack(text.as_bytes());
        self.start_keep(shard, "fresh", Keep::FreshPut, Some((version, value)));
    }

    pub(crate) fn kept(&mut self, shard: String, keep: Keep, outcome: Outcome) {
        match (keep, outcome) {
            (Keep::SyncSlots, Outcome::Read(cell)) if cell.value.is_empty() => self.slots_synced(&shard),
            (Keep::SyncSlots, Outcome::Read(cell)) => match nanoserde::DeBin::deserialize_bin(&cell.value) {
                Ok(map) => self.start_keep(&shard, "ballot", Keep::SyncBallot(map), None),
                Err(error) => log::error!("the slot map of {shard}: {error}"),
            },
            (Keep::SyncBallot(map), Outcome::Read(cell)) => {
                let is_standing = map.number >> 16 == cell.version;
                self.slots_told(if is_standing { map } else { locked(&map) });
                self.slots_synced(&shard);
            }
            (Keep::SyncSlots | Keep::SyncBallot(_), _) => {
                self.syncing.remove(&shard);
            }
            (Keep::BallotSeen, Outcome::Read(cell)) => {
                let own = self.me.bytes().fold(0u64, |sum, byte| (sum * 31 + u64::from(byte)) & 0xffff);
                let ballot = (((cell.version >> 16) + 1) << 16) | own;
                let value = self.me.clone().into_bytes();
                self.start_keep(&shard, "ballot", Keep::BallotPut(ballot), Some((ballot, value)));
            }
            (Keep::BallotPut(ballot), Outcome::Written(cell)) if cell.version == ballot => {
                let held = self.shards.entry(shard.clone()).or_default();
                (held.ballot, held.step, held.reading) = (ballot, 0, 3 + wv_split::CHUNKS);
                held.read = Default::default();
                self.start_keep(&shard, "slots", Keep::Slots, None);
                self.start_keep(&shard, "fill", Keep::Fill, None);
                self.start_keep(&shard, "fresh", Keep::Fresh, None);
                (0..wv_split::CHUNKS)
                    .for_each(|at| self.start_keep(&shard, &format!("things-{at}"), Keep::Things, None));
            }
            (Keep::Slots, Outcome::Read(cell)) => {
                let map =
                    (!cell.value.is_empty()).then(|| nanoserde::DeBin::deserialize_bin(&cell.value).ok()).flatten();
                self.shard_read(&shard, |read| read.map = map);
            }
            (Keep::Fill, Outcome::Read(cell)) => {
                let fill = nanoserde::DeBin::deserialize_bin(&cell.value).ok();
                self.shard_read(&shard, |read| read.fill = fill);
            }
            (Keep::Things, Outcome::Read(cell)) => {
                self.shard_read(&shard, |read| read.names.load(&names(&cell)));
            }
            (Keep::Fresh, Outcome::Read(cell)) => {
                self.shard_read(&shard, |read| read.names.load_fresh(&names(&cell)));
            }
            (keep @ (Keep::SlotsPut(_) | Keep::FillPut | Keep::ThingsPut(_) | Keep::FreshPut), Outcome::Written(_)) => {
                self.start_keep(&shard, "ballot", Keep::Confirm(Box::new(keep)), None);
            }
            (Keep::Confirm(keep), Outcome::Read(cell)) => {
                let is_ours = self.shards.get(&shard).is_some_and(|held| held.ballot == cell.version);
                self.confirmed(&shard, *keep, is_ours);
            }
            (Keep::Confirm(keep), _) => self.confirmed(&shard, *keep, false),
            (keep @ (Keep::SlotsPut(_) | Keep::FillPut | Keep::ThingsPut(_) | Keep::FreshPut), _) => {
                self.confirmed(&shard, keep, false)
            }
            (_, _) => self.shard_event(&shard, wv_split::Event::Claimed(None)),
        }
    }

    fn slots_synced(&mut self, shard: &str) {
        self.syncing.remove(shard);
        self.synced.insert(shard.to_owned());
        self.serve_follows();
    }

    fn confirmed(&mut self, shard: &str, keep: Keep, is_ours: bool) {
        match keep {
            Keep::SlotsPut(map) if is_ours => {
                self.send_peers(&Msg::Slots(map.clone()));
                self.slots_told(map.clone());
                self.shard_event(shard, wv_split::Event::Written(Some(map)));
            }
            Keep::SlotsPut(_) => self.shard_event(shard, wv_split::Event::Written(None)),
            keep => self.part_kept(shard, &keep, is_ours),
        }
    }

    /// A map that stands: followers hear of it.
    pub(crate) fn slots_told(&mut self, map: SlotMap) {
        let held = self.feed.slots().get(&map.shard).map_or(0, |held| held.number);
        if map.number > held {
            log::info!("slots of {}: {:?} under term {}, number {}", map.shard, map.phase, map.term, map.number);
            self.synced.insert(map.shard.clone());
            self.publish(News::Slots(map));
        }
    }
}
