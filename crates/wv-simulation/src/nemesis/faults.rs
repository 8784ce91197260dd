//! Applies faults to the simulated fleet and reverts them when they end.
use super::run::{Deferred, Runner};
use super::{Event, EventKind};
use crate::{NodeId, MS, S};

/// Time from SIGTERM to SIGKILL.
const TERMINATION_GRACE_US: u64 = 2 * S;
impl Runner {
    /// Looks up a node such as `a0` or `c1`; none if the schedule names a node that does not exist.
    pub(super) fn find_node(&self, name: &str) -> Option<NodeId> {
        let parse_index = |prefix| name.strip_prefix(prefix).and_then(|rest: &str| rest.parse::<usize>().ok());
        let access = parse_index('a').filter(|index| *index < self.sim.access.len()).map(NodeId::Access);
        access.or_else(|| parse_index('c').filter(|index| *index < self.sim.controls.len()).map(NodeId::Control))
    }

    fn find_database(&self, name: &str) -> Option<usize> {
        self.sim.database_index(&format!("i-{name}")).filter(|index| !self.sim.databases[*index].is_removed)
    }

    /// The name of a node or database in blocked links.
    fn endpoint_name(&self, name: &str) -> Option<String> {
        self.find_node(name).map(|_| name.to_owned()).or_else(|| self.find_database(name).map(|_| format!("i-{name}")))
    }

    fn other_endpoints(&self, names: &[String], is_core_only: bool) -> Vec<String> {
        let controls = self.sim.controls.iter().map(|node| node.name.clone());
        let access = self.sim.access.iter().map(|node| node.name.clone()).filter(|_| !is_core_only);
        let databases = self.sim.databases.iter().map(|database| database.id.clone()).filter(|_| !is_core_only);
        controls.chain(access).chain(databases).filter(|name| !names.contains(name)).collect()
    }

    /// The directed links that an event blocks.
    fn links_to_block(&self, event: &Event) -> Vec<(String, String)> {
        let named: Vec<String> = event.targets.iter().filter_map(|name| self.endpoint_name(name)).collect();
        let others = self.other_endpoints(&named, event.kind == EventKind::IsolateFromPeers);
        let links_between = |from: &[String], to: &[String]| -> Vec<(String, String)> {
            from.iter().flat_map(|from| to.iter().map(move |to| (from.clone(), to.clone()))).collect()
        };
        let both_directions =
            |one: &[String], other: &[String]| [links_between(one, other), links_between(other, one)].concat();
        match (event.kind, named.as_slice()) {
            (EventKind::Isolate | EventKind::IsolateFromPeers, named) => both_directions(named, &others),
            (EventKind::DropInbound, named) => links_between(&others, named),
            (EventKind::DropOutbound, named) => links_between(named, &others),
            (EventKind::Partition | EventKind::PermanentPartition, [one, rest @ ..]) => {
                both_directions(std::slice::from_ref(one), rest)
            }
            (EventKind::OneWayPartition, [one, rest @ ..]) => links_between(std::slice::from_ref(one), rest),
            _ => Vec::new(),
        }
    }

    pub(super) fn begin_event(&mut self, event: &Event) {
        self.sim.log_event(format!("nemesis: {event}"));
        if event.kind.is_operator_action() {
            return self.perform_operator_action(event);
        }
        self.defer(event.duration_ms * MS, Deferred::EndEvent(event.clone()));
        let links = self.links_to_block(event);
        links.iter().for_each(|(from, to)| self.sim.add_partition(from, to));
        if event.kind != EventKind::PermanentPartition {
            self.blocked_links.insert((event.at_ms, event.to_string()), links);
        }
        match event.kind {
            EventKind::PlatformOutage => self.sim.is_platform_down = true,
            EventKind::SlowPromotion => self.begin_slow_platform(event.amount),
            EventKind::LostPlatformAnswers => self.sim.is_platform_losing_answers = true,
            EventKind::LostResponses => self.operators.is_losing_responses = true,
            EventKind::DelayedDuplicates => self.operators.is_duplicating = true,
            _ => {}
        }
        let draw = self.rng.below(u64::MAX);
        for name in &event.targets {
            match (self.find_node(name), self.find_database(name)) {
                (Some(NodeId::Control(index)), _) => self.apply_control_fault(event, index, draw),
                (Some(NodeId::Access(index)), _) => self.apply_access_fault(event, index),
                (None, Some(index)) => self.apply_database_fault(event, index),
                (None, None) => {}
            }
        }
    }

    fn apply_control_fault(&mut self, event: &Event, index: usize, draw: u64) {
        let name = self.sim.controls[index].name.clone();
        let is_first = event.targets.first() == Some(&name);
        match event.kind {
            EventKind::Freeze => self.sim.freeze_control(index),
            EventKind::Slow => self.sim.set_event_delay(NodeId::Control(index), event.amount * MS),
            EventKind::Kill | EventKind::LoseDisk | EventKind::Replace => {
                self.kill(&name, event.kind == EventKind::Replace);
                if event.kind == EventKind::LoseDisk {
                    self.sim.controls[index].files.files.borrow_mut().clear();
                }
            }
            EventKind::PowerLoss => {
                self.stopped_nodes.insert(name);
                self.sim.thaw_control(index);
                self.sim.power_off_control(index, draw);
            }
            EventKind::TornWrite => {
                self.stopped_nodes.insert(name);
                self.sim.controls[index].disk_faults.tear_next_write(draw);
            }
            EventKind::Decommission => {
                self.sim.with_control(index, |core, now| core.begin_shutdown(now));
                self.defer(TERMINATION_GRACE_US.min(event.duration_ms * MS / 2), Deferred::KillProcess(name, true));
            }
            EventKind::DiskStall => self.sim.controls[index].disk_faults.set_hanging(),
            EventKind::DiskFull => self.sim.controls[index].disk_faults.set_full(draw),
            EventKind::ClockStep => {
                let step = (event.amount * MS) as i64;
                self.sim.controls[index].clock_offset_us += if event.amount % 2 == 1 { -step } else { step };
            }
            EventKind::ResetLinks if is_first => {
                event.targets[1..].iter().for_each(|other| self.sim.reset_links(index, other));
            }
            _ => {}
        }
    }

