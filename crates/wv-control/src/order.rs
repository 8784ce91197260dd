//! Orders of operators, known by the number and the digest of their bytes, and what was decided of them.
use nanoserde::{DeBin, SerBin};
use wv_internal_protocol::RegisterValue;

/// What the register of the configuration begins with since it tells the orders decided last; no body does.
const MARK: u8 = 2;
/// So many decided orders are told by number and digest. An operator has eight under way at most and ends one that
/// was refused, so a loser is known as such for long after its last repeat; older numbers are only overtaken.
const TAKEN_MAX: usize = 128;

/// An order as it is known wherever and however often it is sent.
#[derive(SerBin, DeBin, Clone, Copy, PartialEq, Eq, Debug)]
pub struct Order {
    pub number: u64,
    pub digest: u64,
}

/// What came of an order, as far as the register tells.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// It was taken, now or earlier.
    Taken,
    /// Another order was taken under its number.
    Lost,
    /// Higher numbers were taken and its own never was: it changes nothing.
    Overtaken,
    /// The register does not hold a configuration as new as the order.
    Unknown,
}

/// What the register holds: the configuration, packed, and the orders that were taken last, its own with them.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Decided {
    pub taken: Vec<Order>,
    pub body: Vec<u8>,
}

/// Which bytes they are; stable from build to build. Eight at a time, as bodies are long.
pub fn digest(bytes: &[u8]) -> u64 {
    let mix = |sum: u64, word: u64| (sum ^ word).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    let words = bytes.chunks_exact(8);
    let rest = words.remainder().iter().fold(bytes.len() as u64, |word, byte| word << 8 | u64::from(*byte));
    let word = |word: &[u8]| word.first_chunk::<8>().map_or(0, |eight| u64::from_le_bytes(*eight));
    mix(words.fold(0xcbf2_9ce4_8422_2325, |sum, eight| mix(sum, word(eight))), rest)
}

impl Decided {
    /// Reads a register's cell; in one from before orders were told its own body says which it was.
    pub fn read(cell: &RegisterValue) -> Decided {
        let told = cell.bytes.split_first().filter(|(mark, _)| **mark == MARK);
        if let Some(decided) = told.and_then(|(_, told)| DeBin::deserialize_bin(told).ok()) {
            return decided;
        }
        let body = wv_compression::decompress(&cell.bytes, crate::core::BODY_MAX).unwrap_or_default();
        let taken = (cell.version > 0).then(|| Order { number: cell.version, digest: digest(&body) });
        Decided { taken: taken.into_iter().collect(), body: cell.bytes.clone() }
    }

    fn cell(&self, number: u64) -> RegisterValue {
        let mut value = vec![MARK];
        self.ser_bin(&mut value);
        wv_consensus::register_value(number, value)
    }

    pub fn verdict(&self, order: &Order) -> Verdict {
        match self.taken.iter().find(|taken| taken.number == order.number) {
            Some(taken) if taken.digest == order.digest => Verdict::Taken,
            Some(_) => Verdict::Lost,
            None if self.taken.iter().any(|taken| taken.number > order.number) => Verdict::Overtaken,
            None => Verdict::Unknown,
        }
    }
}

/// The edit that takes an order unless its number, or a higher one, was taken.
pub fn take(order: Order, body: Vec<u8>) -> wv_consensus::UpdateFn {
    Box::new(move |held| {
        if held.version >= order.number {
            return None;
        }
        let mut taken = Decided::read(held).taken;
        taken.push(order);
        let over = taken.len().saturating_sub(TAKEN_MAX);
        Some(Decided { taken: taken.split_off(over), body: body.clone() }.cell(order.number))
    })
}
