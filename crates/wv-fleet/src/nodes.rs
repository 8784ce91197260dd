//! Access and control nodes in the world: their cores driven by its events.
use crate::world::{Ev, World, HOP};
use crate::{MS, S};
use std::collections::BTreeMap;
use wv_access::Act as AccessAct;
use wv_control::Act as ControlAct;
use wv_inner::Msg;

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
    pub files: wv_reg::MemFiles,
    pub is_core: bool,
    pub(crate) life: u64,
    pub(crate) far: BTreeMap<u64, End>,
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
            files: wv_reg::MemFiles::default(),
            is_core: true,
            life: 0,
            far: BTreeMap::new(),
        }
    }
}

impl World {
    pub fn start_access(&mut self, at: usize) {
        self.life += 1;
        let node = &mut self.access[at];
        let is_first = node.life == 0;
        (node.life, node.armed, node.session) = (self.life, u64::MAX, None);
        let mut core = wv_access::Core::new(&format!("z{}", at % 3), 6 * S);
        core.set_name(&node.name);
        core.set_life(self.life);
        node.core = Some(core);
        if is_first {
            self.put(100 * MS, Ev::Care(at));
            self.put(MS, Ev::Session(at));
        }
    }

    /// SIGTERM.
    pub fn term_access(&mut self, at: usize) {
        self.with_access(at, |core, now| core.leave(now));
    }

    pub fn kill_access(&mut self, at: usize) {
        self.access[at].core = None;
        self.cut_hands(at);
        let session = self.access[at].session.take();
        session.into_iter().for_each(|end| self.put(HOP, Ev::LinkDown { end }));
        // Sessions of a recorded hour notice, and go elsewhere.
        let cut = self.clients.iter().filter(|client| client.node == at && client.session.is_some());
        let cut: Vec<u64> = cut.filter_map(|client| client.id).collect();
        cut.into_iter().for_each(|id| self.client_closed(at, id));
        let keys: Vec<(usize, u64)> = self.db_conns.keys().filter(|key| key.0 == at).copied().collect();
        for key in keys {
            if let Some((base, conn)) = self.forget_conn(key) {
                self.bases[base].conns.remove(&conn);
            }
        }
    }

