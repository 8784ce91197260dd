//! Stories of the copies of one split: which may be under way together, and what an unclear end of one means.
use googletest::prelude::*;
use wv_shard_split::{Bounds, Copy, Order, Outcome, Reply};
use wv_wire_protocol::ErrorCode;

fn bounds(now: u64) -> Bounds<'static> {
    Bounds { now, source: "s0", target: "t0", term: 2, target_term: 2, capacity: 10, pace: 1_000_000, is_sealed: true }
}

fn runs(orders: &[Order]) -> Vec<(u64, Vec<String>)> {
    let run = |order: &Order| match order {
        Order::Run { token, texts, .. } => Some((*token, texts.clone())),
        _ => None,
    };
    orders.iter().filter_map(run).collect()
}

/// Replies to a batch's texts: the row of a leading database in term 2, then `row` for each.
fn replies(texts: &[String], row: &str) -> Option<Vec<Reply>> {
    let status = Reply { rows: vec!["primary 2 2.1 0 0 0 1".to_owned()], ..Reply::default() };
    let rest = texts[1..].iter().map(|_| Reply { rows: vec![row.to_owned()], ..Reply::default() });
    Some(std::iter::once(status).chain(rest).collect())
}

#[gtest]
fn given_a_thing_written_again_while_it_is_copied_then_its_next_copy_begins_only_after_that_one_has_ended() {
    let (mut copy, mut token) = (Copy::default(), 0);
    copy.want("k");
    let first = runs(&copy.start(&bounds(1), &mut token));
    expect_that!(first.len(), eq(1));
    // Written again, with another thing: only that one may go along now.
    copy.want("k");
    copy.want("other");
    let second = runs(&copy.start(&bounds(2), &mut token));
    expect_that!(second.len(), eq(1));
    expect_that!(second[0].1.contains(&"READ k".to_owned()), eq(false));
    expect_that!(second[0].1.contains(&"READ other".to_owned()), eq(true));
    // The copy made of the first read goes to the target; still nothing of the second.
    let (_, orders) = copy.ran(first[0].0, replies(&first[0].1, "old"), &bounds(3));
    let write = runs(&orders);
    expect_that!(write[0].1.contains(&"WRITE k old".to_owned()), eq(true));
    expect_that!(runs(&copy.start(&bounds(4), &mut token)), is_empty());
    copy.ran(write[0].0, replies(&write[0].1, ""), &bounds(5));
    let third = runs(&copy.start(&bounds(6), &mut token));
    expect_that!(third[0].1.contains(&"READ k".to_owned()), eq(true));
    expect_that!(copy.is_done(), eq(false));
}

#[gtest]
fn given_a_copy_of_which_nothing_came_back_then_it_is_not_made_again_in_this_try_but_one_that_was_refused_is() {
    for is_refused in [true, false] {
        let (mut copy, mut token) = (Copy::default(), 0);
        copy.want("k");
        let read = runs(&copy.start(&bounds(1), &mut token));
        // A read that came to nothing is only read again.
        expect_that!(copy.ran(read[0].0, None, &bounds(2)).0, eq(Outcome::Going));
        let read = runs(&copy.start(&bounds(200_000), &mut token));
        let (_, orders) = copy.ran(read[0].0, replies(&read[0].1, "v"), &bounds(200_001));
        let write = runs(&orders);
        let refused = Reply { code: Some(ErrorCode::Congested), ..Reply::default() };
        let told = replies(&write[0].1, "").map(|mut all| {
            all.truncate(1);
            all.push(refused);
            all
        });
        let (outcome, _) = copy.ran(write[0].0, told.filter(|_| is_refused), &bounds(200_002));
        expect_that!(outcome, eq(if is_refused { Outcome::Going } else { Outcome::Disturbed }));
        expect_that!(runs(&copy.start(&bounds(500_000), &mut token)).len(), eq(usize::from(is_refused)));
    }
}
