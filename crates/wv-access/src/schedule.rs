use crate::core::Core;
use std::cmp::Reverse;

/// What is to be looked at when its time comes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Schedule {
    /// A statement's own limit.
    Expiry {
        client: u64,
        number: u64,
    },
    /// A return that is long overdue is taken for lost.
    Overdue {
        client: u64,
        number: u64,
    },
    /// An ask that waits is offered again or refused.
    Offer {
        client: u64,
        number: u64,
    },
    TxnIdle {
        client: u64,
        since: u64,
    },
    Setup {
        client: u64,
    },
    /// The next start on a database that is being eased in.
    Ease {
        spot: wv_check::Spot,
    },
}

/// Schedules by time. Those overtaken by events are dropped when they come to the front.
#[derive(Default)]
pub struct Schedules {
    heap: std::collections::BinaryHeap<Reverse<(u64, Schedule)>>,
}

impl Schedules {
    pub fn put(&mut self, at: u64, schedule: Schedule) {
        self.heap.push(Reverse((at, schedule)));
    }

    /// The time of the first schedule that still matters.
    pub fn next(&mut self, is_live: impl Fn(&Schedule) -> bool) -> Option<u64> {
        while let Some(Reverse((at, schedule))) = self.heap.peek() {
            if is_live(schedule) {
                return Some(*at);
            }
            self.heap.pop();
        }
        None
    }

    pub fn due(&mut self, now: u64) -> Option<Schedule> {
        let is_due = self.heap.peek().is_some_and(|Reverse((at, _))| *at <= now);
        is_due.then(|| self.heap.pop()).flatten().map(|Reverse((_, schedule))| schedule)
    }
}

impl Core {
    /// When `tick` wants to be called next.
    pub fn next_limit(&mut self) -> Option<u64> {
        let (clients, pools) = (&self.clients, &self.pools);
        self.schedules.next(|schedule| match schedule {
            Schedule::Expiry { client, number }
            | Schedule::Offer { client, number }
            | Schedule::Overdue { client, number } => {
                clients.get(client).is_some_and(|held| held.ask.is_open && held.ask.number == *number)
            }
            Schedule::TxnIdle { client, .. } => clients.get(client).is_some_and(|held| held.txn.is_some()),
            Schedule::Ease { spot } => pools.get(spot).is_some_and(|pool| !pool.waiting.is_empty()),
            Schedule::Setup { client } => clients.get(client).is_some_and(|held| held.database.is_none()),
        })
    }

    pub fn tick(&mut self, now: u64) {
        self.now = self.now.max(now);
        while let Some(schedule) = self.schedules.due(self.now) {
            match schedule {
                Schedule::Expiry { client, number } => self.expire(client, number),
                Schedule::Offer { client, number } => self.offer_again(client, number),
                Schedule::Overdue { client, number } => self.overdue(client, number),
                Schedule::TxnIdle { client, since } => self.txn_idle(client, since),
                Schedule::Ease { spot } => self.serve_waiting(spot),
                Schedule::Setup { client } => {
                    if self.clients.get(&client).is_some_and(|held| held.database.is_none()) {
                        self.close_client(client);
                    }
                }
            }
        }
    }
}
