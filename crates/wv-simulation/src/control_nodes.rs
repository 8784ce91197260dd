//! Starts and kills control nodes and applies the effects of their cores.
use crate::nodes::LinkEnd;
use crate::simulation::{Event, Simulation, LINK_DELAY_US};
use crate::MS;
use wv_control::Effect as ControlEffect;

impl Simulation {
    pub fn start_control(&mut self, at: usize, is_first: bool) {
        self.last_incarnation += 1;
        self.record_fault(&self.controls[at].name.clone());
        let node = &mut self.controls[at];
        let is_new = std::mem::replace(&mut node.incarnation, self.last_incarnation) == 0;
        node.peer_ends.clear();
        let start = wv_control::Start {
            address: node.addr.clone(),
            node: node.name.clone(),
            zone: format!("z{}", at % 3),
            // As in a real process, the start time: nodes that start together share it.
            incarnation: self.now.saturating_add_signed(node.clock_offset_us),
            seeds: node.seeds.clone(),
            is_initial_start: is_first,
            has_disk: node.has_disk,
            tolerated_machines: self.tolerated_machines,
            disk_id: self.last_incarnation + 1000, // random in a real process; unique here
            requester_id: self.last_incarnation.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        };
        let store = wv_consensus::Store::open(Box::new(crate::disk::FaultyDisk::new(
            node.files.clone(),
            node.disk_faults.clone(),
        )));
        node.core = store.and_then(|store| wv_control::Core::new(start, store)).ok();
        if is_new {
            self.schedule(MS * (1 + at as u64), Event::ControlTick(at));
        }
    }

    pub fn kill_control(&mut self, at: usize) {
        self.controls[at].core = None;
        self.record_fault(&self.controls[at].name.clone());
        let peers: Vec<LinkEnd> = std::mem::take(&mut self.controls[at].peer_ends).into_values().collect();
        peers.into_iter().for_each(|end| self.schedule(LINK_DELAY_US, Event::LinkDown { end }));
    }

    pub(crate) fn with_control<T>(
        &mut self,
        at: usize,
        event: impl FnOnce(&mut wv_control::Core, u64) -> T,
    ) -> Option<T> {
        let now = self.now;
        let core = self.controls[at].core.as_mut()?;
        let ret = event(core, now);
        let effects = core.take_effects();
        // Power was lost during a write: effects that depend on it are discarded.
        if self.controls[at].disk_faults.is_powered_off() {
            self.power_off_control(at, 0);
            return None;
        }
        effects.into_iter().for_each(|effect| self.apply_control_effect(at, effect));
        Some(ret)
    }

    fn apply_control_effect(&mut self, at: usize, effect: ControlEffect) {
        match effect {
            ControlEffect::Send { link, message: msg } => {
                self.log_owner_change(&msg);
                if let Some(to) = self.controls[at].peer_ends.get(&link).copied() {
                    self.schedule(LINK_DELAY_US, Event::LinkMessage { to, msg });
                }
            }
            ControlEffect::Close { link } => {
                let peers = self.controls[at].peer_ends.remove(&link);
                peers.into_iter().for_each(|end| self.schedule(LINK_DELAY_US, Event::LinkDown { end }));
            }
            ControlEffect::Dial { link, addr } => self.dial(at, link, &addr),
            ControlEffect::Wake { delay_us: us } => {
                self.schedule(us, Event::ControlWake(at, self.controls[at].incarnation))
            }
            ControlEffect::Respond { token, status, body } => {
                self.track_response(token, status);
                self.responses.insert(token, (status, body));
            }
            ControlEffect::QueryDatabase { request, id, statement, .. } => {
                self.query_database(at, request, &id, statement)
            }
            ControlEffect::RunStatements { request: run, id, statements, .. } => {
                self.send_control_statements(at, run, &id, &statements)
            }
            ControlEffect::PromoteDatabase { request, service, id, fence, .. } => {
                self.call_promotion(at, request, service, (id, fence))
            }
        }
    }
}
