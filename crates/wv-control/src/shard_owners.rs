//! Shard ownership among partners: target assignment and changes of owner.
use crate::core::Core;
use crate::types::Operation;
use std::collections::{BTreeMap, BTreeSet};
use wv_consensus::OperationOutcome;
use wv_internal_protocol::{FeedUpdate, Message, Owner};

/// Minimum interval between moves by this node that only rebalance.
const REBALANCE_INTERVAL_US: u64 = 300_000;
/// How long contact must have lasted before shards are assigned, so that membership is known.
const STABLE_CONTACT_US: u64 = 1_500_000;

fn owner_key(service: &str) -> String {
    format!("own/{service}")
}

impl Core {
    /// Assigns shards to their target owners, for those whose assignment duty is held here.
    pub(crate) fn assign_shards(&mut self) {
        let Some(configuration) =
            self.configuration.as_ref().filter(|configuration| !configuration.partners.is_empty())
        else {
            return;
        };
        if !self.is_stable_for(STABLE_CONTACT_US) || self.is_leaving {
            return;
        }
        let members = self.membership.access_nodes(self.now);
        let owners: BTreeMap<String, String> =
            self.feed.owners().values().map(|owner| (owner.service.clone(), owner.node.clone())).collect();
        let owned: BTreeSet<&str> = owners.values().map(String::as_str).collect();
        let is_eligible = |session: &&wv_internal_protocol::Session| {
            !session.is_leaving
                && !session.forwarding_address.is_empty()
                && (!session.is_new || owned.contains(session.node.as_str()))
        };
        let nodes: BTreeSet<&str> = members.values().filter(is_eligible).map(|session| session.node.as_str()).collect();
        let targets =
            wv_shard_assignment::assign_owners(&configuration.partners, &nodes, &configuration.shards, &owners);
        let is_due = |(service, node): &(String, String)| {
            let owner = owners.get(service);
            let is_lost = owner.is_none_or(|owner| members.get(owner).is_none_or(|session| session.is_leaving));
            let is_moved = owner != Some(node) || self.has_owner_moved(service, &members);
            let is_held = self.membership.is_duty_holder(&owner_key(service)) && !self.owner_writes.contains(service);
            is_held && is_moved && (is_lost || self.last_rebalance + REBALANCE_INTERVAL_US <= self.now)
        };
        let due: Vec<(String, String)> = targets.into_iter().filter(is_due).collect();
        let is_lost = |service: &str| owners.get(service).is_none_or(|owner| !nodes.contains(owner.as_str()));
        // All shards without an owner are assigned at once; rebalancing moves one at a time.
        let (lost, unbalanced): (Vec<_>, Vec<_>) = due.into_iter().partition(|(service, _)| is_lost(service));
        if !unbalanced.is_empty() {
            self.last_rebalance = self.now;
        }
        for (service, node) in lost.into_iter().chain(unbalanced.into_iter().take(1)) {
            self.owner_writes.push(service.clone());
            self.write_shard_owner(service, node);
        }
    }

    /// Writes the new owner with the next epoch.
    fn write_shard_owner(&mut self, service: String, node: String) {
        let Some(forwarding_address) =
            self.membership.access_nodes(self.now).get(&node).map(|session| session.forwarding_address.clone())
        else {
            return self.owner_writes.retain(|other| *other != service);
        };
        let (token, key) = (self.allocate_id(), owner_key(&service));
        self.operations.insert(token, Operation::WriteOwner(service.clone()));
        let owner = Owner { service, node, forwarding_address, epoch: 0 };
        let edit: wv_consensus::UpdateFn = Box::new(move |current| {
            let number = current.version + 1;
            Some(wv_consensus::register_value(
                number,
                nanoserde::SerBin::serialize_bin(&Owner { epoch: number, ..owner.clone() }),
            ))
        });
        self.proposer.start(token, &key, Some(edit), self.now);
    }

