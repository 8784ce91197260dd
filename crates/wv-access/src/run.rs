//! The access process: an actor that owns the core, the listeners and signal handling.
use crate::control_session::{maintain_session, ControlSessionSettings, SharedSettings};
use crate::exec::Node;
use crate::{AccessError, Core};
use actix::prelude::*;
use wv_process::{watch_signals, SettingsFile, Signal};

const MAINTENANCE_INTERVAL: std::time::Duration = std::time::Duration::from_millis(100);
/// The settings file is checked for changes every this many maintenance rounds.
const SETTINGS_CHECK_ROUNDS: u32 = 10;
/// One old connection is recycled every this many rounds.
const RECYCLE_ROUNDS: u32 = 20;
const BODY_MAX_BYTES: usize = 4096;

struct AccessNode {
    node: Node,
    session_settings: SharedSettings,
    settings_file: SettingsFile,
    rounds: u32,
    calendar: wv_calendar::Calendar,
}

impl AccessNode {
    fn reload_settings(&mut self) {
        if let Some(settings) = self.settings_file.reload() {
            let mut session_settings = self.session_settings.borrow_mut();
            (session_settings.seeds, session_settings.internal_port) = (settings.seeds, settings.internal_port);
            let mut core = self.node.core.borrow_mut();
            core.set_shutdown_grace(settings.grace_period_us);
            core.set_drain_timeouts(settings.drain_timeout_us, settings.contact_timeout_us);
        }
    }
}

impl Actor for AccessNode {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(MAINTENANCE_INTERVAL, |access, _| {
            access.rounds += 1;
            if access.rounds % SETTINGS_CHECK_ROUNDS == 0 && access.settings_file.is_changed() {
                access.reload_settings();
            }
            if access.rounds.is_multiple_of(RECYCLE_ROUNDS) && access.calendar.is_open_now() {
                access.node.with(|core, now| core.recycle_connection(now));
            }
            let is_done = access.node.with(|core, now| {
                // Checked before maintenance, so that the output of the previous round has been sent.
                let is_done = core.is_shutdown_complete();
                core.run_maintenance(now);
                is_done
            });
            if is_done {
                log::info!("drain finished, shutting down");
                System::current().stop();
            }
        });
    }
}

impl Handler<Signal> for AccessNode {
    type Result = ();

    fn handle(&mut self, signal: Signal, _: &mut Context<Self>) {
        match signal {
            Signal::Terminate => self.node.with(|core, now| core.begin_shutdown(now)),
            Signal::Reload => self.reload_settings(),
        }
    }
}

/// Command line options.
#[derive(Clone, Debug, Default)]
pub struct Options {
    pub slow_start: wv_slow_start::SlowStartConfig,
    pub calendar: wv_calendar::Calendar,
    /// Number of client events to record, 0 for none.
    pub record_events: usize,
}

fn recording_response(text: String) -> wv_http::Response {
    match text.is_empty() {
        true => wv_http::Response::json(404, "{\"cause\":\"nothing is recorded here: start with --record\"}"),
        false => wv_http::Response::json(200, text),
    }
}

fn metrics_response(page: Result<Vec<u8>, wv_metrics::MetricsError>) -> wv_http::Response {
    page.map_or_else(
        |error| wv_http::Response::json(500, serde_json::json!({ "cause": error.to_string() }).to_string()),
        |text| wv_http::Response::text(200, text),
    )
}

/// Runs the node until the process is stopped.
pub fn run(settings: wv_settings::Settings, settings_path: &str, options: Options) -> Result<(), AccessError> {
    let front = settings.front_addr.ok_or(AccessError::NoAddress("front"))?;
    let readiness = settings.readiness_addr.ok_or(AccessError::NoAddress("readiness"))?;
    // Nodes start at different control nodes, which spreads their sessions.
    let name_hash =
        settings.node_name.bytes().fold(0u64, |sum, byte| sum.wrapping_mul(131).wrapping_add(u64::from(byte)));
    let incarnation = wv_process::new_incarnation().wrapping_add(name_hash);
    let system = System::new();
    system.block_on(async {
        let front_listener = wv_http::listen(front).map_err(|error| AccessError::Listen(front, error))?;
        let ready_listener = wv_http::listen(readiness).map_err(|error| AccessError::Listen(readiness, error))?;
        let mut core = Core::new(&settings.zone, settings.grace_period_us);
        core.set_slow_start(options.slow_start);
        core.set_max_clients(settings.max_clients());
        core.set_node_name(&settings.node_name);
        core.set_drain_timeouts(settings.drain_timeout_us, settings.contact_timeout_us);
        core.set_incarnation(wv_process::random_u64());
        let epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        core.set_recording(
            options.record_events,
            wv_process::random_u64(),
            epoch.map_or(0, |since| since.as_micros() as u64),
        );
        let node = Node::new(core);
        let forwarding_addr = settings.forwarding_addr();
        let session_settings = ControlSessionSettings {
            node_name: settings.node_name.clone(),
            zone: settings.zone.clone(),
            seeds: settings.seeds.clone(),
            internal_port: settings.internal_port,
            forwarding_address: forwarding_addr.map(|addr| addr.to_string()).unwrap_or_default(),
        };
        let session_settings: SharedSettings = std::rc::Rc::new(std::cell::RefCell::new(session_settings));
        let max_clients = settings.max_clients();
        let readiness_node = node.clone();
        tokio::task::spawn_local(wv_http::serve(
            ready_listener,
            BODY_MAX_BYTES,
            |_: &str, _: &str| None,
            move |call| {
                let is_ready = readiness_node.core.borrow().is_ready();
                std::future::ready(match (call.path.as_str(), is_ready) {
                    ("/recording", _) => recording_response(readiness_node.core.borrow().recording()),
                    ("/metrics", _) => metrics_response(readiness_node.core.borrow().metrics()),
                    ("/tenants", _) => wv_http::Response::json(200, readiness_node.core.borrow().tenants_json()),
                    ("/readiness", true) => wv_http::Response::json(200, "{\"ready\":true}"),
                    ("/readiness", false) => wv_http::Response::json(503, "{\"ready\":false}"),
                    _ => wv_http::Response::json(404, "{\"cause\":\"no such path\"}"),
                })
            },
        ));
        tokio::task::spawn_local(node.clone().accept(front_listener, max_clients));
        if let Some(addr) = forwarding_addr {
            let listener = wv_http::listen(addr).map_err(|error| AccessError::Listen(addr, error))?;
            tokio::task::spawn_local(node.clone().accept_peer_links(listener));
        }
        tokio::task::spawn_local(node.clone().run_timers());
        tokio::task::spawn_local(maintain_session(node.clone(), session_settings.clone(), incarnation));
        let access = AccessNode {
            node,
            session_settings,
            settings_file: SettingsFile::new(settings_path),
            rounds: 0,
            calendar: options.calendar,
        }
        .start();
        tokio::task::spawn_local(watch_signals(access));
        log::info!("access node {} serves {front}", settings.node_name);
        Ok::<(), AccessError>(())
    })?;
    system.run().map_err(|error| AccessError::Listen(front, error))
}
