//! The control process: its actor, listeners and signal handling.
use crate::exec::Node;
use crate::{ControlError, Core, Start};
use actix::prelude::*;
use wv_process::{watch_signals, SettingsFile, Signal};

const TICK_INTERVAL: std::time::Duration = std::time::Duration::from_micros(crate::core::TICK_US);
/// The settings file is checked for changes every this many ticks.
const SETTINGS_CHECK_TICKS: u32 = 10;
/// Limit for one disk sync. Well above the time that a slow disk takes, and below the idle timeout of links, so that a
/// node with a slow disk is not taken for a failed one.
const DISK_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(200);

/// A node that shuts down keeps serving for one leave period (a quarter of the grace period) so that callers learn of
/// it, and for at most this many periods while a voter is being replaced.
const MAX_LEAVE_PERIODS: u64 = 3;

struct Control {
    node: Node,
    file: SettingsFile,
    ticks: u32,
    leave_period_us: u64,
    leaving_since: Option<u64>,
    calendar: wv_calendar::Calendar,
}

impl Control {
    fn reload_settings(&mut self) {
        if let Some(settings) = self.file.reload() {
            let seeds = settings.seeds.iter().map(|seed| seed.to_string()).collect();
            self.node.core.borrow_mut().set_seeds(seeds);
            self.leave_period_us = settings.grace_period_us / 4;
            self.node.core.borrow_mut().set_drain_times(settings.drain_timeout_us, settings.contact_timeout_us);
        }
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        // Tick at once: after an outage other nodes wait for this one.
        self.node.with_core(|core, now| core.tick(now));
        ctx.run_interval(TICK_INTERVAL, |control, _| {
            control.ticks += 1;
            if control.ticks % SETTINGS_CHECK_TICKS == 0 && control.file.is_changed() {
                control.reload_settings();
            }
            if control.ticks % SETTINGS_CHECK_TICKS == 1 {
                let is_open = control.calendar.is_open_now();
                control.node.core.borrow_mut().set_maintenance_window(is_open);
            }
            let epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            control.node.with_core(|core, now| {
                core.tick(now);
                core.set_epoch_us(epoch.map_or(0, |since| since.as_micros() as u64));
            });
            let leaving_us = control.leaving_since.map_or(0, |since| control.node.now().saturating_sub(since));
            let may_exit = || control.node.core.borrow().may_exit();
            if leaving_us > MAX_LEAVE_PERIODS * control.leave_period_us
                || (leaving_us > control.leave_period_us && may_exit())
            {
                System::current().stop();
            }
        });
    }
}

impl Handler<Signal> for Control {
    type Result = ();

    fn handle(&mut self, signal: Signal, _: &mut Context<Self>) {
        match signal {
            Signal::Terminate => {
                self.leaving_since.get_or_insert(self.node.now());
                self.node.with_core(|core, now| core.begin_shutdown(now));
            }
            Signal::Reload => self.reload_settings(),
        }
    }
}

fn open_store(settings: &wv_settings::Settings) -> Result<wv_consensus::Store, wv_consensus::RegisterError> {
    let files: Box<dyn wv_consensus::DurableFiles> = match &settings.data_dir {
        Some(dir) => Box::new(wv_consensus::ThreadedFiles::start(
            Box::new(wv_consensus::OsFiles::open(dir)?),
            Box::new(wv_consensus::OsFiles::open(dir)?),
            DISK_TIMEOUT,
        )?),
        // Without a data directory nothing survives a restart, so the node does not vote.
        None => Box::new(wv_consensus::MemoryFiles::default()),
    };
    wv_consensus::Store::open(files)
}

/// Runs until the process is stopped; `calendar` gives the maintenance windows for anti-entropy repair.
pub fn run(
    settings: wv_settings::Settings,
    settings_path: &str,
    calendar: wv_calendar::Calendar,
) -> Result<(), ControlError> {
    let addr = settings.control_addr.ok_or(ControlError::NoAddress)?;
    let seeds: Vec<String> = settings.seeds.iter().map(|seed| seed.to_string()).collect();
    if settings.initial_start && settings.tolerated_machine_failures as usize > seeds.len().saturating_sub(1) / 2 {
        log::error!(
            "{} voters cannot tolerate the loss of {} machines, starting nevertheless",
            seeds.len(),
            settings.tolerated_machine_failures
        );
    }
    let store = open_store(&settings)?;
    let start = Start {
        address: addr.to_string(),
        node: settings.node_name.clone(),
        zone: settings.zone.clone(),
        incarnation: wv_process::new_incarnation(),
        seeds,
        is_initial_start: settings.initial_start,
        has_disk: settings.data_dir.is_some(),
        tolerated_machines: settings.tolerated_machine_failures as usize,
        disk_id: wv_process::random_u64(),
        requester_id: wv_process::random_u64(),
    };
    let mut core = Core::new(start, store)?;
    let system = System::new();
    system.block_on(async {
        let listener = wv_http::listen(addr).map_err(|error| ControlError::Listen(addr, error))?;
        let internal = settings.internal_addr(addr);
        let internal_listener = wv_http::listen(internal).map_err(|error| ControlError::Listen(internal, error))?;
        core.set_drain_times(settings.drain_timeout_us, settings.contact_timeout_us);
        let node = Node::new(core, &settings);
        let (head_node, call_node) = (node.clone(), node.clone());
        let head = move |method: &str, path: &str| head_node.handle_head(method, path);
        let call = move |call| call_node.clone().handle_call(call);
        tokio::task::spawn_local(wv_http::serve(listener, crate::core::BODY_MAX_BYTES, head, call));
        tokio::task::spawn_local(node.clone().accept(internal_listener));
        let control = Control {
            node,
            file: SettingsFile::new(settings_path),
            ticks: 0,
            leave_period_us: settings.grace_period_us / 4,
            leaving_since: None,
            calendar,
        };
        tokio::task::spawn_local(watch_signals(control.start()));
        log::info!("control node {} listens on {addr}", settings.node_name);
        Ok::<(), ControlError>(())
    })?;
    system.run().map_err(|error| ControlError::Listen(addr, error))
}
