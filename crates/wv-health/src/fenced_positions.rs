//! Log positions of a primary that are known to cover all earlier acknowledged commits.
use wv_wire_protocol::LogPosition;

/// Observations sent less than this after the previous one are dropped, unless their term is newer.
const MERGE_INTERVAL_US: u64 = 40_000;
/// After this long a position is expected to have reached the replicas.
const REPLICATION_DELAY_US: u64 = 500_000;
const POSITIONS_MAX: usize = 128;

/// Fenced positions of a primary, each with the time just before the statement that returned it was sent.
/// A position covers every commit that was acknowledged before that time.
#[derive(Default)]
pub struct FencedPositions {
    positions: std::collections::VecDeque<(u64, LogPosition)>,
    /// Observations sent before this time are ignored.
    floor: u64,
}

impl FencedPositions {
    /// Discards all positions, as the service received rows that did not come through its log.
    pub fn reset(&mut self, now: u64) {
        (self.floor, self.positions) = (now, Default::default());
    }

    pub fn record(&mut self, sent: u64, position: LogPosition) {
        if sent < self.floor {
            return;
        }
        // An observation sent before, or only just after, the previous one is not worth an entry.
        if self
            .positions
            .back()
            .is_some_and(|(last, previous)| sent < last + MERGE_INTERVAL_US && position.term <= previous.term)
        {
            return;
        }
        // A newer term may have truncated the log below older positions, which replicas would then never reach.
        if self.positions.back().is_some_and(|(_, last)| last.term < position.term) {
            self.positions.clear();
        }
        if self.positions.len() == POSITIONS_MAX {
            self.positions.pop_front();
        }
        self.positions.push_back((sent, position));
    }

    /// The lowest recorded position that covers all commits acknowledged before `since`.
    pub fn covering(&self, since: u64) -> Option<LogPosition> {
        let index = self.positions.partition_point(|(sent, _)| *sent < since);
        self.positions.get(index).map(|(_, position)| *position)
    }

    /// The newest position that receiving replicas are expected to have reached.
    pub fn settled(&self) -> Option<(u64, LogPosition)> {
        let (newest, _) = self.newest()?;
        let index = self.positions.partition_point(|(sent, _)| *sent + REPLICATION_DELAY_US < newest);
        self.positions.get(index.saturating_sub(1)).copied()
    }

    pub fn newest(&self) -> Option<(u64, LogPosition)> {
        self.positions.back().copied()
    }
}
