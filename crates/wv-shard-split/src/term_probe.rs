//! Reads the current terms of the source's and the target's primaries.
use crate::{Command, Side, View};
use wv_wire_protocol::parse_status;

const PROBE_INTERVAL_US: u64 = 100_000;

/// The terms reported by the primaries, 0 while unknown.
#[derive(Default, Clone, Debug)]
pub struct TermProbe {
    pub source_term: u64,
    pub target_term: u64,
    tokens: Vec<(u64, Side)>,
    next_us: u64,
}

impl TermProbe {
    /// Queries the status of both primaries, at most once per interval.
    pub fn poll(&mut self, view: &View<'_>, next_token: &mut u64) -> Vec<Command> {
        if self.next_us > view.now_us {
            return Vec::new();
        }
        self.next_us = view.now_us + PROBE_INTERVAL_US;
        self.tokens.clear();
        let sides = [(Side::Source, view.source_leader), (Side::Target, view.target_leader)];
        let command = |(side, leader): (Side, Option<(&str, u64)>)| {
            let (id, _) = leader?;
            *next_token += 1;
            self.tokens.push((*next_token, side));
            let (token, id, statements) = (*next_token, id.to_owned(), vec![b"ENQUIRY".to_vec()]);
            Some(Command::Run { token, side, id, statements })
        };
        sides.into_iter().filter_map(command).collect()
    }

    /// Returns whether the replies belong to this probe.
    pub fn on_replies(&mut self, token: u64, replies: &Option<Vec<crate::Reply>>) -> bool {
        let Some((_, side)) = self.tokens.iter().find(|(sent, _)| *sent == token).copied() else { return false };
        let row = replies.as_ref().and_then(|replies| replies.first()?.rows.first());
        let status = row.and_then(|row| parse_status(row)).filter(|status| status.is_primary);
        if let Some(status) = status {
            match side {
                Side::Source => self.source_term = status.term,
                Side::Target => self.target_term = status.term,
            }
        }
        true
    }
}
