//! Databases in the simulation: connections, statements, commits, heartbeats and promotions.
use crate::connection::Connection;
use crate::database::{Outcome, Write};
use crate::simulation::{Event, Simulation, LINK_DELAY_US};
use crate::MS;
use wv_access::ConnectionLoss;
use wv_wire_protocol::{split_line, ClientLine, LogPosition};

impl Simulation {
    pub fn database_index(&self, id: &str) -> Option<usize> {
        self.databases.iter().position(|database| database.id == id)
    }

    pub(crate) fn open_db(&mut self, access: usize, db: u64, addr: &str) {
        let incarnation = self.access[access].incarnation;
        let name = self.access[access].name.clone();
        let database = self.databases.iter().position(|database| database.addr == addr && !database.is_removed);
        let lost = match database.map(|at| &self.databases[at]) {
            Some(database) if database.is_unreachable || self.is_disconnected(&name, &database.id) => {
                Some((300 * MS, ConnectionLoss::Unreachable))
            }
            Some(database) if database.is_up => None,
            _ => Some((LINK_DELAY_US * 2, ConnectionLoss::Refused)),
        };
        match (lost, database) {
            (None, Some(database)) => {
                self.next_connection_id += 1;
                let connection_id = self.next_connection_id;
                self.databases[database]
                    .connections
                    .insert(connection_id, Connection { state: b'I', ..Connection::default() });
                self.databases[database].setup_count += 1;
                self.database_connections.insert((access, db), (database, connection_id));
                self.connection_owners.insert((database, connection_id), (access, db));
                self.schedule(LINK_DELAY_US * 2, Event::DbOpened { access, db, incarnation });
                self.check_overload(database);
            }
            (Some((wait, lost)), _) => self.schedule(wait, Event::DbEnd { access, db, lost, incarnation }),
            (None, None) => {}
        }
    }

    /// Crashes a database that runs more concurrent statements than its limit.
    fn check_overload(&mut self, database: usize) {
        let instance = &mut self.databases[database];
        instance.peak_busy = instance.peak_busy.max(instance.busy.len());
        if instance.busy_limit.is_some_and(|limit| instance.busy.len() > limit) {
            self.log_event(format!("{} crashes under overload", self.databases[database].id));
            self.databases[database].overload_crashes += 1;
            self.crash(database);
        }
    }

    /// Removes an access node's database connection from both indexes.
    pub(crate) fn remove_connection(&mut self, key: (usize, u64)) -> Option<(usize, u64)> {
        let end = self.database_connections.remove(&key)?;
        self.connection_owners.remove(&end);
        Some(end)
    }

    pub(crate) fn connection_owner(&self, database: usize, connection_id: u64) -> Option<(usize, u64)> {
        self.connection_owners.get(&(database, connection_id)).copied()
    }

    fn send_to_access(&mut self, database: usize, connection_id: u64, text: String, after: u64) {
        let Some((access, db)) = self.connection_owner(database, connection_id) else { return };
        let incarnation = self.access[access].incarnation;
        let name = self.access[access].name.clone();
        if !self.databases[database].is_unreachable && !self.is_dropped(&name, &self.databases[database].id.clone()) {
            self.schedule(after + LINK_DELAY_US, Event::DbOut { access, db, bytes: text.into_bytes(), incarnation });
        }
    }

    pub(crate) fn on_database_data(&mut self, database: usize, connection_id: u64, bytes: &[u8]) {
        let mut at = 0;
        while let Some((line, len)) = split_line(&bytes[at..]) {
            at += len;
            if !self.databases[database].is_up
                || self.databases[database].is_unreachable
                || !self.databases[database].connections.contains_key(&connection_id)
            {
                return;
            }
            match ClientLine::parse(line) {
                ClientLine::Setup { login: who, .. } => {
                    let id = String::from_utf8_lossy(who).split(' ').nth(1).map(str::to_owned);
                    let is_expected = id.as_deref() == Some(self.databases[database].id.as_str());
                    let text = if is_expected { "IDLE I 1.0\r\n" } else { "ERROR WRONGNODE no\r\n" };
                    self.send_to_access(database, connection_id, text.to_owned(), 12 * MS);
                }
                // Windvalve's own statements carry the id `-`, which clients may not use.
                _ => {
                    let text = String::from_utf8_lossy(line).into_owned();
                    let mut words = text.splitn(3, ' ');
                    let (_, id, text) = (words.next(), words.next().unwrap_or("-"), words.next().unwrap_or_default());
                    self.run_statement(database, connection_id, id, text);
                }
            }
        }
    }

