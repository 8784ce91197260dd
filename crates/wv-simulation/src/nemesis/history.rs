//! What operators, nodes and databases wrote down in a day.

/// What was sent under a number.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Order {
    pub number: u64,
    pub body: Vec<u8>,
    pub is_valid: bool,
    pub first_sent: u64,
}

/// One answer to one sending of an order.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Answer {
    pub order: usize,
    pub control: String,
    pub sent: u64,
    pub heard: u64,
    pub status: u16,
}

/// One reading of the configuration that was answered with 200: its number, and which order it shows.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Read {
    pub control: String,
    pub sent: u64,
    pub heard: u64,
    pub number: u64,
    pub order: Option<usize>,
}

/// The version by which an access node, in one of its lives, goes from a moment on.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Seen {
    pub node: String,
    pub life: u64,
    pub at: u64,
    pub version: u64,
}

/// One call to the platform, and what it returned.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Post {
    pub at: u64,
    /// The node and its life.
    pub holder: (usize, u64),
    pub service: String,
    pub id: String,
    pub fence: u64,
    pub code: Option<u16>,
}

/// What the fleet was asked once all troubles were over: what, of whom, and what came that should not have.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Calm {
    pub check: &'static str,
    pub text: String,
}

#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct History {
    pub orders: Vec<Order>,
    pub answers: Vec<Answer>,
    pub reads: Vec<Read>,
    pub seen: Vec<Seen>,
    pub posts: Vec<Post>,
    pub calm: Vec<Calm>,
    /// Rules of statements that were broken, as the databases and clients saw them.
    pub statements: Vec<String>,
    /// Who led under which term, by service.
    pub leads: Vec<(String, u64, String)>,
    pub done: u32,
    pub failed: u32,
    /// The course in words, with times, to read beside the rest.
    pub course: Vec<(u64, String)>,
}

impl Answer {
    pub fn is_ack(&self) -> bool {
        self.status / 100 == 2
    }

    /// Whether it says that the order is not taken; 408 and 429 only put off.
    pub fn is_refusal(&self) -> bool {
        self.status / 100 == 4 && !matches!(self.status, 408 | 429)
    }
}

impl History {
    /// Times at which an order was acknowledged.
    pub fn acks(&self, order: usize) -> impl Iterator<Item = &Answer> {
        self.answers.iter().filter(move |answer| answer.order == order && answer.is_ack())
    }

    /// The newest number acknowledged before `at`.
    pub fn newest_acked(&self, at: u64) -> u64 {
        let acked = self.answers.iter().filter(|answer| answer.is_ack() && answer.heard < at);
        acked.map(|answer| self.orders[answer.order].number).max().unwrap_or(0)
    }

    /// Everything in one number: two plays of one day must have the same.
    pub fn digest(&self) -> u64 {
        use std::hash::{BuildHasher, Hasher};
        let mut hasher = ahash::RandomState::with_seeds(1, 2, 3, 4).build_hasher();
        hasher.write(format!("{self:?}").as_bytes());
        hasher.finish()
    }
}
