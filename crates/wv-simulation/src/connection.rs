//! State of a connection to a simulated database: transaction, session values and prepared statements.
use crate::database::Write;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Connection {
    pub state: u8,
    pub is_read_write: bool,
    pub writes: Vec<Write>,
    /// The database was demoted after this connection was opened; writes fail even if it is promoted again.
    pub is_deposed: bool,
    pub values: BTreeMap<String, String>,
    pub prepared: BTreeMap<String, (bool, String)>,
    pub is_set_up: bool,
    /// A client statement has run in the current transaction.
    pub has_run_statement: bool,
}
