//! Assignment of shards to owners: a pure function of the configured portions, the live nodes and the current owners,
//! identical on every control node. Safety does not depend on nodes having the same view: the database fences writes,
//! so two nodes that both consider themselves the owner of a shard cause imbalance, never inconsistency.
use std::collections::{BTreeMap, BTreeSet};
use wv_configuration::Partner;

/// Rendezvous hash of a shard and a node.
fn rendezvous_weight(shard: &str, node: &str) -> u64 {
    shard.bytes().chain([0]).chain(node.bytes()).fold(0xcbf2_9ce4_8422_2325u64, |hash, byte| {
        let hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
        hash ^ (hash >> 29)
    })
}

/// The live nodes of each partner, in the order of the partners.
pub fn live_nodes_by_partner<'a>(partners: &[Partner], nodes: &BTreeSet<&'a str>) -> Vec<Vec<&'a str>> {
    let belongs_to = |partner: &Partner, node: &str| {
        partner.nodes.iter().any(|pattern| wv_configuration::matches_pattern(pattern, node))
    };
    partners.iter().map(|partner| nodes.iter().copied().filter(|node| belongs_to(partner, node)).collect()).collect()
}

/// The number of shards for each partner: largest remainder method over partners with live nodes, ties by label.
pub fn quotas(partners: &[Partner], live_nodes: &[Vec<&str>], shards: usize) -> Vec<usize> {
    let portion = |at: usize| if live_nodes[at].is_empty() { 0 } else { u128::from(partners[at].portion) };
    let total: u128 = (0..partners.len()).map(portion).sum();
    if total == 0 {
        return vec![0; partners.len()];
    }
    let exact = |at: usize| portion(at) * shards as u128;
    let mut quotas: Vec<usize> = (0..partners.len()).map(|at| (exact(at) / total) as usize).collect();
    let mut by_remainder: Vec<usize> = (0..partners.len()).filter(|at| portion(*at) > 0).collect();
    by_remainder.sort_by_key(|at| (std::cmp::Reverse(exact(*at) % total), partners[*at].label.as_str()));
    let left = shards - quotas.iter().sum::<usize>();
    by_remainder.into_iter().take(left).for_each(|at| quotas[at] += 1);
    quotas
}

/// The owner of each shard. Shards stay with their current owner unless the portions require a move.
pub fn assign_owners(
    partners: &[Partner],
    nodes: &BTreeSet<&str>,
    shards: &[String],
    owners: &BTreeMap<String, String>,
) -> BTreeMap<String, String> {
    let live_nodes = live_nodes_by_partner(partners, nodes);
    let quotas = quotas(partners, &live_nodes, shards.len());
    let mut held: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for shard in shards {
        if let Some(owner) = owners.get(shard).and_then(|owner| nodes.get(owner.as_str())) {
            held.entry(owner).or_default().push(shard);
        }
    }
    let mut assigned: BTreeMap<String, String> = BTreeMap::new();
    let mut shard_counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (at, partner_nodes) in live_nodes.iter().enumerate() {
        let (max_per_node, mut left) = (quotas[at].div_ceil(partner_nodes.len().max(1)), quotas[at]);
        // Nodes keep shards round-robin, so that shards over the partner's quota are taken from its most loaded nodes.
        for round in 0..max_per_node {
            for node in partner_nodes {
                let kept = held.get_mut(node).map(|held| {
                    held.sort_by_key(|shard| (std::cmp::Reverse(rendezvous_weight(shard, node)), *shard));
                    held.get(round).copied()
                });
                if let Some(shard) = kept.flatten().filter(|_| left > 0) {
                    assigned.insert(shard.to_owned(), (*node).to_owned());
                    *shard_counts.entry(node).or_default() += 1;
                    left -= 1;
                }
            }
        }
    }
    for shard in shards.iter().filter(|shard| !assigned.contains_key(*shard)).cloned().collect::<Vec<String>>() {
        let load = |node: &str| shard_counts.get(node).copied().unwrap_or(0);
        let total = |at: usize| live_nodes[at].iter().map(|node| load(node)).sum::<usize>();
        let below_quota = (0..partners.len()).filter(|at| total(*at) < quotas[*at]);
        // The partner furthest below its quota takes the shard, on its least loaded node.
        let Some(at) = below_quota.max_by_key(|at| (quotas[*at] - total(*at), std::cmp::Reverse(&partners[*at].label)))
        else {
            continue;
        };
        let node = live_nodes[at]
            .iter()
            .min_by_key(|node| (load(node), std::cmp::Reverse(rendezvous_weight(&shard, node)), **node));
        if let Some(node) = node.copied() {
            *shard_counts.entry(node).or_default() += 1;
            assigned.insert(shard, node.to_owned());
        }
    }
    assigned
}
