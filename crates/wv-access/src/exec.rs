//! The executor: socket tasks pass events to the core and carry out its effects, all on one thread.
use crate::core::Core;
use crate::socket::Socket;
use crate::types::{ConnectionLoss, Effect};
use std::cell::RefCell;
use std::rc::Rc;

const DB_CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(200);
const DB_TCP_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(900);
const CLIENT_TCP_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(10);

/// Shared by all tasks. Borrow order: `core` first, then `clients`, `database_sockets` or `peer_links`; no borrow is
/// held across an await.
#[derive(Clone)]
pub struct Node {
    pub core: Rc<RefCell<Core>>,
    pub clients: Rc<RefCell<hashbrown::HashMap<u64, Rc<Socket>, ahash::RandomState>>>,
    pub database_sockets: Rc<RefCell<hashbrown::HashMap<u64, Rc<Socket>, ahash::RandomState>>>,
    /// Links to other access nodes.
    pub peer_links: Rc<
        RefCell<
            hashbrown::HashMap<
                u64,
                tokio::sync::mpsc::Sender<wv_internal_protocol::ForwardMessage>,
                ahash::RandomState,
            >,
        >,
    >,
    pub wake: Rc<tokio::sync::Notify>,
    /// Notified when health reports are due, so that they are sent at once.
    pub health_changed: Rc<tokio::sync::Notify>,
    pub armed_at: Rc<std::cell::Cell<u64>>,
    /// Bytes read and written on sessions with control nodes.
    pub traffic: Rc<std::cell::Cell<(u64, u64)>>,
    started_at: std::time::Instant,
}

impl Node {
    pub fn new(core: Core) -> Node {
        Node {
            core: Rc::new(RefCell::new(core)),
            clients: Default::default(),
            database_sockets: Default::default(),
            peer_links: Default::default(),
            wake: Rc::new(tokio::sync::Notify::new()),
            health_changed: Rc::new(tokio::sync::Notify::new()),
            armed_at: Rc::new(std::cell::Cell::new(u64::MAX)),
            traffic: Default::default(),
            started_at: std::time::Instant::now(),
        }
    }

    /// Microseconds since the start of this process.
    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
    }

    /// Passes `event` to the core and executes the resulting effects.
    pub fn with<T>(&self, event: impl FnOnce(&mut Core, u64) -> T) -> T {
        let (ret, effects, next, has_health_reports) = {
            let mut core = self.core.borrow_mut();
            let ret = event(&mut core, self.now());
            (ret, core.take_effects(), core.next_timer_at(), core.has_health_reports())
        };
        if has_health_reports {
            self.health_changed.notify_one();
        }
        effects.into_iter().for_each(|effect| self.execute(effect));
        // Wakes the timer task if an earlier timer was scheduled.
        if next.is_some_and(|next| next < self.armed_at.get()) {
            self.wake.notify_one();
        }
        ret
    }

    fn execute(&self, effect: Effect) {
        match effect {
            Effect::WriteClient(id) => {
                let response = self.core.borrow_mut().take_forwarded_response(id);
                if let Some((link, message)) = response {
                    return self.send_forward_message(link, message);
                }
                let sock = self.clients.borrow().get(&id).cloned();
                if let (Some(sock), Some(out)) = (sock, self.core.borrow_mut().client_output(id)) {
                    sock.write(out);
                }
            }
            Effect::WriteDb(id) => {
                let sock = self.database_sockets.borrow().get(&id).cloned();
                if let (Some(sock), Some(out)) = (sock, self.core.borrow_mut().db_output(id)) {
                    sock.write(out);
                }
            }
            Effect::CloseClient(id, mut out) => {
                let sock = self.clients.borrow_mut().remove(&id);
                sock.into_iter().for_each(|sock| {
                    sock.write(&mut out);
                    sock.close();
                });
            }
            Effect::CloseDb(id) => {
                self.database_sockets.borrow_mut().remove(&id).into_iter().for_each(|sock| sock.close());
            }
            Effect::DialPeer { link, address } => {
                tokio::task::spawn_local(self.clone().connect_peer_link(link, address));
            }
            Effect::SendToPeer { link, message } => self.send_forward_message(link, message),
            Effect::OpenDb { db, addr } => {
                tokio::task::spawn_local(self.clone().open_db(db, addr));
            }
        }
    }

    async fn open_db(self, id: u64, addr: String) {
        let Ok(addr) = addr.parse::<std::net::SocketAddr>() else {
            return self.with(|core, now| core.db_lost(id, ConnectionLoss::Refused, now));
        };
        let stream = match wv_http::connect(addr, DB_CONNECT_TIMEOUT).await {
            Ok(stream) => stream,
            Err(error) => return self.with(|core, now| core.db_lost(id, classify_io_error(&error), now)),
        };
        wv_http::configure_stream(&stream, DB_TCP_TIMEOUT);
        let (mut reader, sock) = Socket::split(stream);
        // The core has dropped this connection while it was being opened.
        if self.core.borrow_mut().db_output(id).is_none() {
            return;
        }
        self.database_sockets.borrow_mut().insert(id, sock.clone());
        self.with(|core, now| core.db_opened(id, now));
        let error = sock.read(&mut reader, |bytes| self.with(|core, now| core.db_data(id, bytes, now))).await;
        if self.database_sockets.borrow_mut().remove(&id).is_some() {
            let loss = error.map_or(ConnectionLoss::Closed, |error| match classify_io_error(&error) {
                ConnectionLoss::Unreachable => ConnectionLoss::Unreachable,
                _ => ConnectionLoss::Closed,
            });
            self.with(|core, now| core.db_lost(id, loss, now));
        }
    }

    /// Accepts clients until the process ends.
    pub async fn accept(self, listener: tokio::net::TcpListener, max_clients: usize) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                continue;
            };
            if self.clients.borrow().len() >= max_clients {
                continue;
            }
            wv_http::configure_stream(&stream, CLIENT_TCP_TIMEOUT);
            let (mut reader, sock) = Socket::split(stream);
            let id = self.core.borrow_mut().client_opened(self.now());
            self.clients.borrow_mut().insert(id, sock.clone());
            let node = self.clone();
            tokio::task::spawn_local(async move {
                sock.read(&mut reader, |bytes| node.with(|core, now| core.client_data(id, bytes, now))).await;
                if node.clients.borrow_mut().remove(&id).is_some() {
                    node.with(|core, now| core.client_closed(id, now));
                }
            });
        }
    }

    /// Calls `tick` when a timer is due.
    pub async fn run_timers(self) {
        loop {
            let next = self.core.borrow_mut().next_timer_at();
            self.armed_at.set(next.unwrap_or(u64::MAX));
            let wait = next.map_or(3_600_000_000, |next| next.saturating_sub(self.now()));
            let is_due = tokio::select! {
                _ = tokio::time::sleep(std::time::Duration::from_micros(wait)) => true,
                _ = self.wake.notified() => false,
            };
            if is_due {
                self.with(|core, now| core.tick(now));
            }
        }
    }
}

fn classify_io_error(error: &std::io::Error) -> ConnectionLoss {
    match error.kind() {
        std::io::ErrorKind::ConnectionRefused | std::io::ErrorKind::ConnectionReset => ConnectionLoss::Refused,
        _ => ConnectionLoss::Unreachable,
    }
}
