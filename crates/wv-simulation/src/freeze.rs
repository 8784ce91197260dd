//! Nodes that stand still for a while: nothing reaches them, nothing leaves them, and then all of it does.
use crate::world::{Ev, World};

impl World {
    /// From here on the node does nothing; what it was about to send is not sent.
    pub fn freeze_access(&mut self, at: usize) {
        self.frozen.insert(at);
    }

    /// It goes on as if no time had passed: what was on its way is sent, what came is read.
    pub fn thaw_access(&mut self, at: usize) {
        self.frozen.remove(&at);
        self.note_trouble(&self.access[at].name.clone());
        let held = std::mem::take(&mut self.held_back);
        held.into_iter().for_each(|event| self.put(0, event));
    }

    pub fn freeze_control(&mut self, at: usize) {
        self.frozen_controls.insert(at);
    }

    /// What was held back happens after whatever the caller does to it at this very moment.
    pub fn thaw_control(&mut self, at: usize) {
        self.frozen_controls.remove(&at);
        self.note_trouble(&self.controls[at].name.clone());
        let held = std::mem::take(&mut self.held_back);
        held.into_iter().for_each(|event| self.put(0, event));
    }

    pub(crate) fn has_frozen(&self) -> bool {
        !self.frozen.is_empty() || !self.frozen_controls.is_empty()
    }

    /// Whether the event is a frozen node's to handle, or still its own to send.
    pub(crate) fn is_held_back(&self, event: &Ev) -> bool {
        if let Some(crate::walls::Node::Control(at)) = self.whose(event) {
            return self.frozen_controls.contains(&at);
        }
        let at = match event {
            Ev::Late(event) => return self.is_held_back(event),
            Ev::Care(at) | Ev::Timer(at) | Ev::Session(at) => Some(*at),
            Ev::DbOpened { access, .. } | Ev::DbOut { access, .. } | Ev::DbEnd { access, .. } => Some(*access),
            Ev::DbIn { base, conn, .. } => self.owner(*base, *conn).map(|(access, _)| access),
            Ev::Link { to: crate::nodes::End::Access { at, .. }, .. } => Some(*at),
            Ev::HandUp { at, .. } | Ev::HandDown { at, .. } | Ev::Hand { at, .. } => Some(*at),
            Ev::Say { client, .. } => Some(self.clients[*client].node),
            _ => None,
        };
        at.is_some_and(|at| self.frozen.contains(&at))
    }
}
