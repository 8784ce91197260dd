//! Links between access nodes that carry forwarded requests.
use crate::exec::Node;
use wv_internal_protocol::ForwardMessage;

const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);
/// The link is closed if the peer's system does not acknowledge data within this time.
const SILENCE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(900);
/// The link is closed when this many messages wait to be sent.
const MAX_QUEUED_MESSAGES: usize = 4096;
const MAX_PEER_LINKS: usize = 512;

impl Node {
    pub(crate) fn send_forward_message(&self, link: u64, message: ForwardMessage) {
        let is_full = self.peer_links.borrow().get(&link).is_some_and(|queue| queue.try_send(message).is_err());
        if is_full {
            self.peer_links.borrow_mut().remove(&link);
        }
    }

    pub(crate) async fn connect_peer_link(self, link: u64, address: String) {
        if let Ok(addr) = address.parse::<std::net::SocketAddr>() {
            if let Ok(stream) = wv_http::connect(addr, CONNECT_TIMEOUT).await {
                let receiver = self.register_peer_link(link);
                self.with(|core, now| core.peer_link_up(link, now));
                self.run_peer_link(link, stream, receiver).await;
            }
        }
        self.with(|core, now| core.peer_link_down(link, now));
    }

    fn register_peer_link(&self, link: u64) -> tokio::sync::mpsc::Receiver<ForwardMessage> {
        let (sender, receiver) = tokio::sync::mpsc::channel(MAX_QUEUED_MESSAGES);
        self.peer_links.borrow_mut().insert(link, sender);
        receiver
    }

    /// Accepts links from other access nodes; never returns.
    pub async fn accept_peer_links(self, listener: tokio::net::TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                continue;
            };
            if self.peer_links.borrow().len() >= MAX_PEER_LINKS {
                continue;
            }
            let link = self.core.borrow_mut().accept_peer_link(self.now());
            let receiver = self.register_peer_link(link);
            let node = self.clone();
            tokio::task::spawn_local(async move {
                node.run_peer_link(link, stream, receiver).await;
                node.with(|core, now| core.peer_link_down(link, now));
            });
        }
    }

    async fn run_peer_link(
        &self,
        link: u64,
        stream: tokio::net::TcpStream,
        receiver: tokio::sync::mpsc::Receiver<ForwardMessage>,
    ) {
        wv_http::configure_stream(&stream, SILENCE_TIMEOUT);
        let on_message = |message| self.with(|core, now| core.handle_forward_message(link, message, now));
        wv_process::run_link(stream, receiver, SILENCE_TIMEOUT, None, on_message).await;
        self.peer_links.borrow_mut().remove(&link);
    }
}
