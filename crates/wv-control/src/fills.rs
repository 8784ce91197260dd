//! How full planned shards are, what their forecasts say, and the operators' calls on them.
use crate::conf::error_body;
use crate::core::Core;
use crate::shards::Shard;
use nanoserde::{DeBin, SerBin};
use wv_internal_protocol::Message;
use wv_shard_forecast::{advise, forecast, Advice, History, KeySample, Need, Outlook, Sample, METHOD};

/// What was measured is written no more often than this.
const PUT_US: u64 = 2_000_000;
/// Points and forecasts are made this often.
const LOOK_US: u64 = 60_000_000;
/// What operators are told of the progress is passed on this often.
const TELL_US: u64 = 1_000_000;
/// A split that was requested may run this long.
pub(crate) const REQUEST_US: u64 = 3_600_000_000;
/// What a move takes besides its rows: promotions, last copies.
const MOVE_US: u64 = 60_000_000;

/// What the register holds of a shard's measures.
#[derive(SerBin, DeBin, Clone, Default, Debug)]
pub struct Kept {
    pub entries: Vec<KeySample>,
    pub history: History,
    pub advice: Option<Advice>,
    /// Until when a requested split may run, 0 for none.
    pub wanted_until_us: u64,
}

#[derive(Default)]
pub(crate) struct Fill {
    pub sample: Sample,
    pub history: History,
    pub advice: Option<Advice>,
    pub wanted_until_us: u64,
    pub outlook: Option<Outlook>,
    pub is_due: bool,
    /// A write of it, or of a part of the names, is under way.
    is_putting: bool,
    put_at: u64,
    pub looked_at: u64,
    told_at: u64,
    /// Who waits to hear that its names are kept: not yet in a write, and in the one under way.
    acks: Vec<(String, u64, u64)>,
    acked: Vec<(String, u64, u64)>,
    /// Calls of operators that wait until all is kept.
    pub calls: Vec<u64>,
}

impl Fill {
    /// What stood in the register comes to what was heard since.
    pub fn load(&mut self, kept: Kept) {
        self.sample.merge(kept.entries);
        self.history.merge(&kept.history);
        self.advice = kept.advice.or(self.advice.take());
        self.wanted_until_us = self.wanted_until_us.max(kept.wanted_until_us);
        (self.is_putting, self.is_due) = (false, true);
    }

    fn kept(&self) -> Kept {
        Kept {
            entries: self.sample.entries().collect(),
            history: self.history.clone(),
            advice: self.advice.clone(),
            wanted_until_us: self.wanted_until_us,
        }
    }
}

impl Core {
    /// Rows and bytes that the shard is thought to hold: what was there before, and what was written since.
    pub(crate) fn shard_totals(&self, shard: &str, held: &Shard) -> (u64, u64) {
        let (from, until) = self.held_slots(shard);
        let first = self.first_slots(shard);
        let part = f64::from(until - from) / f64::from((first.1 - first.0).max(1));
        let (rows, bytes) = held.fill.sample.totals(|slot| (from..until).contains(&slot));
        let base = self.shard_plan(shard).map_or((0, 0), |plan| (plan.base_rows, plan.base_bytes));
        (rows + (base.0 as f64 * part) as u64, bytes + (base.1 as f64 * part) as u64)
    }

    fn held_slots(&self, shard: &str) -> (u16, u16) {
        let moved = self.feed.slots().get(shard).map(|map| map.moved.clone()).unwrap_or_default();
        wv_shard_split::held(self.first_slots(shard), &moved)
    }

    /// Until when a split that is wanted now may run.
    pub(crate) fn wanted_until(&self, shard: &str, held: &Shard) -> Option<u64> {
        let plan = self.shard_plan(shard)?;
        let now = self.epoch_us();
        let moved_us = self.feed.slots().get(shard).map_or(0, |map| map.last_moved_us);
        if held.fill.wanted_until_us > now {
            return Some(held.fill.wanted_until_us);
        }
        let advice = held.fill.advice.as_ref().filter(|_| plan.is_auto)?;
        let is_open = (advice.from_us..advice.until_us).contains(&now) && plan.quiet.is_open(now);
        (is_open && advice.raised_us > moved_us).then_some(advice.until_us)
    }

    /// Measures, forecasts and writes what belongs to one shard.
    pub(crate) fn run_fill(&mut self, shard: &str) {
        let (now, epoch) = (self.now, self.epoch_us());
        if !self.shards.get(shard).is_some_and(|held| held.split.has_ballot()) {
            return;
        }
        let Some(mut held) = self.shards.remove(shard) else { return };
        let moved_us = self.feed.slots().get(shard).map_or(0, |map| map.last_moved_us);
        let fill = &mut held.fill;
        // The split that was asked for is done, or its time is over.
        if fill.wanted_until_us > 0 && (fill.wanted_until_us <= epoch || moved_us + REQUEST_US > fill.wanted_until_us) {
            (fill.wanted_until_us, fill.is_due) = (0, true);
        }
        if fill.advice.as_ref().is_some_and(|advice| moved_us > advice.raised_us) {
            // What grows on here is what stayed.
            fill.history.scale(0.5);
            (fill.advice, fill.is_due) = (None, true);
        }
        if fill.looked_at + LOOK_US <= now || fill.looked_at == 0 {
            held.fill.looked_at = now;
            let (rows, bytes) = self.shard_totals(shard, &held);
            held.fill.history.note(epoch, rows, bytes);
            self.look_ahead(shard, &mut held);
        }
        self.put_due(shard, &mut held);
        let is_kept = !held.fill.is_due && !held.fill.is_putting && held.split.names.is_kept();
        let calls = if is_kept { std::mem::take(&mut held.fill.calls) } else { Vec::new() };
        calls.into_iter().for_each(|token| self.respond(token, 200, "{}"));
        if is_kept {
            // Whoever named only what was known already waits for nothing.
            let acks = std::mem::take(&mut held.fill.acks);
            acks.into_iter().for_each(|ack| self.tell_filled(shard, ack));
        }
        if held.fill.told_at + TELL_US <= now {
            held.fill.told_at = now;
            let text = self.describe(shard, &held).to_string();
            if self.shard_status.get(shard) != Some(&text) {
                self.send_peers(&Message::ShardStatus { shard: shard.to_owned(), text: text.clone() });
                self.shard_status.insert(shard.to_owned(), text);
            }
        }
        self.shards.insert(shard.to_owned(), held);
    }

