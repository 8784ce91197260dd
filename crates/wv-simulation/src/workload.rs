//! Replay of a recorded workload: requests arrive at their recorded times, even if earlier ones are still unanswered.
use crate::simulation::{Event, Simulation};
use crate::MS;
use std::collections::VecDeque;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum RequestKind {
    Read,
    Write,
    /// A transaction with this number of statements; `writes` tells whether it is read-only.
    Txn {
        statements: u8,
        writes: bool,
    },
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum RequestOutcome {
    /// Not answered when the replay ended.
    Open,
    Served,
    /// Not applied: every attempt until the deadline failed with an error that guarantees this.
    Refused,
    /// The outcome is unknown to the client: the write may have been applied.
    Unclear,
    /// The deadline passed without an answer.
    Hung,
}

/// A request and its result as seen by the client.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: u64,
    pub session: usize,
    pub kind: RequestKind,
    pub deadline: u64,
    pub contacted_node: Option<usize>,
    pub served_node: Option<usize>,
    pub done_us: u64,
    pub outcome: RequestOutcome,
    pub attempts: u32,
}

/// A recorded client session: its home node, its host and its current connection.
pub struct Session {
    pub home: usize,
    pub host: String,
    pub is_bounded: bool,
    pub(crate) client: Option<usize>,
    pub(crate) queue: VecDeque<usize>,
    pub(crate) current: Option<CurrentRequest>,
    pub(crate) has_started: bool,
    pub(crate) is_over: bool,
    /// Counts attempts, so that retries scheduled for earlier ones are ignored.
    pub(crate) attempt: u64,
}

pub(crate) struct CurrentRequest {
    pub request: usize,
    pub statements: Vec<String>,
    pub step: usize,
    pub tags: Vec<String>,
    pub started_us: u64,
    /// The transaction of a failed attempt is being aborted.
    pub is_aborting: bool,
    pub is_awaiting_reply: bool,
}

#[derive(Default)]
pub struct Workload {
    pub requests: Vec<Request>,
    pub sessions: Vec<Session>,
    pub(crate) statements_sent: u64,
}

pub(crate) const RETRY_DELAY_US: u64 = 100 * MS;

impl Workload {
    /// Adds a session that prefers the access node `home`; returns its index.
    pub fn add_session(&mut self, home: usize, host: &str, is_bounded: bool) -> usize {
        let host = host.to_owned();
        let (queue, current, client) = (VecDeque::new(), None, None);
        self.sessions.push(Session {
            home,
            host,
            is_bounded,
            client,
            queue,
            current,
            has_started: false,
            is_over: false,
            attempt: 0,
        });
        self.sessions.len() - 1
    }

    pub fn add_request(&mut self, at: u64, session: usize, kind: RequestKind, deadline: u64) {
        let (contacted_node, served_node) = (None, None);
        self.requests.push(Request {
            at,
            session,
            kind,
            deadline,
            contacted_node,
            served_node,
            done_us: 0,
            outcome: RequestOutcome::Open,
            attempts: 0,
        });
    }
}

impl Simulation {
    /// Starts the replay; `starts` and `ends` give the times at which sessions start and end.
    pub fn play_workload(&mut self, workload: Workload, starts: &[(u64, usize)], ends: &[(u64, usize)]) {
        self.workload = workload;
        let now = self.now;
        starts
            .iter()
            .for_each(|(at, session)| self.schedule(at.saturating_sub(now), Event::SessionStart { session: *session }));
        ends.iter()
            .for_each(|(at, session)| self.schedule(at.saturating_sub(now), Event::SessionEnd { session: *session }));
        let times: Vec<u64> = self.workload.requests.iter().map(|request| request.at).collect();
        (0..)
            .zip(times)
            .for_each(|(request, at)| self.schedule(at.saturating_sub(now), Event::RequestArrival { request }));
    }

    /// Whether every running access node is connected to a running control node.
    pub fn is_access_connected(&self) -> bool {
        self.access.iter().filter(|node| node.core.is_some()).all(|node| match node.session {
            Some(crate::nodes::LinkEnd::Control { at, incarnation, .. }) => {
                self.controls[at].core.is_some() && self.controls[at].incarnation == incarnation
            }
            _ => false,
        })
    }

