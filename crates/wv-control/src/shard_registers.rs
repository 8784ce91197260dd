//! The registers of a planned shard. A new holder raises the version of each register above all versions of its
//! predecessor and reads the value in the same step, so that the register rejects later writes under a lower ballot.
use crate::core::Core;
use crate::shards::register_key;
use crate::types::Operation;
use wv_consensus::{OperationOutcome, UpdateFn};
use wv_internal_protocol::{FeedUpdate, Message, RegisterValue, SlotMap};

/// Operations on a shard's registers.
#[derive(Clone, Debug)]
pub(crate) enum ShardRegisterOp {
    /// Reads the slot map after contact was regained or for a new plan; carries the number of the contact period.
    SyncSlots(u64),
    /// Claims the slot map under a new ballot; the other registers are advanced to it and read next.
    ClaimSlots,
    ReadUsage,
    ReadKeys,
    ReadNewKeys,
    /// Reads the configuration after the claim, so that no coordinator goes by a plan that was withdrawn before it.
    ReadConfiguration,
    WriteSlots(SlotMap),
    WriteUsage,
    WriteKeys(usize),
    WriteNewKeys,
}

/// A map under which no work may start, used while its writer may have lost the ballot.
fn blocked(map: &SlotMap) -> SlotMap {
    SlotMap { shard: map.shard.clone(), version: 1, term: u64::MAX, ..SlotMap::default() }
}

/// Whether the register holds a slot map that no longer waits for the first promotion under its plan.
pub(crate) fn holds_complete_map(cell: &RegisterValue) -> bool {
    <SlotMap as nanoserde::DeBin>::deserialize_bin(&cell.bytes).is_ok_and(|map| !map.is_awaiting_first_term())
}

/// The map of a shard without a stored map: all slots are at the shard, and no term is named yet.
pub(crate) fn reset_map(shard: &str, version: u64) -> SlotMap {
    SlotMap { shard: shard.to_owned(), version: version.max(1), ..SlotMap::default() }
}

/// Empties the register of a slot map and starts a new ballot, so that no coordinator of an earlier plan writes it
/// again. A map with moved slots, or one that cannot be decoded, is kept.
pub(crate) fn reset_unless_moved() -> UpdateFn {
    Box::new(|current| {
        let map = <SlotMap as nanoserde::DeBin>::deserialize_bin(&current.bytes);
        let is_kept = !current.bytes.is_empty() && map.map_or(true, |map| !map.moved.is_empty());
        let version = ((current.version >> 16) + 1) << 16;
        (!is_kept && current.version > 0).then(|| RegisterValue { version, ..RegisterValue::default() })
    })
}

/// Decompresses a stored list of key names.
fn decompress_keys(cell: &RegisterValue) -> Vec<u8> {
    let list = wv_compression::decompress(&cell.bytes, wv_configuration::MAX_BODY_BYTES * 16);
    list.map(|list| list.into_owned()).unwrap_or_default()
}

/// Advances a register to the next ballot and keeps its value.
fn advance_to_next_ballot() -> UpdateFn {
    Box::new(|current| Some(RegisterValue { version: ((current.version >> 16) + 1) << 16, ..current.clone() }))
}

/// Advances a register to the given ballot and keeps its value, unless it already has a higher one.
fn advance_to_ballot(ballot: u64) -> UpdateFn {
    Box::new(move |current| {
        let raised = RegisterValue { version: current.version.max(ballot << 16), ..current.clone() };
        (current.version >> 16 <= ballot).then_some(raised)
    })
}

impl Core {
    fn start_register_op(&mut self, shard: &str, part: &str, op: ShardRegisterOp, edit: Option<UpdateFn>) {
        let token = self.allocate_id();
        self.operations.insert(token, Operation::ShardRegister(shard.to_owned(), op));
        self.proposer.start(token, &register_key(part, shard), edit, self.now);
    }

    fn write_register(&mut self, shard: &str, part: &str, op: ShardRegisterOp, (version, value): (u64, Vec<u8>)) {
        self.start_register_op(
            shard,
            part,
            op,
            Some(wv_consensus::write_if_newer(wv_consensus::register_value(version, value))),
        );
    }

