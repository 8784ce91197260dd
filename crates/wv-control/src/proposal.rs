//! Proposed configurations, identified by version and digest, and their encoding in the register.
use nanoserde::{DeBin, SerBin};
use wv_internal_protocol::RegisterValue;

/// First byte of a register value that lists accepted proposals; a bare body never starts with it.
const FORMAT_TAG: u8 = 2;
/// Number of accepted proposals kept in the register, so that retries of recent ones are recognized as accepted or
/// conflicting. Older ones count as superseded. An operator has at most eight proposals in flight and ends one that was
/// refused, so a conflicting proposal is recognized until long after its last retry.
const MAX_ACCEPTED_PROPOSALS: usize = 128;

/// Identity of a proposed configuration, the same for every retry.
#[derive(SerBin, DeBin, Clone, Copy, PartialEq, Eq, Debug)]
pub struct Proposal {
    pub number: u64,
    pub digest: u64,
}

/// The outcome of a proposal according to the register.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ProposalStatus {
    /// It was accepted, now or earlier.
    Accepted,
    /// Another proposal was accepted under its number.
    Conflict,
    /// Higher numbers were accepted and its own is not listed; it has no effect.
    Superseded,
    /// The register has no configuration as new as the proposal.
    Unknown,
}

/// The register value: the compressed configuration and the proposals accepted last, including its own.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct DecidedConfiguration {
    pub accepted: Vec<Proposal>,
    pub body: Vec<u8>,
}

/// A digest that is stable across builds, computed over words of eight bytes.
pub fn digest(bytes: &[u8]) -> u64 {
    let mix = |sum: u64, word: u64| (sum ^ word).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    let words = bytes.chunks_exact(8);
    let rest = words.remainder().iter().fold(bytes.len() as u64, |word, byte| word << 8 | u64::from(*byte));
    let word = |word: &[u8]| word.first_chunk::<8>().map_or(0, |eight| u64::from_le_bytes(*eight));
    mix(words.fold(0xcbf2_9ce4_8422_2325, |sum, eight| mix(sum, word(eight))), rest)
}

impl DecidedConfiguration {
    /// Decodes a register value. Values of the older format hold only the body, from which the proposal is derived.
    pub fn read(cell: &RegisterValue) -> DecidedConfiguration {
        let tagged = cell.bytes.split_first().filter(|(tag, _)| **tag == FORMAT_TAG);
        if let Some(decided) = tagged.and_then(|(_, bytes)| DeBin::deserialize_bin(bytes).ok()) {
            return decided;
        }
        let body = wv_compression::decompress(&cell.bytes, crate::core::BODY_MAX_BYTES).unwrap_or_default();
        let accepted = (cell.version > 0).then(|| Proposal { number: cell.version, digest: digest(&body) });
        DecidedConfiguration { accepted: accepted.into_iter().collect(), body: cell.bytes.clone() }
    }

    fn to_register_value(&self, number: u64) -> RegisterValue {
        let mut value = vec![FORMAT_TAG];
        self.ser_bin(&mut value);
        wv_consensus::register_value(number, value)
    }

    pub fn status(&self, proposal: &Proposal) -> ProposalStatus {
        match self.accepted.iter().find(|accepted| accepted.number == proposal.number) {
            Some(accepted) if accepted.digest == proposal.digest => ProposalStatus::Accepted,
            Some(_) => ProposalStatus::Conflict,
            None if self.accepted.iter().any(|accepted| accepted.number > proposal.number) => {
                ProposalStatus::Superseded
            }
            None => ProposalStatus::Unknown,
        }
    }
}

/// An edit that accepts a proposal unless its number or a higher one was accepted already.
pub fn accept(proposal: Proposal, body: Vec<u8>) -> wv_consensus::UpdateFn {
    Box::new(move |current| {
        if current.version >= proposal.number {
            return None;
        }
        let mut accepted = DecidedConfiguration::read(current).accepted;
        accepted.push(proposal);
        let over = accepted.len().saturating_sub(MAX_ACCEPTED_PROPOSALS);
        Some(
            DecidedConfiguration { accepted: accepted.split_off(over), body: body.clone() }
                .to_register_value(proposal.number),
        )
    })
}
