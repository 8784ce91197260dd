use wv_wire_protocol::LogPosition;

/// Sightings closer together than this are folded into one.
const GAP_US: u64 = 40_000;
const SETTLE_US: u64 = 500_000;
const KEPT: usize = 128;

/// Fenced sightings of a primary: a log place and the moment just before the statement that showed it was sent.
/// Each covers every commit that was acknowledged before its moment.
#[derive(Default)]
pub struct Fenced {
    seen: std::collections::VecDeque<(u64, LogPosition)>,
    /// What was sent before this tells nothing any more.
    floor: u64,
}

impl Fenced {
    /// Rows came to this service by another way than its log tells: sightings begin anew.
    pub fn reset(&mut self, now: u64) {
        (self.floor, self.seen) = (now, Default::default());
    }

    pub fn note(&mut self, sent: u64, pos: LogPosition) {
        if sent < self.floor {
            return;
        }
        // A statement overtaken by a later one tells nothing that is worth a slot of its own.
        if self.seen.back().is_some_and(|(last, held)| sent < last + GAP_US && pos.term <= held.term) {
            return;
        }
        // A newer term may have cut back what the older one's places name: replicas could wait for them in vain.
        if self.seen.back().is_some_and(|(_, last)| last.term < pos.term) {
            self.seen.clear();
        }
        if self.seen.len() == KEPT {
            self.seen.pop_front();
        }
        self.seen.push_back((sent, pos));
    }

    /// The oldest place that still covers all commits acknowledged before `since`: the easiest one to have reached.
    pub fn covering(&self, since: u64) -> Option<LogPosition> {
        let at = self.seen.partition_point(|(sent, _)| *sent < since);
        self.seen.get(at).map(|(_, pos)| *pos)
    }

    /// A sighting old enough that what it names has reached the replicas, if they receive at all.
    pub fn settled(&self) -> Option<(u64, LogPosition)> {
        let (newest, _) = self.newest()?;
        let at = self.seen.partition_point(|(sent, _)| *sent + SETTLE_US < newest);
        self.seen.get(at.saturating_sub(1)).copied()
    }

    pub fn newest(&self) -> Option<(u64, LogPosition)> {
        self.seen.back().copied()
    }
}
