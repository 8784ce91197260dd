//! Records session and request times for replay, never the contents of requests. Off by default.
//! The format is that of `wv-replay`. Memory is bounded; events that do not fit are counted as lost.
use crate::core::Core;
use crate::recorded_names::{encode_recorded_name, recording_version};
use crate::types::Verb;

/// Memory that one event takes.
pub const EVENT_BYTES: usize = std::mem::size_of::<Event>();

#[derive(Clone, Copy)]
enum EventKind {
    Open { host: u16 },
    Request { statements: u8, is_txn: bool, writes: bool },
    Close,
}

#[derive(Clone, Copy)]
pub struct Event {
    at: u64,
    client: u32,
    kind: EventKind,
}

#[derive(Default)]
pub(crate) struct Recorder {
    max_events: usize,
    salt: u64,
    /// Unix time of the process's time zero.
    epoch_us: u64,
    events: Vec<Event>,
    hosts: Vec<(String, bool, String)>,
    dropped_events: u64,
}

impl Recorder {
    fn push(&mut self, at: u64, client: u32, kind: EventKind) -> Option<usize> {
        if self.events.len() >= self.max_events {
            self.dropped_events += 1;
            return None;
        }
        self.events.push(Event { at, client, kind });
        Some(self.events.len() - 1)
    }

    /// Clients are identified by a salted hash only.
    fn client_hash(&self, id: u64, who: &str) -> u32 {
        let seed =
            who.bytes().fold(self.salt ^ id, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
        (wv_shard_forecast::hash(&seed.to_le_bytes()) >> 32) as u32
    }
}

impl Core {
    /// Records up to `max` events from now on; 0 disables recording.
    pub fn set_recording(&mut self, max: usize, salt: u64, epoch_us: u64) {
        (self.recorder.max_events, self.recorder.salt, self.recorder.epoch_us) = (max, salt, epoch_us);
    }

    pub(crate) fn is_recording(&self) -> bool {
        self.recorder.max_events > 0
    }

    fn recorded_client(&self, id: u64) -> Option<u32> {
        let client = self.clients.get(&id).filter(|client| client.forward_origin.is_none())?;
        Some(self.recorder.client_hash(id, &client.login))
    }

    pub(crate) fn record_open(&mut self, id: u64) {
        let (true, Some(name)) = (self.is_recording(), self.recorded_client(id)) else { return };
        let host = self.clients.get(&id).and_then(|client| client.database.clone()).unwrap_or_default();
        let route = self.configuration.as_ref().and_then(|configuration| configuration.route(&host).cloned());
        let Some(route) = route else { return };
        let row = (host, route.category != wv_configuration::Category::Primary, route.service.clone());
        let known = self.recorder.hosts.iter().position(|host| *host == row);
        let at = known.unwrap_or(self.recorder.hosts.len());
        if known.is_none() && at < usize::from(u16::MAX) {
            self.recorder.hosts.push(row);
        }
        self.recorder.push(self.now, name, EventKind::Open { host: at.min(usize::from(u16::MAX) - 1) as u16 });
    }

    pub(crate) fn record_close(&mut self, id: u64) {
        let is_open = self.clients.get(&id).is_some_and(|client| client.database.is_some());
        if let (true, Some(name)) = (self.is_recording() && is_open, self.recorded_client(id)) {
            self.recorder.push(self.now, name, EventKind::Close);
        }
    }

    /// Records a single statement, or counts one more of a transaction, which is recorded at its first statement.
    pub(crate) fn record_request(&mut self, id: u64) {
        let (true, Some(name)) = (self.is_recording(), self.recorded_client(id)) else { return };
        let now = self.now;
        let Some(client) = self.clients.get_mut(&id) else { return };
        let verb = client.request.verb();
        let (is_txn, recorded) = (client.txn.is_some(), client.txn.as_ref().and_then(|txn| txn.recording_index));
        let writes = verb == Verb::Write;
        match recorded.and_then(|at| self.recorder.events.get_mut(at)) {
            Some(Event { kind: EventKind::Request { statements, writes: has_writes, .. }, .. })
                if verb != Verb::Commit =>
            {
                (*statements, *has_writes) = (statements.saturating_add(1).min(100), *has_writes || writes);
            }
            Some(_) => {}
            None if verb == Verb::Commit => {}
            None => {
                let at = self.recorder.push(now, name, EventKind::Request { statements: 1, is_txn, writes });
                if let Some(txn) = self.clients.get_mut(&id).and_then(|client| client.txn.as_mut()) {
                    txn.recording_index = at;
                }
            }
        }
    }

    /// The recording in the format of `windvalve replay`; empty if recording is disabled.
    pub fn recording(&self) -> String {
        if !self.is_recording() {
            return String::new();
        }
        let record = &self.recorder;
        let start = record.epoch_us as f64 / 1e6;
        let names = record.hosts.iter().flat_map(|(host, _, service)| [host.as_str(), service.as_str()]);
        let version = recording_version(names);
        let mut out = format!(
            "recording {version} node={} start={start:.6} lost={}\n",
            self.forwarding.node_name, record.dropped_events
        );
        let mut open = hashbrown::HashSet::new();
        let mut count = 0usize;
        for event in &record.events {
            let (at, client) = (event.at as f64 / 1e6, event.client);
            let line = match event.kind {
                EventKind::Open { host } if open.insert(client) => {
                    let Some((host, is_bounded, service)) = record.hosts.get(usize::from(host)) else { continue };
                    let category = if *is_bounded { "bounded" } else { "primary" };
                    let host = encode_recorded_name(version, host);
                    let service = encode_recorded_name(version, service);
                    format!("{at:.6} open {client:08x} {host} {category} {service}\n")
                }
                EventKind::Request { statements, is_txn, writes } if open.contains(&client) => {
                    let kind = match (is_txn, writes) {
                        (true, writes) => format!("txn:{statements}:{}", if writes { "w" } else { "r" }),
                        (false, true) => "write".to_owned(),
                        (false, false) => "read".to_owned(),
                    };
                    format!("{at:.6} ask {client:08x} {kind}\n")
                }
                EventKind::Close if open.remove(&client) => format!("{at:.6} close {client:08x}\n"),
                _ => continue,
            };
            out.push_str(&line);
            count += 1;
        }
        out.push_str(&format!("end {count}\n"));
        out
    }
}
