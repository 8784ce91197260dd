//! Beats of databases: ordered by their sequence, spread to the other control nodes, published.
use crate::conf::cause;
use crate::core::Core;
use crate::leave_ages::ReportSource;
use wv_internal_protocol::{FeedUpdate, Instance, Leader, Message};

/// Within this a database that was promoted says so itself.
const LED_US: u64 = 4_000_000;
const BEAT_BYTES: usize = 16 << 10;

pub(crate) const UNHEARD: &str = "{\"cause\":\"no majority of the voters hears this node\"}";

/// What beats and the control side said of who leads.
#[derive(Default)]
pub(crate) struct Claims {
    /// Databases that last said they do not lead.
    pub replicas: std::collections::BTreeSet<String>,
    /// Whom the control side last told to lead each service, and under which term.
    pub promoted: std::collections::BTreeMap<String, Leader>,
}

fn read_beat(id: &str, body: &[u8]) -> Result<Instance, String> {
    let value: serde_json::Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let reader = wv_configuration::Reader::new(&value);
    let inst = || -> Result<Instance, wv_configuration::PathError> {
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
    let inst = inst().map_err(|error| error.to_string())?;
    let is_address = inst.address.parse::<std::net::SocketAddr>().is_ok();
    is_address.then_some(inst).ok_or_else(|| "address is not IP:PORT".to_owned())
}

impl Core {
    pub(crate) fn put_inst(&mut self, token: u64, id: &str, body: Option<&[u8]>) {
        let Some(body) = body.filter(|body| body.len() <= BEAT_BYTES) else {
            return self.ret(token, 413, "{\"cause\":\"the beat is over the bound\"}");
        };
        match read_beat(id, body) {
            Ok(inst) => {
                let is_leave = inst.draining && !self.leave_acks.is_acknowledged(id);
                self.take_beat(token, inst, is_leave);
            }
            Err(text) => self.ret(token, 400, cause(&text)),
        }
    }

    /// One that is not known here may be known elsewhere: its leave is told to others like any.
    pub(crate) fn delete_inst(&mut self, token: u64, id: &str) {
        let held = self.table.get(id).cloned().unwrap_or_else(|| Instance { id: id.to_owned(), ..Instance::default() });
        self.take_beat(token, Instance { gone: true, ..held }, true);
    }

    /// What a database says is kept and told on in any case. It is acknowledged only by a node that a majority hears:
    /// at once where the database stays, and where it leaves once enough others hold it too.
    fn take_beat(&mut self, token: u64, inst: Instance, is_leave: bool) {
        let changed = self.table.merge(inst.clone());
        self.record_leave_time(&inst, ReportSource::Database);
        self.announce(&changed, true);
        // Also a beat that changes nothing says who leads, where nobody is known to.
        self.fold_lead(&inst, false);
        if !is_leave && !changed.is_empty() {
            self.spread(&changed);
        }
        // While all are starting nobody is in contact; the database need not go round among them.
        if !self.has_majority() && (is_leave || !self.is_starting()) {
            if is_leave {
                self.spread(&[inst]);
            }
            return self.ret(token, 503, UNHEARD);
        }
        if !is_leave {
            return self.ret(token, 200, "{}");
        }
        let (asker, request, id) = (self.quorum.incarnation(), self.quorum.next_request(), inst.id.clone());
        self.send_peers(&Message::Instance { requester: asker, request, instance: inst });
        self.leave_acks.add(token, request, id, self.now);
        self.acknowledge_leaves();
    }

    fn spread(&mut self, insts: &[Instance]) {
        for inst in insts {
            self.send_peers(&Message::Instance { requester: 0, request: 0, instance: inst.clone() });
        }
    }

    /// Publishes changed entries and folds who leads from them; a beat's own word weighs more than a copy's.
    pub(crate) fn announce(&mut self, insts: &[Instance], is_own_word: bool) {
        self.is_table_due |= !insts.is_empty();
        for inst in insts {
            if inst.gone {
                self.left.insert(inst.id.clone(), crate::departed::Departure::new(self.now));
            }
            let was_replica = self.claims.replicas.remove(&inst.id);
            if !inst.primary && !inst.gone {
                self.claims.replicas.insert(inst.id.clone());
            }
            self.publish(FeedUpdate::Instance(inst.clone()));
            self.fold_lead(inst, is_own_word && was_replica);
        }
        self.track_restarts(insts);
    }

    /// Beats say who leads where the control side does not know it. Under a term it does: then only the one that was
    /// promoted counts, one that was seen as a replica and has come to lead since, or any where the one that led has
    /// left or had time enough to say that it leads. Who was deposed goes on saying what it said before.
    fn fold_lead(&mut self, told: &Instance, is_raised: bool) {
        // A late beat counts no more than it does in the table.
        let Some(inst) = self.table.get(&told.id).filter(|inst| inst.primary && !inst.gone) else { return };
        let lead = self.feed.leader(&inst.service);
        let is_open = lead.is_none_or(|lead| {
            let held = self.table.get(&lead.id);
            let promoted = self.claims.promoted.get(&inst.service).filter(|held| held.term == lead.term);
            let led = self.led.get(&inst.service).map_or(0, |at| at + LED_US);
            held.is_some_and(|held| held.gone)
                || (held.is_none_or(|held| !held.primary) && (lead.term == 0 || led <= self.now))
                || promoted.is_some_and(|held| held.id == inst.id)
        });
        if lead.is_none_or(|lead| lead.id != inst.id) && (is_raised || is_open) {
            let term = lead.map_or(0, |lead| lead.term);
            let lead = Leader { service: inst.service.clone(), id: inst.id.clone(), term };
            self.record_lead_change(&lead);
            self.publish(FeedUpdate::Leader(lead));
            self.is_table_due = true;
        }
    }

    /// Who leads a service, as this node tells it.
    pub fn lead(&self, service: &str) -> Option<&Leader> {
        self.feed.leader(service)
    }

    pub(crate) fn inst_from_peer(&mut self, inst: Instance) {
        let changed = self.table.merge(inst.clone());
        self.record_leave_time(&inst, ReportSource::Peer);
        self.announce(&changed, true);
    }

    pub(crate) fn list_insts(&mut self, token: u64) {
        let list: Vec<serde_json::Value> = self
            .table
            .iter()
            .filter(|inst| !inst.gone)
            .map(|inst| {
                serde_json::json!({
                    "id": inst.id, "destination": inst.service, "address": inst.address, "zone": inst.zone,
                    "state": if inst.draining { "draining" } else { "in_service" },
                    "dbRole": if inst.primary { "primary" } else { "replica" }, "sequence": inst.sequence,
                })
            })
            .collect();
        self.ret(token, 200, serde_json::json!({ "instances": list, "fresh": self.is_caught_up() }).to_string());
    }
}
