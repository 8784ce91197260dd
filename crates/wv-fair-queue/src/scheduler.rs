//! Start-time fair queueing over one queue.

/// Virtual time units per microsecond of slot time at weight 1.
const VIRTUAL_TIME_SCALE: u64 = 1 << 10;
const MIN_WEIGHT: u64 = 1;

/// The virtual clock of a queue and each tenant's next start tag.
#[derive(Default, Clone, Debug)]
pub struct FairScheduler {
    /// The start tag of the request that started last.
    virtual_now: u64,
    next_start_tags: Vec<u64>,
}

impl FairScheduler {
    fn start_tag(&self, tenant: u16) -> u64 {
        // An idle tenant resumes at the current virtual time, so it accumulates no credit.
        self.next_start_tags.get(tenant as usize).copied().unwrap_or(0).max(self.virtual_now)
    }

    fn cost(held_us: u64, weight: u64) -> u64 {
        held_us.max(1).saturating_mul(VIRTUAL_TIME_SCALE) / weight.max(MIN_WEIGHT)
    }

    /// Selects the waiting tenant with the smallest start tag; ties go to the first.
    pub fn select(&self, waiting: impl Iterator<Item = u16>) -> Option<u16> {
        waiting.min_by_key(|tenant| self.start_tag(*tenant))
    }

    /// Charges the tenant for the time that the request is expected to hold its slot.
    pub fn start(&mut self, tenant: u16, weight: u64, expected_us: u64) {
        let start_tag = self.start_tag(tenant);
        if self.next_start_tags.len() <= tenant as usize {
            self.next_start_tags.resize(tenant as usize + 1, 0);
        }
        self.virtual_now = start_tag;
        self.next_start_tags[tenant as usize] = start_tag + FairScheduler::cost(expected_us, weight);
    }

    /// Replaces the expected charge with the time that the slot was actually held.
    pub fn finish(&mut self, tenant: u16, weight: u64, expected_us: u64, held_us: u64) {
        if let Some(next) = self.next_start_tags.get_mut(tenant as usize) {
            let (expected, held) = (FairScheduler::cost(expected_us, weight), FairScheduler::cost(held_us, weight));
            *next = next.saturating_add(held).saturating_sub(expected);
        }
    }
}
