//! What stands in a store's files, byte for byte; also as it stood there before registers had ballots.
use nanoserde::{DeBin, SerBin};
use std::collections::BTreeMap;
use wv_internal_protocol::{AcceptorState, Ballot, RegisterValue};

/// Slots and records of the present format begin with this; the first word of an older one is a small number.
const MARK: u64 = u64::from_le_bytes(*b"wvreg-2\0");

/// What a node keeps on its disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    pub me: String,
    /// Voters as disks named them before sets had numbers.
    pub voters: Vec<String>,
    pub cells: BTreeMap<String, AcceptorState>,
}

#[derive(SerBin, DeBin)]
struct Slot {
    mark: u64,
    generation: u64,
    me: String,
    voters: Vec<String>,
    cells: Vec<(String, AcceptorState)>,
}

/// One change of one register: a promise alone, or also what was accepted.
#[derive(SerBin, DeBin, Clone, Debug, PartialEq)]
pub struct Change {
    pub key: String,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, RegisterValue)>,
}

impl Change {
    pub fn apply(self, cells: &mut BTreeMap<String, AcceptorState>) {
        let held = cells.entry(self.key).or_default();
        held.promised = held.promised.max(self.promised);
        if let Some((accepted, cell)) = self.accepted {
            (held.accepted, held.value) = (accepted, cell);
        }
    }
}

#[derive(SerBin, DeBin)]
struct Record {
    mark: u64,
    generation: u64,
    changes: Vec<Change>,
}

/// A slot and a log entry as they were written before there were ballots.
#[derive(SerBin, DeBin)]
struct OldState {
    me: String,
    voters: Vec<String>,
    cells: Vec<(String, RegisterValue)>,
}

#[derive(SerBin, DeBin)]
struct OldEntry {
    generation: u64,
    key: String,
    cell: RegisterValue,
}

fn seal(body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(body.len() + 8);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    out.extend_from_slice(body);
    out
}

/// One sealed body and its whole length; `None` where it is torn or missing.
fn unseal(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let len = u32::from_le_bytes(*bytes.first_chunk::<4>()?) as usize;
    let sum = u32::from_le_bytes(*bytes.get(4..8)?.first_chunk::<4>()?);
    let body = bytes.get(8..8usize.checked_add(len)?)?;
    (crc32fast::hash(body) == sum).then_some((body, 8 + len))
}

fn is_present(body: &[u8]) -> bool {
    body.first_chunk::<8>() == Some(&MARK.to_le_bytes())
}

pub fn put_slot(generation: u64, state: &State) -> Vec<u8> {
    let cells = state.cells.iter().map(|(key, held)| (key.clone(), held.clone())).collect();
    let (me, voters) = (state.me.clone(), state.voters.clone());
    seal(&Slot { mark: MARK, generation, me, voters, cells }.serialize_bin())
}

/// The generation and state of a slot, and whether it is of the present format; `None` where it is torn.
pub fn read_slot(bytes: &[u8]) -> Option<(u64, State, bool)> {
    let (body, _) = unseal(bytes)?;
    if is_present(body) {
        let slot: Slot = DeBin::deserialize_bin(body).ok()?;
        let state = State { me: slot.me, voters: slot.voters, cells: slot.cells.into_iter().collect() };
        return Some((slot.generation, state, true));
    }
    let (generation, old): (u64, OldState) = DeBin::deserialize_bin(body).ok()?;
    let held = |(key, cell)| (key, AcceptorState { value: cell, ..AcceptorState::default() });
    let state = State { me: old.me, voters: old.voters, cells: old.cells.into_iter().map(held).collect() };
    Some((generation, state, false))
}

pub fn put_record(generation: u64, changes: &[Change]) -> Vec<u8> {
    seal(&Record { mark: MARK, generation, changes: changes.to_vec() }.serialize_bin())
}

/// Plays the records of one generation onto `state`; returns how many bytes could be read.
pub fn play(log: &[u8], generation: u64, state: &mut State) -> usize {
    let mut at = 0;
    while let Some((body, len)) = log.get(at..).and_then(unseal) {
        at += len;
        if is_present(body) {
            let record: Option<Record> = DeBin::deserialize_bin(body).ok();
            // Records of an older generation were folded into the slot before it was sealed.
            let record = record.filter(|record| record.generation == generation);
            let changes = record.into_iter().flat_map(|record| record.changes);
            changes.for_each(|change| change.apply(&mut state.cells));
            continue;
        }
        let entry: Option<OldEntry> = DeBin::deserialize_bin(body).ok();
        if let Some(entry) = entry.filter(|entry| entry.generation == generation) {
            let (copy, held) = (
                AcceptorState { value: entry.cell, ..AcceptorState::default() },
                state.cells.entry(entry.key).or_default(),
            );
            if copy.is_newer_than(held) {
                *held = copy;
            }
        }
    }
    at
}
