//! Orders that wait for a read: what is refused, or taken, because of what stands elsewhere is judged by what a majority
//! holds, never by what this node happens to know.
use crate::conf::cause;
use crate::core::Core;
use crate::order::{digest, take, Order};
use crate::types::Waiting;
use std::collections::BTreeSet;
use wv_consensus::OperationOutcome;
use wv_internal_protocol::SlotMap;

/// Callers wait a second.
const LIMIT_US: u64 = 800_000;
/// More orders than this never wait at once.
const PENDING_MAX: usize = 32;

const UNREAD: &str = "{\"cause\":\"no majority of the voters answers\"}";

/// An order under judgement.
pub(crate) struct Pending {
    token: u64,
    body: Vec<u8>,
    /// Shards whose plan it drops, whose maps are still being read; `None` until this node has caught up.
    shards: Option<BTreeSet<String>>,
    limit: u64,
}

impl Core {
    /// A valid configuration: taken at once where nothing has to be read first.
    pub(crate) fn judge(&mut self, token: u64, conf: &wv_configuration::Configuration, body: &[u8]) {
        if self.pending.len() >= PENDING_MAX {
            return self.ret(token, 503, UNREAD);
        }
        let limit = self.now + LIMIT_US;
        let pending = |shards| Pending { token, body: body.to_vec(), shards, limit };
        if !self.is_caught_up() {
            return self.pending.push(pending(None));
        }
        let dropped = self.dropped_plans(conf);
        if dropped.is_empty() {
            return self.order(token, conf.version, body);
        }
        self.pending.push(pending(Some(dropped.clone())));
        for shard in dropped {
            let read = self.fresh_id();
            self.waiting.insert(read, Waiting::Judge(token, shard.clone()));
            self.quorum.start(read, &crate::shards::register_key("slots", &shard), None, self.now);
        }
        self.run_quorum();
    }

    /// Shards that are planned, or have moved slots, and would lose their plan.
    fn dropped_plans(&self, conf: &wv_configuration::Configuration) -> BTreeSet<String> {
        let is_kept = |shard: &&String| conf.shard_plans.iter().any(|plan| plan.shard == **shard);
        let planned = self.conf.iter().flat_map(|held| held.shard_plans.iter().map(|plan| &plan.shard));
        let moved = self.feed.slots().values().filter(|map| !map.moved.is_empty()).map(|map| &map.shard);
        let is_news = conf.version > self.published;
        planned.chain(moved).filter(|shard| is_news && !is_kept(shard)).cloned().collect()
    }

    /// The map of a shard whose plan is to go, as a majority holds it.
    pub(crate) fn judged(&mut self, token: u64, shard: &str, outcome: OperationOutcome) {
        let Some(at) = self.pending.iter().position(|pending| pending.token == token) else { return };
        let map = match outcome {
            OperationOutcome::Read(cell) if cell.bytes.is_empty() => Some(SlotMap::default()),
            OperationOutcome::Read(cell) => nanoserde::DeBin::deserialize_bin(&cell.bytes).ok(),
            _ => None,
        };
        let Some(map) = map else {
            self.pending.swap_remove(at);
            return self.ret(token, 503, UNREAD);
        };
        // What has moved is found only through its plan.
        if !map.moved.is_empty() {
            self.pending.swap_remove(at);
            let text = format!("shardPlans: slots of {shard} have moved, so its plan has to stay");
            return self.ret(token, 400, cause(&text));
        }
        let left = self.pending[at].shards.get_or_insert_default();
        left.remove(shard);
        if left.is_empty() {
            let pending = self.pending.swap_remove(at);
            match self.read_conf(&pending.body) {
                Ok(conf) => self.order(token, conf.version, &pending.body),
                Err(error) => self.ret(token, 400, cause(&error.to_string())),
            }
        }
    }

    /// No configuration is known here: there is none only where this node has caught up.
    pub(crate) fn ret_none(&mut self, token: u64) {
        if self.is_caught_up() {
            return self.ret(token, 404, cause("no configuration has been taken yet"));
        }
        self.ret(token, 503, UNREAD)
    }

    fn order(&mut self, token: u64, number: u64, body: &[u8]) {
        let order = Order { number, digest: digest(body) };
        self.waiting.insert(token, Waiting::Put(order));
        self.quorum.start(token, crate::core::CONF, Some(take(order, self.packs.compress(body))), self.now);
        self.run_quorum();
    }

    /// This node has caught up: what waited for it goes on.
    pub(crate) fn take_pending(&mut self) {
        let is_waiting = |pending: &Pending| pending.shards.is_none();
        let (due, rest) = std::mem::take(&mut self.pending).into_iter().partition(is_waiting);
        self.pending = rest;
        let due: Vec<Pending> = due;
        due.into_iter().for_each(|pending| self.put_conf(pending.token, Some(&pending.body)));
    }

    /// Contact is lost: callers go elsewhere at once.
    pub(crate) fn refuse_pending(&mut self) {
        let over = std::mem::take(&mut self.pending);
        over.into_iter().for_each(|pending| self.ret(pending.token, 503, UNREAD));
    }

    pub(crate) fn end_pending(&mut self) {
        let now = self.now;
        let (over, rest) = std::mem::take(&mut self.pending).into_iter().partition(|pending| pending.limit <= now);
        self.pending = rest;
        let over: Vec<Pending> = over;
        over.into_iter().for_each(|pending| self.ret(pending.token, 503, UNREAD));
    }
}
