//! Messages to other nodes and responses to callers.
use crate::core::Core;
use crate::types::Effect;
use wv_internal_protocol::{FeedUpdate, Message};

impl Core {
    pub(crate) fn send(&mut self, link: u64, mut message: Message) {
        self.leave_ages.stamp_ages(&mut message, self.now);
        self.effects.push(Effect::Send { link, message });
    }

    pub(crate) fn send_peer(&mut self, addr: &str, message: Message) -> bool {
        let link = self.peers.get(addr).filter(|peer| peer.is_up).and_then(|peer| peer.link);
        link.into_iter().for_each(|link| self.send(link, message.clone()));
        link.is_some()
    }

    pub(crate) fn send_peers(&mut self, message: &Message) -> usize {
        let addrs: Vec<String> = self.peers.keys().cloned().collect();
        addrs.iter().filter(|addr| self.send_peer(addr, message.clone())).count()
    }

    pub(crate) fn publish(&mut self, update: FeedUpdate) {
        // Followers learn of a leader or a slot map no earlier than of the configuration that it was decided under.
        if matches!(update, FeedUpdate::Leader(_) | FeedUpdate::Slots(_)) {
            self.publish_configuration_now();
        }
        let message = self.feed.publish(update);
        self.send_to_subscribers(&message);
    }

    pub(crate) fn send_to_subscribers(&mut self, message: &Message) {
        let links: Vec<u64> = self.links.iter().filter(|(_, link)| link.is_subscriber).map(|(id, _)| *id).collect();
        links.into_iter().for_each(|link| self.send(link, message.clone()));
    }

    pub(crate) fn respond(&mut self, token: u64, status: u16, body: impl Into<Vec<u8>>) {
        self.effects.push(Effect::Respond { token, status, body: body.into() });
    }
}
