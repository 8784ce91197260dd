//! What an event does to the world, and what its end does.
use super::play::{Player, Todo};
use super::{Event, Kind};
use crate::{NodeId, MS, S};

/// How long after its SIGTERM a process is killed.
const GRACE: u64 = 2 * S;

impl Player {
    /// The node of this name, as it is now; none where the day names one that does not exist.
    pub(super) fn node(&self, name: &str) -> Option<NodeId> {
        let at = |letter| name.strip_prefix(letter).and_then(|rest: &str| rest.parse::<usize>().ok());
        let access = at('a').filter(|at| *at < self.world.access.len()).map(NodeId::Access);
        access.or_else(|| at('c').filter(|at| *at < self.world.controls.len()).map(NodeId::Control))
    }

    fn base(&self, name: &str) -> Option<usize> {
        self.world.database_index(&format!("i-{name}")).filter(|at| !self.world.databases[*at].is_removed)
    }

    /// The name by which walls know a node or a database.
    fn end_name(&self, name: &str) -> Option<String> {
        self.node(name).map(|_| name.to_owned()).or_else(|| self.base(name).map(|_| format!("i-{name}")))
    }

    fn others(&self, names: &[String], is_core_only: bool) -> Vec<String> {
        let controls = self.world.controls.iter().map(|node| node.name.clone());
        let access = self.world.access.iter().map(|node| node.name.clone()).filter(|_| !is_core_only);
        let bases = self.world.databases.iter().map(|base| base.id.clone()).filter(|_| !is_core_only);
        controls.chain(access).chain(bases).filter(|name| !names.contains(name)).collect()
    }

    /// The ways that an event's walls close.
    fn ways(&self, event: &Event) -> Vec<(String, String)> {
        let named: Vec<String> = event.targets.iter().filter_map(|name| self.end_name(name)).collect();
        let others = self.others(&named, event.kind == Kind::Part);
        let apart = |from: &[String], to: &[String]| -> Vec<(String, String)> {
            from.iter().flat_map(|from| to.iter().map(move |to| (from.clone(), to.clone()))).collect()
        };
        let both = |one: &[String], other: &[String]| [apart(one, other), apart(other, one)].concat();
        match (event.kind, named.as_slice()) {
            (Kind::Isolate | Kind::Part, named) => both(named, &others),
            (Kind::Deafen, named) => apart(&others, named),
            (Kind::Mute, named) => apart(named, &others),
            (Kind::Wall | Kind::Rift, [one, rest @ ..]) => both(std::slice::from_ref(one), rest),
            (Kind::OneWay, [one, rest @ ..]) => apart(std::slice::from_ref(one), rest),
            _ => Vec::new(),
        }
    }

    pub(super) fn begin(&mut self, event: &Event) {
        self.world.log_event(format!("nemesis: {event}"));
        if event.kind.is_call() {
            return self.ask(event);
        }
        self.later(event.for_ms * MS, Todo::End(event.clone()));
        let ways = self.ways(event);
        ways.iter().for_each(|(from, to)| self.world.add_partition(from, to));
        if event.kind != Kind::Rift {
            self.walls.insert((event.at_ms, event.to_string()), ways);
        }
        match event.kind {
            Kind::Platform => self.world.is_platform_down = true,
            Kind::Sluggish => self.world.promotion_delay_us = 2 * S,
            Kind::Unheard => self.operators.is_unheard = true,
            Kind::Echo => self.operators.is_echoing = true,
            _ => {}
        }
        let draw = self.luck.below(u64::MAX);
        for name in &event.targets {
            match (self.node(name), self.base(name)) {
                (Some(NodeId::Control(at)), _) => self.strike_control(event, at, draw),
                (Some(NodeId::Access(at)), _) => self.strike_access(event, at),
                (None, Some(at)) => self.strike_base(event, at),
                (None, None) => {}
            }
        }
    }

    fn strike_control(&mut self, event: &Event, at: usize, draw: u64) {
        let name = self.world.controls[at].name.clone();
        let is_first = event.targets.first() == Some(&name);
        match event.kind {
            Kind::Freeze => self.world.freeze_control(at),
            Kind::Slow => self.world.set_event_delay(NodeId::Control(at), event.by * MS),
            Kind::Kill | Kind::Wipe | Kind::Replace => {
                self.kill(&name, event.kind == Kind::Replace);
                if event.kind == Kind::Wipe {
                    self.world.controls[at].files.files.borrow_mut().clear();
                }
            }
            Kind::Power => {
                self.down.insert(name);
                self.world.thaw_control(at);
                self.world.power_off_control(at, draw);
            }
            Kind::Tear => {
                self.down.insert(name);
                self.world.controls[at].disk_faults.tear_next_write(draw);
            }
            Kind::Quit => {
                self.world.with_control(at, |core, now| core.begin_shutdown(now));
                self.later(GRACE.min(event.for_ms * MS / 2), Todo::Kill(name, true));
            }
            Kind::Stall => self.world.controls[at].disk_faults.set_hanging(),
            Kind::Full => self.world.controls[at].disk_faults.set_full(draw),
            Kind::Clock => {
                let step = (event.by * MS) as i64;
                self.world.controls[at].clock_offset_us += if event.by % 2 == 1 { -step } else { step };
            }
            Kind::Reset if is_first => {
                event.targets[1..].iter().for_each(|other| self.world.reset_links(at, other));
            }
            _ => {}
        }
    }

