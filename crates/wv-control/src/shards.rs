//! Planned shards: which node drives their splits, and execution of the split state machine's commands.
use crate::configuration::error_body;
use crate::core::{Core, Effect};
use crate::shard_usage::NOT_STORED;
use std::collections::BTreeMap;
use wv_internal_protocol::{DirtyKeys, Message, SlotMap};
use wv_shard_split::{Command, Event, KeyNames, Plan, Side, Split, View};

/// How long contact must have lasted before a split is driven, so that membership is known.
const STABLE_CONTACT_US: u64 = 1_000_000;

pub(crate) fn register_key(part: &str, shard: &str) -> String {
    format!("{part}/{shard}")
}

/// The registers read after the ballot was acquired.
#[derive(Default)]
pub(crate) struct ShardRegisters {
    pub map: Option<SlotMap>,
    pub usage: Option<crate::shard_usage::StoredUsage>,
    pub names: KeyNames,
}

/// State of one planned shard at its holder.
#[derive(Default)]
pub(crate) struct Shard {
    pub split: Split,
    /// The ballot, and the number of writes made under it.
    pub ballot: u64,
    pub writes: u32,
    /// Outstanding register reads after the ballot was acquired.
    pub pending_reads: usize,
    pub registers: ShardRegisters,
    pub usage: crate::shard_usage::ShardUsage,
    /// Statements running on databases: the token of the split state machine by request.
    pub runs: BTreeMap<u64, u64>,
}

impl Shard {
    /// The version for the next write: ordered by ballot, then by write number.
    pub fn next_version(&mut self) -> u64 {
        self.writes += 1;
        self.ballot << 16 | u64::from(self.writes & 0xffff)
    }
}

impl Core {
    /// Sets the time of day, in microseconds since the epoch.
    pub fn set_epoch_us(&mut self, epoch_us: u64) {
        self.epoch_offset = epoch_us.saturating_sub(self.now);
    }

    pub(crate) fn epoch_us(&self) -> u64 {
        self.epoch_offset + self.now
    }

    pub(crate) fn is_shard_holder(&self, shard: &str) -> bool {
        self.membership.is_duty_holder(&register_key("split", shard))
    }

    pub(crate) fn shard_holder(&self, shard: &str) -> String {
        self.membership.duty_holder(&register_key("split", shard)).to_owned()
    }

    pub(crate) fn shard_plan(&self, shard: &str) -> Option<&wv_configuration::ShardPlan> {
        self.configuration.as_ref()?.shard_plans.iter().find(|plan| plan.shard == shard)
    }

    /// The slots that the shard started with: all of them, or those moved to it by the split of another shard.
    pub(crate) fn initial_slots(&self, shard: &str) -> (u16, u16) {
        let moved = self.feed.slots().values().flat_map(|map| &map.moved);
        moved
            .filter(|range| range.target == shard)
            .map(|range| (range.from, range.until))
            .next()
            .unwrap_or((0, wv_internal_protocol::SLOT_COUNT))
    }

    /// Drives all shards whose split duty is held here.
    pub(crate) fn run_shards(&mut self) {
        self.sync_slots();
        let Some(configuration) = &self.configuration else { return };
        let planned = configuration.shard_plans.iter().map(|plan| plan.shard.clone());
        let names: std::collections::BTreeSet<String> = planned.chain(self.shards.keys().cloned()).collect();
        for shard in names {
            let is_known = self.shards.contains_key(&shard);
            if is_known || self.is_shard_holder(&shard) {
                self.with_shard(&shard, |split, view| split.tick(view));
                self.run_shard_usage(&shard);
            }
        }
    }

    pub(crate) fn on_split_event(&mut self, shard: &str, event: Event) {
        self.with_shard(shard, |split, view| split.on_event(event, view));
    }

