//! A recording of who is subscribed to which database and when requests come: never what is in them. Off by default.
//! The format is `wv-replay`'s, version 1; memory is bounded, and what does not fit is counted.
use crate::core::Core;
use crate::types::Verb;

/// One event takes this much at the most.
pub const EVENT_BYTES: usize = std::mem::size_of::<Noted>();

#[derive(Clone, Copy)]
enum What {
    Open { host: u16 },
    Ask { statements: u8, is_txn: bool, writes: bool },
    Close,
}

#[derive(Clone, Copy)]
pub struct Noted {
    at: u64,
    client: u32,
    what: What,
}

#[derive(Default)]
pub(crate) struct Recorder {
    max: usize,
    salt: u64,
    /// The time of day at this process's zero.
    epoch_us: u64,
    events: Vec<Noted>,
    hosts: Vec<(String, bool, String)>,
    lost: u64,
}

impl Recorder {
    fn note(&mut self, at: u64, client: u32, what: What) -> Option<usize> {
        if self.events.len() >= self.max {
            self.lost += 1;
            return None;
        }
        self.events.push(Noted { at, client, what });
        Some(self.events.len() - 1)
    }

    /// A client is known by a salted hash alone.
    fn client(&self, id: u64, who: &str) -> u32 {
        let seed =
            who.bytes().fold(self.salt ^ id, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3));
        (wv_shard_forecast::hash(&seed.to_le_bytes()) >> 32) as u32
    }
}

impl Core {
    /// Records from now on, up to `max` events; 0 records nothing.
    pub fn set_record(&mut self, max: usize, salt: u64, epoch_us: u64) {
        (self.recorder.max, self.recorder.salt, self.recorder.epoch_us) = (max, salt, epoch_us);
    }

    pub(crate) fn is_recording(&self) -> bool {
        self.recorder.max > 0
    }

    fn recorded(&self, id: u64) -> Option<u32> {
        let client = self.clients.get(&id).filter(|client| client.forward_origin.is_none())?;
        Some(self.recorder.client(id, &client.login))
    }

    pub(crate) fn record_open(&mut self, id: u64) {
        let (true, Some(name)) = (self.is_recording(), self.recorded(id)) else { return };
        let host = self.clients.get(&id).and_then(|client| client.database.clone()).unwrap_or_default();
        let route = self.conf.as_ref().and_then(|conf| conf.route(&host).cloned());
        let Some(route) = route else { return };
        let row = (host, route.category != wv_configuration::Category::Primary, route.service.clone());
        let known = self.recorder.hosts.iter().position(|held| *held == row);
        let at = known.unwrap_or(self.recorder.hosts.len());
        if known.is_none() && at < usize::from(u16::MAX) {
            self.recorder.hosts.push(row);
        }
        self.recorder.note(self.now, name, What::Open { host: at.min(usize::from(u16::MAX) - 1) as u16 });
    }

    pub(crate) fn record_close(&mut self, id: u64) {
        let is_open = self.clients.get(&id).is_some_and(|client| client.database.is_some());
        if let (true, Some(name)) = (self.is_recording() && is_open, self.recorded(id)) {
            self.recorder.note(self.now, name, What::Close);
        }
    }

    /// A statement of its own, or one more of a transaction, which stands where its first one came.
    pub(crate) fn record_request(&mut self, id: u64) {
        let (true, Some(name)) = (self.is_recording(), self.recorded(id)) else { return };
        let now = self.now;
        let Some(client) = self.clients.get_mut(&id) else { return };
        let verb = client.request.verb();
        let (is_txn, held) = (client.txn.is_some(), client.txn.as_ref().and_then(|txn| txn.recording_index));
        let writes = verb == Verb::Write;
        match held.and_then(|at| self.recorder.events.get_mut(at)) {
            Some(Noted { what: What::Ask { statements, writes: held, .. }, .. }) if verb != Verb::Commit => {
                (*statements, *held) = (statements.saturating_add(1).min(100), *held || writes);
            }
            Some(_) => {}
            None if verb == Verb::Commit => {}
            None => {
                let at = self.recorder.note(now, name, What::Ask { statements: 1, is_txn, writes });
                if let Some(txn) = self.clients.get_mut(&id).and_then(|client| client.txn.as_mut()) {
                    txn.recording_index = at;
                }
            }
        }
    }

    /// What was recorded, as `windvalve replay` reads it; empty where nothing is recorded.
    pub fn recording(&self) -> String {
        if !self.is_recording() {
            return String::new();
        }
        let record = &self.recorder;
        let start = record.epoch_us as f64 / 1e6;
        let mut out = format!("recording 1 node={} start={start:.6} lost={}\n", self.forwarding.me, record.lost);
        let mut open = hashbrown::HashSet::new();
        let mut count = 0usize;
        for noted in &record.events {
            let (at, client) = (noted.at as f64 / 1e6, noted.client);
            let line = match noted.what {
                What::Open { host } if open.insert(client) => {
                    let Some((host, is_bounded, service)) = record.hosts.get(usize::from(host)) else { continue };
                    let category = if *is_bounded { "bounded" } else { "primary" };
                    format!("{at:.6} open {client:08x} {host} {category} {service}\n")
                }
                What::Ask { statements, is_txn, writes } if open.contains(&client) => {
                    let kind = match (is_txn, writes) {
                        (true, writes) => format!("txn:{statements}:{}", if writes { "w" } else { "r" }),
                        (false, true) => "write".to_owned(),
                        (false, false) => "read".to_owned(),
                    };
                    format!("{at:.6} ask {client:08x} {kind}\n")
                }
                What::Close if open.remove(&client) => format!("{at:.6} close {client:08x}\n"),
                _ => continue,
            };
            out.push_str(&line);
            count += 1;
        }
        out.push_str(&format!("end {count}\n"));
        out
    }
}