    /// Reads the slot maps that are not known here yet; subscriptions wait for them.
    pub(crate) fn sync_slots(&mut self) {
        let Some(configuration) = self.configuration.as_ref().filter(|_| self.contact.is_established) else { return };
        let planned: std::collections::BTreeSet<&str> =
            configuration.shard_plans.iter().map(|plan| plan.shard.as_str()).collect();
        // The map of a plan that was withdrawn is read again if the plan is made again.
        self.contact.synced_shards.retain(|shard| planned.contains(shard.as_str()));
        let is_new = |shard: &String| {
            !self.contact.synced_shards.contains(shard) && !self.contact.syncing_shards.contains(shard)
        };
        let new: Vec<String> = configuration.shard_plans.iter().map(|plan| plan.shard.clone()).filter(is_new).collect();
        for shard in new {
            self.contact.syncing_shards.insert(shard.clone());
            self.start_register_op(&shard, "slots", ShardRegisterOp::SyncSlots(self.contact.generation), None);
        }
    }

    pub(crate) fn claim_slots(&mut self, shard: &str) {
        self.start_register_op(shard, "slots", ShardRegisterOp::ClaimSlots, Some(advance_to_next_ballot()));
    }

    pub(crate) fn write_slots(&mut self, shard: &str, version: u64, map: SlotMap) {
        let map = SlotMap { version, ..map };
        let value = nanoserde::SerBin::serialize_bin(&map);
        self.write_register(shard, "slots", ShardRegisterOp::WriteSlots(map), (version, value));
    }

    pub(crate) fn write_usage(&mut self, shard: &str, version: u64, value: Vec<u8>) {
        self.write_register(shard, "fill", ShardRegisterOp::WriteUsage, (version, value));
    }

    pub(crate) fn write_keys(&mut self, shard: &str, version: u64, (at, list): (usize, &[u8])) {
        let value = wv_compression::compress(list);
        self.write_register(shard, &format!("things-{at}"), ShardRegisterOp::WriteKeys(at), (version, value));
    }

    pub(crate) fn write_new_keys(&mut self, shard: &str, version: u64, list: &[u8]) {
        let value = wv_compression::compress(list);
        self.write_register(shard, "fresh", ShardRegisterOp::WriteNewKeys, (version, value));
    }

    pub(crate) fn register_op_done(&mut self, shard: String, op: ShardRegisterOp, outcome: OperationOutcome) {
        match (op, outcome) {
            (ShardRegisterOp::SyncSlots(period), OperationOutcome::Read(cell)) if cell.bytes.is_empty() => {
                // A read from before contact was lost may have missed a map.
                if period == self.contact.generation {
                    self.publish_slots(reset_map(&shard, cell.version));
                }
                self.slots_synced(&shard, period)
            }
            (ShardRegisterOp::SyncSlots(period), OperationOutcome::Read(cell)) => {
                match <SlotMap as nanoserde::DeBin>::deserialize_bin(&cell.bytes) {
                    Ok(map) => {
                        let is_current = map.version >> 16 == cell.version >> 16;
                        self.publish_slots(if is_current { map } else { blocked(&map) });
                        self.slots_synced(&shard, period);
                    }
                    Err(error) => {
                        log::error!("cannot decode the slot map of shard {shard}, it stays unsynced: {error}")
                    }
                }
            }
            (ShardRegisterOp::SyncSlots(period), _) if period == self.contact.generation => {
                self.contact.syncing_shards.remove(&shard);
            }
            (ShardRegisterOp::SyncSlots(_), _) => {}
            (ShardRegisterOp::ClaimSlots, OperationOutcome::Written(cell)) => self.slots_claimed(&shard, &cell),
            (ShardRegisterOp::ReadConfiguration, OperationOutcome::Read(cell)) => {
                self.apply_committed(&cell);
                self.on_shard_register(&shard, |_| {});
            }
            (ShardRegisterOp::ReadUsage, OperationOutcome::Written(cell)) => {
                let usage = nanoserde::DeBin::deserialize_bin(&cell.bytes).ok();
                self.on_shard_register(&shard, |read| read.usage = usage);
            }
            (ShardRegisterOp::ReadKeys, OperationOutcome::Written(cell)) => {
                self.on_shard_register(&shard, |read| read.names.load_chunk(&decompress_keys(&cell)));
            }
            (ShardRegisterOp::ReadNewKeys, OperationOutcome::Written(cell)) => {
                self.on_shard_register(&shard, |read| read.names.load_new(&decompress_keys(&cell)));
            }
            (
                op @ (ShardRegisterOp::WriteSlots(_)
                | ShardRegisterOp::WriteUsage
                | ShardRegisterOp::WriteKeys(_)
                | ShardRegisterOp::WriteNewKeys),
                outcome,
            ) => {
                self.register_written(&shard, op, matches!(outcome, OperationOutcome::Written(_)));
            }
            (_, _) => {
                // A claim or read failed: another node holds a higher ballot, or no majority replied. Other reads in
                // progress are ignored.
                self.shards.get_mut(&shard).into_iter().for_each(|state| state.pending_reads = 0);
                self.on_split_event(&shard, wv_shard_split::Event::Claimed(None));
            }
        }
    }

