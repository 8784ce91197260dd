//! The results returned to callers, checked for consistency.
use super::Request;
use std::collections::BTreeMap;
use wv_consensus::OperationOutcome;
use wv_internal_protocol::{Ballot, RegisterRequest, RegisterValue};

/// The meaning of an outcome for a write.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    Applied,
    Rejected,
    /// Higher versions were written; this write may or may not have been applied.
    Superseded,
    /// Higher versions were written, and this write was never applied.
    #[allow(dead_code)]
    NeverApplied,
    Unknown,
}

#[derive(Clone, Default, Debug)]
pub struct History {
    /// The value returned for each version.
    returned: BTreeMap<u64, RegisterValue>,
    /// The value acknowledged for each version, and rejected writes.
    applied: BTreeMap<u64, u8>,
    rejected: Vec<(u64, u8)>,
    /// The value of each ballot.
    ballots: BTreeMap<Ballot, RegisterValue>,
    /// The newest version returned to any caller.
    pub floor: u64,
}

impl History {
    /// A ballot must have a single value.
    pub fn proposed(&mut self, step: &RegisterRequest) -> Result<(), String> {
        let RegisterRequest::Accept { ballot, value } = step else { return Ok(()) };
        let known = self.ballots.entry(*ballot).or_insert_with(|| value.clone());
        if known != value {
            return Err("one ballot with two values".to_owned());
        }
        Ok(())
    }

    pub fn done(
        &mut self,
        operation: Request,
        floor: u64,
        outcome: &OperationOutcome,
        verdict: fn(&RegisterValue, u64, u8) -> Verdict,
    ) -> Result<(), String> {
        let (OperationOutcome::Read(value) | OperationOutcome::Written(value) | OperationOutcome::Unchanged(value)) =
            outcome
        else {
            return Ok(());
        };
        if self.returned.entry(value.version).or_insert_with(|| value.clone()) != value {
            return Err(format!("two values of version {}", value.version));
        }
        if value.version < floor {
            return Err(format!(
                "version {} is returned to a read that started after version {floor} was returned",
                value.version
            ));
        }
        self.floor = self.floor.max(value.version);
        let Request::Write(number, content) = operation else { return Ok(()) };
        let applied_verdict = verdict(value, number, content);
        let applied = self.applied.get(&number).copied();
        let was_rejected = self.rejected.contains(&(number, content));
        match applied_verdict {
            Verdict::Applied if was_rejected => {
                Err(format!("{number}:{content} is acknowledged after it was rejected"))
            }
            Verdict::Applied if applied.is_some_and(|applied| applied != content) => {
                Err(format!("version {number} is acknowledged twice"))
            }
            Verdict::Applied => {
                self.applied.insert(number, content);
                Ok(())
            }
            Verdict::Rejected | Verdict::NeverApplied if applied == Some(content) => {
                Err(format!("{number}:{content} is rejected after it was acknowledged"))
            }
            Verdict::Rejected => {
                self.rejected.push((number, content));
                self.rejected.sort();
                self.rejected.dedup();
                Ok(())
            }
            Verdict::Unknown => Err(format!("{number}:{content} completed without a known result")),
            Verdict::Superseded | Verdict::NeverApplied => Ok(()),
        }
    }
}
