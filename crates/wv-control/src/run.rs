//! The control process: the actor that owns the node, its listeners and its signals.
use crate::exec::Node;
use crate::{ControlError, Core, Start};
use actix::prelude::*;
use wv_process::{watch_signals, SettingsFile, Signal};

const TICK: std::time::Duration = std::time::Duration::from_micros(crate::core::TURN_US);
const BOOT_EVERY: u32 = 10;
/// Well above what a slow disk takes for one sync, well under what peers and followers take for silence.
const DISK_LIMIT: std::time::Duration = std::time::Duration::from_millis(200);

/// A node that leaves stays for a quarter of its grace, so that callers learn of it, and for at most so many quarters
/// while its place among the voters is being filled.
const LEAVE_MAX: u64 = 3;

struct Control {
    node: Node,
    file: SettingsFile,
    rounds: u32,
    leave_us: u64,
    leaving_since: Option<u64>,
    calendar: wv_calendar::Calendar,
}

impl Control {
    fn reread(&mut self) {
        if let Some(settings) = self.file.reread() {
            let seeds = settings.seeds.iter().map(|seed| seed.to_string()).collect();
            self.node.core.borrow_mut().set_seeds(seeds);
            self.leave_us = settings.grace_period_us / 4;
            self.node.core.borrow_mut().set_drain_times(settings.drain_timeout_us, settings.contact_timeout_us);
        }
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        // The first turn comes at once: after an outage others wait for this node.
        self.node.with(|core, now| core.tick(now));
        ctx.run_interval(TICK, |control, _| {
            control.rounds += 1;
            if control.rounds % BOOT_EVERY == 0 && control.file.is_changed() {
                control.reread();
            }
            if control.rounds % BOOT_EVERY == 1 {
                let is_open = control.calendar.is_open_now();
                control.node.core.borrow_mut().set_window(is_open);
            }
            let epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
            control.node.with(|core, now| {
                core.tick(now);
                core.set_epoch_us(epoch.map_or(0, |since| since.as_micros() as u64));
            });
            let left_us = control.leaving_since.map_or(0, |since| control.node.now().saturating_sub(since));
            let is_relieved = || control.node.core.borrow().may_exit();
            if left_us > LEAVE_MAX * control.leave_us || (left_us > control.leave_us && is_relieved()) {
                System::current().stop();
            }
        });
    }
}

impl Handler<Signal> for Control {
    type Result = ();

    fn handle(&mut self, signal: Signal, _: &mut Context<Self>) {
        match signal {
            Signal::Leave => {
                self.leaving_since.get_or_insert(self.node.now());
                self.node.with(|core, now| core.begin_shutdown(now));
            }
            Signal::Reread => self.reread(),
        }
    }
}

fn open_store(settings: &wv_settings::Settings) -> Result<wv_consensus::Store, wv_consensus::RegisterError> {
    let files: Box<dyn wv_consensus::DurableFiles> = match &settings.data_dir {
        Some(dir) => Box::new(wv_consensus::ThreadedFiles::start(
            Box::new(wv_consensus::OsFiles::open(dir)?),
            Box::new(wv_consensus::OsFiles::open(dir)?),
            DISK_LIMIT,
        )?),
        // Without a disk nothing outlives the process; such a node only serves.
        None => Box::new(wv_consensus::MemoryFiles::default()),
    };
    wv_consensus::Store::open(files)
}

/// Runs until the platform ends the process; `calendar` says when sweeps of repair prefer to run.
pub fn run(
    settings: wv_settings::Settings,
    settings_path: &str,
    calendar: wv_calendar::Calendar,
) -> Result<(), ControlError> {
    let addr = settings.control_addr.ok_or(ControlError::NoAddress)?;
    let seeds: Vec<String> = settings.seeds.iter().map(|seed| seed.to_string()).collect();
    if settings.initial_start && settings.tolerated_machine_failures as usize > seeds.len().saturating_sub(1) / 2 {
        log::error!("{} voters do not bear the loss of {} machines", seeds.len(), settings.tolerated_machine_failures);
    }
    let store = open_store(&settings)?;
    let start = Start {
        me: addr.to_string(),
        node: settings.node_name.clone(),
        zone: settings.zone.clone(),
        life: wv_process::life(),
        seeds,
        is_first: settings.initial_start,
        is_core: settings.data_dir.is_some(),
        tolerate: settings.tolerated_machine_failures as usize,
        disk: wv_process::draw(),
        who: wv_process::draw(),
    };
    let mut core = Core::new(start, store)?;
    let system = System::new();
    system.block_on(async {
        let listener = wv_http::listen(addr).map_err(|error| ControlError::Listen(addr, error))?;
        let inner = settings.internal_addr(addr);
        let inner_listener = wv_http::listen(inner).map_err(|error| ControlError::Listen(inner, error))?;
        core.set_drain_times(settings.drain_timeout_us, settings.contact_timeout_us);
        let node = Node::new(core, &settings);
        let (asked, called) = (node.clone(), node.clone());
        let head = move |method: &str, path: &str| asked.head(method, path);
        let call = move |call| called.clone().call(call);
        tokio::task::spawn_local(wv_http::serve(listener, crate::core::BODY_MAX, head, call));
        tokio::task::spawn_local(node.clone().accept(inner_listener));
        let control = Control {
            node,
            file: SettingsFile::new(settings_path),
            rounds: 0,
            leave_us: settings.grace_period_us / 4,
            leaving_since: None,
            calendar,
        };
        tokio::task::spawn_local(watch_signals(control.start()));
        log::info!("control node {} serves {addr}", settings.node_name);
        Ok::<(), ControlError>(())
    })?;
    system.run().map_err(|error| ControlError::Listen(addr, error))
}
