//! Who owns which shard: a pure function of the agreed portions, the live nodes and the present owners, the same on
//! every control node. Nothing rests on all nodes seeing the same at the same moment: the database is the fence, and
//! two nodes that both think they own a shard are uneven, never wrong.
use std::collections::{BTreeMap, BTreeSet};
use wv_configuration::Partner;

fn weight(shard: &str, node: &str) -> u64 {
    shard.bytes().chain([0]).chain(node.bytes()).fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        let hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        hash ^ (hash >> 29)
    })
}

/// The live nodes of each partner, in the order of the partners.
pub fn seats<'a>(partners: &[Partner], nodes: &BTreeSet<&'a str>) -> Vec<Vec<&'a str>> {
    let is_its = |partner: &Partner, node: &str| {
        partner.nodes.iter().any(|pattern| wv_configuration::matches_pattern(pattern, node))
    };
    partners.iter().map(|partner| nodes.iter().copied().filter(|node| is_its(partner, node)).collect()).collect()
}

/// How many of `shards` each partner is to hold: by largest remainder over those that have a live node, ties by label.
pub fn quotas(partners: &[Partner], seats: &[Vec<&str>], shards: usize) -> Vec<usize> {
    let portion = |at: usize| if seats[at].is_empty() { 0 } else { u128::from(partners[at].portion) };
    let all: u128 = (0..partners.len()).map(portion).sum();
    if all == 0 {
        return vec![0; partners.len()];
    }
    let exact = |at: usize| portion(at) * shards as u128;
    let mut quotas: Vec<usize> = (0..partners.len()).map(|at| (exact(at) / all) as usize).collect();
    let mut rest: Vec<usize> = (0..partners.len()).filter(|at| portion(*at) > 0).collect();
    rest.sort_by_key(|at| (std::cmp::Reverse(exact(*at) % all), partners[*at].label.as_str()));
    let left = shards - quotas.iter().sum::<usize>();
    rest.into_iter().take(left).for_each(|at| quotas[at] += 1);
    quotas
}

/// The owner that each shard is to have. Owners that may stay, stay: only what the portions demand is moved.
pub fn assign(
    partners: &[Partner],
    nodes: &BTreeSet<&str>,
    shards: &[String],
    owners: &BTreeMap<String, String>,
) -> BTreeMap<String, String> {
    let seats = seats(partners, nodes);
    let quotas = quotas(partners, &seats, shards.len());
    let mut held: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for shard in shards {
        if let Some(owner) = owners.get(shard).and_then(|owner| nodes.get(owner.as_str())) {
            held.entry(owner).or_default().push(shard);
        }
    }
    let mut wanted: BTreeMap<String, String> = BTreeMap::new();
    let mut count: BTreeMap<&str, usize> = BTreeMap::new();
    for (at, seat) in seats.iter().enumerate() {
        let (most, mut left) = (quotas[at].div_ceil(seat.len().max(1)), quotas[at]);
        // Nodes keep shards in turn, so that what a partner must give away comes off its fullest nodes.
        for round in 0..most {
            for node in seat {
                let its = held.get_mut(node).map(|its| {
                    its.sort_by_key(|shard| (std::cmp::Reverse(weight(shard, node)), *shard));
                    its.get(round).copied()
                });
                if let Some(shard) = its.flatten().filter(|_| left > 0) {
                    wanted.insert(shard.to_owned(), (*node).to_owned());
                    *count.entry(node).or_default() += 1;
                    left -= 1;
                }
            }
        }
    }
    for shard in shards.iter().filter(|shard| !wanted.contains_key(*shard)).cloned().collect::<Vec<String>>() {
        let load = |node: &str| count.get(node).copied().unwrap_or(0);
        let total = |at: usize| seats[at].iter().map(|node| load(node)).sum::<usize>();
        let open = (0..partners.len()).filter(|at| total(*at) < quotas[*at]);
        // The one that lacks most of its quota takes the next, on its emptiest node.
        let Some(at) = open.max_by_key(|at| (quotas[*at] - total(*at), std::cmp::Reverse(&partners[*at].label))) else {
            continue;
        };
        let node = seats[at].iter().min_by_key(|node| (load(node), std::cmp::Reverse(weight(&shard, node)), **node));
        if let Some(node) = node.copied() {
            *count.entry(node).or_default() += 1;
            wanted.insert(shard, node.to_owned());
        }
    }
    wanted
}
