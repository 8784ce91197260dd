//! The operator's calls: configurations go onto a majority of disks before anyone hears of them.
use crate::core::{Core, CONF};
use crate::order::{Decided, Order, Verdict};
use crate::types::Waiting;
use wv_consensus::{Completion, OperationOutcome};

impl Core {
    /// A call of the operator or of a database; the return comes as an act under `token`.
    pub fn call(&mut self, token: u64, method: &str, path: &str, body: Option<&[u8]>, now: u64) {
        if let Some((status, body)) = self.head(method, path, now) {
            return self.ret(token, status, body);
        }
        // Nothing is sent where it cannot come to an end: the caller goes elsewhere at once, and nothing is in doubt.
        let is_conf = path.split('?').next().is_some_and(|path| path.trim_matches('/') == "configuration");
        if is_conf && matches!(method, "PUT" | "GET") && !self.has_majority() && !self.is_starting() {
            return self.ret(token, 503, "{\"cause\":\"no majority of the voters is in contact\"}");
        }
        let steps: Vec<&str> = path.split('?').next().unwrap_or(path).trim_matches('/').split('/').collect();
        match (method, &steps[..]) {
            ("PUT", ["configuration"]) => self.put_conf(token, body),
            ("GET", ["configuration"]) => {
                self.waiting.insert(token, Waiting::Get);
                self.quorum.start(token, CONF, None, self.now);
                self.run_quorum();
            }
            ("PUT", ["instances", id]) if !id.is_empty() => self.put_inst(token, id, body),
            ("DELETE", ["instances", id]) if !id.is_empty() => self.delete_inst(token, id),
            ("GET", ["instances"]) => self.list_insts(token),
            ("GET", ["voters"]) => self.list_voters(token),
            ("GET", ["shards"]) => self.list_shards(token),
            ("GET", ["forecast" | "splits"]) => self.list_shard_status(token),
            (_, [part @ ("forecast" | "splits" | "things"), shard]) => {
                self.handle_shard_call(token, method, (part, shard), body)
            }
            (
                _,
                ["forecast" | "splits" | "shards"] | ["voters"] | ["configuration"] | ["instances"] | ["instances", _],
            ) => self.ret(token, 405, "{\"cause\":\"this method is not served here\"}"),
            _ => self.ret(token, 404, "{\"cause\":\"no such path\"}"),
        }
    }

    pub(crate) fn put_conf(&mut self, token: u64, body: Option<&[u8]>) {
        let Some(body) = body.filter(|body| body.len() <= crate::core::BODY_MAX) else {
            return self.ret(token, 413, "{\"cause\":\"the configuration is over the bound\"}");
        };
        // Checked also when its version is old: an invalid one is never acknowledged.
        let conf = match self.read_conf(body) {
            Ok(conf) => conf,
            Err(error) => return self.ret(token, 400, cause(&error.to_string())),
        };
        self.judge(token, &conf, body);
    }

    pub(crate) fn quorum_done(&mut self, done: Completion) {
        let Some(waiting) = self.waiting.remove(&done.token) else { return };
        let waiting = match waiting {
            Waiting::Claim(service, turn) => return self.on_duty_claimed(service, turn, done.outcome, &done.previous),
            Waiting::Call(call) => return self.call_confirmed(*call, done.outcome),
            Waiting::Confirm(service, turn) => return self.on_duty_confirmed(service, turn, done.outcome),
            Waiting::Swept => return,
            Waiting::Judge(token, shard) => return self.judged(token, &shard, done.outcome),
            Waiting::Own(service) => return self.on_owner_written(&service, done.outcome),
            Waiting::Keep(shard, keep) => return self.kept(shard, keep, done.outcome),
            waiting => waiting,
        };
        if done.key == CONF {
            if let OperationOutcome::Read(cell) | OperationOutcome::Written(cell) | OperationOutcome::Unchanged(cell) =
                &done.outcome
            {
                let is_news = cell.version > self.published;
                self.in_force(cell);
                if is_news && matches!(waiting, Waiting::Put(_)) {
                    self.tell_committed(CONF, done.ballot);
                }
            }
        }
        match (waiting, done.outcome) {
            (Waiting::Put(order), OperationOutcome::Written(cell) | OperationOutcome::Unchanged(cell)) => {
                self.ordered(done.token, &order, &cell)
            }
            (Waiting::Get, OperationOutcome::Read(cell)) if cell.version == 0 && cell.bytes.is_empty() => {
                self.ret(done.token, 404, "{\"cause\":\"no configuration has been taken yet\"}")
            }
            (Waiting::Get, OperationOutcome::Read(cell)) => {
                match self.packs.decompress(&Decided::read(&cell).body, crate::core::BODY_MAX) {
                    Ok(body) => self.ret(done.token, 200, body),
                    Err(error) => self.ret(done.token, 500, cause(&error.to_string())),
                }
            }
            (Waiting::Sync(spell), outcome) => self.on_conf_read(spell, matches!(outcome, OperationOutcome::Read(_))),
            (_, _) => self.ret(done.token, 503, "{\"cause\":\"no majority of the voters answers\"}"),
        }
    }

    /// What came of an order, by what stands in the register now.
    fn ordered(&mut self, token: u64, order: &Order, cell: &wv_internal_protocol::RegisterValue) {
        match Decided::read(cell).verdict(order) {
            // An older number that was never taken is acknowledged and changes nothing.
            Verdict::Taken | Verdict::Overtaken => self.ret(token, 200, "{}"),
            Verdict::Lost => {
                let text = format!("another configuration was taken under number {}", order.number);
                let body = serde_json::json!({ "cause": text, "issue": order.number, "newest": cell.version });
                self.ret(token, 409, body.to_string());
            }
            Verdict::Unknown => self.ret(token, 400, cause("issue: numbers begin at 1")),
        }
    }

    /// Another node says under which ballot what stands was accepted: a voter has it, or reads it.
    pub(crate) fn committed(&mut self, accepted: wv_internal_protocol::Ballot) {
        let held = self.store.get(CONF).filter(|held| held.accepted == accepted).map(|held| held.value.clone());
        match held {
            Some(cell) => self.in_force(&cell),
            None => self.read_newest_conf(),
        }
    }

    /// A configuration that is known to stand on a majority enters the feed, never an older one.
    pub(crate) fn in_force(&mut self, cell: &wv_internal_protocol::RegisterValue) {
        let decided = Decided::read(cell);
        let digest = decided.taken.last().map_or(0, |order| order.digest);
        if cell.version == self.published && digest != self.published_digest {
            // Cannot be while registers are decided once: a fault to be looked into, not passed over.
            log::error!("number {} stands with two contents: {digest:x}, {:x}", cell.version, self.published_digest);
        }
        if cell.version > self.published && !cell.bytes.is_empty() {
            match self.packs.decompress(&decided.body, crate::core::BODY_MAX) {
                Ok(body) => self.enter_conf(cell.version, decided.body, &body),
                Err(error) => {
                    (self.published, self.published_digest) = (cell.version, digest);
                    log::error!("the configuration in force: {error}");
                }
            }
        }
    }
}

pub(crate) fn cause(text: &str) -> Vec<u8> {
    serde_json::json!({ "cause": text }).to_string().into_bytes()
}
