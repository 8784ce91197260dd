//! What databases and the platform do in the world: statements, commits, replication, beats, promotions.
use crate::base::{Outcome, Write};
use crate::conn::Conn;
use crate::world::{Ev, World, HOP};
use crate::MS;
use wv_access::ConnectionLoss;
use wv_wire_protocol::{split_line, ClientLine, LogPosition};

impl World {
    pub fn base(&self, id: &str) -> Option<usize> {
        self.bases.iter().position(|base| base.id == id)
    }

    pub(crate) fn open_db(&mut self, access: usize, db: u64, addr: &str) {
        let life = self.access[access].life;
        let name = self.access[access].name.clone();
        let base = self.bases.iter().position(|base| base.addr == addr && !base.is_left);
        let lost = match base.map(|at| &self.bases[at]) {
            Some(base) if base.is_dark || self.is_cut(&name, &base.id) => Some((300 * MS, ConnectionLoss::Unreachable)),
            Some(base) if base.is_up => None,
            _ => Some((HOP * 2, ConnectionLoss::Refused)),
        };
        match (lost, base) {
            (None, Some(base)) => {
                self.next_conn += 1;
                let conn = self.next_conn;
                self.bases[base].conns.insert(conn, Conn { state: b'I', ..Conn::default() });
                self.bases[base].setups += 1;
                self.db_conns.insert((access, db), (base, conn));
                self.conn_of.insert((base, conn), (access, db));
                self.put(HOP * 2, Ev::DbOpened { access, db, life });
                self.strain(base);
            }
            (Some((wait, lost)), _) => self.put(wait, Ev::DbEnd { access, db, lost, life }),
            (None, None) => {}
        }
    }

    /// A recovering database that is given more at once than it bears falls over again.
    fn strain(&mut self, base: usize) {
        let held = &mut self.bases[base];
        held.most_busy = held.most_busy.max(held.busy.len());
        if held.bears.is_some_and(|bears| held.busy.len() > bears) {
            self.note(format!("{} falls over", self.bases[base].id));
            self.bases[base].falls += 1;
            self.crash(base);
        }
    }

    /// A connection of an access node is no more.
    pub(crate) fn forget_conn(&mut self, key: (usize, u64)) -> Option<(usize, u64)> {
        let held = self.db_conns.remove(&key)?;
        self.conn_of.remove(&held);
        Some(held)
    }

    pub(crate) fn owner(&self, base: usize, conn: u64) -> Option<(usize, u64)> {
        self.conn_of.get(&(base, conn)).copied()
    }

    fn utter(&mut self, base: usize, conn: u64, text: String, after: u64) {
        let Some((access, db)) = self.owner(base, conn) else { return };
        let life = self.access[access].life;
        let name = self.access[access].name.clone();
        if !self.bases[base].is_dark && !self.is_lossy(&name, &self.bases[base].id.clone()) {
            self.put(after + HOP, Ev::DbOut { access, db, bytes: text.into_bytes(), life });
        }
    }

    pub(crate) fn db_in(&mut self, base: usize, conn: u64, bytes: &[u8]) {
        let mut at = 0;
        while let Some((line, len)) = split_line(&bytes[at..]) {
            at += len;
            if !self.bases[base].is_up || self.bases[base].is_dark || !self.bases[base].conns.contains_key(&conn) {
                return;
            }
            match ClientLine::parse(line) {
                ClientLine::Setup { login: who, .. } => {
                    let id = String::from_utf8_lossy(who).split(' ').nth(1).map(str::to_owned);
                    let is_it = id.as_deref() == Some(self.bases[base].id.as_str());
                    let text = if is_it { "IDLE I 1.0\r\n" } else { "ERROR WRONGNODE no\r\n" };
                    self.utter(base, conn, text.to_owned(), 12 * MS);
                }
                // Own statements carry the id `-`, which a client's may not.
                _ => {
                    let text = String::from_utf8_lossy(line).into_owned();
                    let mut words = text.splitn(3, ' ');
                    let (_, id, text) = (words.next(), words.next().unwrap_or("-"), words.next().unwrap_or_default());
                    self.statement(base, conn, id, text);
                }
            }
        }
    }

