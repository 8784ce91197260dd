//! Access and control nodes; starts and stops access nodes and applies the effects of their cores.
use crate::simulation::{Event, Simulation, LINK_DELAY_US};
use crate::{MS, S};
use std::collections::BTreeMap;
use wv_access::Effect as AccessEffect;
use wv_internal_protocol::Message;

/// One end of a link to a control node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum LinkEnd {
    Control { at: usize, link: u64, incarnation: u64 },
    Access { at: usize, incarnation: u64, attempt: u64 },
}

pub struct AccessNode {
    pub name: String,
    pub core: Option<wv_access::Core>,
    pub(crate) incarnation: u64,
    pub(crate) timer_us: u64,
    /// The control node's end of the session; `attempt` counts the sessions.
    pub(crate) session: Option<LinkEnd>,
    pub(crate) attempt: u64,
    pub(crate) last_received_us: u64,
    pub(crate) control_index: usize,
    pub(crate) heartbeats: u32,
}

pub struct ControlNode {
    pub name: String,
    pub addr: String,
    pub seeds: Vec<String>,
    pub core: Option<wv_control::Core>,
    pub files: wv_consensus::MemoryFiles,
    pub has_disk: bool,
    pub(crate) incarnation: u64,
    pub(crate) peer_ends: BTreeMap<u64, LinkEnd>,
    /// When each link last delivered a message.
    pub(crate) last_received_us: BTreeMap<u64, u64>,
    pub disk_faults: crate::disk::DiskFaults,
    /// Offset of the wall clock.
    pub clock_offset_us: i64,
}

impl AccessNode {
    pub(crate) fn new(at: usize) -> AccessNode {
        AccessNode {
            name: format!("a{at}"),
            core: None,
            incarnation: 0,
            timer_us: u64::MAX,
            session: None,
            attempt: 0,
            last_received_us: 0,
            control_index: at,
            heartbeats: 0,
        }
    }
}

impl ControlNode {
    pub(crate) fn new(at: usize, addr: &str, seeds: &[String]) -> ControlNode {
        ControlNode {
            name: format!("c{at}"),
            addr: addr.to_owned(),
            seeds: seeds.to_vec(),
            core: None,
            files: wv_consensus::MemoryFiles::default(),
            has_disk: true,
            incarnation: 0,
            peer_ends: BTreeMap::new(),
            last_received_us: BTreeMap::new(),
            disk_faults: Default::default(),
            clock_offset_us: 0,
        }
    }
}

impl Simulation {
    pub fn start_access(&mut self, at: usize) {
        self.last_incarnation += 1;
        self.record_fault(&self.access[at].name.clone());
        let node = &mut self.access[at];
        let is_first = node.incarnation == 0;
        (node.incarnation, node.timer_us, node.session) = (self.last_incarnation, u64::MAX, None);
        let mut core = wv_access::Core::new(&format!("z{}", at % 3), 6 * S);
        core.set_node_name(&node.name);
        core.set_incarnation(self.last_incarnation);
        node.core = Some(core);
        if is_first {
            self.schedule(100 * MS, Event::AccessMaintenance(at));
            self.schedule(MS, Event::AccessSession(at));
        }
    }

    /// SIGTERM.
    pub fn terminate_access(&mut self, at: usize) {
        self.record_fault(&self.access[at].name.clone());
        self.with_access(at, |core, now| core.begin_shutdown(now));
    }

    pub fn kill_access(&mut self, at: usize) {
        self.access[at].core = None;
        self.record_fault(&self.access[at].name.clone());
        self.close_peer_links(at);
        let session = self.access[at].session.take();
        session.into_iter().for_each(|end| self.schedule(LINK_DELAY_US, Event::LinkDown { end }));
        // Workload sessions are disconnected and reconnect to another access node.
        let is_load = |client: &crate::clients::Client| self.has_link_timeouts && client.load.is_some();
        let is_notified = |client: &&crate::clients::Client| client.session.is_some() || is_load(client);
        let disconnected = self.clients.iter().filter(|client| client.node == at).filter(is_notified);
        let disconnected: Vec<u64> = disconnected.filter_map(|client| client.id).collect();
        disconnected.into_iter().for_each(|id| self.on_client_closed(at, id));
        let keys: Vec<(usize, u64)> = self.database_connections.keys().filter(|key| key.0 == at).copied().collect();
        for key in keys {
            if let Some((database, connection_id)) = self.remove_connection(key) {
                self.databases[database].connections.remove(&connection_id);
            }
        }
    }

    pub(crate) fn with_access<T>(
        &mut self,
        at: usize,
        event: impl FnOnce(&mut wv_access::Core, u64) -> T,
    ) -> Option<T> {
        let now = self.now;
        let core = self.access[at].core.as_mut()?;
        let ret = event(core, now);
        let effects = core.take_effects();
        let next = core.next_timer_at();
        let health_reports = if core.has_health_reports() {
            core.take_health_reports(wv_access::ReportScope::Changes)
        } else {
            Vec::new()
        };
        let split_reports = if core.has_health_reports() { core.take_split_reports(false) } else { Vec::new() };
        effects.into_iter().for_each(|effect| self.apply_access_effect(at, effect));
        if let Some(next) = next.filter(|next| *next < self.access[at].timer_us) {
            self.access[at].timer_us = next;
            self.schedule(next.saturating_sub(now), Event::AccessTimer(at));
        }
        if let Some(to) = self.access[at].session.filter(|_| !health_reports.is_empty()) {
            self.schedule(LINK_DELAY_US, Event::LinkMessage { to, msg: Message::HealthReports(health_reports) });
        }
        if let Some(to) = self.access[at].session {
            split_reports.into_iter().for_each(|msg| self.schedule(LINK_DELAY_US, Event::LinkMessage { to, msg }));
        }
        Some(ret)
    }

    fn apply_access_effect(&mut self, at: usize, effect: AccessEffect) {
        match effect {
            AccessEffect::DialPeer { link, address: place } => self.dial_peer(at, link, &place),
            AccessEffect::SendToPeer { link, message: msg } => self.send_to_peer(at, link, msg),
            AccessEffect::WriteClient(id) => {
                if let Some((link, msg)) =
                    self.access[at].core.as_mut().and_then(|core| core.take_forwarded_response(id))
                {
                    return self.send_to_peer(at, link, msg);
                }
                let core = self.access[at].core.as_mut();
                let out = core.and_then(|core| core.client_output(id)).map(std::mem::take).unwrap_or_default();
                self.on_client_data(at, id, &out);
            }
            AccessEffect::CloseClient(id, out) => {
                self.on_client_data(at, id, &out);
                self.on_client_closed(at, id);
            }
            AccessEffect::WriteDb(db) => {
                let core = self.access[at].core.as_mut();
                let out = core.and_then(|core| core.db_output(db)).map(std::mem::take).unwrap_or_default();
                let name = self.access[at].name.clone();
                if let Some((database, connection_id)) = self.database_connections.get(&(at, db)).copied() {
                    if !self.is_dropped(&name, &self.databases[database].id.clone()) {
                        self.schedule(LINK_DELAY_US, Event::DbIn { database, connection_id, bytes: out });
                    }
                }
            }
            AccessEffect::CloseDb(db) => {
                if let Some((database, connection_id)) = self.remove_connection((at, db)) {
                    self.databases[database].connections.remove(&connection_id);
                    self.databases[database].busy.remove(&connection_id);
                }
            }
            AccessEffect::OpenDb { db, addr } => self.open_db(at, db, &addr),
        }
    }
}
