//! Simulation events and their dispatch.
use crate::nodes::LinkEnd;
use crate::simulation::Simulation;
use crate::MS;
use wv_access::ConnectionLoss;
use wv_internal_protocol::Message;

pub(crate) enum Event {
    AccessMaintenance(usize),
    AccessTimer(usize),
    AccessSession(usize),
    ControlTick(usize),
    /// A wake-up requested by the control node of this incarnation.
    ControlWake(usize, u64),
    DbOpened {
        access: usize,
        db: u64,
        incarnation: u64,
    },
    DbIn {
        database: usize,
        connection_id: u64,
        bytes: Vec<u8>,
    },
    DbOut {
        access: usize,
        db: u64,
        bytes: Vec<u8>,
        incarnation: u64,
    },
    DbEnd {
        access: usize,
        db: u64,
        lost: ConnectionLoss,
        incarnation: u64,
    },
    Replicate {
        from: usize,
        to: usize,
        len: usize,
    },
    Apply {
        database: usize,
        len: usize,
    },
    Heartbeat {
        database: usize,
    },
    LinkMessage {
        to: LinkEnd,
        msg: Message,
    },
    LinkUp {
        control: usize,
        link: u64,
    },
    LinkDown {
        end: LinkEnd,
    },
    DatabaseStatus {
        control: usize,
        incarnation: u64,
        request: u64,
        reply: wv_promotion::StatusReply,
    },
    PromotionResponse {
        control: usize,
        incarnation: u64,
        request: u64,
        code: Option<u16>,
    },
    Platform(crate::platform::PlatformEvent),
    LateStatement(crate::control_queries::LateStatement),
    StatementDone {
        database: usize,
        connection_id: u64,
    },
    LoadStep {
        client: usize,
        attempt: u64,
    },
    SessionStart {
        session: usize,
    },
    SessionEnd {
        session: usize,
    },
    RequestArrival {
        request: usize,
    },
    RequestDeadline {
        request: usize,
    },
    RequestRetry {
        session: usize,
        attempt: u64,
    },
    ClientLine {
        client: usize,
        line: String,
    },
    /// A control node's own statements arrive at a database, and their replies at the node.
    RunStatements {
        control: usize,
        run: u64,
        database: usize,
        connection_id: u64,
        statements: Vec<Vec<u8>>,
    },
    StatementsDone {
        control: usize,
        run: u64,
        replies: Option<Vec<wv_shard_split::Reply>>,
    },
    /// An HTTP request to a control node.
    ControlCall {
        control: usize,
        incarnation: u64,
        token: u64,
        method: String,
        path: String,
        body: Vec<u8>,
    },
    /// An event that a slow process handles now.
    Delayed(Box<Event>),
    /// Checks whether a database connection has timed out.
    ConnectionTimeout {
        access: usize,
        db: u64,
        incarnation: u64,
    },
    PeerLinkUp {
        at: usize,
        link: u64,
        incarnation: u64,
    },
    PeerLinkDown {
        at: usize,
        link: u64,
        incarnation: u64,
    },
    PeerMessage {
        at: usize,
        link: u64,
        incarnation: u64,
        msg: wv_internal_protocol::ForwardMessage,
    },
}

