//! A connection to a stand-in database: its transaction, its session values and its prepared names.
use crate::base::Write;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct Conn {
    pub state: u8,
    pub is_plain: bool,
    pub writes: Vec<Write>,
    /// Its database lost the lead since it was set up: no write is taken on it, also if it leads again.
    pub is_deposed: bool,
    pub values: BTreeMap<String, String>,
    pub defined: BTreeMap<String, (bool, String)>,
    pub is_set_up: bool,
    /// A client's statement has run since its transaction began.
    pub has_worked: bool,
}
