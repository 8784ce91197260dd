//! What a planned shard's holder keeps in registers. Whoever comes to hold it raises the version of each of them past
//! all of its predecessor's, and reads what it raised in the same step: what is written under a lower ballot after that
//! is refused by the register itself.
use crate::core::Core;
use crate::shards::register_key;
use crate::types::Waiting;
use wv_consensus::{OperationOutcome, UpdateFn};
use wv_internal_protocol::{FeedUpdate, Message, RegisterValue, SlotMap};

/// Steps that a shard's registers go through.
#[derive(Clone, Debug)]
pub(crate) enum Keep {
    /// A control node that has just started, or a new plan: what stands, and whether its writer still holds the ballot.
    /// Read in this spell of contact.
    SyncSlots(u64),
    /// The map taken under a ballot of one's own; then the counts and the parts of the names.
    Slots,
    Fill,
    Things,
    Fresh,
    SlotsPut(SlotMap),
    FillPut,
    ThingsPut(usize),
    FreshPut,
}

/// A map that lets nothing start: there is one, and who wrote it is not known to stand.
fn locked(map: &SlotMap) -> SlotMap {
    SlotMap { shard: map.shard.clone(), version: 1, term: u64::MAX, ..SlotMap::default() }
}

/// Names as they were written, a line each.
fn names(cell: &RegisterValue) -> String {
    let text =
        wv_compression::decompress(&cell.bytes, wv_configuration::MAX_BODY_BYTES * 16).map(|text| text.into_owned());
    String::from_utf8(text.unwrap_or_default()).unwrap_or_default()
}

/// Raises a register to the ballot above the one it was written under, its value as it is.
fn next() -> UpdateFn {
    Box::new(|held| Some(RegisterValue { version: ((held.version >> 16) + 1) << 16, ..held.clone() }))
}

/// The same to a ballot that is held already, unless a later one was there.
fn raise_to(ballot: u64) -> UpdateFn {
    Box::new(move |held| {
        let raised = RegisterValue { version: held.version.max(ballot << 16), ..held.clone() };
        (held.version >> 16 <= ballot).then_some(raised)
    })
}

impl Core {
    fn start_keep(&mut self, shard: &str, part: &str, keep: Keep, edit: Option<UpdateFn>) {
        let token = self.fresh_id();
        self.waiting.insert(token, Waiting::Keep(shard.to_owned(), keep));
        self.quorum.start(token, &register_key(part, shard), edit, self.now);
    }

    fn put_keep(&mut self, shard: &str, part: &str, keep: Keep, (version, value): (u64, Vec<u8>)) {
        self.start_keep(
            shard,
            part,
            keep,
            Some(wv_consensus::write_if_newer(wv_consensus::register_value(version, value))),
        );
    }

    /// Slot maps that are not known here yet are read before anyone follows.
    pub(crate) fn sync_slots(&mut self) {
        let Some(conf) = self.conf.as_ref().filter(|_| self.contact.is_established) else { return };
        let is_new = |shard: &String| {
            !self.contact.synced_shards.contains(shard) && !self.contact.syncing_shards.contains(shard)
        };
        let new: Vec<String> = conf.shard_plans.iter().map(|plan| plan.shard.clone()).filter(is_new).collect();
        for shard in new {
            self.contact.syncing_shards.insert(shard.clone());
            self.start_keep(&shard, "slots", Keep::SyncSlots(self.contact.generation), None);
        }
    }

    pub(crate) fn claim_shard(&mut self, shard: &str) {
        self.start_keep(shard, "slots", Keep::Slots, Some(next()));
    }

    pub(crate) fn put_slots(&mut self, shard: &str, version: u64, map: SlotMap) {
        let map = SlotMap { version, ..map };
        let value = nanoserde::SerBin::serialize_bin(&map);
        self.put_keep(shard, "slots", Keep::SlotsPut(map), (version, value));
    }

    pub(crate) fn put_fill(&mut self, shard: &str, version: u64, value: Vec<u8>) {
        self.put_keep(shard, "fill", Keep::FillPut, (version, value));
    }

    pub(crate) fn put_things(&mut self, shard: &str, version: u64, (at, text): (usize, &str)) {
        let value = wv_compression::compress(text.as_bytes());
        self.put_keep(shard, &format!("things-{at}"), Keep::ThingsPut(at), (version, value));
    }

    pub(crate) fn put_fresh(&mut self, shard: &str, version: u64, text: &str) {
        let value = wv_compression::compress(text.as_bytes());
        self.put_keep(shard, "fresh", Keep::FreshPut, (version, value));
    }

