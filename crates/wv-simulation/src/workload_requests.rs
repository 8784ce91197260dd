//! Runs a workload's requests statement by statement and retries those that were not applied.
use crate::clients::Expectation;
use crate::oracle::EMBEDDED_QUERY;
use crate::simulation::{Event, Simulation};
use crate::workload::{CurrentRequest, RequestKind, RequestOutcome, RETRY_DELAY_US};
use crate::MS;

const NOT_APPLIED_CODES: [&str; 6] = ["CONGESTED", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "OVERLOAD"];

impl Simulation {
    /// Starts the session's next request unless one is in progress.
    pub(crate) fn start_next_request(&mut self, session: usize) {
        let entry = &mut self.workload.sessions[session];
        let is_connected = entry.client.is_some();
        if !is_connected || entry.current.is_some() {
            return;
        }
        let Some(request) = entry.queue.pop_front() else {
            if entry.is_over {
                let client = entry.client.take();
                client.into_iter().for_each(|client| self.close_client(client));
            }
            return;
        };
        self.start_request(session, request);
    }

    fn start_request(&mut self, session: usize, request: usize) {
        let key_count = self.key_count.max(1);
        let key = format!("{{{}}}x", self.rng.below(key_count));
        let (read, write) = (format!("READ {key}"), format!("WRITE {key}"));
        let is_bounded = self.workload.sessions[session].is_bounded;
        let statements = match self.workload.requests[request].kind {
            RequestKind::Read => vec![read],
            RequestKind::Write => vec![write],
            RequestKind::Txn { statements, writes } => {
                let begin = if is_bounded { "BEGIN READ" } else { "BEGIN" };
                let inner = (0..statements).map(|at| if writes && at > 0 { write.clone() } else { read.clone() });
                [begin.to_owned()].into_iter().chain(inner).chain(["COMMIT".to_owned()]).collect()
            }
        };
        let (now, entry) = (self.now, &mut self.workload.sessions[session]);
        entry.attempt += 1;
        entry.current = Some(CurrentRequest {
            request,
            statements,
            step: 0,
            tags: Vec::new(),
            started_us: now,
            is_aborting: false,
            is_awaiting_reply: false,
        });
        self.workload.requests[request].attempts += 1;
        self.send_statement(session);
    }

    fn send_statement(&mut self, session: usize) {
        self.workload.statements_sent += 1;
        let (now, tag) = (self.now, format!("h{}", self.workload.statements_sent));
        let entry = &mut self.workload.sessions[session];
        let (Some(client), Some(current)) = (entry.client, entry.current.as_mut()) else { return };
        let mut text = current.statements[current.step].clone();
        if text.starts_with("WRITE") {
            text = format!("{text} {tag}{EMBEDDED_QUERY}");
            current.tags.push(tag.clone());
        }
        current.is_awaiting_reply = true;
        let begun_us = if current.statements.len() > 1 { current.started_us } else { now };
        let since = if entry.is_bounded { begun_us.saturating_sub(1500 * MS) } else { begun_us };
        self.expectations.insert(tag.clone(), Expectation { since, ..Expectation::default() });
        self.send_line(client, &format!("QUERY {tag} {text}"));
    }

    pub(crate) fn on_session_reply(&mut self, session: usize, lines: &[String]) {
        let now = self.now;
        let entry = &mut self.workload.sessions[session];
        let Some(current) = entry.current.as_mut() else { return };
        current.is_awaiting_reply = false;
        let error = lines.iter().find_map(|line| line.strip_prefix("ERROR "));
        let code = error.map(|rest| rest.split(' ').next().unwrap_or_default().to_owned());
        let state = lines.last().and_then(|line| line.split(' ').nth(1)).unwrap_or("I").to_owned();
        let request = current.request;
        if current.is_aborting {
            return self.schedule_retry(session, request, RETRY_DELAY_US);
        }
        let Some(code) = code else {
            current.step += 1;
            if current.step < current.statements.len() {
                return self.send_statement(session);
            }
            let tags = std::mem::take(&mut current.tags);
            tags.into_iter().for_each(|tag| self.oracle.record_ack(tag, now));
            self.finish_request(request, RequestOutcome::Served);
            self.workload.sessions[session].current = None;
            return self.start_next_request(session);
        };
        let wait = error.and_then(|rest| rest.split("after ").nth(1)?.split(' ').next()?.parse::<u64>().ok());
        let is_not_applied = NOT_APPLIED_CODES.contains(&code.as_str());
        let tags = std::mem::take(&mut current.tags);
        let has_written = !tags.is_empty();
        if is_not_applied {
            tags.into_iter().for_each(|tag| {
                self.oracle.rejected.insert(tag, now);
            });
        } else if has_written {
            self.oracle.indeterminate += 1;
            self.finish_request(request, RequestOutcome::Unclear);
            self.workload.sessions[session].current = None;
        }
        let entry = &mut self.workload.sessions[session];
        if state != "I" {
            if let Some(current) = entry.current.as_mut() {
                (current.is_aborting, current.statements, current.step) = (true, vec!["ABORT".to_owned()], 0);
                return self.send_statement(session);
            }
        }
        match entry.current.is_some() {
            true => self.schedule_retry(session, request, wait.map_or(RETRY_DELAY_US, |ms| ms * MS)),
            false => self.start_next_request(session),
        }
    }

    /// Schedules a retry of the whole request, if its deadline allows.
    fn schedule_retry(&mut self, session: usize, request: usize, wait: u64) {
        // Jitter keeps clients from retrying at the same time.
        let wait = wait + self.rng.below(20) * MS;
        if self.now + wait >= self.workload.requests[request].deadline {
            self.finish_request(request, RequestOutcome::Refused);
            self.workload.sessions[session].current = None;
            return self.start_next_request(session);
        }
        let attempt = self.workload.sessions[session].attempt;
        self.schedule(wait, Event::RequestRetry { session, attempt });
    }

    pub(crate) fn retry_request(&mut self, session: usize, attempt: u64) {
        let entry = &mut self.workload.sessions[session];
        if entry.attempt != attempt {
            return;
        }
        let Some(current) = entry.current.take() else { return };
        if entry.client.is_none() {
            entry.queue.push_front(current.request);
            return self.start_session(session);
        }
        self.start_request(session, current.request);
    }

    /// The session's connection was closed: a request that may be applied is unclear, any other is retried elsewhere.
    pub(crate) fn on_session_disconnected(&mut self, session: usize) {
        let entry = &mut self.workload.sessions[session];
        (entry.client, entry.attempt) = (None, entry.attempt + 1);
        if let Some(current) = entry.current.take() {
            let last = current.statements.get(current.step).map(String::as_str).unwrap_or_default();
            let may_be_applied = current.is_awaiting_reply
                && !current.tags.is_empty()
                && (last == "COMMIT" || (current.statements.len() == 1 && last.starts_with("WRITE")));
            if may_be_applied {
                self.oracle.indeterminate += 1;
                self.finish_request(current.request, RequestOutcome::Unclear);
            } else if self.workload.requests[current.request].outcome == RequestOutcome::Open {
                self.workload.sessions[session].queue.push_front(current.request);
            }
        }
        self.schedule(20 * MS, Event::SessionStart { session });
    }
}
