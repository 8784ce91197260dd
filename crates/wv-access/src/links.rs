//! Links between access nodes, for work handed over to the owners of shards.
use crate::exec::Node;
use wv_internal_protocol::ForwardMessage;

const CONNECT: std::time::Duration = std::time::Duration::from_millis(300);
/// Acknowledged by the far end's system within this, or the link is cut.
const SILENT: std::time::Duration = std::time::Duration::from_millis(900);
/// A link whose far end takes nothing is cut when this many messages wait.
const QUEUE_MAX: usize = 4096;
const LINKS_MAX: usize = 512;

impl Node {
    pub(crate) fn send_hand(&self, link: u64, msg: ForwardMessage) {
        let is_stuck = self.peer_links.borrow().get(&link).is_some_and(|queue| queue.try_send(msg).is_err());
        if is_stuck {
            self.peer_links.borrow_mut().remove(&link);
        }
    }

    pub(crate) async fn dial_hand(self, link: u64, place: String) {
        if let Ok(addr) = place.parse::<std::net::SocketAddr>() {
            if let Ok(stream) = wv_http::connect(addr, CONNECT).await {
                let receiver = self.enter_hand(link);
                self.with(|core, now| core.peer_link_up(link, now));
                self.carry_hands(link, stream, receiver).await;
            }
        }
        self.with(|core, now| core.peer_link_down(link, now));
    }

    fn enter_hand(&self, link: u64) -> tokio::sync::mpsc::Receiver<ForwardMessage> {
        let (sender, receiver) = tokio::sync::mpsc::channel(QUEUE_MAX);
        self.peer_links.borrow_mut().insert(link, sender);
        receiver
    }

    /// Takes in links of other nodes for ever.
    pub async fn accept_hands(self, listener: tokio::net::TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                continue;
            };
            if self.peer_links.borrow().len() >= LINKS_MAX {
                continue;
            }
            let link = self.core.borrow_mut().hand_in(self.now());
            let receiver = self.enter_hand(link);
            let node = self.clone();
            tokio::task::spawn_local(async move {
                node.carry_hands(link, stream, receiver).await;
                node.with(|core, now| core.peer_link_down(link, now));
            });
        }
    }

    async fn carry_hands(
        &self,
        link: u64,
        stream: tokio::net::TcpStream,
        receiver: tokio::sync::mpsc::Receiver<ForwardMessage>,
    ) {
        wv_http::tune(&stream, SILENT);
        let hear = |msg| self.with(|core, now| core.hand(link, msg, now));
        wv_process::carry(stream, receiver, SILENT, None, hear).await;
        self.peer_links.borrow_mut().remove(&link);
    }
}