    /// Whether all started sessions with this home node have an open connection or have ended.
    pub fn has_moved_sessions(&self, home: Option<usize>) -> bool {
        let Some(home) = home else { return true };
        let mut sessions = self
            .workload
            .sessions
            .iter()
            .filter(|session| session.home == home && !session.is_over && session.has_started);
        sessions.all(|session| session.client.is_some_and(|client| !self.is_client_closed(client)))
    }

    /// The access node for a session: its home if that is ready, or else another ready node.
    fn ready_node(&self, session: usize) -> Option<usize> {
        let (home, count) = (self.workload.sessions[session].home, self.access.len());
        let is_ready = |at: &usize| {
            let core = self.access[*at].core.as_ref();
            core.is_some_and(|core| core.is_ready()) && !self.frozen_access.contains(at)
        };
        // Sessions of an unavailable node are spread over all others.
        let others = (0..count).map(|step| (home + 1 + (session * 7 + step) % count) % count);
        Some(home).filter(is_ready).or_else(|| others.into_iter().find(is_ready))
    }

    pub(crate) fn start_session(&mut self, session: usize) {
        let entry = &self.workload.sessions[session];
        if entry.is_over || entry.client.is_some_and(|client| !self.is_client_closed(client)) {
            return;
        }
        let Some(node) = self.ready_node(session) else {
            return self.schedule(RETRY_DELAY_US, Event::SessionStart { session });
        };
        let host = self.workload.sessions[session].host.clone();
        let client = self.open_client(node, &host);
        self.take_lines(client);
        self.clients[client].session = Some(session);
        let entry = &mut self.workload.sessions[session];
        (entry.client, entry.has_started) = (Some(client), true);
        self.start_next_request(session);
    }

    /// Closes the session once its requests are finished.
    pub(crate) fn end_session(&mut self, session: usize) {
        let entry = &mut self.workload.sessions[session];
        entry.is_over = true;
        if entry.current.is_none() && entry.queue.is_empty() {
            let client = entry.client.take();
            client.into_iter().for_each(|client| self.close_client(client));
        }
    }

    pub(crate) fn on_request_arrival(&mut self, request: usize) {
        let session = self.workload.requests[request].session;
        let client = self.workload.sessions[session].client;
        self.workload.requests[request].contacted_node = client.map(|client| self.clients[client].node);
        self.workload.sessions[session].queue.push_back(request);
        let wait = self.workload.requests[request].deadline.saturating_sub(self.now);
        self.schedule(wait, Event::RequestDeadline { request });
        if client.is_none_or(|client| self.is_client_closed(client)) && !self.workload.sessions[session].is_over {
            return self.start_session(session);
        }
        self.start_next_request(session);
    }

    /// Ends a request at its deadline; without an answer it counts as hung.
    pub(crate) fn on_request_deadline(&mut self, request: usize) {
        if self.workload.requests[request].outcome != RequestOutcome::Open {
            return;
        }
        let session = self.workload.requests[request].session;
        self.workload.sessions[session].queue.retain(|queued| *queued != request);
        let is_current =
            self.workload.sessions[session].current.as_ref().is_some_and(|current| current.request == request);
        let was_answered = self.workload.requests[request].attempts > 0
            && self.workload.sessions[session].current.as_ref().is_none_or(|current| !current.is_awaiting_reply);
        self.finish_request(request, if was_answered { RequestOutcome::Refused } else { RequestOutcome::Hung });
        if is_current {
            let entry = &mut self.workload.sessions[session];
            (entry.current, entry.attempt) = (None, entry.attempt + 1);
            let client = entry.client.take();
            client.into_iter().for_each(|client| self.close_client(client));
            self.start_session(session);
        }
    }

    pub(crate) fn finish_request(&mut self, request: usize, end: RequestOutcome) {
        let session = self.workload.requests[request].session;
        let node = self.workload.sessions[session].client.map(|client| self.clients[client].node);
        let (now, entry) = (self.now, &mut self.workload.requests[request]);
        (entry.outcome, entry.done_us, entry.served_node) = (end, now, node.filter(|_| end == RequestOutcome::Served));
    }
}