    /// The slot map was claimed: advances the other registers to the same ballot and reads them.
    fn slots_claimed(&mut self, shard: &str, cell: &RegisterValue) {
        let ballot = cell.version >> 16;
        let map = (!cell.bytes.is_empty()).then(|| nanoserde::DeBin::deserialize_bin(&cell.bytes).ok()).flatten();
        let state = self.shards.entry(shard.to_owned()).or_default();
        (state.ballot, state.writes, state.pending_reads) = (ballot, 0, 3 + wv_shard_split::NAME_CHUNKS);
        state.registers = crate::shards::ShardRegisters { map, ..Default::default() };
        let token = self.allocate_id();
        let read_configuration = Operation::ShardRegister(shard.to_owned(), ShardRegisterOp::ReadConfiguration);
        self.operations.insert(token, read_configuration);
        self.proposer.start(token, crate::core::CONFIGURATION_KEY, None, self.now);
        self.start_register_op(shard, "fill", ShardRegisterOp::ReadUsage, Some(advance_to_ballot(ballot)));
        self.start_register_op(shard, "fresh", ShardRegisterOp::ReadNewKeys, Some(advance_to_ballot(ballot)));
        let parts = (0..wv_shard_split::NAME_CHUNKS).map(|at| format!("things-{at}"));
        parts.for_each(|part| {
            self.start_register_op(shard, &part, ShardRegisterOp::ReadKeys, Some(advance_to_ballot(ballot)))
        });
    }

    /// Reads that started before contact was lost are ignored.
    fn slots_synced(&mut self, shard: &str, period: u64) {
        if period == self.contact.generation {
            self.contact.syncing_shards.remove(shard);
            self.contact.synced_shards.insert(shard.to_owned());
            self.check_caught_up();
        }
    }

    fn register_written(&mut self, shard: &str, op: ShardRegisterOp, is_ours: bool) {
        match op {
            ShardRegisterOp::WriteSlots(map) if is_ours => {
                self.announce_slots(map.clone());
                self.on_split_event(shard, wv_shard_split::Event::Written(Some(map)));
            }
            ShardRegisterOp::WriteSlots(_) => self.on_split_event(shard, wv_shard_split::Event::Written(None)),
            op => self.on_part_written(shard, &op, is_ours),
        }
    }

    /// Publishes a slot map that is stored on a majority, here and at the peers.
    pub(crate) fn announce_slots(&mut self, map: SlotMap) {
        self.send_peers(&Message::Slots(map.clone()));
        self.publish_slots(map);
    }

    /// Publishes a committed slot map if it is newer than the published one.
    pub(crate) fn publish_slots(&mut self, map: SlotMap) {
        let known_version = self.feed.slots().get(&map.shard).map_or(0, |known| known.version);
        if map.version > known_version {
            log::info!(
                "slot map of shard {}: phase {:?}, term {}, version {}",
                map.shard,
                map.phase,
                map.term,
                map.version
            );
            self.update_term_raises(&map);
            self.publish(FeedUpdate::Slots(map));
        }
    }
}
