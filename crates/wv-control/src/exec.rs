//! The executor of a control node: passes messages, calls and time to the core and performs its effects.
use crate::core::{Core, Effect};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};
use wv_internal_protocol::Message;

const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1500);
/// A link is closed when this many messages are queued for a peer that does not read.
const MAX_QUEUED_MESSAGES: usize = 4096;
const MAX_LINKS: usize = 1024;

type Queues = HashMap<u64, mpsc::Sender<Message>>;

/// Shared by all tasks. Borrow order: `core`, then `links`, then `responses`; no borrow is held across an await.
#[derive(Clone)]
pub struct Node {
    pub core: Rc<RefCell<Core>>,
    links: Rc<RefCell<Queues>>,
    responses: Rc<RefCell<HashMap<u64, oneshot::Sender<wv_http::Response>>>>,
    internal_port: u16,
    pub(crate) name: String,
    pub(crate) platform: Option<wv_settings::PlatformApi>,
    started_at: std::time::Instant,
}

impl Node {
    pub fn new(mut core: Core, settings: &wv_settings::Settings) -> Node {
        let rate = settings.platform_api.as_ref().map_or(1.0, |platform| platform.duty_rate_per_s).max(0.1);
        // The rate limit is shared by all control nodes, so each uses only a fraction of it.
        core.set_call_interval((8e6 / rate) as u64);
        Node {
            name: settings.node_name.clone(),
            platform: settings.platform_api.clone(),
            core: Rc::new(RefCell::new(core)),
            links: Default::default(),
            responses: Default::default(),
            internal_port: settings.internal_port,
            started_at: std::time::Instant::now(),
        }
    }

    pub fn now(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64 + 1
    }

    pub fn with_core<T>(&self, event: impl FnOnce(&mut Core, u64) -> T) -> T {
        let (ret, effects) = {
            let mut core = self.core.borrow_mut();
            let ret = event(&mut core, self.now());
            (ret, core.take_effects())
        };
        effects.into_iter().for_each(|effect| self.execute(effect));
        ret
    }

    fn execute(&self, effect: Effect) {
        match effect {
            Effect::Send { link, message } => {
                let is_queue_full =
                    self.links.borrow().get(&link).is_some_and(|queue| queue.try_send(message).is_err());
                if is_queue_full {
                    self.links.borrow_mut().remove(&link);
                }
            }
            Effect::Close { link } => {
                self.links.borrow_mut().remove(&link);
            }
            Effect::Dial { link, addr } => {
                tokio::task::spawn_local(self.clone().dial(link, addr));
            }
            Effect::QueryDatabase { request, service, id, addr, statement } => {
                tokio::task::spawn_local(self.clone().query_database(request, service, id, (addr, statement)));
            }
            Effect::RunStatements { request, service, id, addr, statements } => {
                tokio::task::spawn_local(self.clone().run_statements(request, service, (id, addr), statements));
            }
            Effect::PromoteDatabase { request, service, id, fence, deadline_us } => {
                tokio::task::spawn_local(self.clone().promote_database(request, service, id, (fence, deadline_us)));
            }
            Effect::Wake { delay_us } => {
                let node = self.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(std::time::Duration::from_micros(delay_us)).await;
                    node.with_core(|core, now| core.wake(now));
                });
            }
            Effect::Respond { token, status, body } => {
                let ret = self.responses.borrow_mut().remove(&token);
                ret.into_iter().for_each(|sender| {
                    let _ = sender.send(wv_http::Response::json(status, body.clone()));
                });
            }
        }
    }

    async fn dial(self, link: u64, addr: String) {
        let internal = addr.parse::<SocketAddr>().map(|addr| SocketAddr::new(addr.ip(), self.internal_port));
        if let Ok(internal) = internal {
            if let Ok(stream) = wv_http::connect(internal, CONNECT_TIMEOUT).await {
                let receiver = self.register_link(link);
                self.with_core(|core, now| core.link_up(link, now));
                self.serve_link(link, stream, receiver).await;
            }
        }
        self.with_core(|core, now| core.link_down(link, now));
    }

    fn register_link(&self, link: u64) -> mpsc::Receiver<Message> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        self.links.borrow_mut().insert(link, sender);
        receiver
    }

    /// Accepts links from other nodes; never returns.
    pub async fn accept(self, listener: tokio::net::TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                continue;
            };
            if self.links.borrow().len() >= MAX_LINKS {
                continue;
            }
            let link = self.core.borrow_mut().accept_link(self.now());
            let receiver = self.register_link(link);
            let node = self.clone();
            tokio::task::spawn_local(async move {
                node.serve_link(link, stream, receiver).await;
                node.with_core(|core, now| core.link_down(link, now));
            });
        }
    }

    /// Serves one link until either side closes it or nothing is received for `IDLE_TIMEOUT`.
    async fn serve_link(&self, link: u64, stream: tokio::net::TcpStream, receiver: mpsc::Receiver<Message>) {
        wv_http::configure_stream(&stream, IDLE_TIMEOUT);
        let on_message = |message| self.with_core(|core, now| core.handle_message(link, message, now));
        wv_process::run_link(stream, receiver, IDLE_TIMEOUT, Some(IDLE_TIMEOUT), on_message).await;
        self.links.borrow_mut().remove(&link);
    }

    /// The response to a call that needs no body, if there is one.
    pub fn handle_head(&self, method: &str, path: &str) -> Option<wv_http::Response> {
        let response = self.with_core(|core, now| core.handle_head(method, path, now));
        response.map(|(status, body)| wv_http::Response::json(status, body))
    }

    pub async fn handle_call(self, call: wv_http::Request) -> wv_http::Response {
        if (call.method.as_str(), call.path.as_str()) == ("GET", "/metrics") {
            return metrics(self.core.borrow().metrics());
        }
        let (sender, receiver) = oneshot::channel();
        self.with_core(|core, now| {
            let token = core.allocate_id();
            self.responses.borrow_mut().insert(token, sender);
            core.handle_call(token, &call.method, &call.path, call.body.as_deref(), now);
        });
        receiver.await.unwrap_or_else(|_| wv_http::Response::json(503, "{}"))
    }
}

fn metrics(page: Result<Vec<u8>, wv_metrics::MetricsError>) -> wv_http::Response {
    page.map_or_else(
        |error| wv_http::Response::json(500, crate::configuration::error_body(&error.to_string())),
        |text| wv_http::Response::text(200, text),
    )
}
