//! Simulated operators and configuration readers: they follow redirects, and retry updates until a final response.
use super::bodies::{invalid_body, valid_body, Sections};
use super::{ConfigurationRead, ConfigurationUpdate, History, UpdateResponse};
use crate::{Rng, Simulation, MS, S};
use std::collections::BTreeSet;

/// A call without a response for this long is retried on another node.
const RESPONSE_TIMEOUT_US: u64 = S;
const RETRY_DELAY_US: u64 = 100 * MS;
const REDIRECTS_MAX: u32 = 2;

#[derive(Clone, Copy)]
enum CallKind {
    /// Sends the update with this index.
    PutUpdate(usize),
    /// Sends an update again; no operator waits for the response.
    Duplicate(usize),
    Read,
}

struct Call {
    kind: CallKind,
    token: u64,
    control: usize,
    sent_us: u64,
    redirects: u32,
}

/// An update that an operator retries until it gets a final response.
struct UpdateTask {
    update: usize,
    /// When it is sent next; none while the response to `awaited_token` is outstanding.
    next_us: Option<u64>,
    awaited_token: u64,
    control: usize,
    attempts: u32,
    rejections: u32,
}

pub(super) struct OperatorClients {
    rng: Rng,
    calls: Vec<Call>,
    tasks: Vec<UpdateTask>,
    /// Duplicates to send: time, control node and update.
    duplicates: Vec<(u64, usize, usize)>,
    pub version: u64,
    pub sections: Sections,
    pub is_losing_responses: bool,
    pub is_duplicating: bool,
}

impl OperatorClients {
    pub fn new(seed: u64) -> OperatorClients {
        let (calls, tasks, duplicates) = (Vec::new(), Vec::new(), Vec::new());
        let rng = Rng::new(seed ^ 0x0b5);
        OperatorClients {
            rng,
            calls,
            tasks,
            duplicates,
            version: 0,
            sections: Sections::default(),
            is_losing_responses: false,
            is_duplicating: false,
        }
    }

    /// The version for the next valid update; versions may skip numbers.
    pub fn next_version(&mut self) -> u64 {
        self.version += 1 + self.rng.below(3);
        self.version
    }

    pub fn create_update(&mut self, history: &mut History, version: u64, variant: u64, now: u64) -> usize {
        let body = valid_body(version, variant, &self.sections);
        let probed_service = self.sections.probed_service.map(str::to_owned);
        let update = ConfigurationUpdate { version, body, is_valid: true, first_sent_us: now, probed_service };
        history.updates.push(update);
        history.updates.len() - 1
    }

    pub fn create_invalid_update(&mut self, history: &mut History, variant: u64, now: u64) -> usize {
        let version = self.version + 1;
        history.updates.push(ConfigurationUpdate {
            version,
            body: invalid_body(version, variant),
            is_valid: false,
            first_sent_us: now,
            probed_service: None,
        });
        history.updates.len() - 1
    }

    /// Starts sending an update, first to the given control node.
    pub fn send(&mut self, update: usize, control: usize, at_us: u64) {
        self.tasks.push(UpdateTask {
            update,
            next_us: Some(at_us),
            awaited_token: 0,
            control,
            attempts: 0,
            rejections: 0,
        });
    }

    /// Updates that have no final response yet.
    pub fn unfinished_updates(&self) -> Vec<usize> {
        self.tasks.iter().map(|task| task.update).collect()
    }

    pub fn read(&mut self, sim: &mut Simulation, removed: &BTreeSet<String>) {
        if let Some(index) = self.pick_control(sim, removed) {
            self.call(sim, CallKind::Read, index, b"", 0);
        }
    }

    pub fn read_from(&mut self, sim: &mut Simulation, control: usize) {
        self.call(sim, CallKind::Read, control, b"", 0);
    }

    /// A random control node that has not been removed.
    fn pick_control(&mut self, sim: &Simulation, removed: &BTreeSet<String>) -> Option<usize> {
        let is_listed = |index: &usize| !removed.contains(&sim.controls[*index].name);
        let listed: Vec<usize> = (0..sim.controls.len()).filter(is_listed).collect();
        listed.get(self.rng.below(listed.len() as u64) as usize).copied()
    }

    fn call(&mut self, sim: &mut Simulation, kind: CallKind, index: usize, body: &[u8], redirects: u32) -> u64 {
        let method = if matches!(kind, CallKind::Read) { "GET" } else { "PUT" };
        let sent_us = sim.now;
        let token = sim.call(index, method, "/configuration", body);
        if token > 0 {
            self.calls.push(Call { kind, token, control: index, sent_us, redirects });
        }
        token
    }