    fn apply_access_fault(&mut self, event: &Event, index: usize) {
        let name = self.sim.access[index].name.clone();
        match event.kind {
            EventKind::Freeze => self.sim.freeze_access(index),
            EventKind::Slow => self.sim.set_event_delay(NodeId::Access(index), event.amount * MS),
            EventKind::Kill | EventKind::PowerLoss | EventKind::LoseDisk => self.kill(&name, false),
            EventKind::Terminate => {
                self.sim.terminate_access(index);
                self.defer(TERMINATION_GRACE_US.min(event.duration_ms * MS / 2), Deferred::KillProcess(name, false));
            }
            _ => {}
        }
    }

    fn kill(&mut self, name: &str, is_permanent: bool) {
        if is_permanent {
            self.removed_nodes.insert(name.to_owned());
        }
        self.stopped_nodes.insert(name.to_owned());
        match self.find_node(name) {
            Some(NodeId::Control(index)) => {
                self.sim.thaw_control(index);
                self.sim.kill_control(index);
                let node = &self.sim.controls[index];
                // The kernel completes the write that was in progress.
                node.disk_faults.clear(&node.files);
            }
            Some(NodeId::Access(index)) => {
                self.sim.thaw_access(index);
                self.sim.kill_access(index);
            }
            None => {}
        }
    }

    pub(super) fn start_control(&mut self, index: usize) {
        let name = self.sim.controls[index].name.clone();
        self.stopped_nodes.remove(&name);
        if self.sim.controls[index].core.is_none() && !self.removed_nodes.contains(&name) {
            let node = &self.sim.controls[index];
            node.disk_faults.clear(&node.files);
            self.sim.start_control(index, false);
        }
    }

    pub(super) fn perform(&mut self, action: Deferred) {
        match action {
            Deferred::EndEvent(event) => self.end_event(&event),
            Deferred::LateCallsDone => {}
            Deferred::KillProcess(name, is_permanent) => self.kill(&name, is_permanent),
            Deferred::SendDelete(database) => {
                self.sim.departed.insert(database);
                self.send_delete(database);
            }
            Deferred::StopDatabase(database) => {
                self.sim.databases[database].is_removed = true;
                self.sim.crash(database);
            }
        }
    }

    fn end_event(&mut self, event: &Event) {
        let links = self.blocked_links.remove(&(event.at_ms, event.to_string())).unwrap_or_default();
        links.iter().for_each(|(from, to)| self.sim.remove_partition(from, to));
        match event.kind {
            EventKind::PlatformOutage => self.sim.is_platform_down = false,
            EventKind::SlowPromotion => self.end_slow_platform(),
            EventKind::LostPlatformAnswers => self.sim.is_platform_losing_answers = false,
            EventKind::LostResponses => self.operators.is_losing_responses = false,
            EventKind::DelayedDuplicates => self.operators.is_duplicating = false,
            EventKind::Drain | EventKind::Deregister => event.targets.iter().for_each(|_| self.add_database()),
            EventKind::Replace | EventKind::Decommission => event.targets.iter().for_each(|_| self.add_control()),
            _ => {}
        }
        for name in &event.targets {
            match (self.find_node(name), self.find_database(name)) {
                (Some(NodeId::Control(index)), _) => match event.kind {
                    EventKind::Freeze => self.sim.thaw_control(index),
                    EventKind::Slow => self.sim.set_event_delay(NodeId::Control(index), 0),
                    EventKind::Kill | EventKind::LoseDisk | EventKind::PowerLoss | EventKind::TornWrite => {
                        self.start_control(index)
                    }
                    _ => {}
                },
                (Some(NodeId::Access(index)), _) => match event.kind {
                    EventKind::Freeze => self.sim.thaw_access(index),
                    EventKind::Slow => self.sim.set_event_delay(NodeId::Access(index), 0),
                    EventKind::Kill | EventKind::PowerLoss | EventKind::LoseDisk | EventKind::Terminate => {
                        self.sim.restart_access(index)
                    }
                    _ => {}
                },
                (None, Some(index)) => match event.kind {
                    EventKind::Crash | EventKind::Unreachable => self.sim.revive(index),
                    EventKind::ReplicationLag => self.sim.databases[index].apply_lag_us = 20 * MS,
                    EventKind::ReplicationStopped => self.sim.databases[index].is_log_blocked = false,
                    _ => {}
                },
                (None, None) => {}
            }
            if let (Some(NodeId::Control(index)), EventKind::DiskStall | EventKind::DiskFull | EventKind::TornWrite) =
                (self.find_node(name), event.kind)
            {
                let node = &self.sim.controls[index];
                node.disk_faults.clear(&node.files);
            }
        }
    }

    /// Adds a control node with an empty disk in place of a removed one.
    fn add_control(&mut self) {
        // The operator's node list may be outdated: with fewer than three nodes up, it also has stopped ones.
        let (running, stopped): (Vec<usize>, Vec<usize>) =
            (0..self.sim.controls.len()).partition(|index| self.sim.controls[*index].core.is_some());
        let seeds: Vec<usize> = running.into_iter().chain(stopped).take(3).collect();
        self.sim.add_control(&seeds);
    }
}
