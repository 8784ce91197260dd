//! Network partitions, slow nodes and link timeouts with TCP semantics: data sent during a partition arrives once it
//! heals, unless the link has timed out by then.
use crate::nodes::LinkEnd;
use crate::simulation::{Event, Simulation, LINK_DELAY_US};
use crate::MS;
use wv_access::ConnectionLoss;

/// Time without messages after which a control node closes a link.
const LINK_TIMEOUT_US: u64 = 1500 * MS;
/// Time without data after which an access node closes a database connection.
const DATABASE_TIMEOUT_US: u64 = 900 * MS;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum NodeId {
    Access(usize),
    Control(usize),
}

pub(crate) struct BlockedEvent {
    direction: (String, String),
    blocked_us: u64,
    event: Event,
}

impl Simulation {
    /// Blocks traffic from `one` to `other`. Partitions nest: each needs its own `remove_partition`.
    pub fn add_partition(&mut self, one: &str, other: &str) {
        self.record_fault(one);
        self.record_fault(other);
        *self.partitions.entry((one.to_owned(), other.to_owned())).or_default() += 1;
    }

    pub fn remove_partition(&mut self, one: &str, other: &str) {
        let direction = (one.to_owned(), other.to_owned());
        let Some(count) = self.partitions.get_mut(&direction) else { return };
        *count -= 1;
        let has_more = *count > 0;
        self.record_fault(one);
        self.record_fault(other);
        if has_more {
            return;
        }
        self.partitions.remove(&direction);
        let (released, blocked) = std::mem::take(&mut self.blocked_events)
            .into_iter()
            .partition(|blocked: &BlockedEvent| blocked.direction == direction);
        self.blocked_events = blocked;
        released.into_iter().for_each(|blocked| self.schedule(0, blocked.event));
    }

    /// Whether no connection can be opened between the two.
    pub(crate) fn is_partitioned(&self, one: &str, other: &str) -> bool {
        let has = |one: &str, other: &str| self.partitions.contains_key(&(one.to_owned(), other.to_owned()));
        !self.partitions.is_empty() && (has(one, other) || has(other, one))
    }

    fn end_name(&self, end: LinkEnd) -> String {
        match end {
            LinkEnd::Control { at, .. } => self.controls[at].name.clone(),
            LinkEnd::Access { at, .. } => self.access[at].name.clone(),
        }
    }

    /// The opposite end of an open link.
    fn opposite_end(&self, end: LinkEnd) -> Option<LinkEnd> {
        match end {
            LinkEnd::Control { at, link, incarnation } if self.controls[at].incarnation == incarnation => {
                self.controls[at].peer_ends.get(&link).copied()
            }
            LinkEnd::Access { at, incarnation, attempt }
                if self.access[at].incarnation == incarnation && self.access[at].attempt == attempt =>
            {
                self.access[at].session
            }
            _ => None,
        }
    }

    /// Sender and receiver of an event that crosses the network; `None` for local events.
    fn direction(&self, event: &Event) -> Option<(String, String)> {
        match event {
            Event::LinkMessage { to: end, .. } | Event::LinkDown { end } => {
                Some((self.end_name(self.opposite_end(*end)?), self.end_name(*end)))
            }
            Event::DbIn { database, connection_id, .. } => {
                let (access, _) = self.connection_owner(*database, *connection_id)?;
                Some((self.access[access].name.clone(), self.databases[*database].id.clone()))
            }
            Event::DbOpened { access, db, .. }
            | Event::DbOut { access, db, .. }
            | Event::DbEnd { access, db, lost: ConnectionLoss::Closed, .. } => {
                let (database, _) = self.database_connections.get(&(*access, *db))?;
                Some((self.databases[*database].id.clone(), self.access[*access].name.clone()))
            }
            _ => None,
        }
    }

    /// The node that handles an event; `None` if the receiver is not a node.
    pub(crate) fn handling_node(&self, event: &Event) -> Option<NodeId> {
        Some(match event {
            Event::Delayed(event) => return self.handling_node(event),
            Event::AccessMaintenance(at) | Event::AccessTimer(at) | Event::AccessSession(at) => NodeId::Access(*at),
            Event::DbOpened { access, .. } | Event::DbOut { access, .. } | Event::DbEnd { access, .. } => {
                NodeId::Access(*access)
            }
            Event::LinkMessage { to: end, .. } | Event::LinkDown { end } => match end {
                LinkEnd::Control { at, .. } => NodeId::Control(*at),
                LinkEnd::Access { at, .. } => NodeId::Access(*at),
            },
            Event::PeerLinkUp { at, .. } | Event::PeerLinkDown { at, .. } | Event::PeerMessage { at, .. } => {
                NodeId::Access(*at)
            }
            Event::ControlTick(at) | Event::ControlWake(at, _) => NodeId::Control(*at),
            Event::LinkUp { control, .. }
            | Event::DatabaseStatus { control, .. }
            | Event::PromotionResponse { control, .. } => NodeId::Control(*control),
            Event::StatementsDone { control, .. } | Event::ControlCall { control, .. } => NodeId::Control(*control),
            _ => return None,
        })
    }

