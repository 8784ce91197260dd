//! Heartbeats of databases: ordered by their sequence, replicated to the other control nodes and published.
use crate::configuration::error_body;
use crate::core::Core;
use crate::leave_ages::ReportSource;
use wv_internal_protocol::{FeedUpdate, Instance, Leader, Message};

/// Time within which a promoted database is expected to report itself as primary.
const LEADER_REPORT_TIMEOUT_US: u64 = 4_000_000;
const HEARTBEAT_MAX_BYTES: usize = 16 << 10;

pub(crate) const NO_MAJORITY: &str = "{\"cause\":\"no majority of the voters hears this node\"}";

/// Role information from heartbeats and from the control nodes.
#[derive(Default)]
pub(crate) struct Leadership {
    /// Databases whose last heartbeat reported the replica role.
    pub replicas: std::collections::BTreeSet<String>,
    /// The database of each service that was promoted last, with its term.
    pub promoted: std::collections::BTreeMap<String, Leader>,
}

fn parse_heartbeat(id: &str, body: &[u8]) -> Result<Instance, String> {
    let value: serde_json::Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let reader = wv_configuration::Reader::new(&value);
    let instance = || -> Result<Instance, wv_configuration::PathError> {
        Ok(Instance {
            id: id.to_owned(),
            service: reader.string("destination")?.to_owned(),
            address: reader.string("address")?.to_owned(),
            zone: reader.string("zone").unwrap_or_default().to_owned(),
            capacity: reader.integer_or("capacity", 1)?.clamp(1, 1 << 20) as u32,
            draining: reader.string("state")? == "draining",
            cold_left_us: if reader.has("coldLeftMs") { (reader.number("coldLeftMs")? * 1000.0) as u64 } else { 0 },
            primary: reader.has("dbRole") && reader.string("dbRole")? == "primary",
            sequence: reader.integer("sequence")?,
            gone: false,
            leaving_age_us: 0,
        })
    };
    let instance = instance().map_err(|error| error.to_string())?;
    let is_address = instance.address.parse::<std::net::SocketAddr>().is_ok();
    is_address.then_some(instance).ok_or_else(|| "address is not IP:PORT".to_owned())
}

impl Core {
    pub(crate) fn put_instance(&mut self, token: u64, id: &str, body: Option<&[u8]>) {
        let Some(body) = body.filter(|body| body.len() <= HEARTBEAT_MAX_BYTES) else {
            return self.respond(token, 413, "{\"cause\":\"the heartbeat body is too large\"}");
        };
        match parse_heartbeat(id, body) {
            Ok(instance) => {
                let is_leave = instance.draining && !self.leave_acks.is_acknowledged(id);
                self.apply_heartbeat(token, instance, is_leave);
            }
            Err(text) => self.respond(token, 400, error_body(&text)),
        }
    }

    /// An instance that is unknown here may be known elsewhere, so its departure is replicated as well.
    pub(crate) fn delete_instance(&mut self, token: u64, id: &str) {
        let known =
            self.table.get(id).cloned().unwrap_or_else(|| Instance { id: id.to_owned(), ..Instance::default() });
        self.apply_heartbeat(token, Instance { gone: true, ..known }, true);
    }

    /// Stores and replicates a heartbeat. It is acknowledged only while a majority is in contact: at once if the
    /// database stays, and after enough other nodes stored it if the database leaves.
    fn apply_heartbeat(&mut self, token: u64, instance: Instance, is_leave: bool) {
        let changed = self.table.merge(instance.clone());
        self.record_leave_time(&instance, ReportSource::Database);
        self.publish_instances(&changed, true);
        self.on_database_reported(&instance);
        // An unchanged heartbeat also names the leader if none is known.
        self.update_leader(&instance, false);
        if !is_leave && !changed.is_empty() {
            self.broadcast_instances(&changed);
        }
        // During startup no node has contact, so sending the database to another one would not help.
        if !self.has_majority() && (is_leave || !self.is_starting()) {
            if is_leave {
                self.broadcast_instances(&[instance]);
            }
            return self.respond(token, 503, NO_MAJORITY);
        }
        if !is_leave {
            return self.respond(token, 200, "{}");
        }
        let (requester, request, id) = (self.proposer.incarnation(), self.proposer.next_request(), instance.id.clone());
        self.send_peers(&Message::Instance { requester, request, instance });
        self.leave_acks.add(token, request, id, self.now);
        self.acknowledge_leaves();
    }

