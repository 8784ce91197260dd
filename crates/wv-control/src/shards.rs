//! Planned shards: who drives their splits, and what the machine of each one reads and orders.
use crate::core::{Action, Core};
use std::collections::BTreeMap;
use wv_internal_protocol::{Message, SlotMap, WriteMarks};
use wv_shard_split::{Event, Names, Order, Plan, Side, Split, View};

/// A holder that has just started, or was out of contact, first hears who is there.
const SETTLE_US: u64 = 1_000_000;

pub(crate) fn key(part: &str, shard: &str) -> String {
    format!("{part}/{shard}")
}

/// What was read when the ballot was taken.
#[derive(Default)]
pub(crate) struct Read {
    pub map: Option<SlotMap>,
    pub fill: Option<crate::fills::Kept>,
    pub names: Names,
}

/// One planned shard at its holder.
#[derive(Default)]
pub(crate) struct Shard {
    pub split: Split,
    /// The ballot, and how many writes were made under it.
    pub ballot: u64,
    pub step: u32,
    /// Reads that are still out after the ballot was taken.
    pub reading: usize,
    pub read: Read,
    pub fill: crate::fills::Fill,
    pub runs: BTreeMap<u64, u64>,
}

impl Shard {
    /// The version under which the next write is made: ordered by ballots, then by writes.
    pub fn next_version(&mut self) -> u64 {
        self.step += 1;
        self.ballot << 16 | u64::from(self.step & 0xffff)
    }
}

impl Core {
    /// The time of day, in microseconds since the epoch.
    pub fn set_epoch(&mut self, epoch_us: u64) {
        self.epoch_offset = epoch_us.saturating_sub(self.now);
    }

    pub(crate) fn epoch_us(&self) -> u64 {
        self.epoch_offset + self.now
    }

    pub(crate) fn is_shard_holder(&self, shard: &str) -> bool {
        self.membership.is_duty_holder(&key("split", shard))
    }

    pub(crate) fn shard_holder(&self, shard: &str) -> String {
        self.membership.duty_holder(&key("split", shard)).to_owned()
    }

    pub(crate) fn shard_plan(&self, shard: &str) -> Option<&wv_configuration::ShardPlan> {
        self.conf.as_ref()?.plans.iter().find(|plan| plan.shard == shard)
    }

    /// The slots that the shard had at first: all, or what a split of another one brought.
    pub(crate) fn first_slots(&self, shard: &str) -> (u16, u16) {
        let moved = self.feed.slots().values().flat_map(|map| &map.moved);
        moved
            .filter(|range| range.target == shard)
            .map(|range| (range.from, range.until))
            .next()
            .unwrap_or((0, wv_internal_protocol::SLOT_COUNT))
    }

    /// Drives all shards whose key is held here.
    pub(crate) fn run_shards(&mut self) {
        self.sync_slots();
        let Some(conf) = &self.conf else { return };
        let planned = conf.plans.iter().map(|plan| plan.shard.clone());
        let names: std::collections::BTreeSet<String> = planned.chain(self.shards.keys().cloned()).collect();
        for shard in names {
            let is_known = self.shards.contains_key(&shard);
            if is_known || self.is_shard_holder(&shard) {
                self.with_shard(&shard, |split, view| split.tick(view));
                self.run_fill(&shard);
            }
        }
    }

    pub(crate) fn shard_event(&mut self, shard: &str, event: Event) {
        self.with_shard(shard, |split, view| split.event(event, view));
    }