    pub(crate) fn kept(&mut self, shard: String, keep: Keep, outcome: OperationOutcome) {
        match (keep, outcome) {
            (Keep::SyncSlots(spell), OperationOutcome::Read(cell)) if cell.bytes.is_empty() => {
                self.slots_synced(&shard, spell)
            }
            (Keep::SyncSlots(spell), OperationOutcome::Read(cell)) => {
                match <SlotMap as nanoserde::DeBin>::deserialize_bin(&cell.bytes) {
                    Ok(map) => {
                        let is_standing = map.version >> 16 == cell.version >> 16;
                        self.slots_told(if is_standing { map } else { locked(&map) });
                        self.slots_synced(&shard, spell);
                    }
                    Err(error) => log::error!("the slot map of {shard}: {error}"),
                }
            }
            (Keep::SyncSlots(spell), _) if spell == self.contact.generation => {
                self.contact.syncing_shards.remove(&shard);
            }
            (Keep::SyncSlots(_), _) => {}
            (Keep::Slots, OperationOutcome::Written(cell)) => self.ballot_had(&shard, &cell),
            (Keep::Fill, OperationOutcome::Written(cell)) => {
                let fill = nanoserde::DeBin::deserialize_bin(&cell.bytes).ok();
                self.on_shard_register(&shard, |read| read.usage = fill);
            }
            (Keep::Things, OperationOutcome::Written(cell)) => {
                self.on_shard_register(&shard, |read| read.names.load(&names(&cell)));
            }
            (Keep::Fresh, OperationOutcome::Written(cell)) => {
                self.on_shard_register(&shard, |read| read.names.load_fresh(&names(&cell)));
            }
            (keep @ (Keep::SlotsPut(_) | Keep::FillPut | Keep::ThingsPut(_) | Keep::FreshPut), outcome) => {
                self.put_kept(&shard, keep, matches!(outcome, OperationOutcome::Written(_)));
            }
            (_, _) => {
                // Another one has taken the ballot since, or no majority answers: what else comes in counts no more.
                self.shards.get_mut(&shard).into_iter().for_each(|held| held.pending_reads = 0);
                self.on_split_event(&shard, wv_shard_split::Event::Claimed(None));
            }
        }
    }

    /// The map is this node's to write: the rest is raised under the same ballot, and read.
    fn ballot_had(&mut self, shard: &str, cell: &RegisterValue) {
        let ballot = cell.version >> 16;
        let map = (!cell.bytes.is_empty()).then(|| nanoserde::DeBin::deserialize_bin(&cell.bytes).ok()).flatten();
        let held = self.shards.entry(shard.to_owned()).or_default();
        (held.ballot, held.writes, held.pending_reads) = (ballot, 0, 2 + wv_shard_split::CHUNKS);
        held.registers = crate::shards::ShardRegisters { map, ..Default::default() };
        self.start_keep(shard, "fill", Keep::Fill, Some(raise_to(ballot)));
        self.start_keep(shard, "fresh", Keep::Fresh, Some(raise_to(ballot)));
        let parts = (0..wv_shard_split::CHUNKS).map(|at| format!("things-{at}"));
        parts.for_each(|part| self.start_keep(shard, &part, Keep::Things, Some(raise_to(ballot))));
    }

    /// A read that was begun before contact was lost says nothing of now.
    fn slots_synced(&mut self, shard: &str, spell: u64) {
        if spell == self.contact.generation {
            self.contact.syncing_shards.remove(shard);
            self.contact.synced_shards.insert(shard.to_owned());
            self.check_caught_up();
        }
    }

    fn put_kept(&mut self, shard: &str, keep: Keep, is_ours: bool) {
        match keep {
            Keep::SlotsPut(map) if is_ours => {
                self.send_peers(&Message::Slots(map.clone()));
                self.slots_told(map.clone());
                self.on_split_event(shard, wv_shard_split::Event::Written(Some(map)));
            }
            Keep::SlotsPut(_) => self.on_split_event(shard, wv_shard_split::Event::Written(None)),
            keep => self.on_part_written(shard, &keep, is_ours),
        }
    }

    /// A map that stands: followers hear of it.
    pub(crate) fn slots_told(&mut self, map: SlotMap) {
        let held = self.feed.slots().get(&map.shard).map_or(0, |held| held.version);
        if map.version > held {
            log::info!("slots of {}: {:?} under term {}, number {}", map.shard, map.phase, map.term, map.version);
            self.publish(FeedUpdate::Slots(map));
        }
    }
}
