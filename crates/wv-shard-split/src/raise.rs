//! Looks at who leads under which term, and waiting for that term to be left behind.
use crate::{Order, Side, View};
use wv_wire_protocol::parse_status;

const GAP_US: u64 = 100_000;

/// What the databases that lead have said of their terms; 0 while they have not.
#[derive(Default, Clone, Debug)]
pub struct Looks {
    pub source: u64,
    pub target: u64,
    tokens: Vec<(u64, Side)>,
    next: u64,
}

impl Looks {
    /// Asks both sides for their rows, now and then until they are satisfying.
    pub fn look(&mut self, view: &View<'_>, next_token: &mut u64) -> Vec<Order> {
        if self.next > view.now {
            return Vec::new();
        }
        self.next = view.now + GAP_US;
        self.tokens.clear();
        let sides = [(Side::Source, view.source), (Side::Target, view.target)];
        let order = |(side, lead): (Side, Option<(&str, u64)>)| {
            let (id, _) = lead?;
            *next_token += 1;
            self.tokens.push((*next_token, side));
            let (token, id, texts) = (*next_token, id.to_owned(), vec!["ENQUIRY".to_owned()]);
            Some(Order::Run { token, side, id, texts })
        };
        sides.into_iter().filter_map(order).collect()
    }

    /// `true` where the replies were to one of these looks.
    pub fn ran(&mut self, token: u64, replies: &Option<Vec<crate::Reply>>) -> bool {
        let Some((_, side)) = self.tokens.iter().find(|(held, _)| *held == token).copied() else { return false };
        let row = replies.as_ref().and_then(|replies| replies.first()?.rows.first());
        let status = row.and_then(|row| parse_status(row.as_bytes())).filter(|status| status.is_primary);
        if let Some(status) = status {
            match side {
                Side::Source => self.source = status.term,
                Side::Target => self.target = status.term,
            }
        }
        true
    }
}
