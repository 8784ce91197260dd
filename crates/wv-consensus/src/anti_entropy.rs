//! Anti-entropy between stores: digests over ranges of keys, then batches of bounded size with the newer registers of
//! the ranges that differ.
use crate::{Store, LOCAL_KEY_PREFIX};
use std::collections::{BTreeMap, HashMap};
use wv_internal_protocol::{AcceptorState, Ballot, RegisterSummary};

/// Number of ranges for duty keys, and again for all other keys except the configuration.
const RANGES_PER_CLASS: usize = 64;
/// The configuration is a range of its own and comes first, followed by the duties and then all other keys.
pub const RANGE_COUNT: usize = 1 + 2 * RANGES_PER_CLASS;
/// Size limit of a batch; a single register may exceed it.
pub const MAX_BATCH_BYTES: usize = 64 << 10;
/// Approximate size limit of the summaries in one message.
const MAX_SUMMARY_BYTES: usize = 16 << 10;
/// Approximate encoded size of a register beyond its key and value.
const REGISTER_OVERHEAD_BYTES: usize = 80;

fn fnv(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |digest, byte| (digest ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Returns the range of a key, or `None` for local keys.
fn range(key: &str) -> Option<usize> {
    let range_in_class = || (fnv(FNV_OFFSET_BASIS, key.as_bytes()) >> 16) as usize % RANGES_PER_CLASS;
    match key {
        local if local.starts_with(LOCAL_KEY_PREFIX) => None,
        "conf" => Some(0),
        duty if duty.starts_with("duty/") => Some(1 + range_in_class()),
        _ => Some(1 + RANGES_PER_CLASS + range_in_class()),
    }
}

fn rank(state: &AcceptorState) -> (Ballot, u64, u32) {
    (state.accepted, state.value.version, state.value.tie_breaker)
}

/// Returns a digest per range over the registers' accepted ballots and versions; a ballot identifies its value.
pub fn range_digests(store: &Store) -> Vec<u64> {
    let mut range_digests = vec![FNV_OFFSET_BASIS; RANGE_COUNT];
    for (key, state) in store.iter() {
        let Some(digest) = range(key).map(|range| &mut range_digests[range]) else { continue };
        let ((accepted, version, tie_breaker), len) = (rank(state), key.len() as u64);
        let words = [len, accepted.round, accepted.proposer, version, u64::from(tie_breaker)];
        *digest = words.iter().fold(fnv(*digest, key.as_bytes()), |digest, word| fnv(digest, &word.to_le_bytes()));
    }
    range_digests
}

/// Combines all range digests into one.
pub fn combined_digest(range_digests: &[u64]) -> u64 {
    range_digests.iter().fold(FNV_OFFSET_BASIS, |digest, word| fnv(digest, &word.to_le_bytes()))
}

/// Returns the ranges whose digests in `theirs` differ from the local ones.
pub fn differing_ranges(store: &Store, theirs: &[u64]) -> Vec<u32> {
    let ours = range_digests(store);
    let differs =
        |(range, digest): (usize, &u64)| (ours.get(range).is_some_and(|own| own != digest)).then_some(range as u32);
    theirs.iter().enumerate().filter_map(differs).collect()
}

/// Summarizes the local registers of as many of the `open` ranges, in order, as fit into one message.
pub fn summarize_ranges(store: &Store, open: &[u32]) -> Vec<(u32, Vec<RegisterSummary>)> {
    let mut summaries: BTreeMap<u32, Vec<RegisterSummary>> = open.iter().map(|range| (*range, Vec::new())).collect();
    for (key, state) in store.iter() {
        let summary = range(key).and_then(|range| summaries.get_mut(&(range as u32)));
        let (accepted, version, tie_breaker) = rank(state);
        summary.into_iter().for_each(|summary| summary.push((key.to_owned(), accepted, version, tie_breaker)));
    }
    let mut bytes = 0;
    let is_short = |(_, summary): &(u32, Vec<RegisterSummary>)| {
        let is_first = bytes == 0;
        bytes += 16 + summary.iter().map(|known| known.0.len() + 40).sum::<usize>();
        is_first || bytes <= MAX_SUMMARY_BYTES
    };
    summaries.into_iter().take_while(is_short).collect()
}

/// Returns the registers that are newer than the requester's summaries, up to the batch limit, and whether the batch is
/// complete.
pub fn newer_registers(store: &Store, ranges: &[(u32, Vec<RegisterSummary>)]) -> (Vec<(String, AcceptorState)>, bool) {
    let requested: HashMap<u32, HashMap<&str, (Ballot, u64, u32)>> = ranges
        .iter()
        .map(|(range, summary)| {
            (*range, summary.iter().map(|known| (known.0.as_str(), (known.1, known.2, known.3))).collect())
        })
        .collect();
    let mut newer: Vec<(u32, &str, &AcceptorState)> = Vec::new();
    for (key, state) in store.iter() {
        let Some(range) = range(key).map(|range| range as u32) else { continue };
        let Some(summary) = requested.get(&range) else { continue };
        if summary.get(key).is_none_or(|known| rank(state) > *known) {
            newer.push((range, key, state));
        }
    }
    newer.sort_by_key(|(range, ..)| *range);
    let mut bytes = 0;
    let fits = |(_, key, state): &&(u32, &str, &AcceptorState)| {
        let is_first = bytes == 0;
        bytes += REGISTER_OVERHEAD_BYTES + key.len() + state.value.bytes.len();
        is_first || bytes <= MAX_BATCH_BYTES
    };
    let registers: Vec<(String, AcceptorState)> =
        newer.iter().take_while(fits).map(|(_, key, state)| ((*key).to_owned(), (*state).clone())).collect();
    let is_complete = registers.len() == newer.len();
    (registers, is_complete)
}