    fn strike_access(&mut self, event: &Event, at: usize) {
        let name = self.world.access[at].name.clone();
        match event.kind {
            Kind::Freeze => self.world.freeze_access(at),
            Kind::Slow => self.world.set_event_delay(NodeId::Access(at), event.by * MS),
            Kind::Kill | Kind::Power | Kind::Wipe => self.kill(&name, false),
            Kind::Term => {
                self.world.terminate_access(at);
                self.later(GRACE.min(event.for_ms * MS / 2), Todo::Kill(name, false));
            }
            _ => {}
        }
    }

    fn kill(&mut self, name: &str, is_for_good: bool) {
        if is_for_good {
            self.gone.insert(name.to_owned());
        }
        self.down.insert(name.to_owned());
        match self.node(name) {
            Some(NodeId::Control(at)) => {
                self.world.thaw_control(at);
                self.world.kill_control(at);
                let node = &self.world.controls[at];
                // The kernel ends what it was writing.
                node.disk_faults.clear(&node.files);
            }
            Some(NodeId::Access(at)) => {
                self.world.thaw_access(at);
                self.world.kill_access(at);
            }
            None => {}
        }
    }

    pub(super) fn start_control(&mut self, at: usize) {
        let name = self.world.controls[at].name.clone();
        self.down.remove(&name);
        if self.world.controls[at].core.is_none() && !self.gone.contains(&name) {
            let node = &self.world.controls[at];
            node.disk_faults.clear(&node.files);
            self.world.start_control(at, false);
        }
    }

    pub(super) fn go_on(&mut self, todo: Todo) {
        match todo {
            Todo::End(event) => self.over(&event),
            Todo::Kill(name, is_for_good) => self.kill(&name, is_for_good),
            Todo::Delete(base) => {
                self.world.departed.insert(base);
                self.say_gone(base);
            }
            Todo::Gone(base) => {
                self.world.databases[base].is_removed = true;
                self.world.crash(base);
            }
        }
    }

    fn over(&mut self, event: &Event) {
        let ways = self.walls.remove(&(event.at_ms, event.to_string())).unwrap_or_default();
        ways.iter().for_each(|(from, to)| self.world.remove_partition(from, to));
        match event.kind {
            Kind::Platform => self.world.is_platform_down = false,
            Kind::Sluggish => self.world.promotion_delay_us = 300 * MS,
            Kind::Unheard => self.operators.is_unheard = false,
            Kind::Echo => self.operators.is_echoing = false,
            Kind::Drain | Kind::Leave => event.targets.iter().for_each(|_| self.join_base()),
            Kind::Replace | Kind::Quit => event.targets.iter().for_each(|_| self.join_control()),
            _ => {}
        }
        for name in &event.targets {
            match (self.node(name), self.base(name)) {
                (Some(NodeId::Control(at)), _) => match event.kind {
                    Kind::Freeze => self.world.thaw_control(at),
                    Kind::Slow => self.world.set_event_delay(NodeId::Control(at), 0),
                    Kind::Kill | Kind::Wipe | Kind::Power | Kind::Tear => self.start_control(at),
                    _ => {}
                },
                (Some(NodeId::Access(at)), _) => match event.kind {
                    Kind::Freeze => self.world.thaw_access(at),
                    Kind::Slow => self.world.set_event_delay(NodeId::Access(at), 0),
                    Kind::Kill | Kind::Power | Kind::Wipe | Kind::Term => self.world.restart_access(at),
                    _ => {}
                },
                (None, Some(at)) => match event.kind {
                    Kind::Crash | Kind::Dark => self.world.revive(at),
                    Kind::Lag => self.world.databases[at].apply_lag_us = 20 * MS,
                    _ => {}
                },
                (None, None) => {}
            }
            if let (Some(NodeId::Control(at)), Kind::Stall | Kind::Full | Kind::Tear) = (self.node(name), event.kind) {
                let node = &self.world.controls[at];
                node.disk_faults.clear(&node.files);
            }
        }
    }

    /// An empty machine comes in place of one that is gone.
    fn join_control(&mut self) {
        // The operator's list lags: where fewer are up, it names some that are not.
        let (up, down): (Vec<usize>, Vec<usize>) =
            (0..self.world.controls.len()).partition(|at| self.world.controls[*at].core.is_some());
        let seeds: Vec<usize> = up.into_iter().chain(down).take(3).collect();
        self.world.add_control(&seeds);
    }
}