    fn run_statement(&mut self, database: usize, connection_id: u64, id: &str, text: &str) {
        let is_own = id == "-";
        if !is_own {
            *self.oracle.executions.entry(id.to_owned()).or_default() += 1;
            self.check_drain(database, connection_id, id);
            self.databases[database].busy.insert(connection_id);
            self.check_overload(database);
            self.check_session(database, connection_id, id, text);
        }
        if is_own && text == "BEGIN" {
            self.databases[database]
                .connections
                .get_mut(&connection_id)
                .into_iter()
                .for_each(|connection| connection.has_run_statement = false);
        }
        let outcome = self.databases[database].execute(connection_id, text);
        let is_lost = !is_own && self.databases[database].lost_replies > 0;
        if is_lost {
            self.databases[database].lost_replies -= 1;
        }
        let state =
            self.databases[database].connections.get(&connection_id).map_or(b'I', |connection| connection.state);
        let stamp = format!("stamp.{}.{id}", self.databases[database].id);
        match outcome {
            Outcome::Buffer(write) => {
                let write = Write { tag: id.to_owned(), ..write };
                self.databases[database]
                    .connections
                    .get_mut(&connection_id)
                    .into_iter()
                    .for_each(|connection| connection.writes.push(write.clone()));
                let text = self.databases[database].complete_lines("", &stamp, state);
                self.finish_statement(database, connection_id, text, is_lost);
            }
            Outcome::Reply(text) => self.finish_statement(database, connection_id, text, is_lost),
            Outcome::Status => {
                let text = self.databases[database].status_lines();
                self.finish_statement(database, connection_id, text, is_lost);
            }
            Outcome::Read(rows) => {
                self.check_read(database, id);
                let text = self.databases[database].complete_lines(&rows, &stamp, state);
                self.finish_statement(database, connection_id, text, is_lost);
            }
            Outcome::Commit(writes) => {
                let is_single = text != "COMMIT";
                let with_tag = |write: Write| if is_single { Write { tag: id.to_owned(), ..write } } else { write };
                let writes = writes.into_iter().map(with_tag).collect();
                self.commit(database, connection_id, writes, &stamp, is_lost);
            }
        }
    }

    fn finish_statement(&mut self, database: usize, connection_id: u64, text: String, is_lost: bool) {
        let duration_us = self.databases[database].statement_us;
        self.schedule(duration_us, Event::StatementDone { database, connection_id });
        if !is_lost {
            self.send_to_access(database, connection_id, text, duration_us);
        }
    }

    fn commit(&mut self, database: usize, connection_id: u64, writes: Vec<Write>, stamp: &str, is_lost: bool) {
        if writes.is_empty() {
            let text = self.databases[database].complete_lines("", stamp, b'I');
            return self.finish_statement(database, connection_id, text, is_lost);
        }
        let service = self.databases[database].service.clone();
        for (at, write) in (self.databases[database].log.len()..).zip(&writes) {
            self.oracle.log_positions.insert(write.tag.clone(), (service.clone(), at));
        }
        self.databases[database].append(writes);
        let (len, pos) = (self.databases[database].log.len(), self.databases[database].received_position());
        let stamp = if is_lost { String::new() } else { stamp.to_owned() };
        self.pending_commits.push((database, pos, connection_id, stamp));
        let replicas: Vec<usize> = (0..self.databases.len()).filter(|at| self.is_replica_of(database, *at)).collect();
        // Without replicas the commit is acknowledged at once.
        if replicas.is_empty() {
            return self.acknowledge(database, pos);
        }
        replicas.into_iter().for_each(|to| self.schedule(2 * MS, Event::Replicate { from: database, to, len }));
    }

    pub(crate) fn acknowledge(&mut self, from: usize, received: LogPosition) {
        let (done, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending_commits)
            .into_iter()
            .partition(|(database, pos, _, _)| *database == from && *pos <= received);
        self.pending_commits = rest;
        for (database, _, connection_id, stamp) in done {
            let text = self.databases[database].complete_lines("", &stamp, b'I');
            self.finish_statement(database, connection_id, text, stamp.is_empty());
        }
    }

    pub(crate) fn heartbeat(&mut self, database: usize) {
        let instance = &mut self.databases[database];
        if !instance.is_up || instance.is_unreachable || instance.is_removed || self.departed.contains(&database) {
            return;
        }
        instance.sequence += 1;
        let body = serde_json::json!({"destination": instance.service, "address": instance.addr, "zone": instance.zone,
            "issue": "v1", "capacity": 10, "state": if instance.is_draining { "draining" } else { "in_service" },
            "coldLeftMs": 0, "dbRole": if instance.is_primary { "primary" } else { "replica" },
            "sequence": instance.sequence});
        let path = format!("/instances/{}", instance.id);
        let is_up = |at: &usize| self.controls[*at].core.is_some() && !self.frozen_controls.contains(at);
        let up: Vec<usize> = (0..self.controls.len()).filter(is_up).collect();
        if let Some(control) = up.get(self.rng.below(up.len() as u64) as usize) {
            self.call(*control, "PUT", &path, body.to_string().as_bytes());
        }
    }

    /// Makes a database the primary of the next term, with exactly the log that it had received.
    pub(crate) fn promote(&mut self, database: usize) {
        if !self.databases[database].is_up || self.databases[database].is_primary {
            return;
        }
        let service = self.databases[database].service.clone();
        let terms = self.databases.iter().filter(|instance| instance.service == service).map(|instance| instance.term);
        let term = terms.max().unwrap_or(1) + 1;
        let log = self.databases[database].log.clone();
        self.log_event(format!("{} leads term {term}", self.databases[database].id));
        for (at, instance) in self.databases.iter_mut().enumerate().filter(|(_, instance)| instance.service == service)
        {
            // Connections to the old primary accept no more writes, even if it is promoted again.
            if instance.is_primary && at != database {
                instance.connections.values_mut().for_each(|connection| connection.is_deposed = true);
            }
            instance.is_primary = at == database;
            instance.term = term;
            instance.truncate_to(&log);
        }
        self.databases[database].suspended = 0;
        self.databases[database].apply(log.len());
        let services: Vec<bool> = self.databases.iter().map(|instance| instance.service == service).collect();
        self.pending_commits.retain(|(at, _, _, _)| *at == database || !services[*at]);
        (0..self.databases.len()).for_each(|at| self.heartbeat(at));
    }
}
