//! Links between access nodes.
use crate::simulation::{Event, Simulation, LINK_DELAY_US};
use crate::MS;
use wv_internal_protocol::ForwardMessage;

impl Simulation {
    pub(crate) fn with_peer_access(
        &mut self,
        at: usize,
        incarnation: u64,
        event: impl FnOnce(&mut wv_access::Core, u64),
    ) {
        if self.access[at].incarnation == incarnation {
            self.with_access(at, event);
        }
    }

    /// Logs each new owner and slot map version once.
    pub(crate) fn log_owner_change(&mut self, msg: &wv_internal_protocol::Message) {
        if let wv_internal_protocol::Message::Update { update: wv_internal_protocol::FeedUpdate::Slots(map), .. } = msg
        {
            let logged = self.owner_epochs.entry(format!("slots/{}", map.shard)).or_default();
            if std::mem::replace(logged, map.version.max(*logged)) < map.version {
                let moving =
                    map.moving.as_ref().map(|range| format!("{}-{} to {}", range.from, range.until, range.target));
                self.log_event(format!(
                    "slots of {}: {:?} under term {}, moving {}, left behind {} and {}, moved {}",
                    map.shard,
                    map.phase,
                    map.term,
                    moving.unwrap_or_else(|| "none".to_owned()),
                    map.superseded_term,
                    map.superseded_target_term,
                    map.moved.len()
                ));
            }
            return;
        }
        let wv_internal_protocol::Message::Update { update: wv_internal_protocol::FeedUpdate::Owner(owner), .. } = msg
        else {
            return;
        };
        let logged = self.owner_epochs.entry(owner.service.clone()).or_default();
        if std::mem::replace(logged, owner.epoch.max(*logged)) < owner.epoch {
            self.log_event(format!("shard {} goes to {} under {}", owner.service, owner.node, owner.epoch));
        }
    }

    /// Requests that an access node has forwarded since its start.
    pub fn forwarded_requests(&self, at: usize) -> u64 {
        self.access[at].core.as_ref().map_or(0, |core| core.forwarded_request_count())
    }

    pub(crate) fn dial_peer(&mut self, at: usize, link: u64, address: &str) {
        let incarnation = self.access[at].incarnation;
        let to = address.strip_prefix("peer:").and_then(|to| to.parse::<usize>().ok());
        let (name, now) = (self.access[at].name.clone(), self.now);
        let is_open = |to: &usize| {
            self.access.get(*to).is_some_and(|node| node.core.is_some() && !self.is_disconnected(&name, &node.name))
        };
        let peer = to.filter(is_open).and_then(|to| Some((to, self.access[to].core.as_mut()?.accept_peer_link(now))));
        let Some((to, peer)) = peer else {
            return self.schedule(3 * LINK_DELAY_US, Event::PeerLinkDown { at, link, incarnation });
        };
        self.peer_links.insert((at, link), (to, peer));
        self.peer_links.insert((to, peer), (at, link));
        self.schedule(2 * LINK_DELAY_US, Event::PeerLinkUp { at, link, incarnation });
    }

    /// Messages between disconnected nodes are lost, and the link goes down later.
    pub(crate) fn send_to_peer(&mut self, at: usize, link: u64, msg: ForwardMessage) {
        let Some((to, peer)) = self.peer_links.get(&(at, link)).copied() else { return };
        if self.is_disconnected(&self.access[at].name, &self.access[to].name) {
            self.peer_links.remove(&(at, link));
            self.peer_links.remove(&(to, peer));
            for (at, link) in [(at, link), (to, peer)] {
                let incarnation = self.access[at].incarnation;
                self.schedule(900 * MS, Event::PeerLinkDown { at, link, incarnation });
            }
            return;
        }
        let incarnation = self.access[to].incarnation;
        self.schedule(LINK_DELAY_US, Event::PeerMessage { at: to, link: peer, incarnation, msg });
    }

    /// Closes all links of an ended process; its peers are notified.
    pub(crate) fn close_peer_links(&mut self, at: usize) {
        let ends: Vec<((usize, u64), (usize, u64))> =
            self.peer_links.iter().filter(|((of, _), _)| *of == at).map(|(end, peer)| (*end, *peer)).collect();
        for (end, (to, link)) in ends {
            self.peer_links.remove(&end);
            let incarnation = self.access[to].incarnation;
            self.schedule(LINK_DELAY_US, Event::PeerLinkDown { at: to, link, incarnation });
        }
    }
}
