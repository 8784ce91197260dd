//! Statements of control nodes that ask a database for its status, and suspend or resume it. A slow database runs them
//! late, after the control node has given them up.
use crate::simulation::{Event, Simulation};
use crate::MS;
use wv_promotion::{StatusError, StatusReply};

const REPLY_DELAY_US: u64 = 15 * MS;
const ERROR_DELAY_US: u64 = 100 * MS;
/// How long a control node waits for an answer.
const QUERY_TIMEOUT_US: u64 = 400 * MS;

/// A statement that runs after its caller has given it up.
#[derive(Clone, Debug)]
pub struct LateStatement {
    database: usize,
    statement: String,
}

impl Simulation {
    pub(crate) fn query_database(&mut self, control: usize, request: u64, id: &str, statement: String) {
        self.log_event(format!("{} requests {id}: {statement}", self.controls[control].name));
        let is_open = |database: &usize| {
            let instance = &self.databases[*database];
            !instance.is_unreachable && !self.is_disconnected(&self.controls[control].name, &instance.id)
        };
        match self.database_index(id).filter(is_open) {
            None => self.reply_to_query(control, request, Err(StatusError::Unreachable), ERROR_DELAY_US),
            Some(database) if !self.databases[database].is_up => {
                self.reply_to_query(control, request, Err(StatusError::Refused), ERROR_DELAY_US)
            }
            Some(database) => match self.databases[database].control_delay_us {
                0 => {
                    let reply = self.databases[database].control_request(&statement).ok_or(StatusError::Unreachable);
                    self.reply_to_query(control, request, reply, REPLY_DELAY_US);
                }
                delay_us => {
                    self.schedule(delay_us, Event::LateStatement(LateStatement { database, statement }));
                    self.reply_to_query(control, request, Err(StatusError::Unreachable), QUERY_TIMEOUT_US);
                }
            },
        }
    }

    pub(crate) fn run_late_statement(&mut self, late: &LateStatement) {
        if self.databases[late.database].is_up {
            self.log_event(format!("{} runs late: {}", self.databases[late.database].id, late.statement));
            self.databases[late.database].control_request(&late.statement);
        }
    }

    fn reply_to_query(&mut self, control: usize, request: u64, reply: StatusReply, after: u64) {
        let incarnation = self.controls[control].incarnation;
        self.schedule(after, Event::DatabaseStatus { control, incarnation, request, reply });
    }
}
