//! Control nodes in the world: started, killed, and their cores driven.
use crate::nodes::End;
use crate::world::{Ev, World, HOP};
use crate::MS;
use wv_control::Effect as ControlEffect;

impl World {
    pub fn start_control(&mut self, at: usize, is_first: bool) {
        self.life += 1;
        self.note_trouble(&self.controls[at].name.clone());
        let node = &mut self.controls[at];
        let is_new = std::mem::replace(&mut node.life, self.life) == 0;
        node.far.clear();
        let start = wv_control::Start {
            address: node.addr.clone(),
            node: node.name.clone(),
            zone: format!("z{}", at % 3),
            // As in a process: the time of the start, the same for all that start together.
            incarnation: self.now.saturating_add_signed(node.clock_us),
            seeds: node.seeds.clone(),
            is_initial_start: is_first,
            has_disk: node.is_core,
            tolerated_machines: self.tolerate,
            disk_id: self.life + 1000, // random in a process; here no two are ever the same
            requester_id: self.life.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        let store =
            wv_consensus::Store::open(Box::new(crate::disk::Disk::new(node.files.clone(), node.faults.clone())));
        node.core = store.and_then(|store| wv_control::Core::new(start, store)).ok();
        if is_new {
            self.put(MS * (1 + at as u64), Ev::ControlTick(at));
        }
    }

    pub fn kill_control(&mut self, at: usize) {
        self.controls[at].core = None;
        self.note_trouble(&self.controls[at].name.clone());
        let far: Vec<End> = std::mem::take(&mut self.controls[at].far).into_values().collect();
        far.into_iter().for_each(|end| self.put(HOP, Ev::LinkDown { end }));
    }

    pub(crate) fn with_control<T>(
        &mut self,
        at: usize,
        event: impl FnOnce(&mut wv_control::Core, u64) -> T,
    ) -> Option<T> {
        let now = self.now;
        let core = self.controls[at].core.as_mut()?;
        let ret = event(core, now);
        let acts = core.take_effects();
        // Power went in the middle of a write: nothing that followed from it was said.
        if self.controls[at].faults.is_dead() {
            self.power_control(at, 0);
            return None;
        }
        acts.into_iter().for_each(|act| self.control_act(at, act));
        Some(ret)
    }

    fn control_act(&mut self, at: usize, act: ControlEffect) {
        match act {
            ControlEffect::Send { link, message: msg } => {
                self.note_owner(&msg);
                if let Some(to) = self.controls[at].far.get(&link).copied() {
                    self.put(HOP, Ev::Link { to, msg });
                }
            }
            ControlEffect::Close { link } => {
                let far = self.controls[at].far.remove(&link);
                far.into_iter().for_each(|end| self.put(HOP, Ev::LinkDown { end }));
            }
            ControlEffect::Dial { link, addr } => self.dial(at, link, &addr),
            ControlEffect::Wake { delay_us: us } => self.put(us, Ev::ControlWake(at, self.controls[at].life)),
            ControlEffect::Respond { token, status, body } => {
                self.note_return(token, status);
                self.returns.insert(token, (status, body));
            }
            ControlEffect::QueryDatabase { request: ask, id, statement: text, .. } => {
                let is_open = |base: &usize| {
                    let held = &self.bases[*base];
                    !held.is_dark && !self.is_cut(&self.controls[at].name, &held.id)
                };
                let word = match self.base(&id).filter(is_open) {
                    None => Err(wv_promotion::StatusError::Unreachable),
                    Some(base) if !self.bases[base].is_up => Err(wv_promotion::StatusError::Refused),
                    Some(base) => self.bases[base].request(&text).ok_or(wv_promotion::StatusError::Unreachable),
                };
                self.note(format!("{} requests {id}: {text}", self.controls[at].name));
                let wait = if word.is_ok() { 15 * MS } else { 100 * MS };
                self.put(wait, Ev::Row { control: at, life: self.controls[at].life, ask, word });
            }
            ControlEffect::RunStatements { request: run, id, statements: texts, .. } => {
                self.run_texts(at, run, &id, &texts)
            }
            ControlEffect::PromoteDatabase { request: ask, service, id, fence, .. } => {
                self.post(at, ask, service, (id, fence))
            }
        }
    }
}
