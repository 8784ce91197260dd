//! The executor of a control node: links, calls and time go into the core, its acts come out.
use crate::core::{Act, Core};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use wv_internal_protocol::Message;

const CONNECT: std::time::Duration = std::time::Duration::from_millis(300);
const SILENT: std::time::Duration = std::time::Duration::from_millis(1500);
/// A link whose far end takes nothing is cut when this many messages wait.
const QUEUE_MAX: usize = 4096;
const LINKS_MAX: usize = 1024;

type Queues = HashMap<u64, mpsc::Sender<Message>>;

/// Shared by all tasks. Lock order: `core`, then `links`, then `returns`; none is held over an await.
#[derive(Clone)]
pub struct Node {
    pub core: Rc<RefCell<Core>>,
    links: Rc<RefCell<Queues>>,
    returns: Rc<RefCell<HashMap<u64, oneshot::Sender<wv_http::Return>>>>,
    inner_port: u16,
    pub(crate) name: String,
    pub(crate) platform: Option<wv_settings::PlatformApi>,
    epoch: std::time::Instant,
}

impl Node {
    pub fn new(mut core: Core, settings: &wv_settings::Settings) -> Node {
        let rate = settings.platform_api.as_ref().map_or(1.0, |platform| platform.duty_rate_per_s).max(0.1);
        // Each node keeps well within the rate that all of them share.
        core.set_pace((8e6 / rate) as u64);
        Node {
            name: settings.node_name.clone(),
            platform: settings.platform_api.clone(),
            core: Rc::new(RefCell::new(core)),
            links: Default::default(),
            returns: Default::default(),
            inner_port: settings.internal_port,
            epoch: std::time::Instant::now(),
        }
    }

    pub fn now(&self) -> u64 {
        self.epoch.elapsed().as_micros() as u64 + 1
    }

    pub fn with<T>(&self, event: impl FnOnce(&mut Core, u64) -> T) -> T {
        let (ret, acts) = {
            let mut core = self.core.borrow_mut();
            let ret = event(&mut core, self.now());
            (ret, core.take_acts())
        };
        acts.into_iter().for_each(|act| self.act(act));
        ret
    }

    fn act(&self, act: Act) {
        match act {
            Act::Send { link, msg } => {
                let is_stuck = self.links.borrow().get(&link).is_some_and(|queue| queue.try_send(msg).is_err());
                if is_stuck {
                    self.links.borrow_mut().remove(&link);
                }
            }
            Act::Close { link } => {
                self.links.borrow_mut().remove(&link);
            }
            Act::Dial { link, addr } => {
                tokio::task::spawn_local(self.clone().dial(link, addr));
            }
            Act::Request { ask, service, id, addr, text } => {
                tokio::task::spawn_local(self.clone().ask_db(ask, service, id, (addr, text)));
            }
            Act::Run { run, service, id, addr, texts } => {
                tokio::task::spawn_local(self.clone().run_texts(run, service, (id, addr), texts));
            }
            Act::Post { ask, service, id, fence, until } => {
                tokio::task::spawn_local(self.clone().post(ask, service, id, (fence, until)));
            }
            Act::Wake { us } => {
                let node = self.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(std::time::Duration::from_micros(us)).await;
                    node.with(|core, now| core.wake(now));
                });
            }
            Act::Return { token, status, body } => {
                let ret = self.returns.borrow_mut().remove(&token);
                ret.into_iter().for_each(|sender| {
                    let _ = sender.send(wv_http::Return::new(status, body.clone()));
                });
            }
        }
    }

    async fn dial(self, link: u64, addr: String) {
        let inner = addr.parse::<SocketAddr>().map(|addr| SocketAddr::new(addr.ip(), self.inner_port));
        if let Ok(inner) = inner {
            if let Ok(stream) = wv_http::connect(inner, CONNECT).await {
                let receiver = self.enter(link);
                self.with(|core, now| core.link_up(link, now));
                self.carry(link, stream, receiver).await;
            }
        }
        self.with(|core, now| core.link_down(link, now));
    }

    fn enter(&self, link: u64) -> mpsc::Receiver<Message> {
        let (sender, receiver) = mpsc::channel(QUEUE_MAX);
        self.links.borrow_mut().insert(link, sender);
        receiver
    }

    /// Takes in links for ever.
    pub async fn accept(self, listener: tokio::net::TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                continue;
            };
            if self.links.borrow().len() >= LINKS_MAX {
                continue;
            }
            let link = self.core.borrow_mut().link_in(self.now());
            let receiver = self.enter(link);
            let node = self.clone();
            tokio::task::spawn_local(async move {
                node.carry(link, stream, receiver).await;
                node.with(|core, now| core.link_down(link, now));
            });
        }
    }

    /// Carries one link until either side ends it or it falls silent.
    async fn carry(&self, link: u64, stream: tokio::net::TcpStream, receiver: mpsc::Receiver<Message>) {
        wv_http::tune(&stream, SILENT);
        let hear = |msg| self.with(|core, now| core.msg(link, msg, now));
        wv_process::carry(stream, receiver, SILENT, Some(SILENT), hear).await;
        self.links.borrow_mut().remove(&link);
    }

    /// What a call is told before its body has come, if that is all it is told.
    pub fn head(&self, method: &str, path: &str) -> Option<wv_http::Return> {
        let told = self.with(|core, now| core.head(method, path, now));
        told.map(|(status, body)| wv_http::Return::new(status, body))
    }

    pub async fn call(self, call: wv_http::Call) -> wv_http::Return {
        if (call.method.as_str(), call.path.as_str()) == ("GET", "/metrics") {
            return metrics(self.core.borrow().metrics());
        }
        let (sender, receiver) = oneshot::channel();
        self.with(|core, now| {
            let token = core.fresh_id();
            self.returns.borrow_mut().insert(token, sender);
            core.call(token, &call.method, &call.path, call.body.as_deref(), now);
        });
        receiver.await.unwrap_or_else(|_| wv_http::Return::new(503, "{}"))
    }
}

fn metrics(page: Result<Vec<u8>, wv_metrics::MetricsError>) -> wv_http::Return {
    page.map_or_else(
        |error| wv_http::Return::new(500, crate::conf::cause(&error.to_string())),
        |text| wv_http::Return::text(200, text),
    )
}
