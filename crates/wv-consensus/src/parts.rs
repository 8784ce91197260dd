//! A store in parts: digests over ranges of keys, and what is newer in those that differ, in pieces of bounded length.
use crate::{Store, LOCAL};
use std::collections::{BTreeMap, HashMap};
use wv_internal_protocol::{AcceptorState, Ballot, RegisterSummary};

/// Keys of duties, and all others but the configuration, each fall into so many ranges.
const SPREAD: usize = 64;
/// The configuration is a range of its own and comes first, then the duties, then the rest.
pub const RANGES: usize = 1 + 2 * SPREAD;
/// A part is no longer than this, unless a single register is.
pub const PART_BYTES: usize = 64 << 10;
/// What an asker lists of its own in one message is about as long at most.
const LIST_BYTES: usize = 16 << 10;
/// What a register costs on the way beyond its key and value, about.
const OVERHEAD: usize = 80;

fn fnv(seed: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(seed, |sum, byte| (sum ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

const SEED: u64 = 0xcbf2_9ce4_8422_2325;

/// The range of a key; none for what stands on one disk alone.
fn range(key: &str) -> Option<usize> {
    let spread = || (fnv(SEED, key.as_bytes()) >> 16) as usize % SPREAD;
    match key {
        local if local.starts_with(LOCAL) => None,
        "conf" => Some(0),
        duty if duty.starts_with("duty/") => Some(1 + spread()),
        _ => Some(1 + SPREAD + spread()),
    }
}

fn rank(copy: &AcceptorState) -> (Ballot, u64, u32) {
    (copy.accepted, copy.value.version, copy.value.tie_breaker)
}

/// One digest a range, over what each register was accepted under: a ballot has one cell for ever.
pub fn sums(store: &Store) -> Vec<u64> {
    let mut sums = vec![SEED; RANGES];
    for (key, copy) in store.iter() {
        let Some(sum) = range(key).map(|range| &mut sums[range]) else { continue };
        let ((accepted, version, tie), len) = (rank(copy), key.len() as u64);
        let words = [len, accepted.round, accepted.proposer, version, u64::from(tie)];
        *sum = words.iter().fold(fnv(*sum, key.as_bytes()), |sum, word| fnv(sum, &word.to_le_bytes()));
    }
    sums
}

/// One digest over all of them.
pub fn total(sums: &[u64]) -> u64 {
    sums.iter().fold(SEED, |sum, word| fnv(sum, &word.to_le_bytes()))
}

/// The ranges in which `theirs` differ from what is held here.
pub fn differing(store: &Store, theirs: &[u64]) -> Vec<u32> {
    let ours = sums(store);
    let differs = |(range, sum): (usize, &u64)| (ours.get(range).is_some_and(|own| own != sum)).then_some(range as u32);
    theirs.iter().enumerate().filter_map(differs).collect()
}

/// As many of the `open` ranges, from the first on, as can be listed in one message, and what is held in each.
pub fn listed(store: &Store, open: &[u32]) -> Vec<(u32, Vec<RegisterSummary>)> {
    let mut lists: BTreeMap<u32, Vec<RegisterSummary>> = open.iter().map(|range| (*range, Vec::new())).collect();
    for (key, copy) in store.iter() {
        let list = range(key).and_then(|range| lists.get_mut(&(range as u32)));
        let (accepted, version, tie) = rank(copy);
        list.into_iter().for_each(|list| list.push((key.to_owned(), accepted, version, tie)));
    }
    let mut bytes = 0;
    let is_short = |(_, list): &(u32, Vec<RegisterSummary>)| {
        let is_first = bytes == 0;
        bytes += 16 + list.iter().map(|known| known.0.len() + 40).sum::<usize>();
        is_first || bytes <= LIST_BYTES
    };
    lists.into_iter().take_while(is_short).collect()
}

/// What is newer here than what an asker listed, up to the length of a part, and whether that is all of it.
pub fn part(store: &Store, ranges: &[(u32, Vec<RegisterSummary>)]) -> (Vec<(String, AcceptorState)>, bool) {
    let asked: HashMap<u32, HashMap<&str, (Ballot, u64, u32)>> = ranges
        .iter()
        .map(|(range, list)| {
            (*range, list.iter().map(|known| (known.0.as_str(), (known.1, known.2, known.3))).collect())
        })
        .collect();
    let mut news: Vec<(u32, &str, &AcceptorState)> = Vec::new();
    for (key, copy) in store.iter() {
        let Some(range) = range(key).map(|range| range as u32) else { continue };
        let Some(list) = asked.get(&range) else { continue };
        if list.get(key).is_none_or(|known| rank(copy) > *known) {
            news.push((range, key, copy));
        }
    }
    news.sort_by_key(|(range, ..)| *range);
    let mut bytes = 0;
    let is_fitting = |(_, key, copy): &&(u32, &str, &AcceptorState)| {
        let is_first = bytes == 0;
        bytes += OVERHEAD + key.len() + copy.value.bytes.len();
        is_first || bytes <= PART_BYTES
    };
    let cells: Vec<(String, AcceptorState)> =
        news.iter().take_while(is_fitting).map(|(_, key, copy)| ((*key).to_owned(), (*copy).clone())).collect();
    let is_whole = cells.len() == news.len();
    (cells, is_whole)
}
