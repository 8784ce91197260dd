//! Shards among partners: who is to own what, and how a shard changes hands.
use crate::core::Core;
use crate::types::Operation;
use std::collections::{BTreeMap, BTreeSet};
use wv_consensus::Outcome;
use wv_internal_protocol::{FeedUpdate, Message, Owner};

/// Moves that only even out the portions follow each other no sooner, from this node.
const PACE_US: u64 = 300_000;
/// A node that has just started, or was out of contact, first hears who is there.
const SETTLE_US: u64 = 1_500_000;

fn key(service: &str) -> String {
    format!("own/{service}")
}

impl Core {
    /// Gives shards to those that are to own them, as far as their keys are held here.
    pub(crate) fn run_owners(&mut self) {
        let Some(conf) = self.conf.as_ref().filter(|conf| !conf.partners.is_empty()) else { return };
        if !self.is_settled(SETTLE_US) || self.is_leaving {
            return;
        }
        let members = self.membership.access_nodes(self.now);
        let owners: BTreeMap<String, String> =
            self.feed.owners().values().map(|owner| (owner.service.clone(), owner.node.clone())).collect();
        let owned: BTreeSet<&str> = owners.values().map(String::as_str).collect();
        let is_fit = |told: &&wv_internal_protocol::Session| {
            !told.is_leaving
                && !told.handover_address.is_empty()
                && (!told.is_new || owned.contains(told.node.as_str()))
        };
        let nodes: BTreeSet<&str> = members.values().filter(is_fit).map(|told| told.node.as_str()).collect();
        let wanted = wv_shard_assignment::assign(&conf.partners, &nodes, &conf.shards, &owners);
        let is_due = |(service, node): &(String, String)| {
            let owner = owners.get(service);
            let is_lost = owner.is_none_or(|owner| members.get(owner).is_none_or(|told| told.is_leaving));
            let is_moved = owner != Some(node) || self.is_replaced(service, &members);
            let is_held = self.membership.is_duty_holder(&key(service)) && !self.owner_writes.contains(service);
            is_held && is_moved && (is_lost || self.last_rebalance + PACE_US <= self.now)
        };
        let due: Vec<(String, String)> = wanted.into_iter().filter(is_due).collect();
        let is_lost = |service: &str| owners.get(service).is_none_or(|owner| !nodes.contains(owner.as_str()));
        // What has no owner goes at once, all of it; what is only uneven one by one.
        let (lost, uneven): (Vec<_>, Vec<_>) = due.into_iter().partition(|(service, _)| is_lost(service));
        if !uneven.is_empty() {
            self.last_rebalance = self.now;
        }
        for (service, node) in lost.into_iter().chain(uneven.into_iter().take(1)) {
            self.owner_writes.push(service.clone());
            self.give_shard(service, node);
        }
    }

    /// Writes the new owner under the next number.
    fn give_shard(&mut self, service: String, node: String) {
        let Some(place) = self.membership.access_nodes(self.now).get(&node).map(|told| told.handover_address.clone())
        else {
            return self.owner_writes.retain(|held| *held != service);
        };
        let (token, key) = (self.allocate_id(), key(&service));
        self.operations.insert(token, Operation::WriteOwner(service.clone()));
        let owner = Owner { service, node, handover_address: place, epoch: 0 };
        let edit: wv_consensus::Edit = Box::new(move |held| {
            let number = held.version + 1;
            Some(wv_consensus::cell(
                number,
                nanoserde::SerBin::serialize_bin(&Owner { epoch: number, ..owner.clone() }),
            ))
        });
        self.quorum.start(token, &key, Some(edit), self.now);
    }

    /// The owner came back elsewhere: the same name at another place.
    fn is_replaced(&self, service: &str, members: &BTreeMap<String, wv_internal_protocol::Session>) -> bool {
        let owner = self.feed.owners().get(service);
        owner.is_some_and(|owner| {
            members.get(&owner.node).is_some_and(|told| {
                !told.handover_address.is_empty() && told.handover_address != owner.handover_address
            })
        })
    }

    /// Only what stands on a majority is told.
    pub(crate) fn own_kept(&mut self, service: &str, outcome: Outcome) {
        self.owner_writes.retain(|held| held != service);
        let (Outcome::Written(cell) | Outcome::Held(cell)) = outcome else { return };
        let Ok(told) = <Owner as nanoserde::DeBin>::deserialize_bin(&cell.bytes) else { return };
        self.send_peers(&Message::Owner(told.clone()));
        self.owner_told(told);
    }

    pub(crate) fn owner_told(&mut self, owner: Owner) {
        let held = self.feed.owners().get(&owner.service).map_or(0, |held| held.epoch);
        if owner.epoch > held {
            log::info!("shard {} goes to {} under {}", owner.service, owner.node, owner.epoch);
            self.publish(FeedUpdate::Owner(owner));
        }
    }

    /// After a restart what this disk holds is a hint good enough: an owner that is none any more says so.
    pub(crate) fn recall_owners(&mut self) {
        let is_own = |(key, held): &(&str, &wv_internal_protocol::AcceptorState)| {
            key.starts_with("own/") && !held.value.bytes.is_empty()
        };
        let read = |(_, held): (&str, &wv_internal_protocol::AcceptorState)| {
            <Owner as nanoserde::DeBin>::deserialize_bin(&held.value.bytes)
        };
        let owners: Vec<Result<Owner, _>> = self.store.iter().filter(is_own).map(read).collect();
        for owner in owners {
            match owner {
                Ok(owner) => self.owner_told(owner),
                Err(error) => log::warn!("an owner on this disk: {error}"),
            }
        }
    }

    /// `GET /shards`: who owns what, under which number, and how the portions stand.
    pub(crate) fn list_shards(&mut self, token: u64) {
        let Some(conf) = self.conf.as_ref() else {
            return self.respond_no_configuration(token);
        };
        let members = self.membership.access_nodes(self.now);
        let nodes: BTreeSet<&str> = members.keys().map(String::as_str).collect();
        let seats = wv_shard_assignment::seats(&conf.partners, &nodes);
        let quotas = wv_shard_assignment::quotas(&conf.partners, &seats, conf.shards.len());
        let partner_of = |node: &str| seats.iter().position(|seat| seat.contains(&node));
        let owner = |service: &String| self.feed.owners().get(service);
        let shards: Vec<serde_json::Value> = conf
            .shards
            .iter()
            .map(|service| {
                let held = owner(service);
                serde_json::json!({
                    "shard": service, "owner": held.map(|held| held.node.as_str()),
                    "place": held.map(|held| held.handover_address.as_str()),
                    "number": held.map_or(0, |held| held.epoch), "moving": self.owner_writes.contains(service),
                    "partner": held.and_then(|held| partner_of(&held.node)).map(|at| conf.partners[at].label.as_str()),
                    "live": held.is_some_and(|held| nodes.contains(held.node.as_str())),
                })
            })
            .collect();
        let held = |at: usize| {
            let its = |service: &&String| owner(service).and_then(|held| partner_of(&held.node)) == Some(at);
            conf.shards.iter().filter(its).count()
        };
        let partners: Vec<serde_json::Value> = conf
            .partners
            .iter()
            .enumerate()
            .map(|(at, partner)| {
                serde_json::json!({
                    "label": partner.label, "portion": partner.portion, "wanted": quotas[at], "held": held(at),
                    "nodes": seats[at],
                })
            })
            .collect();
        self.respond(
            token,
            200,
            serde_json::json!({ "shards": shards, "partners": partners, "fresh": self.is_caught_up() }).to_string(),
        );
    }
}