    fn with_shard(&mut self, shard: &str, run: impl FnOnce(&mut Split, &View<'_>)) {
        let mut state = self.shards.remove(shard).unwrap_or_default();
        let had_ballot = state.split.has_ballot();
        // The map was reset under a higher ballot, for a plan made or withdrawn.
        let published_ballot = self.feed.slots().get(shard).map_or(0, |map| map.version >> 16);
        if state.split.has_ballot() && published_ballot > state.ballot {
            state.split.drop_ballot(self.now);
        }
        let plan = self.shard_plan(shard).map(|plan| Plan {
            shard: plan.shard.clone(),
            target: plan.upper.clone(),
            max_rows_per_s: plan.max_rows_per_s,
            seal_timeout_us: plan.seal_timeout_us,
        });
        let leader = |service: &str| self.feed.leader(service).map(|leader| (leader.id.clone(), leader.term));
        let (source, target) = (leader(shard), plan.as_ref().and_then(|plan| leader(&plan.target)));
        let capacity = source.as_ref().and_then(|(id, _)| self.table.get(id)).map_or(1, |instance| instance.capacity);
        let initial_slots = self.initial_slots(shard);
        let is_holder = self.is_shard_holder(shard) && self.is_stable_for(STABLE_CONTACT_US) && !self.is_leaving;
        let view = View {
            now_us: self.now,
            epoch_us: self.epoch_us(),
            is_holder,
            plan: plan.as_ref(),
            source_leader: source.as_ref().map(|(id, term)| (id.as_str(), *term)),
            target_leader: target.as_ref().map(|(id, term)| (id.as_str(), *term)),
            capacity,
            deadline_us: self.split_deadline_us(shard, &state),
            initial_slots,
            estimated_rows: self.shard_totals(shard, &state).0,
            is_first_configuration: self.is_first_configuration,
        };
        run(&mut state.split, &view);
        // A released or lost ballot must not be used for further writes.
        if !state.split.has_ballot() && state.pending_reads == 0 && state.split.state_name() != "claiming" {
            state.ballot = 0;
        }
        // The names that were not stored are gone with the ballot: nobody may take them for stored.
        let unstored_calls =
            if had_ballot && !state.split.has_ballot() { state.usage.drop_unstored() } else { Vec::new() };
        unstored_calls.into_iter().for_each(|token| self.respond(token, 503, error_body(NOT_STORED)));
        let commands = state.split.take_commands();
        self.shards.insert(shard.to_owned(), state);
        commands.into_iter().for_each(|command| self.apply_split_command(shard, command));
    }

    fn apply_split_command(&mut self, shard: &str, command: Command) {
        match command {
            Command::Claim => self.claim_slots(shard),
            Command::Write(map) => {
                let version = self.shards.entry(shard.to_owned()).or_default().next_version();
                self.write_slots(shard, version, map);
            }
            Command::Log(text) => log::warn!("shard {shard}: {text}"),
            Command::Run { token, side, id, statements } => {
                let plan = self.shard_plan(shard);
                let service = match side {
                    Side::Source => shard.to_owned(),
                    Side::Target => plan.map(|plan| plan.upper.clone()).unwrap_or_default(),
                };
                let Some(addr) = self.table.get(&id).map(|instance| instance.address.clone()) else {
                    return self.on_split_event(shard, Event::StatementsRun { token, replies: None });
                };
                let run = self.allocate_id();
                self.shards.entry(shard.to_owned()).or_default().runs.insert(run, token);
                self.effects.push(Effect::RunStatements { request: run, service, id, addr, statements });
            }
        }
    }

    /// Handles the replies to statements run on a database.
    pub fn on_statements_run(&mut self, run: u64, replies: Option<Vec<wv_shard_split::Reply>>, now: u64) {
        self.advance_clock(now);
        let found = self.shards.iter_mut().find_map(|(shard, state)| Some((shard.clone(), state.runs.remove(&run)?)));
        if let Some((shard, token)) = found {
            self.on_split_event(&shard, Event::StatementsRun { token, replies });
        }
        self.run_proposer();
    }

    /// Handles one of the register reads; after the last one the ballot is reported to the state machine as claimed.
    pub(crate) fn on_shard_register(&mut self, shard: &str, take: impl FnOnce(&mut ShardRegisters)) {
        let Some(state) = self.shards.get_mut(shard).filter(|state| state.pending_reads > 0) else { return };
        take(&mut state.registers);
        state.pending_reads -= 1;
        if state.pending_reads == 0 {
            let read = std::mem::take(&mut state.registers);
            state.usage.merge_stored(read.usage.unwrap_or_default());
            self.on_split_event(shard, Event::Claimed(Some((read.map, read.names))));
        }
    }

    /// Handles an access node's report of dirty keys: forwards it to the shard's holder, or to the state machine here.
    pub(crate) fn on_dirty_keys(&mut self, node: &str, dirty_keys: DirtyKeys) {
        let holder = self.shard_holder(&dirty_keys.shard);
        if holder != self.address {
            self.send_peer(&holder, Message::PeerDirtyKeys { node: node.to_owned(), dirty_keys });
            return;
        }
        let (shard, attempt, incarnation, serial) =
            (dirty_keys.shard.clone(), dirty_keys.attempt, dirty_keys.incarnation, dirty_keys.serial);
        // Without the ballot the report cannot be attributed to an attempt; the access node resends it.
        if !self.shards.get(&shard).is_some_and(|state| state.split.has_ballot()) {
            return;
        }
        self.on_split_event(&shard, Event::WriteMarks { node: node.to_owned(), marks: dirty_keys });
        self.send_to_access_node(
            node,
            Message::DirtyKeysAck { node: node.to_owned(), shard, attempt, incarnation, serial },
        );
    }

    /// Sends a message to an access node over its session here, or through the control node that has its session.
    pub(crate) fn send_to_access_node(&mut self, node: &str, message: Message) {
        let links: Vec<u64> =
            self.links.iter().filter(|(_, link)| link.node.as_deref() == Some(node)).map(|(id, _)| *id).collect();
        if links.is_empty() {
            self.send_peers(&message);
        }
        links.into_iter().for_each(|link| self.send(link, message.clone()));
    }

    /// Delivers a message for an access node that another control node forwarded.
    pub(crate) fn forward_to_access_node(&mut self, node: &str, message: &Message) {
        let links: Vec<u64> =
            self.links.iter().filter(|(_, link)| link.node.as_deref() == Some(node)).map(|(id, _)| *id).collect();
        links.into_iter().for_each(|link| self.send(link, message.clone()));
    }
}