    fn look_ahead(&self, shard: &str, held: &mut Shard) {
        let Some(plan) = self.shard_plan(shard) else { return };
        let level = |max: u64| (max as f64 * plan.warn_at) as u64;
        let outlook = forecast(&held.fill.history, (level(plan.rows_max), level(plan.bytes_max)), METHOD);
        let rows = held.fill.history.points().last().map_or(0, |point| point.rows);
        let move_us = MOVE_US + rows / 2 * 1_000_000 / u64::from(plan.rows_per_s);
        let need = Need { now_us: self.epoch_us(), windows: plan.quiet.windows(self.epoch_us(), 4), move_us };
        let (advice, is_news) = advise(&outlook, &need, held.fill.advice.as_ref());
        if is_news {
            match &advice {
                Some(advice) => log::warn!(
                    "forecast: shard {shard} reaches its level at {} at the earliest; split it between {} and {}",
                    wv_calendar::text(advice.early_us),
                    wv_calendar::text(advice.from_us),
                    wv_calendar::text(advice.until_us)
                ),
                None => log::warn!("forecast: shard {shard} has time again, no split is due"),
            }
        }
        held.fill.is_due |= is_news || advice != held.fill.advice;
        (held.fill.advice, held.fill.outlook) = (advice, Some(outlook));
    }

    /// One write at a time: new names first, since requests wait for them; then the measures; then parts of the names.
    fn put_due(&mut self, shard: &str, held: &mut Shard) {
        if held.fill.is_putting {
            return;
        }
        let is_fill_due = held.fill.is_due && (held.fill.put_at + PUT_US <= self.now || !held.fill.calls.is_empty());
        held.fill.is_putting = true;
        if let Some(text) = held.split.names.take_fresh() {
            held.fill.acked = std::mem::take(&mut held.fill.acks);
            self.write_new_keys(shard, held.next_version(), &text);
        } else if is_fill_due {
            (held.fill.is_due, held.fill.put_at) = (false, self.now);
            self.write_fill(shard, held.next_version(), SerBin::serialize_bin(&held.fill.kept()));
        } else if let Some((at, text)) = held.split.names.take_dirty() {
            self.write_keys(shard, held.next_version(), (at, &text));
        } else {
            held.fill.is_putting = false;
        }
    }

    /// A write of one part came to its end.
    pub(crate) fn part_kept(&mut self, shard: &str, part: &crate::shard_registers::ShardRegisterOp, is_ours: bool) {
        let Some(held) = self.shards.get_mut(shard) else { return };
        held.fill.is_putting = false;
        let acked = std::mem::take(&mut held.fill.acked);
        match (part, is_ours) {
            (crate::shard_registers::ShardRegisterOp::WriteKeys(_), true) => held.split.names.written(),
            (crate::shard_registers::ShardRegisterOp::WriteKeys(at), false) => held.split.names.put_back(*at),
            (crate::shard_registers::ShardRegisterOp::WriteNewKeys, false) => held.split.names.renew(),
            (crate::shard_registers::ShardRegisterOp::WriteFill, false) => held.fill.is_due = true,
            _ => {}
        }
        if !is_ours {
            // Nodes tell it again; operators hear that it is not kept.
            let calls = std::mem::take(&mut held.fill.calls);
            return calls.into_iter().for_each(|token| self.respond(token, 503, error_body("not kept, call again")));
        }
        acked.into_iter().for_each(|ack| self.tell_filled(shard, ack));
        self.run_fill(shard);
    }

    /// Told of the report of this node's life under this serial: another life's may have the same one.
    fn tell_filled(&mut self, shard: &str, (node, life, serial): (String, u64, u64)) {
        let msg = Message::KeySamplesAck { node: node.clone(), shard: shard.to_owned(), incarnation: life, serial };
        self.tell_node(&node, msg);
    }

    /// A node's report: to the holder, or into what is held here.
    pub(crate) fn take_fill(&mut self, node: &str, fill: wv_internal_protocol::ShardReport) {
        let holder = self.shard_holder(&fill.shard);
        if holder != self.address {
            self.send_peer(&holder, Message::PeerKeySamples { node: node.to_owned(), samples: fill });
            return;
        }
        let Some(held) = self.shards.get_mut(&fill.shard).filter(|held| held.split.has_ballot()) else { return };
        held.fill.is_due |= held.fill.sample.merge(fill.samples) > 0;
        fill.keys.iter().for_each(|name| held.split.names.add(name));
        let ack = (node.to_owned(), fill.incarnation, fill.serial);
        if held.split.names.is_kept() && !held.fill.is_putting {
            return self.tell_filled(&fill.shard, ack);
        }
        if !held.fill.acks.contains(&ack) {
            held.fill.acks.push(ack);
        }
        self.run_fill(&fill.shard);
    }
}
