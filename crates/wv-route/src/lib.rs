//! The decision object: where a request goes, from routing state alone. It reads, it never waits.
use wv_configuration::Category;
use wv_health::{Checks, Spot, State};
use wv_wire_protocol::{Code, Pos};

/// What one connection pool can take right now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Room {
    pub outstanding: u32,
    pub is_free: bool,
    /// A connection stands idle, or one is always kept.
    pub is_warm: bool,
}

/// What is to be decided on.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    pub service: u16,
    pub category: Category,
    /// Opens a transaction rather than standing alone.
    pub is_txn: bool,
    /// Can do nothing but read: a single read, or a transaction begun with `BEGIN READ`.
    pub only_reads: bool,
    /// When the first byte of the read, or of its transaction, came.
    pub first_byte: u64,
    pub now: u64,
    pub zone: &'a str,
    /// Tells this node from others, so that not all of many take the same one of equals; 0 where they are few.
    pub salt: u16,
    /// Databases that refused this request already.
    pub refused: &'a [Spot],
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Decision {
    /// Send it there, behind `MINPOS` where given; `is_wrapped` puts a single read into a transaction of our own.
    Offer { spot: Spot, minpos: Option<Pos>, is_wrapped: bool },
    /// Nothing can take it now; ask again when something changes.
    Wait,
    /// It cannot be served; nothing was run.
    Refuse(Code),
}

/// Reads in another zone cost more than a slot that is in use here.
const OTHER_ZONE: f64 = 0.5;
/// So does one for which a connection has to be set up first.
const COLD: f64 = 0.1;

pub fn decide(checks: &Checks, question: &Question<'_>, room: &dyn Fn(Spot) -> Room) -> Decision {
    let Some(checker) = checks.checker(question.service) else { return Decision::Wait };
    if question.only_reads {
        if let Category::Bounded { stale_us } = question.category {
            let since = question.first_byte.saturating_sub(stale_us);
            // Without a fenced sighting young enough no replica can be told how far it must be.
            if let Some(pos) = checker.fenced.covering(since) {
                if let Some(seat) = nominate_reader(checker, question, room) {
                    let spot = Spot { service: question.service, seat };
                    return Decision::Offer { spot, minpos: Some(pos), is_wrapped: false };
                }
            }
        }
    }
    // All else is the primary's. A single read goes inside our own transaction, which a deposed primary refuses.
    let is_wrapped = question.only_reads && !question.is_txn;
    checker
        .writer(question.now)
        .map(|seat| Spot { service: question.service, seat })
        .filter(|spot| !question.refused.contains(spot))
        .map_or(Decision::Wait, |spot| Decision::Offer { spot, minpos: None, is_wrapped })
}

/// The reader with the least outstanding for its capacity, the own zone first when equal.
fn nominate_reader(checker: &wv_health::Checker, question: &Question<'_>, room: &dyn Fn(Spot) -> Room) -> Option<u16> {
    checker
        .members()
        .filter(|(seat, member)| {
            matches!(checker.state(*seat, question.now), State::Online | State::Writer)
                && !member.inst.draining
                && !member.is_suspect()
        })
        .filter_map(|(seat, member)| {
            let spot = Spot { service: question.service, seat };
            let held = room(spot);
            let is_open = held.is_free && !question.refused.contains(&spot);
            is_open.then(|| {
                let zone = if member.inst.zone == question.zone { 0.0 } else { OTHER_ZONE };
                // The primary's slots are wanted for writes: reads go there only where that is nearer.
                let writer = if checker.leader() == Some(seat) { OTHER_ZONE / 2.0 } else { 0.0 };
                let cold = if held.is_warm { 0.0 } else { COLD };
                let cost = f64::from(held.outstanding) / f64::from(member.inst.capacity.max(1)) + zone + writer + cold;
                let turn = if question.salt == 0 { seat } else { (seat ^ question.salt).wrapping_mul(0x9e37) };
                (cost, turn, seat)
            })
        })
        .min_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)))
        .map(|(.., seat)| seat)
}