impl Simulation {
    pub(crate) fn dispatch(&mut self, event: Event) {
        match event {
            Event::AccessMaintenance(at) => {
                self.with_access(at, |core, now| core.run_maintenance(now));
                self.schedule(100 * MS, Event::AccessMaintenance(at));
            }
            Event::AccessTimer(at) => {
                self.access[at].timer_us = u64::MAX;
                self.with_access(at, |core, now| core.tick(now));
            }
            Event::AccessSession(at) => self.maintain_session(at),
            Event::ControlWake(at, incarnation) if self.controls[at].incarnation == incarnation => {
                self.with_control(at, |core, now| core.wake(now));
            }
            Event::ControlWake(..) => {}
            Event::ControlTick(at) => {
                if self.has_link_timeouts {
                    self.close_silent_links(at);
                }
                let epoch = (self.epoch_us + self.now).saturating_add_signed(self.controls[at].clock_offset_us);
                self.with_control(at, |core, now| {
                    core.tick(now);
                    core.set_epoch_us(epoch);
                });
                self.schedule(100 * MS, Event::ControlTick(at));
            }
            Event::DbOpened { access, db, incarnation } if incarnation == self.access[access].incarnation => {
                self.with_access(access, |core, now| core.db_opened(db, now));
            }
            Event::DbOut { access, db, bytes, incarnation } if incarnation == self.access[access].incarnation => {
                self.with_access(access, |core, now| core.db_data(db, &bytes, now));
            }
            Event::DbEnd { access, db, lost, incarnation } if incarnation == self.access[access].incarnation => {
                self.remove_connection((access, db));
                self.with_access(access, |core, now| core.db_lost(db, lost, now));
            }
            Event::DbOpened { .. } | Event::DbOut { .. } | Event::DbEnd { .. } => {}
            Event::DbIn { database, connection_id, bytes } => self.on_database_data(database, connection_id, &bytes),
            Event::Replicate { from, to, len } => self.replicate(from, to, len),
            Event::Apply { database, len } => {
                self.databases[database].apply(len);
            }
            Event::Heartbeat { database } => {
                self.heartbeat(database);
                self.catch_up(database);
                self.schedule(1200 * MS, Event::Heartbeat { database });
            }
            Event::LinkMessage { to, msg } => self.deliver_message(to, msg),
            Event::LinkUp { control, link } => {
                self.with_control(control, |core, now| core.link_up(link, now));
            }
            Event::LinkDown { end } => self.link_down(end),
            Event::DatabaseStatus { control, incarnation, .. }
            | Event::PromotionResponse { control, incarnation, .. }
                if self.controls[control].incarnation != incarnation => {}
            Event::DatabaseStatus { control, request, reply, .. } => {
                self.with_control(control, |core, now| core.on_db_status(request, reply, now));
            }
            Event::PromotionResponse { control, request, code, .. } => {
                self.with_control(control, |core, now| core.on_promotion_response(request, code, now));
            }
            Event::Platform(event) => self.handle_platform_event(event),
            Event::LateStatement(late) => self.run_late_statement(&late),
            Event::StatementDone { database, connection_id } => {
                self.databases[database].busy.remove(&connection_id);
            }
            Event::ControlCall { control, incarnation, token, method, path, body }
                if self.controls[control].incarnation == incarnation =>
            {
                self.with_control(control, |core, now| core.handle_call(token, &method, &path, Some(&body), now));
            }
            Event::ControlCall { .. } => {}
            Event::Delayed(event) => self.dispatch(*event),
            Event::ConnectionTimeout { access, db, incarnation } => self.time_out_connection(access, db, incarnation),
            Event::PeerLinkUp { at, link, incarnation } => {
                self.with_peer_access(at, incarnation, |core, now| core.peer_link_up(link, now));
            }
            Event::PeerLinkDown { at, link, incarnation } => {
                self.peer_links.remove(&(at, link));
                self.with_peer_access(at, incarnation, |core, now| core.peer_link_down(link, now));
            }
            Event::PeerMessage { at, link, incarnation, msg } => {
                self.with_peer_access(at, incarnation, |core, now| core.handle_forward_message(link, msg, now));
            }
            Event::LoadStep { client, attempt } => self.load_step(client, attempt),
            Event::SessionStart { session } => self.start_session(session),
            Event::SessionEnd { session } => self.end_session(session),
            Event::RequestArrival { request } => self.on_request_arrival(request),
            Event::RequestDeadline { request } => self.on_request_deadline(request),
            Event::RequestRetry { session, attempt } => self.retry_request(session, attempt),
            Event::ClientLine { client, line } => self.send_line(client, &line),
            Event::RunStatements { control, run, database, connection_id, statements } => {
                self.run_control_statements(control, run, database, connection_id, &statements)
            }
            Event::StatementsDone { control, run, replies } => {
                self.with_control(control, |core, now| core.on_statements_run(run, replies, now));
            }
        }
    }
}
