use crate::core::Core;
use std::cmp::Reverse;

/// What is to be looked at when its time comes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Timer {
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
    /// A request that waits is offered again or refused.
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
        spot: wv_health::DatabaseKey,
    },
}

/// Timers by time. Those overtaken by events are dropped when they come to the front.
#[derive(Default)]
pub struct Timers {
    heap: std::collections::BinaryHeap<Reverse<(u64, Timer)>>,
}

impl Timers {
    pub fn put(&mut self, at: u64, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// The time of the first timer that still matters.
    pub fn next(&mut self, is_live: impl Fn(&Timer) -> bool) -> Option<u64> {
        while let Some(Reverse((at, timer))) = self.heap.peek() {
            if is_live(timer) {
                return Some(*at);
            }
            self.heap.pop();
        }
        None
    }

    pub fn due(&mut self, now: u64) -> Option<Timer> {
        let is_due = self.heap.peek().is_some_and(|Reverse((at, _))| *at <= now);
        is_due.then(|| self.heap.pop()).flatten().map(|Reverse((_, timer))| timer)
    }
}

impl Core {
    /// When `tick` wants to be called next.
    pub fn next_limit(&mut self) -> Option<u64> {
        let (clients, pools) = (&self.clients, &self.pools);
        self.timers.next(|timer| match timer {
            Timer::Expiry { client, number } | Timer::Offer { client, number } | Timer::Overdue { client, number } => {
                clients.get(client).is_some_and(|held| held.request.is_open && held.request.number == *number)
            }
            Timer::TxnIdle { client, .. } => clients.get(client).is_some_and(|held| held.txn.is_some()),
            Timer::Ease { spot } => pools.get(spot).is_some_and(|pool| !pool.waiting.is_empty()),
            Timer::Setup { client } => clients.get(client).is_some_and(|held| held.database.is_none()),
        })
    }

    pub fn tick(&mut self, now: u64) {
        self.now = self.now.max(now);
        while let Some(timer) = self.timers.due(self.now) {
            match timer {
                Timer::Expiry { client, number } => self.expire(client, number),
                Timer::Offer { client, number } => self.offer_again(client, number),
                Timer::Overdue { client, number } => self.overdue(client, number),
                Timer::TxnIdle { client, since } => self.txn_idle(client, since),
                Timer::Ease { spot } => self.serve_waiting(spot),
                Timer::Setup { client } => {
                    if self.clients.get(&client).is_some_and(|held| held.database.is_none()) {
                        self.close_client(client);
                    }
                }
            }
        }
    }
}