    /// Whether the owner restarted under the same name at another address.
    fn has_owner_moved(&self, service: &str, members: &BTreeMap<String, wv_internal_protocol::Session>) -> bool {
        let owner = self.feed.owners().get(service);
        owner.is_some_and(|owner| {
            members.get(&owner.node).is_some_and(|session| {
                !session.forwarding_address.is_empty() && session.forwarding_address != owner.forwarding_address
            })
        })
    }

    /// Sends an owner to the peers only once it is stored on a majority.
    pub(crate) fn on_owner_written(&mut self, service: &str, outcome: OperationOutcome) {
        self.owner_writes.retain(|other| other != service);
        let (OperationOutcome::Written(cell) | OperationOutcome::Unchanged(cell)) = outcome else { return };
        let Ok(owner) = <Owner as nanoserde::DeBin>::deserialize_bin(&cell.bytes) else { return };
        self.send_peers(&Message::Owner(owner.clone()));
        self.on_owner(owner);
    }

    pub(crate) fn on_owner(&mut self, owner: Owner) {
        let known_epoch = self.feed.owners().get(&owner.service).map_or(0, |known| known.epoch);
        if owner.epoch > known_epoch {
            log::info!("shard {} goes to {} under {}", owner.service, owner.node, owner.epoch);
            self.publish(FeedUpdate::Owner(owner));
        }
    }

    /// Loads owners from this disk as hints after a restart: a node that no longer owns a shard rejects requests for
    /// it.
    pub(crate) fn load_owners(&mut self) {
        let is_own = |(key, state): &(&str, &wv_internal_protocol::AcceptorState)| {
            key.starts_with("own/") && !state.value.bytes.is_empty()
        };
        let read = |(_, state): (&str, &wv_internal_protocol::AcceptorState)| {
            <Owner as nanoserde::DeBin>::deserialize_bin(&state.value.bytes)
        };
        let owners: Vec<Result<Owner, _>> = self.store.iter().filter(is_own).map(read).collect();
        for owner in owners {
            match owner {
                Ok(owner) => self.on_owner(owner),
                Err(error) => log::warn!("cannot decode a stored shard owner, ignoring it: {error}"),
            }
        }
    }

    /// `GET /shards`: owners with their epochs, and the portions of the partners.
    pub(crate) fn list_shards(&mut self, token: u64) {
        let Some(configuration) = self.configuration.as_ref() else {
            return self.respond_no_configuration(token);
        };
        let members = self.membership.access_nodes(self.now);
        let nodes: BTreeSet<&str> = members.keys().map(String::as_str).collect();
        let partner_nodes = wv_shard_assignment::live_nodes_by_partner(&configuration.partners, &nodes);
        let quotas = wv_shard_assignment::quotas(&configuration.partners, &partner_nodes, configuration.shards.len());
        let partner_of = |node: &str| partner_nodes.iter().position(|nodes| nodes.contains(&node));
        let owner = |service: &String| self.feed.owners().get(service);
        let shards: Vec<serde_json::Value> = configuration
            .shards
            .iter()
            .map(|service| {
                let current = owner(service);
                let partner = current.and_then(|current| partner_of(&current.node));
                serde_json::json!({
                    "shard": service, "owner": current.map(|current| current.node.as_str()),
                    "place": current.map(|current| current.forwarding_address.as_str()),
                    "number": current.map_or(0, |current| current.epoch), "moving": self.owner_writes.contains(service),
                    "partner": partner.map(|at| configuration.partners[at].label.as_str()),
                    "live": current.is_some_and(|current| nodes.contains(current.node.as_str())),
                })
            })
            .collect();
        let shard_count = |at: usize| {
            let is_of_partner =
                |service: &&String| owner(service).and_then(|current| partner_of(&current.node)) == Some(at);
            configuration.shards.iter().filter(is_of_partner).count()
        };
        let partners: Vec<serde_json::Value> = configuration
            .partners
            .iter()
            .enumerate()
            .map(|(at, partner)| {
                serde_json::json!({
                    "label": partner.label, "portion": partner.portion, "wanted": quotas[at], "held": shard_count(at),
                    "nodes": partner_nodes[at],
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