    /// Defers an event that is blocked by a partition or due later at a slow node; returns any other.
    pub(crate) fn defer(&mut self, event: Event) -> Option<Event> {
        let event = match event {
            Event::Delayed(event) => return Some(*event),
            event => event,
        };
        if !self.partitions.is_empty() {
            if let Some(direction) = self.direction(&event).filter(|direction| self.partitions.contains_key(direction))
            {
                if let Some((access, db)) = self.connection_of(&event) {
                    self.schedule(
                        DATABASE_TIMEOUT_US,
                        Event::ConnectionTimeout { access, db, incarnation: self.access[access].incarnation },
                    );
                }
                self.blocked_events.push(BlockedEvent { direction, blocked_us: self.now, event });
                return None;
            }
        }
        let node = if self.event_delays.is_empty() { None } else { self.handling_node(&event) };
        let Some((delay, last)) = node.and_then(|node| self.event_delays.get_mut(&node)) else { return Some(event) };
        // Events stay in order, also after the delay is removed.
        if *delay == 0 && *last < self.now {
            return Some(event);
        }
        *last = (*last).max(self.now + *delay);
        let after = *last - self.now;
        self.schedule(after, Event::Delayed(Box::new(event)));
        None
    }

    fn connection_of(&self, event: &Event) -> Option<(usize, u64)> {
        match event {
            Event::DbIn { database, connection_id, .. } => self.connection_owner(*database, *connection_id),
            Event::DbOpened { access, db, .. } | Event::DbOut { access, db, .. } => Some((*access, *db)),
            _ => None,
        }
    }

    /// Closes a database connection whose traffic has been blocked by a partition for `DATABASE_TIMEOUT_US`.
    pub(crate) fn time_out_connection(&mut self, access: usize, db: u64, incarnation: u64) {
        let now = self.now;
        let has_timed_out = |blocked: &BlockedEvent| {
            blocked.blocked_us + DATABASE_TIMEOUT_US <= now && self.connection_of(&blocked.event) == Some((access, db))
        };
        if self.access[access].incarnation != incarnation || !self.blocked_events.iter().any(has_timed_out) {
            return;
        }
        if let Some((database, connection_id)) = self.remove_connection((access, db)) {
            self.databases[database].connections.remove(&connection_id);
            self.databases[database].busy.remove(&connection_id);
        }
        self.schedule(0, Event::DbEnd { access, db, lost: ConnectionLoss::Unreachable, incarnation });
    }

    /// Sets the time that the node takes for each event; 0 ends the slowdown.
    pub fn set_event_delay(&mut self, node: NodeId, us: u64) {
        self.record_fault(&self.node_name(node));
        self.event_delays.entry(node).or_default().0 = us;
    }

    /// Closes the control node's links that have delivered nothing for `LINK_TIMEOUT_US`.
    pub(crate) fn close_silent_links(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.controls[at];
        let (peer_ends, last_received) = (&node.peer_ends, &mut node.last_received_us);
        last_received.retain(|link, _| peer_ends.contains_key(link));
        let silent: Vec<u64> = peer_ends
            .keys()
            .copied()
            .filter(|link| *last_received.entry(*link).or_insert(now) + LINK_TIMEOUT_US < now)
            .collect();
        for link in silent {
            let peer = self.controls[at].peer_ends.remove(&link);
            self.with_control(at, |core, now| core.link_down(link, now));
            peer.into_iter().for_each(|end| self.schedule(LINK_DELAY_US, Event::LinkDown { end }));
        }
    }

    /// Resets all links between the two at both ends; messages in flight are lost.
    pub fn reset_links(&mut self, at: usize, other: &str) {
        self.record_fault(&self.controls[at].name.clone());
        self.record_fault(other);
        let peers: Vec<(u64, LinkEnd)> =
            self.controls[at].peer_ends.iter().map(|(link, peer)| (*link, *peer)).collect();
        let peers: Vec<(u64, LinkEnd)> = peers.into_iter().filter(|(_, peer)| self.end_name(*peer) == other).collect();
        for (link, peer) in peers {
            let end = LinkEnd::Control { at, link, incarnation: self.controls[at].incarnation };
            self.schedule(0, Event::LinkDown { end });
            self.schedule(0, Event::LinkDown { end: peer });
        }
    }

    /// Cuts the node's power: peers are not notified, and a write in progress may be stored in part.
    pub fn power_off_control(&mut self, at: usize, draw: u64) {
        self.record_fault(&self.controls[at].name.clone());
        let node = &mut self.controls[at];
        node.core = None;
        node.peer_ends.clear();
        node.disk_faults.power_off(&node.files, draw);
    }
}