    fn statement(&mut self, base: usize, conn: u64, id: &str, text: &str) {
        let is_own = id == "-";
        if !is_own {
            *self.oracle.runs.entry(id.to_owned()).or_default() += 1;
            self.judge_drain(base, conn, id);
            self.bases[base].busy.insert(conn);
            self.strain(base);
            self.check_session(base, conn, id, text);
        }
        if is_own && text == "BEGIN" {
            self.bases[base].conns.get_mut(&conn).into_iter().for_each(|held| held.has_worked = false);
        }
        let outcome = self.bases[base].run(conn, text);
        let is_lost = !is_own && self.bases[base].lose > 0;
        if is_lost {
            self.bases[base].lose -= 1;
        }
        let state = self.bases[base].conns.get(&conn).map_or(b'I', |held| held.state);
        let stamp = format!("stamp.{}.{id}", self.bases[base].id);
        match outcome {
            Outcome::Keep(write) => {
                let write = Write { tag: id.to_owned(), ..write };
                self.bases[base].conns.get_mut(&conn).into_iter().for_each(|held| held.writes.push(write.clone()));
                let text = self.bases[base].complete("", &stamp, state);
                self.finish(base, conn, text, is_lost);
            }
            Outcome::Say(text) => self.finish(base, conn, text, is_lost),
            Outcome::Row => {
                let text = self.bases[base].row();
                self.finish(base, conn, text, is_lost);
            }
            Outcome::Read(rows) => {
                self.judge_read(base, id);
                let text = self.bases[base].complete(&rows, &stamp, state);
                self.finish(base, conn, text, is_lost);
            }
            Outcome::Commit(writes) => {
                let is_single = text != "COMMIT";
                let named = |write: Write| if is_single { Write { tag: id.to_owned(), ..write } } else { write };
                let writes = writes.into_iter().map(named).collect();
                self.commit(base, conn, writes, &stamp, is_lost);
            }
        }
    }

    fn finish(&mut self, base: usize, conn: u64, text: String, is_lost: bool) {
        let work = self.bases[base].work_us;
        self.put(work, Ev::Free { base, conn });
        if !is_lost {
            self.utter(base, conn, text, work);
        }
    }

    fn commit(&mut self, base: usize, conn: u64, writes: Vec<Write>, stamp: &str, is_lost: bool) {
        if writes.is_empty() {
            let text = self.bases[base].complete("", stamp, b'I');
            return self.finish(base, conn, text, is_lost);
        }
        let service = self.bases[base].service.clone();
        for (at, write) in (self.bases[base].log.len()..).zip(&writes) {
            self.oracle.places.insert(write.tag.clone(), (service.clone(), at));
        }
        self.bases[base].append(writes);
        let (len, pos) = (self.bases[base].log.len(), self.bases[base].received());
        let stamp = if is_lost { String::new() } else { stamp.to_owned() };
        self.waiting.push((base, pos, conn, stamp));
        let replicas: Vec<usize> = (0..self.bases.len()).filter(|at| self.is_replica_of(base, *at)).collect();
        // Alone in its service it has nobody to wait for.
        if replicas.is_empty() {
            return self.acknowledge(base, pos);
        }
        replicas.into_iter().for_each(|to| self.put(2 * MS, Ev::Replicate { from: base, to, len }));
    }

    pub(crate) fn acknowledge(&mut self, from: usize, received: LogPosition) {
        let (done, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(base, pos, _, _)| *base == from && *pos <= received);
        self.waiting = rest;
        for (base, _, conn, stamp) in done {
            let text = self.bases[base].complete("", &stamp, b'I');
            self.finish(base, conn, text, stamp.is_empty());
        }
    }

    pub(crate) fn beat(&mut self, base: usize) {
        let held = &mut self.bases[base];
        if !held.is_up || held.is_dark || held.is_left || self.gone.contains(&base) {
            return;
        }
        held.sequence += 1;
        let body = serde_json::json!({"destination": held.service, "address": held.addr, "zone": held.zone,
            "issue": "v1", "capacity": 10, "state": if held.is_draining { "draining" } else { "in_service" },
            "coldLeftMs": 0, "dbRole": if held.is_primary { "primary" } else { "replica" }, "sequence": held.sequence});
        let path = format!("/instances/{}", held.id);
        let is_up = |at: &usize| self.controls[*at].core.is_some() && !self.frozen_controls.contains(at);
        let up: Vec<usize> = (0..self.controls.len()).filter(is_up).collect();
        if let Some(control) = up.get(self.luck.below(up.len() as u64) as usize) {
            self.call(*control, "PUT", &path, body.to_string().as_bytes());
        }
    }

    /// The named database leads the next term with what it had received, and nothing more.
    pub(crate) fn promote(&mut self, base: usize) {
        if !self.bases[base].is_up || self.bases[base].is_primary {
            return;
        }
        let service = self.bases[base].service.clone();
        let terms = self.bases.iter().filter(|held| held.service == service).map(|held| held.term);
        let term = terms.max().unwrap_or(1) + 1;
        let log = self.bases[base].log.clone();
        self.note(format!("{} leads term {term}", self.bases[base].id));
        for (at, held) in self.bases.iter_mut().enumerate().filter(|(_, held)| held.service == service) {
            // Connections of the lead that is over take no writes any more, whoever leads later.
            if held.is_primary && at != base {
                held.conns.values_mut().for_each(|conn| conn.is_deposed = true);
            }
            held.is_primary = at == base;
            held.term = term;
            held.cut_back(&log);
        }
        self.bases[base].held = 0;
        self.bases[base].apply(log.len());
        let services: Vec<bool> = self.bases.iter().map(|held| held.service == service).collect();
        self.waiting.retain(|(at, _, _, _)| *at == base || !services[*at]);
        (0..self.bases.len()).for_each(|at| self.beat(at));
    }
}