    fn broadcast_instances(&mut self, instances: &[Instance]) {
        for instance in instances {
            self.send_peers(&Message::Instance { requester: 0, request: 0, instance: instance.clone() });
        }
    }

    /// Publishes changed instances and derives the leader from them. Only direct reports can show that a replica became
    /// primary.
    pub(crate) fn publish_instances(&mut self, instances: &[Instance], is_direct: bool) {
        self.is_table_unsaved |= !instances.is_empty();
        for instance in instances {
            if instance.gone {
                self.departures.insert(instance.id.clone(), crate::departed::Departure::new(self.now));
            }
            let was_replica = self.leadership.replicas.remove(&instance.id);
            if !instance.primary && !instance.gone {
                self.leadership.replicas.insert(instance.id.clone());
            }
            self.publish(FeedUpdate::Instance(instance.clone()));
            self.update_leader(instance, is_direct && was_replica);
        }
        self.track_restarts(instances);
    }

    /// Derives the leader of a service from a heartbeat that reports the primary role.
    ///
    /// Guards against a deposed primary that keeps reporting its old role: a known leader is replaced only by the
    /// promoted database, by a replica that became primary, or after the leader departed or failed to report itself in
    /// time.
    fn update_leader(&mut self, reported: &Instance, is_new_primary: bool) {
        // Use the table entry, since the heartbeat may be out of order.
        let Some(instance) = self.table.get(&reported.id).filter(|instance| instance.primary && !instance.gone) else {
            return;
        };
        let leader = self.feed.leader(&instance.service);
        let is_replaceable = leader.is_none_or(|leader| {
            let known = self.table.get(&leader.id);
            let promoted =
                self.leadership.promoted.get(&instance.service).filter(|promoted| promoted.term == leader.term);
            let report_deadline =
                self.leader_changed_at.get(&instance.service).map_or(0, |at| at + LEADER_REPORT_TIMEOUT_US);
            known.is_some_and(|known| known.gone)
                || (known.is_none_or(|known| !known.primary) && (leader.term == 0 || report_deadline <= self.now))
                || promoted.is_some_and(|promoted| promoted.id == instance.id)
        });
        if leader.is_none_or(|leader| leader.id != instance.id) && (is_new_primary || is_replaceable) {
            let term = leader.map_or(0, |leader| leader.term);
            let leader = Leader { service: instance.service.clone(), id: instance.id.clone(), term };
            self.record_leader_change(&leader);
            self.publish(FeedUpdate::Leader(leader));
            self.is_table_unsaved = true;
        }
    }

    /// Whether the leader reports that it is a replica although it should have reported itself as primary by now.
    pub(crate) fn has_leader_stepped_down(&self, service: &str, leader: &str) -> bool {
        let report_deadline = self.leader_changed_at.get(service).map_or(0, |at| at + LEADER_REPORT_TIMEOUT_US);
        self.leadership.replicas.contains(leader) && report_deadline <= self.now
    }

    /// The leader of a service as published by this node.
    pub fn leader(&self, service: &str) -> Option<&Leader> {
        self.feed.leader(service)
    }

    pub(crate) fn merge_peer_instance(&mut self, instance: Instance) {
        let changed = self.table.merge(instance.clone());
        self.record_leave_time(&instance, ReportSource::Peer);
        self.publish_instances(&changed, true);
        self.on_database_reported(&instance);
    }

    pub(crate) fn list_instances(&mut self, token: u64) {
        let list: Vec<serde_json::Value> = self
            .table
            .iter()
            .filter(|instance| !instance.gone)
            .map(|instance| {
                serde_json::json!({
                    "id": instance.id, "destination": instance.service, "address": instance.address,
                    "zone": instance.zone,
                    "state": if instance.draining { "draining" } else { "in_service" },
                    "dbRole": if instance.primary { "primary" } else { "replica" }, "sequence": instance.sequence,
                })
            })
            .collect();
        self.respond(token, 200, serde_json::json!({ "instances": list, "fresh": self.is_caught_up() }).to_string());
    }
}
