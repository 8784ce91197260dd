//! On-disk format of a store's slots and log, including the format from before ballots were introduced.
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;
use wv_internal_protocol::{AcceptorState, Ballot, RegisterValue};

/// Prefix of slots and records in the current format; older formats begin with a small integer.
const FORMAT_MARK: u64 = u64::from_le_bytes(*b"wvreg-2\0");

/// The contents of a node's store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoreState {
    pub addr: String,
    /// The voters in the format from before sets were numbered.
    pub voters: Vec<String>,
    pub registers: BTreeMap<String, AcceptorState>,
}

#[derive(SerBin, DeBin)]
struct Slot {
    mark: u64,
    generation: u64,
    addr: String,
    voters: Vec<String>,
    registers: Vec<(String, AcceptorState)>,
}

/// A change to one register: a promise, and the accepted value if there is one.
#[derive(SerBin, DeBin, Clone, Debug, PartialEq)]
pub struct RegisterChange {
    pub key: String,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, RegisterValue)>,
}

impl RegisterChange {
    pub fn apply(self, registers: &mut BTreeMap<String, AcceptorState>) {
        let current = registers.entry(self.key).or_default();
        current.promised = current.promised.max(self.promised);
        if let Some((accepted, value)) = self.accepted {
            (current.accepted, current.value) = (accepted, value);
        }
    }
}

#[derive(SerBin, DeBin)]
struct Record {
    mark: u64,
    generation: u64,
    changes: Vec<RegisterChange>,
}

/// A slot and a log entry in the format from before ballots were introduced.
#[derive(SerBin, DeBin)]
struct LegacyState {
    addr: String,
    voters: Vec<String>,
    registers: Vec<(String, RegisterValue)>,
}

#[derive(SerBin, DeBin)]
struct LegacyLogEntry {
    generation: u64,
    key: String,
    value: RegisterValue,
}

fn encode_frame(body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(body.len() + 8);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    out.extend_from_slice(body);
    out
}

/// Decodes one frame and returns its body and total length, or `None` if it is torn or missing.
fn decode_frame(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let len = u32::from_le_bytes(*bytes.first_chunk::<4>()?) as usize;
    let checksum = u32::from_le_bytes(*bytes.get(4..8)?.first_chunk::<4>()?);
    let body = bytes.get(8..8usize.checked_add(len)?)?;
    (crc32fast::hash(body) == checksum).then_some((body, 8 + len))
}

fn is_current_format(body: &[u8]) -> bool {
    body.first_chunk::<8>() == Some(&FORMAT_MARK.to_le_bytes())
}

pub fn encode_slot(generation: u64, state: &StoreState) -> Vec<u8> {
    let registers = state.registers.iter().map(|(key, current)| (key.clone(), current.clone())).collect();
    let (addr, voters) = (state.addr.clone(), state.voters.clone());
    encode_frame(&Slot { mark: FORMAT_MARK, generation, addr, voters, registers }.serialize_bin())
}

/// Returns a slot's generation and state, and whether it is in the current format, or `None` if it is torn.
pub fn decode_slot(bytes: &[u8]) -> Option<(u64, StoreState, bool)> {
    let (body, _) = decode_frame(bytes)?;
    if is_current_format(body) {
        let slot: Slot = DeBin::deserialize_bin(body).ok()?;
        let state =
            StoreState { addr: slot.addr, voters: slot.voters, registers: slot.registers.into_iter().collect() };
        return Some((slot.generation, state, true));
    }
    let (generation, legacy): (u64, LegacyState) = DeBin::deserialize_bin(body).ok()?;
    let state_of = |(key, value)| (key, AcceptorState { value, ..AcceptorState::default() });
    let state = StoreState {
        addr: legacy.addr,
        voters: legacy.voters,
        registers: legacy.registers.into_iter().map(state_of).collect(),
    };
    Some((generation, state, false))
}

pub fn encode_record(generation: u64, changes: &[RegisterChange]) -> Vec<u8> {
    encode_frame(&Record { mark: FORMAT_MARK, generation, changes: changes.to_vec() }.serialize_bin())
}

/// Applies the log records of one generation to `state` and returns the number of bytes decoded.
pub fn replay(log: &[u8], generation: u64, state: &mut StoreState) -> usize {
    let mut offset = 0;
    while let Some((body, len)) = log.get(offset..).and_then(decode_frame) {
        offset += len;
        if is_current_format(body) {
            let record: Option<Record> = DeBin::deserialize_bin(body).ok();
            // Records of an older generation are already included in the slot.
            let record = record.filter(|record| record.generation == generation);
            let changes = record.into_iter().flat_map(|record| record.changes);
            changes.for_each(|change| change.apply(&mut state.registers));
            continue;
        }
        let entry: Option<LegacyLogEntry> = DeBin::deserialize_bin(body).ok();
        if let Some(entry) = entry.filter(|entry| entry.generation == generation) {
            let (logged, current) = (
                AcceptorState { value: entry.value, ..AcceptorState::default() },
                state.registers.entry(entry.key).or_default(),
            );
            if logged.is_newer_than(current) {
                *current = logged;
            }
        }
    }
    offset
}