    pub fn start_control(&mut self, at: usize, is_first: bool) {
        self.life += 1;
        let node = &mut self.controls[at];
        let is_new = std::mem::replace(&mut node.life, self.life) == 0;
        node.far.clear();
        let start = wv_control::Start {
            me: node.addr.clone(),
            node: node.name.clone(),
            zone: format!("z{}", at % 3),
            // As in a process: the time of the start, the same for all that start together.
            life: self.now,
            seeds: node.seeds.clone(),
            is_first,
            is_core: node.is_core,
            tolerate: 1,
            disk: self.life + 1000, // random in a process; here no two are ever the same
            who: self.life.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        let store = wv_reg::Store::open(Box::new(node.files.clone()));
        node.core = store.and_then(|store| wv_control::Core::new(start, store)).ok();
        if is_new {
            self.put(MS * (1 + at as u64), Ev::ControlTick(at));
        }
    }

    pub fn kill_control(&mut self, at: usize) {
        self.controls[at].core = None;
        let far: Vec<End> = std::mem::take(&mut self.controls[at].far).into_values().collect();
        far.into_iter().for_each(|end| self.put(HOP, Ev::LinkDown { end }));
    }

    pub(crate) fn with_access<T>(
        &mut self,
        at: usize,
        event: impl FnOnce(&mut wv_access::Core, u64) -> T,
    ) -> Option<T> {
        let now = self.now;
        let core = self.access[at].core.as_mut()?;
        let ret = event(core, now);
        let acts = core.take_acts();
        let next = core.next_limit();
        let sights = if core.has_sights() { core.take_sights(wv_access::Telling::Changes) } else { Vec::new() };
        let reports = if core.has_sights() { core.take_reports(false) } else { Vec::new() };
        acts.into_iter().for_each(|act| self.access_act(at, act));
        if let Some(next) = next.filter(|next| *next < self.access[at].armed) {
            self.access[at].armed = next;
            self.put(next.saturating_sub(now), Ev::Timer(at));
        }
        if let Some(to) = self.access[at].session.filter(|_| !sights.is_empty()) {
            self.put(HOP, Ev::Link { to, msg: Msg::Sights(sights) });
        }
        if let Some(to) = self.access[at].session {
            reports.into_iter().for_each(|msg| self.put(HOP, Ev::Link { to, msg }));
        }
        Some(ret)
    }

    fn access_act(&mut self, at: usize, act: AccessAct) {
        match act {
            AccessAct::DialHand { link, place } => self.dial_hand(at, link, &place),
            AccessAct::SendHand { link, msg } => self.send_hand(at, link, msg),
            AccessAct::WriteClient(id) => {
                if let Some((link, msg)) = self.access[at].core.as_mut().and_then(|core| core.take_guest_out(id)) {
                    return self.send_hand(at, link, msg);
                }
                let core = self.access[at].core.as_mut();
                let out = core.and_then(|core| core.client_out(id)).map(std::mem::take).unwrap_or_default();
                self.client_heard(at, id, &out);
            }
            AccessAct::CloseClient(id, out) => {
                self.client_heard(at, id, &out);
                self.client_closed(at, id);
            }
            AccessAct::WriteDb(db) => {
                let core = self.access[at].core.as_mut();
                let out = core.and_then(|core| core.db_out(db)).map(std::mem::take).unwrap_or_default();
                let name = self.access[at].name.clone();
                if let Some((base, conn)) = self.db_conns.get(&(at, db)).copied() {
                    if !self.is_cut(&name, &self.bases[base].id.clone()) {
                        self.put(HOP, Ev::DbIn { base, conn, bytes: out });
                    }
                }
            }
            AccessAct::CloseDb(db) => {
                if let Some((base, conn)) = self.forget_conn((at, db)) {
                    self.bases[base].conns.remove(&conn);
                    self.bases[base].busy.remove(&conn);
                }
            }
            AccessAct::OpenDb { db, addr } => self.open_db(at, db, &addr),
        }
    }

    pub(crate) fn with_control<T>(
        &mut self,
        at: usize,
        event: impl FnOnce(&mut wv_control::Core, u64) -> T,
    ) -> Option<T> {
        let now = self.now;
        let core = self.controls[at].core.as_mut()?;
        let ret = event(core, now);
        let acts = core.take_acts();
        acts.into_iter().for_each(|act| self.control_act(at, act));
        Some(ret)
    }

    fn control_act(&mut self, at: usize, act: ControlAct) {
        match act {
            ControlAct::Send { link, msg } => {
                self.note_owner(&msg);
                if let Some(to) = self.controls[at].far.get(&link).copied() {
                    self.put(HOP, Ev::Link { to, msg });
                }
            }
            ControlAct::Close { link } => {
                let far = self.controls[at].far.remove(&link);
                far.into_iter().for_each(|end| self.put(HOP, Ev::LinkDown { end }));
            }
            ControlAct::Dial { link, addr } => self.dial(at, link, &addr),
            ControlAct::Wake { us } => self.put(us, Ev::ControlWake(at, self.controls[at].life)),
            ControlAct::Return { token, status, body } => {
                self.returns.insert(token, (status, body));
            }
            ControlAct::Request { service, id, text, .. } => {
                let is_open = |base: &usize| {
                    let held = &self.bases[*base];
                    !held.is_dark && !self.is_cut(&self.controls[at].name, &held.id)
                };
                let word = match self.base(&id).filter(is_open) {
                    None => Err(wv_promo::Silent::Dark),
                    Some(base) if !self.bases[base].is_up => Err(wv_promo::Silent::Refused),
                    Some(base) => self.bases[base].request(&text).ok_or(wv_promo::Silent::Dark),
                };
                self.note(format!("{} requests {id}: {text}", self.controls[at].name));
                let wait = if word.is_ok() { 15 * MS } else { 100 * MS };
                self.put(wait, Ev::Row { control: at, service, id, word });
            }
            ControlAct::Run { run, id, texts, .. } => self.run_texts(at, run, &id, &texts),
            ControlAct::Post { service, id, fence, .. } => self.post(at, service, id, fence),
        }
    }
}
