//! The executor: sockets' tasks call the core directly and do what it says. One worker, one table, one lock.
use crate::core::Core;
use crate::socket::Socket;
use crate::types::{Act, Lost};
use std::cell::RefCell;
use std::rc::Rc;

const OPEN_LIMIT: std::time::Duration = std::time::Duration::from_millis(200);
const SILENT_DB: std::time::Duration = std::time::Duration::from_millis(900);
const SILENT_CLIENT: std::time::Duration = std::time::Duration::from_secs(10);

/// Shared by all tasks of a worker. Lock order: `core` first, then `clients`, `dbs` or `hands`; neither is held over an await.
#[derive(Clone)]
pub struct Node {
    pub core: Rc<RefCell<Core>>,
    pub clients: Rc<RefCell<hashbrown::HashMap<u64, Rc<Socket>, ahash::RandomState>>>,
    pub dbs: Rc<RefCell<hashbrown::HashMap<u64, Rc<Socket>, ahash::RandomState>>>,
    /// Links to other access nodes.
    pub hands: Rc<
        RefCell<
            hashbrown::HashMap<
                u64,
                tokio::sync::mpsc::Sender<wv_internal_protocol::ForwardMessage>,
                ahash::RandomState,
            >,
        >,
    >,
    pub wake: Rc<tokio::sync::Notify>,
    /// Told when sightings changed, so that the session sends them at once.
    pub sights: Rc<tokio::sync::Notify>,
    pub armed: Rc<std::cell::Cell<u64>>,
    /// Bytes read and written on sessions with control nodes.
    pub traffic: Rc<std::cell::Cell<(u64, u64)>>,
    epoch: std::time::Instant,
}

impl Node {
    pub fn new(core: Core) -> Node {
        Node {
            core: Rc::new(RefCell::new(core)),
            clients: Default::default(),
            dbs: Default::default(),
            hands: Default::default(),
            wake: Rc::new(tokio::sync::Notify::new()),
            sights: Rc::new(tokio::sync::Notify::new()),
            armed: Rc::new(std::cell::Cell::new(u64::MAX)),
            traffic: Default::default(),
            epoch: std::time::Instant::now(),
        }
    }

    /// Whole microseconds since the start of this process.
    pub fn now(&self) -> u64 {
        self.epoch.elapsed().as_micros() as u64
    }

    /// Runs `event` on the core and executes what follows from it.
    pub fn with<T>(&self, event: impl FnOnce(&mut Core, u64) -> T) -> T {
        let (ret, acts, next, has_sights) = {
            let mut core = self.core.borrow_mut();
            let ret = event(&mut core, self.now());
            (ret, core.take_acts(), core.next_limit(), core.has_sights())
        };
        if has_sights {
            self.sights.notify_one();
        }
        acts.into_iter().for_each(|act| self.act(act));
        // An earlier limit than the one slept for wakes the sleeper; a later one does not.
        if next.is_some_and(|next| next < self.armed.get()) {
            self.wake.notify_one();
        }
        ret
    }

    fn act(&self, act: Act) {
        match act {
            Act::WriteClient(id) => {
                let back = self.core.borrow_mut().take_forwarded_response(id);
                if let Some((link, msg)) = back {
                    return self.send_forward_message(link, msg);
                }
                let sock = self.clients.borrow().get(&id).cloned();
                if let (Some(sock), Some(out)) = (sock, self.core.borrow_mut().client_out(id)) {
                    sock.write(out);
                }
            }
            Act::WriteDb(id) => {
                let sock = self.dbs.borrow().get(&id).cloned();
                if let (Some(sock), Some(out)) = (sock, self.core.borrow_mut().db_out(id)) {
                    sock.write(out);
                }
            }
            Act::CloseClient(id, mut out) => {
                let sock = self.clients.borrow_mut().remove(&id);
                sock.into_iter().for_each(|sock| {
                    sock.write(&mut out);
                    sock.close();
                });
            }
            Act::CloseDb(id) => {
                self.dbs.borrow_mut().remove(&id).into_iter().for_each(|sock| sock.close());
            }
            Act::DialHand { link, place } => {
                tokio::task::spawn_local(self.clone().connect_peer_link(link, place));
            }
            Act::SendHand { link, msg } => self.send_forward_message(link, msg),
            Act::OpenDb { db, addr } => {
                tokio::task::spawn_local(self.clone().open_db(db, addr));
            }
        }
    }

    async fn open_db(self, id: u64, addr: String) {
        let Ok(addr) = addr.parse::<std::net::SocketAddr>() else {
            return self.with(|core, now| core.db_lost(id, Lost::Refused, now));
        };
        let stream = match wv_http::connect(addr, OPEN_LIMIT).await {
            Ok(stream) => stream,
            Err(error) => return self.with(|core, now| core.db_lost(id, lost(&error), now)),
        };
        wv_http::configure_stream(&stream, SILENT_DB);
        let (mut reader, sock) = Socket::split(stream);
        // Given up while it was being opened: nobody is to be told.
        if self.core.borrow_mut().db_out(id).is_none() {
            return;
        }
        self.dbs.borrow_mut().insert(id, sock.clone());
        self.with(|core, now| core.db_opened(id, now));
        let error = sock.read(&mut reader, |bytes| self.with(|core, now| core.db_data(id, bytes, now))).await;
        if self.dbs.borrow_mut().remove(&id).is_some() {
            let lost = error.map_or(Lost::Closed, |error| match lost(&error) {
                Lost::Dark => Lost::Dark,
                _ => Lost::Closed,
            });
            self.with(|core, now| core.db_lost(id, lost, now));
        }
    }

    /// Takes in clients for ever.
    pub async fn accept(self, listener: tokio::net::TcpListener, clients_max: usize) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                continue;
            };
            if self.clients.borrow().len() >= clients_max {
                continue;
            }
            wv_http::configure_stream(&stream, SILENT_CLIENT);
            let (mut reader, sock) = Socket::split(stream);
            let id = self.core.borrow_mut().client_open(self.now());
            self.clients.borrow_mut().insert(id, sock.clone());
            let node = self.clone();
            tokio::task::spawn_local(async move {
                sock.read(&mut reader, |bytes| node.with(|core, now| core.client_data(id, bytes, now))).await;
                if node.clients.borrow_mut().remove(&id).is_some() {
                    node.with(|core, now| core.client_gone(id, now));
                }
            });
        }
    }

    /// Calls `tick` when a timer is due.
    pub async fn keep_time(self) {
        loop {
            let next = self.core.borrow_mut().next_limit();
            self.armed.set(next.unwrap_or(u64::MAX));
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

fn lost(error: &std::io::Error) -> Lost {
    match error.kind() {
        std::io::ErrorKind::ConnectionRefused | std::io::ErrorKind::ConnectionReset => Lost::Refused,
        _ => Lost::Dark,
    }
}
