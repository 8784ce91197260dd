//! Links between access nodes in the world.
use crate::world::{Ev, World, HOP};
use crate::MS;
use wv_internal_protocol::ForwardMessage;

impl World {
    pub(crate) fn with_hand(&mut self, at: usize, life: u64, event: impl FnOnce(&mut wv_access::Core, u64)) {
        if self.access[at].life == life {
            self.with_access(at, event);
        }
    }

    /// A shard changed hands: a line in the course, once for each number.
    pub(crate) fn note_owner(&mut self, msg: &wv_internal_protocol::Message) {
        if let wv_internal_protocol::Message::Update { update: wv_internal_protocol::FeedUpdate::Slots(map), .. } = msg
        {
            let held = self.owners.entry(format!("slots/{}", map.shard)).or_default();
            if std::mem::replace(held, map.version.max(*held)) < map.version {
                let moving =
                    map.moving.as_ref().map(|range| format!("{}-{} to {}", range.from, range.until, range.target));
                self.note(format!(
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
        let held = self.owners.entry(owner.service.clone()).or_default();
        if std::mem::replace(held, owner.epoch.max(*held)) < owner.epoch {
            self.note(format!("shard {} goes to {} under {}", owner.service, owner.node, owner.epoch));
        }
    }

    /// How many asks an access node has handed over in its life.
    pub fn handed(&self, at: usize) -> u64 {
        self.access[at].core.as_ref().map_or(0, |core| core.forwarded_request_count())
    }

    pub(crate) fn dial_hand(&mut self, at: usize, link: u64, place: &str) {
        let life = self.access[at].life;
        let to = place.strip_prefix("hand:").and_then(|to| to.parse::<usize>().ok());
        let (name, now) = (self.access[at].name.clone(), self.now);
        let is_open = |to: &usize| {
            self.access.get(*to).is_some_and(|node| node.core.is_some() && !self.is_cut(&name, &node.name))
        };
        let far = to.filter(is_open).and_then(|to| Some((to, self.access[to].core.as_mut()?.accept_peer_link(now))));
        let Some((to, far)) = far else { return self.put(3 * HOP, Ev::HandDown { at, link, life }) };
        self.hands.insert((at, link), (to, far));
        self.hands.insert((to, far), (at, link));
        self.put(2 * HOP, Ev::HandUp { at, link, life });
    }

    /// What is sent over a cut is lost, and the link falls some time after.
    pub(crate) fn send_hand(&mut self, at: usize, link: u64, msg: ForwardMessage) {
        let Some((to, far)) = self.hands.get(&(at, link)).copied() else { return };
        if self.is_cut(&self.access[at].name, &self.access[to].name) {
            self.hands.remove(&(at, link));
            self.hands.remove(&(to, far));
            for (at, link) in [(at, link), (to, far)] {
                let life = self.access[at].life;
                self.put(900 * MS, Ev::HandDown { at, link, life });
            }
            return;
        }
        let life = self.access[to].life;
        self.put(HOP, Ev::Hand { at: to, link: far, life, msg });
    }

    /// The process is gone: whoever it was linked with hears so.
    pub(crate) fn cut_hands(&mut self, at: usize) {
        let ends: Vec<((usize, u64), (usize, u64))> =
            self.hands.iter().filter(|((of, _), _)| *of == at).map(|(end, far)| (*end, *far)).collect();
        for (end, (to, link)) in ends {
            self.hands.remove(&end);
            let life = self.access[to].life;
            self.put(HOP, Ev::HandDown { at: to, link, life });
        }
    }
}