    fn with_shard(&mut self, shard: &str, turn: impl FnOnce(&mut Split, &View<'_>)) {
        let mut held = self.shards.remove(shard).unwrap_or_default();
        let plan = self.shard_plan(shard).map(|plan| Plan {
            shard: plan.shard.clone(),
            target: plan.upper.clone(),
            pace: plan.rows_per_s,
            seal_us: plan.seal_us,
        });
        let lead = |service: &str| self.feed.lead(service).map(|lead| (lead.id.clone(), lead.term));
        let (source, target) = (lead(shard), plan.as_ref().and_then(|plan| lead(&plan.target)));
        let capacity = source.as_ref().and_then(|(id, _)| self.table.get(id)).map_or(1, |inst| inst.capacity);
        let first = self.first_slots(shard);
        let is_holder = self.is_shard_holder(shard) && self.is_settled(SETTLE_US) && !self.is_leaving;
        let view = View {
            now: self.now,
            epoch_us: self.epoch_us(),
            is_holder,
            plan: plan.as_ref(),
            source: source.as_ref().map(|(id, term)| (id.as_str(), *term)),
            target: target.as_ref().map(|(id, term)| (id.as_str(), *term)),
            capacity,
            wanted_until_us: self.wanted_until(shard, &held),
            first,
            rows: self.shard_totals(shard, &held).0,
        };
        turn(&mut held.split, &view);
        // A ballot that was let go, or lost, is worth nothing.
        if !held.split.has_ballot() && held.reading == 0 && held.split.step_name() != "claiming" {
            held.ballot = 0;
        }
        let orders = held.split.take_orders();
        self.shards.insert(shard.to_owned(), held);
        orders.into_iter().for_each(|order| self.obey_split(shard, order));
    }

    fn obey_split(&mut self, shard: &str, order: Order) {
        match order {
            Order::Claim => self.claim_slots(shard),
            Order::Write(map) => {
                let version = self.shards.entry(shard.to_owned()).or_default().next_version();
                self.write_slots(shard, version, map);
            }
            Order::Say(text) => log::warn!("shard {shard}: {text}"),
            Order::Run { token, side, id, texts } => {
                let plan = self.shard_plan(shard);
                let service = match side {
                    Side::Source => shard.to_owned(),
                    Side::Target => plan.map(|plan| plan.upper.clone()).unwrap_or_default(),
                };
                let Some(addr) = self.table.get(&id).map(|inst| inst.address.clone()) else {
                    return self.shard_event(shard, Event::Ran { token, replies: None });
                };
                let run = self.allocate_id();
                self.shards.entry(shard.to_owned()).or_default().runs.insert(run, token);
                self.actions.push(Action::RunStatements { request: run, service, id, addr, statements: texts });
            }
        }
    }

    /// What came of texts that were run at a database.
    pub fn ran(&mut self, run: u64, replies: Option<Vec<wv_shard_split::Reply>>, now: u64) {
        self.at(now);
        let found = self.shards.iter_mut().find_map(|(shard, held)| Some((shard.clone(), held.runs.remove(&run)?)));
        if let Some((shard, token)) = found {
            self.shard_event(&shard, Event::Ran { token, replies });
        }
        self.run_quorum();
    }

    /// One of the reads after the ballot was taken has come; with the last one the machine goes on.
    pub(crate) fn shard_read(&mut self, shard: &str, take: impl FnOnce(&mut Read)) {
        let Some(held) = self.shards.get_mut(shard).filter(|held| held.reading > 0) else { return };
        take(&mut held.read);
        held.reading -= 1;
        if held.reading == 0 {
            let read = std::mem::take(&mut held.read);
            held.fill.load(read.fill.unwrap_or_default());
            self.shard_event(shard, Event::Claimed(Some((read.map, read.names))));
        }
    }

    /// Marks of an access node: to the holder, or to the machine here.
    pub(crate) fn take_marks(&mut self, node: &str, marks: WriteMarks) {
        let holder = self.shard_holder(&marks.shard);
        if holder != self.address {
            self.send_peer(&holder, Message::PeerDirtyKeys { node: node.to_owned(), dirty_keys: marks });
            return;
        }
        let (shard, attempt, life, serial) = (marks.shard.clone(), marks.attempt, marks.incarnation, marks.serial);
        // Before the ballot is had nobody can say what the marks are for: the node sends them again.
        if !self.shards.get(&shard).is_some_and(|held| held.split.has_ballot()) {
            return;
        }
        self.shard_event(&shard, Event::Marks { node: node.to_owned(), marks });
        self.tell_node(
            node,
            Message::DirtyKeysAck { node: node.to_owned(), shard, attempt, incarnation: life, serial },
        );
    }

    /// A word for one access node: on its session here, or through the control node that holds it.
    pub(crate) fn tell_node(&mut self, node: &str, msg: Message) {
        let own: Vec<u64> =
            self.links.iter().filter(|(_, link)| link.node.as_deref() == Some(node)).map(|(id, _)| *id).collect();
        if own.is_empty() {
            self.send_peers(&msg);
        }
        own.into_iter().for_each(|link| self.send(link, msg.clone()));
    }

    /// The same, as another control node passed it on.
    pub(crate) fn pass_on(&mut self, node: &str, msg: &Message) {
        let own: Vec<u64> =
            self.links.iter().filter(|(_, link)| link.node.as_deref() == Some(node)).map(|(id, _)| *id).collect();
        own.into_iter().for_each(|link| self.send(link, msg.clone()));
    }
}
