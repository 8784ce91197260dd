//! Sessions of a recorded hour: their requests come when they came, whether or not those before are answered.
use crate::world::{Ev, World};
use crate::MS;
use std::collections::VecDeque;

/// What one request of an hour does.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Kind {
    Read,
    Write,
    /// A transaction of so many statements, which only reads or also writes.
    Txn {
        statements: u8,
        writes: bool,
    },
}

/// What became of it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum End {
    /// Not answered when the hour was over.
    Open,
    Served,
    /// Nothing of it is kept, and its client was told so until its time was over.
    Refused,
    /// It may be there or not: its client has to look.
    Unclear,
    /// Its client's time was over and no answer had come.
    Hung,
}

/// One request, and what its client saw of it.
#[derive(Clone, Debug)]
pub struct Op {
    pub at: u64,
    pub session: usize,
    pub kind: Kind,
    pub deadline: u64,
    pub asked_at: Option<usize>,
    pub served_by: Option<usize>,
    pub done: u64,
    pub end: End,
    pub tries: u32,
}

/// One client's session as recorded: its home, its database, and where it is now.
pub struct Session {
    pub home: usize,
    pub host: String,
    pub is_bounded: bool,
    pub(crate) client: Option<usize>,
    pub(crate) queue: VecDeque<usize>,
    pub(crate) current: Option<Current>,
    pub(crate) has_entered: bool,
    pub(crate) is_over: bool,
    /// Counts tries, so that what comes late is known as such.
    pub(crate) turn: u64,
}

pub(crate) struct Current {
    pub op: usize,
    pub texts: Vec<String>,
    pub step: usize,
    pub tags: Vec<String>,
    pub begun: u64,
    /// The end of a failed try is being said.
    pub is_ending: bool,
    /// A statement is out, and what it was.
    pub is_out: bool,
}

#[derive(Default)]
pub struct Hour {
    pub ops: Vec<Op>,
    pub sessions: Vec<Session>,
    pub(crate) said: u64,
}

pub(crate) const AGAIN_US: u64 = 100 * MS;

impl Hour {
    /// A session on an access node, for a database; its number.
    pub fn session(&mut self, home: usize, host: &str, is_bounded: bool) -> usize {
        let host = host.to_owned();
        let (queue, current, client) = (VecDeque::new(), None, None);
        self.sessions.push(Session {
            home,
            host,
            is_bounded,
            client,
            queue,
            current,
            has_entered: false,
            is_over: false,
            turn: 0,
        });
        self.sessions.len() - 1
    }

    pub fn op(&mut self, at: u64, session: usize, kind: Kind, deadline: u64) {
        let (asked_at, served_by) = (None, None);
        self.ops.push(Op { at, session, kind, deadline, asked_at, served_by, done: 0, end: End::Open, tries: 0 });
    }
}

impl World {
    /// Lets the hour begin: sessions enter and leave when they did, given as time and session.
    pub fn play_hour(&mut self, hour: Hour, enters: &[(u64, usize)], leaves: &[(u64, usize)]) {
        self.hour = hour;
        let now = self.now;
        enters.iter().for_each(|(at, session)| self.put(at.saturating_sub(now), Ev::Enter { session: *session }));
        leaves.iter().for_each(|(at, session)| self.put(at.saturating_sub(now), Ev::Leave { session: *session }));
        let times: Vec<u64> = self.hour.ops.iter().map(|op| op.at).collect();
        (0..).zip(times).for_each(|(op, at)| self.put(at.saturating_sub(now), Ev::Arrive { op }));
    }

    /// Whether every access node that is up follows a control node that is up.
    pub fn is_followed(&self) -> bool {
        self.access.iter().filter(|node| node.core.is_some()).all(|node| match node.session {
            Some(crate::nodes::End::Control { at, life, .. }) => {
                self.controls[at].core.is_some() && self.controls[at].life == life
            }
            _ => false,
        })
    }

    /// Whether the sessions whose home this node is are all with others, or over.
    pub fn has_moved(&self, home: Option<usize>) -> bool {
        let Some(home) = home else { return true };
        let mut sessions =
            self.hour.sessions.iter().filter(|session| session.home == home && !session.is_over && session.has_entered);
        sessions.all(|session| session.client.is_some_and(|client| !self.is_closed(client)))
    }

    /// Where a session goes: home, or another ready node after it.
    fn ready_node(&self, session: usize) -> Option<usize> {
        let (home, count) = (self.hour.sessions[session].home, self.access.len());
        let is_ready = |at: &usize| {
            let core = self.access[*at].core.as_ref();
            core.is_some_and(|core| core.is_ready()) && !self.frozen.contains(at)
        };
        // Those of a node that is gone are spread over all others.
        let others = (0..count).map(|step| (home + 1 + (session * 7 + step) % count) % count);
        Some(home).filter(is_ready).or_else(|| others.into_iter().find(is_ready))
    }

    pub(crate) fn enter(&mut self, session: usize) {
        let held = &self.hour.sessions[session];
        if held.is_over || held.client.is_some_and(|client| !self.is_closed(client)) {
            return;
        }
        let Some(node) = self.ready_node(session) else {
            return self.put(AGAIN_US, Ev::Enter { session });
        };
        let host = self.hour.sessions[session].host.clone();
        let client = self.client(node, &host);
        self.take(client);
        self.clients[client].session = Some(session);
        let held = &mut self.hour.sessions[session];
        (held.client, held.has_entered) = (Some(client), true);
        self.go_on(session);
    }

    /// The recorded client left: once what it asked for is over.
    pub(crate) fn leave_hour(&mut self, session: usize) {
        let held = &mut self.hour.sessions[session];
        held.is_over = true;
        if held.current.is_none() && held.queue.is_empty() {
            let client = held.client.take();
            client.into_iter().for_each(|client| self.leave(client));
        }
    }

    pub(crate) fn arrive(&mut self, op: usize) {
        let session = self.hour.ops[op].session;
        let client = self.hour.sessions[session].client;
        self.hour.ops[op].asked_at = client.map(|client| self.clients[client].node);
        self.hour.sessions[session].queue.push_back(op);
        let wait = self.hour.ops[op].deadline.saturating_sub(self.now);
        self.put(wait, Ev::Overdue { op });
        if client.is_none_or(|client| self.is_closed(client)) && !self.hour.sessions[session].is_over {
            return self.enter(session);
        }
        self.go_on(session);
    }

    /// The client's time is over: without an answer the request has hung.
    pub(crate) fn overdue(&mut self, op: usize) {
        if self.hour.ops[op].end != End::Open {
            return;
        }
        let session = self.hour.ops[op].session;
        self.hour.sessions[session].queue.retain(|held| *held != op);
        let is_current = self.hour.sessions[session].current.as_ref().is_some_and(|current| current.op == op);
        let was_answered = self.hour.ops[op].tries > 0
            && self.hour.sessions[session].current.as_ref().is_none_or(|current| !current.is_out);
        self.close_op(op, if was_answered { End::Refused } else { End::Hung });
        if is_current {
            let held = &mut self.hour.sessions[session];
            (held.current, held.turn) = (None, held.turn + 1);
            let client = held.client.take();
            client.into_iter().for_each(|client| self.leave(client));
            self.enter(session);
        }
    }

    pub(crate) fn close_op(&mut self, op: usize, end: End) {
        let session = self.hour.ops[op].session;
        let node = self.hour.sessions[session].client.map(|client| self.clients[client].node);
        let (now, held) = (self.now, &mut self.hour.ops[op]);
        (held.end, held.done, held.served_by) = (end, now, node.filter(|_| end == End::Served));
    }
}