    /// Handles completed calls, and sends updates that are due.
    pub fn poll(&mut self, sim: &mut Simulation, history: &mut History, removed: &BTreeSet<String>) {
        let (completed, waiting): (Vec<Call>, Vec<Call>) =
            std::mem::take(&mut self.calls).into_iter().partition(|call| sim.responses.contains_key(&call.token));
        self.calls = waiting;
        for call in completed {
            let (status, body) = sim.responses.remove(&call.token).unwrap_or_default();
            self.on_response(sim, history, &call, status, &body);
        }
        self.send_due(sim, history, removed);
    }

    fn on_response(&mut self, sim: &mut Simulation, history: &mut History, call: &Call, status: u16, body: &[u8]) {
        let (now, control) = (sim.now, sim.controls[call.control].name.clone());
        if status == 307 && call.redirects < REDIRECTS_MAX {
            let location = String::from_utf8_lossy(body).into_owned();
            let addr = location.trim_start_matches("http://").split('/').next().unwrap_or_default().to_owned();
            let Some(to) = sim.controls.iter().position(|node| node.addr == addr) else { return };
            let body = match call.kind {
                CallKind::PutUpdate(update) | CallKind::Duplicate(update) => history.updates[update].body.clone(),
                CallKind::Read => Vec::new(),
            };
            let token = self.call(sim, call.kind, to, &body, call.redirects + 1);
            let task = self.tasks.iter_mut().find(|task| task.awaited_token == call.token && call.token > 0);
            task.into_iter().for_each(|task| task.awaited_token = token);
            return;
        }
        match call.kind {
            CallKind::Read if status == 200 => {
                let content = serde_json::from_slice::<serde_json::Value>(body).unwrap_or_default();
                let version = content["issue"].as_u64().unwrap_or(0);
                let update = history.updates.iter().position(|update| update.body == body);
                let (sent_us, received_us) = (call.sent_us, now);
                history.reads.push(ConfigurationRead { control, sent_us, received_us, version, update });
            }
            CallKind::Read => {}
            CallKind::PutUpdate(update) | CallKind::Duplicate(update) => {
                history.responses.push(UpdateResponse {
                    update,
                    control,
                    sent_us: call.sent_us,
                    received_us: now,
                    status,
                });
                let is_response_lost = self.is_losing_responses && self.rng.chance(70);
                let index =
                    self.tasks.iter().position(|task| task.awaited_token == call.token && task.next_us.is_none());
                if let Some(index) = index.filter(|_| !is_response_lost) {
                    self.complete_attempt(index, status, now);
                }
            }
        }
    }

    /// Finishes a task on a final status, or schedules a retry on another node.
    fn complete_attempt(&mut self, index: usize, status: u16, now: u64) {
        let task = &mut self.tasks[index];
        task.rejections += u32::from(status / 100 == 4 && !matches!(status, 408 | 429));
        let is_final = matches!(status, 200..=299 | 400 | 409 | 412 | 413 | 422) || task.rejections >= 3;
        if is_final {
            self.tasks.remove(index);
            return;
        }
        task.next_us = Some(now + (RETRY_DELAY_US << task.attempts.min(4)));
    }

    fn send_due(&mut self, sim: &mut Simulation, history: &History, removed: &BTreeSet<String>) {
        let now = sim.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.duplicates).into_iter().partition(|entry| entry.0 <= now);
        self.duplicates = later;
        for (_, index, update) in due {
            self.call(sim, CallKind::Duplicate(update), index, &history.updates[update].body, 0);
        }
        for index in 0..self.tasks.len() {
            if self.tasks[index].next_us.is_none_or(|next_us| next_us > now) {
                continue;
            }
            // Retries go to any node.
            let to = match self.tasks[index].attempts {
                0 => Some(self.tasks[index].control),
                _ => self.pick_control(sim, removed),
            };
            let Some(to) = to else { continue };
            let update = self.tasks[index].update;
            if self.is_duplicating && self.rng.chance(60) {
                let (after, to) = (self.rng.below(3 * S), self.pick_control(sim, removed).unwrap_or(to));
                self.duplicates.push((now + after, to, update));
            }
            let token = self.call(sim, CallKind::PutUpdate(update), to, &history.updates[update].body, 0);
            let task = &mut self.tasks[index];
            task.attempts += 1;
            (task.awaited_token, task.next_us) = (token, None);
            if token == 0 {
                task.next_us = Some(now + (RETRY_DELAY_US << task.attempts.min(4)));
            }
        }
        let timed_out: BTreeSet<u64> =
            self.calls.iter().filter(|call| call.sent_us + RESPONSE_TIMEOUT_US <= now).map(|call| call.token).collect();
        let outstanding: BTreeSet<u64> = self.calls.iter().map(|call| call.token).collect();
        for task in self.tasks.iter_mut().filter(|task| task.next_us.is_none()) {
            // Timed out, or the response was lost.
            if timed_out.contains(&task.awaited_token) || !outstanding.contains(&task.awaited_token) {
                task.next_us = Some(now + (RETRY_DELAY_US << task.attempts.min(4)));
            }
        }
    }
}
