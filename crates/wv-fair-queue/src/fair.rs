//! Start-time fair queueing over one line.

/// Fractions of a tag: a held microsecond at weight 1 counts this much.
const SCALE: u64 = 1 << 10;
const WEIGHT_LEAST: u64 = 1;

/// The tags of one line: per tenant where its next start would stand in virtual time.
#[derive(Default, Clone, Debug)]
pub struct Fair {
    /// The start tag of whatever started last.
    virtual_now: u64,
    next: Vec<u64>,
}

impl Fair {
    fn tag(&self, tenant: u16) -> u64 {
        // Who was idle starts level with the others: idleness saves up nothing.
        self.next.get(tenant as usize).copied().unwrap_or(0).max(self.virtual_now)
    }

    fn cost(held_us: u64, weight: u64) -> u64 {
        held_us.max(1).saturating_mul(SCALE) / weight.max(WEIGHT_LEAST)
    }

    /// Which of those waiting is to start next; among equals the first.
    pub fn nominate(&self, waiting: impl Iterator<Item = u16>) -> Option<u16> {
        waiting.min_by_key(|tenant| self.tag(*tenant))
    }

    /// A start is charged with what it is expected to hold its slot for.
    pub fn start(&mut self, tenant: u16, weight: u64, expected_us: u64) {
        let tag = self.tag(tenant);
        if self.next.len() <= tenant as usize {
            self.next.resize(tenant as usize + 1, 0);
        }
        self.virtual_now = tag;
        self.next[tenant as usize] = tag + Fair::cost(expected_us, weight);
    }

    /// It ended: what it really held takes the place of what was expected.
    pub fn end(&mut self, tenant: u16, weight: u64, expected_us: u64, held_us: u64) {
        if let Some(next) = self.next.get_mut(tenant as usize) {
            let (expected, held) = (Fair::cost(expected_us, weight), Fair::cost(held_us, weight));
            *next = next.saturating_add(held).saturating_sub(expected);
        }
    }
}
