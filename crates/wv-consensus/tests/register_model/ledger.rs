//! What was promised to callers so far, and whether it holds.
use super::Wish;
use std::collections::BTreeMap;
use wv_consensus::OperationOutcome;
use wv_internal_protocol::{Ballot, RegisterRequest as Ask, RegisterValue};

/// What an answer says to an order.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    Taken,
    Lost,
    /// Higher numbers were taken; whether this one was is not told.
    Overtaken,
    /// The same, and it is told that this one never was.
    #[allow(dead_code)]
    Never,
    Unknown,
}

#[derive(Clone, Default, Debug)]
pub struct Ledger {
    /// What was shown as standing under which version.
    shown: BTreeMap<u64, RegisterValue>,
    /// The content acknowledged under each number, and contents that were refused.
    taken: BTreeMap<u64, u8>,
    lost: Vec<(u64, u8)>,
    /// The one cell that each ballot has.
    ballots: BTreeMap<Ballot, RegisterValue>,
    /// The newest version that anybody was shown.
    pub floor: u64,
}

impl Ledger {
    /// A ballot has one cell for ever.
    pub fn proposed(&mut self, ask: &Ask) -> Result<(), String> {
        let Ask::Accept { ballot, value: cell } = ask else { return Ok(()) };
        let known = self.ballots.entry(*ballot).or_insert_with(|| cell.clone());
        if known != cell {
            return Err("one ballot with two cells".to_owned());
        }
        Ok(())
    }

    pub fn done(
        &mut self,
        wish: Wish,
        floor: u64,
        outcome: &OperationOutcome,
        verdict: fn(&RegisterValue, u64, u8) -> Verdict,
    ) -> Result<(), String> {
        let (OperationOutcome::Read(cell) | OperationOutcome::Written(cell) | OperationOutcome::Unchanged(cell)) =
            outcome
        else {
            return Ok(());
        };
        if self.shown.entry(cell.version).or_insert_with(|| cell.clone()) != cell {
            return Err(format!("two values of number {}", cell.version));
        }
        if cell.version < floor {
            return Err(format!("{} is shown though {floor} was shown before it was asked for", cell.version));
        }
        self.floor = self.floor.max(cell.version);
        let Wish::Write(number, content) = wish else { return Ok(()) };
        let word = verdict(cell, number, content);
        let taken = self.taken.get(&number).copied();
        let was_lost = self.lost.contains(&(number, content));
        match word {
            Verdict::Taken if was_lost => Err(format!("{number}:{content} is acknowledged, which was refused")),
            Verdict::Taken if taken.is_some_and(|taken| taken != content) => {
                Err(format!("number {number} is acknowledged twice"))
            }
            Verdict::Taken => {
                self.taken.insert(number, content);
                Ok(())
            }
            Verdict::Lost | Verdict::Never if taken == Some(content) => {
                Err(format!("{number}:{content} is refused, which was acknowledged"))
            }
            Verdict::Lost => {
                self.lost.push((number, content));
                self.lost.sort();
                self.lost.dedup();
                Ok(())
            }
            Verdict::Unknown => Err(format!("{number}:{content} is done and nothing is known of it")),
            Verdict::Overtaken | Verdict::Never => Ok(()),
        }
    }
}
