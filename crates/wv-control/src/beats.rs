//! Beats of databases: ordered by their sequence, spread to the other control nodes, published.
use crate::conf::cause;
use crate::core::Core;
use crate::types::Hold;
use wv_inner::{Inst, Lead, Msg, News};

/// A database waits a second for its acknowledgement.
const HOLD_US: u64 = 700_000;
const BEAT_BYTES: usize = 16 << 10;

fn read_beat(id: &str, body: &[u8]) -> Result<Inst, String> {
    let value: serde_json::Value = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let reader = wv_conf::Reader::new(&value);
    let inst = || -> Result<Inst, wv_conf::PathError> {
        Ok(Inst {
            id: id.to_owned(),
            service: reader.text("destination")?.to_owned(),
            addr: reader.text("address")?.to_owned(),
            zone: reader.text("zone").unwrap_or_default().to_owned(),
            capacity: reader.whole_or("capacity", 1)?.clamp(1, 1 << 20) as u32,
            draining: reader.text("state")? == "draining",
            cold_us: if reader.has("coldLeftMs") { (reader.number("coldLeftMs")? * 1000.0) as u64 } else { 0 },
            primary: reader.has("dbRole") && reader.text("dbRole")? == "primary",
            sequence: reader.whole("sequence")?,
            gone: false,
        })
    };
    let inst = inst().map_err(|error| error.to_string())?;
    let is_address = inst.addr.parse::<std::net::SocketAddr>().is_ok();
    is_address.then_some(inst).ok_or_else(|| "address is not IP:PORT".to_owned())
}

impl Core {
    pub(crate) fn put_inst(&mut self, token: u64, id: &str, body: Option<&[u8]>) {
        let Some(body) = body.filter(|body| body.len() <= BEAT_BYTES) else {
            return self.ret(token, 413, "{\"cause\":\"the beat is over the bound\"}");
        };
        match read_beat(id, body) {
            Ok(inst) => {
                let is_kept = inst.draining && self.table.get(id).is_none_or(|held| !held.draining);
                self.take_beat(token, inst, is_kept);
            }
            Err(text) => self.ret(token, 400, cause(&text)),
        }
    }

    pub(crate) fn delete_inst(&mut self, token: u64, id: &str) {
        let Some(held) = self.table.get(id).cloned() else { return self.ret(token, 200, "{}") };
        self.take_beat(token, Inst { gone: true, ..held }, true);
    }

    /// Ordinary beats are acknowledged at once; a leave only when its news outlives the loss of this node.
    fn take_beat(&mut self, token: u64, inst: Inst, is_leave: bool) {
        let changed = self.table.offer(inst.clone());
        self.announce(&changed, true);
        // Also a beat that changes nothing says who leads, where nobody is known to.
        self.fold_lead(&inst, false);
        if !is_leave {
            if !changed.is_empty() {
                self.spread(&changed);
            }
            return self.ret(token, 200, "{}");
        }
        let request = self.quorum.next_request();
        let told = self.send_peers(&Msg::Inst { request, inst });
        let wanted = told.min(1 + self.peers.len() / 2);
        if wanted == 0 {
            return self.ret(token, 200, "{}");
        }
        self.holds.push(Hold { token, request, wanted: 1.max(wanted.min(2)), got: 0, limit: self.now + HOLD_US });
    }

    fn spread(&mut self, insts: &[Inst]) {
        for inst in insts {
            self.send_peers(&Msg::Inst { request: 0, inst: inst.clone() });
        }
    }

    /// Publishes changed entries and folds who leads from them; a beat's own word weighs more than a copy's.
    pub(crate) fn announce(&mut self, insts: &[Inst], is_own_word: bool) {
        self.is_table_due |= !insts.is_empty();
        for inst in insts {
            if inst.gone {
                self.left.insert(inst.id.clone(), self.now);
            }
            self.publish(News::Inst(inst.clone()));
            self.fold_lead(inst, is_own_word);
        }
        self.watch_places(insts);
    }

    fn fold_lead(&mut self, inst: &Inst, is_own_word: bool) {
        let lead = self.feed.lead(&inst.service);
        let is_led = lead.is_some_and(|lead| self.table.get(&lead.id).is_some_and(|held| held.primary && !held.gone));
        let is_new = lead.is_none_or(|lead| lead.id != inst.id);
        if inst.primary && !inst.gone && is_new && (is_own_word || !is_led) {
            let term = lead.map_or(0, |lead| lead.term);
            let lead = Lead { service: inst.service.clone(), id: inst.id.clone(), term };
            self.note_led(&lead);
            self.publish(News::Lead(lead));
            self.is_table_due = true;
        }
    }

    pub(crate) fn inst_from_peer(&mut self, inst: Inst) {
        let changed = self.table.offer(inst);
        self.announce(&changed, true);
    }

    pub(crate) fn inst_held(&mut self, request: u64) {
        let Some(at) = self.holds.iter().position(|hold| hold.request == request) else { return };
        self.holds[at].got += 1;
        if self.holds[at].got >= self.holds[at].wanted {
            let hold = self.holds.swap_remove(at);
            self.ret(hold.token, 200, "{}");
        }
    }

    /// Leaves that too few nodes hold are not acknowledged: the database calls another node.
    pub(crate) fn end_holds(&mut self) {
        let now = self.now;
        let (over, held) = std::mem::take(&mut self.holds).into_iter().partition(|hold| hold.limit <= now);
        self.holds = held;
        let over: Vec<Hold> = over;
        over.into_iter().for_each(|hold| {
            // One other copy outlives the loss of this node.
            let status = if hold.got > 0 { 200 } else { 503 };
            self.ret(hold.token, status, "{}");
        });
    }

    pub(crate) fn list_insts(&mut self, token: u64) {
        let list: Vec<serde_json::Value> = self
            .table
            .iter()
            .filter(|inst| !inst.gone)
            .map(|inst| {
                serde_json::json!({
                    "id": inst.id, "destination": inst.service, "address": inst.addr, "zone": inst.zone,
                    "state": if inst.draining { "draining" } else { "in_service" },
                    "dbRole": if inst.primary { "primary" } else { "replica" }, "sequence": inst.sequence,
                })
            })
            .collect();
        self.ret(token, 200, serde_json::json!({ "instances": list }).to_string());
    }
}
