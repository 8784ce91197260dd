use crate::core::Core;
use std::cmp::Reverse;

/// A timer event.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Timer {
    /// The deadline of a statement.
    Expiry {
        client: u64,
        sequence: u64,
    },
    /// Checks whether the response of a statement is lost.
    Overdue {
        client: u64,
        sequence: u64,
    },
    /// Ends the time that a request may wait to be sent.
    WaitLimit {
        client: u64,
        sequence: u64,
    },
    TxnIdle {
        client: u64,
        since: u64,
    },
    Setup {
        client: u64,
    },
    /// The next start on an instance in slow start.
    SlowStart {
        key: wv_health::DatabaseKey,
    },
}

/// Timers ordered by time. Outdated ones are dropped when they reach the front.
#[derive(Default)]
pub struct Timers {
    heap: std::collections::BinaryHeap<Reverse<(u64, Timer)>>,
}

impl Timers {
    pub fn schedule(&mut self, at: u64, timer: Timer) {
        self.heap.push(Reverse((at, timer)));
    }

    /// The time of the first timer that is still relevant.
    pub fn next(&mut self, is_live: impl Fn(&Timer) -> bool) -> Option<u64> {
        while let Some(Reverse((at, timer))) = self.heap.peek() {
            if is_live(timer) {
                return Some(*at);
            }
            self.heap.pop();
        }
        None
    }

    pub fn pop_due(&mut self, now: u64) -> Option<Timer> {
        let is_due = self.heap.peek().is_some_and(|Reverse((at, _))| *at <= now);
        is_due.then(|| self.heap.pop()).flatten().map(|Reverse((_, timer))| timer)
    }
}

impl Core {
    /// When `tick` has to be called next.
    pub fn next_timer_at(&mut self) -> Option<u64> {
        let (clients, pools) = (&self.clients, &self.pools);
        self.timers.next(|timer| match timer {
            Timer::Expiry { client, sequence }
            | Timer::WaitLimit { client, sequence }
            | Timer::Overdue { client, sequence } => {
                clients.get(client).is_some_and(|client| client.request.is_open && client.request.sequence == *sequence)
            }
            Timer::TxnIdle { client, .. } => clients.get(client).is_some_and(|client| client.txn.is_some()),
            Timer::SlowStart { key } => pools.get(key).is_some_and(|pool| !pool.waiting.is_empty()),
            Timer::Setup { client } => clients.get(client).is_some_and(|client| client.database.is_none()),
        })
    }

    pub fn tick(&mut self, now: u64) {
        self.advance_clock(now);
        while let Some(timer) = self.timers.pop_due(self.now) {
            match timer {
                Timer::Expiry { client, sequence } => self.expire_request(client, sequence),
                Timer::WaitLimit { client, sequence } => self.expire_wait(client, sequence),
                Timer::Overdue { client, sequence } => self.check_overdue(client, sequence),
                Timer::TxnIdle { client, since } => self.expire_idle_txn(client, since),
                Timer::SlowStart { key } => self.serve_queue(key),
                Timer::Setup { client } => {
                    if self.clients.get(&client).is_some_and(|client| client.database.is_none()) {
                        self.close_client(client);
                    }
                }
            }
        }
    }
}
