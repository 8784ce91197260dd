//! Frozen nodes, as by SIGSTOP: their events are deferred until they are thawed.
use crate::simulation::{Event, Simulation};

impl Simulation {
    /// Freezes the node, including messages that it has not sent yet.
    pub fn freeze_access(&mut self, at: usize) {
        self.frozen_access.insert(at);
    }

    /// Thaws the node; its deferred events are handled now.
    pub fn thaw_access(&mut self, at: usize) {
        self.frozen_access.remove(&at);
        self.record_fault(&self.access[at].name.clone());
        let deferred = std::mem::take(&mut self.deferred_events);
        deferred.into_iter().for_each(|event| self.schedule(0, event));
    }

    pub fn freeze_control(&mut self, at: usize) {
        self.frozen_controls.insert(at);
    }

    /// Thaws the node; deferred events are handled after the caller's current effects.
    pub fn thaw_control(&mut self, at: usize) {
        self.frozen_controls.remove(&at);
        self.record_fault(&self.controls[at].name.clone());
        let deferred = std::mem::take(&mut self.deferred_events);
        deferred.into_iter().for_each(|event| self.schedule(0, event));
    }

    pub(crate) fn has_frozen_nodes(&self) -> bool {
        !self.frozen_access.is_empty() || !self.frozen_controls.is_empty()
    }

    /// Whether a frozen node is the receiver of the event, or has yet to send it.
    pub(crate) fn is_deferred(&self, event: &Event) -> bool {
        if let Some(crate::partitions::NodeId::Control(at)) = self.handling_node(event) {
            return self.frozen_controls.contains(&at);
        }
        let at = match event {
            Event::Delayed(event) => return self.is_deferred(event),
            Event::AccessMaintenance(at) | Event::AccessTimer(at) | Event::AccessSession(at) => Some(*at),
            Event::DbOpened { access, .. } | Event::DbOut { access, .. } | Event::DbEnd { access, .. } => Some(*access),
            Event::DbIn { database, connection_id, .. } => {
                self.connection_owner(*database, *connection_id).map(|(access, _)| access)
            }
            Event::LinkMessage { to: crate::nodes::LinkEnd::Access { at, .. }, .. } => Some(*at),
            Event::PeerLinkUp { at, .. } | Event::PeerLinkDown { at, .. } | Event::PeerMessage { at, .. } => Some(*at),
            Event::ClientLine { client, .. } => Some(self.clients[*client].node),
            _ => None,
        };
        at.is_some_and(|at| self.frozen_access.contains(&at))
    }
}
