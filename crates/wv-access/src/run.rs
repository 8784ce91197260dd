//! The access process: the actor that owns the worker, its listeners and its signals.
use crate::exec::Node;
use crate::link::{keep, Place, Shared};
use crate::{AccessError, Core};
use actix::prelude::*;

const CARE: std::time::Duration = std::time::Duration::from_millis(100);
/// The boot file's own time of change is looked at every so many rounds of care.
const BOOT_EVERY: u32 = 10;
/// Old connections are recycled one at a time, every so many rounds.
const RECYCLE_EVERY: u32 = 20;
const BODY_MAX: usize = 4096;

struct Access {
    node: Node,
    place: Shared,
    boot_path: String,
    boot_seen: Option<std::time::SystemTime>,
    rounds: u32,
    calendar: wv_when::Calendar,
}

#[derive(Message)]
#[rtype(result = "()")]
enum Signal {
    Leave,
    Reread,
}

fn changed(path: &str) -> Option<std::time::SystemTime> {
    std::fs::metadata(path).and_then(|meta| meta.modified()).ok()
}

impl Access {
    fn reread(&mut self) {
        self.boot_seen = changed(&self.boot_path);
        match wv_boot::Boot::load(&self.boot_path) {
            Ok(boot) => {
                let mut place = self.place.borrow_mut();
                (place.seeds, place.inner_port) = (boot.seeds, boot.inner_port);
                self.node.core.borrow_mut().set_grace(boot.grace_us);
                log::info!("boot file read again");
            }
            // What runs goes on with what it had: a bad file must not take a node down.
            Err(error) => log::warn!("boot file not taken, the old settings stay: {error}"),
        }
    }
}

impl Actor for Access {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(CARE, |access, _| {
            access.rounds += 1;
            if access.rounds % BOOT_EVERY == 0 && changed(&access.boot_path) != access.boot_seen {
                access.reread();
            }
            if access.rounds.is_multiple_of(RECYCLE_EVERY) && access.calendar.is_open_now() {
                access.node.with(|core, now| core.recycle(now));
            }
            let is_done = access.node.with(|core, now| {
                core.housekeep(now);
                core.is_done()
            });
            if is_done {
                log::info!("left in order");
                System::current().stop();
            }
        });
    }
}

impl Handler<Signal> for Access {
    type Result = ();

    fn handle(&mut self, signal: Signal, _: &mut Context<Self>) {
        match signal {
            Signal::Leave => self.node.with(|core, now| core.leave(now)),
            Signal::Reread => self.reread(),
        }
    }
}

async fn watch_signals(access: Addr<Access>) -> std::io::Result<()> {
    use tokio::signal::unix::{signal, SignalKind};
    let (mut term, mut hup) = (signal(SignalKind::terminate())?, signal(SignalKind::hangup())?);
    loop {
        let signal = tokio::select! {
            _ = term.recv() => Signal::Leave,
            _ = hup.recv() => Signal::Reread,
        };
        access.do_send(signal);
    }
}

/// What the command line sets.
#[derive(Clone, Debug, Default)]
pub struct Options {
    pub ease: wv_ease::Plan,
    pub calendar: wv_when::Calendar,
}

/// Runs until the platform ends the process.
pub fn run(boot: wv_boot::Boot, boot_path: &str, options: Options) -> Result<(), AccessError> {
    let front = boot.front.ok_or(AccessError::NoAddress("front"))?;
    let readiness = boot.readiness.ok_or(AccessError::NoAddress("readiness"))?;
    let life = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(1, |since| since.as_micros() as u64)
        .wrapping_add(boot.node.bytes().fold(0u64, |sum, byte| sum.wrapping_mul(131).wrapping_add(u64::from(byte))));
    let system = System::new();
    system.block_on(async {
        let front_listener = wv_http::listen(front).map_err(|error| AccessError::Listen(front, error))?;
        let ready_listener = wv_http::listen(readiness).map_err(|error| AccessError::Listen(readiness, error))?;
        let mut core = Core::new(&boot.zone, boot.grace_us);
        core.set_ease(options.ease);
        let node = Node::new(core);
        let place = Place { node: boot.node.clone(), seeds: boot.seeds.clone(), inner_port: boot.inner_port };
        let place: Shared = std::rc::Rc::new(std::cell::RefCell::new(place));
        let clients_max = boot.clients_max();
        let probed = node.clone();
        tokio::task::spawn_local(wv_http::serve(ready_listener, BODY_MAX, move |call| {
            let is_ready = probed.core.borrow().is_ready();
            std::future::ready(match (call.path.as_str(), is_ready) {
                ("/readiness", true) => wv_http::Return::new(200, "{\"ready\":true}"),
                ("/readiness", false) => wv_http::Return::new(503, "{\"ready\":false}"),
                _ => wv_http::Return::new(404, "{\"cause\":\"no such path\"}"),
            })
        }));
        tokio::task::spawn_local(node.clone().accept(front_listener, clients_max));
        tokio::task::spawn_local(node.clone().keep_time());
        tokio::task::spawn_local(keep(node.clone(), place.clone(), life));
        let boot_seen = changed(boot_path);
        let access =
            Access { node, place, boot_path: boot_path.to_owned(), boot_seen, rounds: 0, calendar: options.calendar }
                .start();
        tokio::task::spawn_local(watch_signals(access));
        log::info!("access node {} serves {front}", boot.node);
        Ok::<(), AccessError>(())
    })?;
    system.run().map_err(|error| AccessError::Listen(front, error))
}
