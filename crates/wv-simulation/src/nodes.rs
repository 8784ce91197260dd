//! Access and control nodes in the world: their cores driven by its events.
use crate::world::{Ev, World, HOP};
use crate::{MS, S};
use std::collections::BTreeMap;
use wv_access::Effect as AccessEffect;
use wv_internal_protocol::Message;

/// One end of a link between nodes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum End {
    Control { at: usize, link: u64, life: u64 },
    Access { at: usize, life: u64, turn: u64 },
}

pub struct Access {
    pub name: String,
    pub core: Option<wv_access::Core>,
    pub(crate) life: u64,
    pub(crate) armed: u64,
    /// The control node's end of the session, and this side's number of it.
    pub(crate) session: Option<End>,
    pub(crate) turn: u64,
    pub(crate) heard: u64,
    pub(crate) next: usize,
    pub(crate) beats: u32,
}

pub struct Control {
    pub name: String,
    pub addr: String,
    pub seeds: Vec<String>,
    pub core: Option<wv_control::Core>,
    pub files: wv_consensus::MemoryFiles,
    pub is_core: bool,
    pub(crate) life: u64,
    pub(crate) far: BTreeMap<u64, End>,
    /// When something last came over each link.
    pub(crate) heard: BTreeMap<u64, u64>,
    pub faults: crate::disk::Faults,
    /// How far its time of day is off.
    pub clock_us: i64,
}

impl Access {
    pub(crate) fn new(at: usize) -> Access {
        Access {
            name: format!("a{at}"),
            core: None,
            life: 0,
            armed: u64::MAX,
            session: None,
            turn: 0,
            heard: 0,
            next: at,
            beats: 0,
        }
    }
}

impl Control {
    pub(crate) fn new(at: usize, addr: &str, seeds: &[String]) -> Control {
        Control {
            name: format!("c{at}"),
            addr: addr.to_owned(),
            seeds: seeds.to_vec(),
            core: None,
            files: wv_consensus::MemoryFiles::default(),
            is_core: true,
            life: 0,
            far: BTreeMap::new(),
            heard: BTreeMap::new(),
            faults: Default::default(),
            clock_us: 0,
        }
    }
}

impl World {
    pub fn start_access(&mut self, at: usize) {
        self.life += 1;
        self.note_trouble(&self.access[at].name.clone());
        let node = &mut self.access[at];
        let is_first = node.life == 0;
        (node.life, node.armed, node.session) = (self.life, u64::MAX, None);
        let mut core = wv_access::Core::new(&format!("z{}", at % 3), 6 * S);
        core.set_node_name(&node.name);
        core.set_incarnation(self.life);
        node.core = Some(core);
        if is_first {
            self.put(100 * MS, Ev::Care(at));
            self.put(MS, Ev::Session(at));
        }
    }

    /// SIGTERM.
    pub fn term_access(&mut self, at: usize) {
        self.note_trouble(&self.access[at].name.clone());
        self.with_access(at, |core, now| core.begin_shutdown(now));
    }

    pub fn kill_access(&mut self, at: usize) {
        self.access[at].core = None;
        self.note_trouble(&self.access[at].name.clone());
        self.cut_hands(at);
        let session = self.access[at].session.take();
        session.into_iter().for_each(|end| self.put(HOP, Ev::LinkDown { end }));
        // Sessions of a recorded hour notice, and go elsewhere.
        let is_load = |client: &crate::clients::Client| self.is_wild && client.load.is_some();
        let is_told = |client: &&crate::clients::Client| client.session.is_some() || is_load(client);
        let cut = self.clients.iter().filter(|client| client.node == at).filter(is_told);
        let cut: Vec<u64> = cut.filter_map(|client| client.id).collect();
        cut.into_iter().for_each(|id| self.client_closed(at, id));
        let keys: Vec<(usize, u64)> = self.db_conns.keys().filter(|key| key.0 == at).copied().collect();
        for key in keys {
            if let Some((base, conn)) = self.forget_conn(key) {
                self.bases[base].conns.remove(&conn);
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
        let acts = core.take_effects();
        let next = core.next_timer_at();
        let sights = if core.has_health_reports() {
            core.take_health_reports(wv_access::ReportScope::Changes)
        } else {
            Vec::new()
        };
        let reports = if core.has_health_reports() { core.take_split_reports(false) } else { Vec::new() };
        acts.into_iter().for_each(|act| self.access_act(at, act));
        if let Some(next) = next.filter(|next| *next < self.access[at].armed) {
            self.access[at].armed = next;
            self.put(next.saturating_sub(now), Ev::Timer(at));
        }
        if let Some(to) = self.access[at].session.filter(|_| !sights.is_empty()) {
            self.put(HOP, Ev::Link { to, msg: Message::HealthReports(sights) });
        }
        if let Some(to) = self.access[at].session {
            reports.into_iter().for_each(|msg| self.put(HOP, Ev::Link { to, msg }));
        }
        Some(ret)
    }

    fn access_act(&mut self, at: usize, act: AccessEffect) {
        match act {
            AccessEffect::DialPeer { link, address: place } => self.dial_hand(at, link, &place),
            AccessEffect::SendToPeer { link, message: msg } => self.send_hand(at, link, msg),
            AccessEffect::WriteClient(id) => {
                if let Some((link, msg)) =
                    self.access[at].core.as_mut().and_then(|core| core.take_forwarded_response(id))
                {
                    return self.send_hand(at, link, msg);
                }
                let core = self.access[at].core.as_mut();
                let out = core.and_then(|core| core.client_output(id)).map(std::mem::take).unwrap_or_default();
                self.client_heard(at, id, &out);
            }
            AccessEffect::CloseClient(id, out) => {
                self.client_heard(at, id, &out);
                self.client_closed(at, id);
            }
            AccessEffect::WriteDb(db) => {
                let core = self.access[at].core.as_mut();
                let out = core.and_then(|core| core.db_output(db)).map(std::mem::take).unwrap_or_default();
                let name = self.access[at].name.clone();
                if let Some((base, conn)) = self.db_conns.get(&(at, db)).copied() {
                    if !self.is_lossy(&name, &self.bases[base].id.clone()) {
                        self.put(HOP, Ev::DbIn { base, conn, bytes: out });
                    }
                }
            }
            AccessEffect::CloseDb(db) => {
                if let Some((base, conn)) = self.forget_conn((at, db)) {
                    self.bases[base].conns.remove(&conn);
                    self.bases[base].busy.remove(&conn);
                }
            }
            AccessEffect::OpenDb { db, addr } => self.open_db(at, db, &addr),
        }
    }
}
