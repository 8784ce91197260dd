//! Row copies of one split: which batches may be in flight together, and the handling of unknown batch outcomes.
use googletest::prelude::*;
use wv_shard_split::{Command, CopyContext, CopyOutcome, Reply, RowCopier};
use wv_wire_protocol::ErrorCode;

fn context(now_us: u64) -> CopyContext<'static> {
    CopyContext {
        now_us,
        source: "s0",
        target: "t0",
        source_term: 2,
        target_term: 2,
        capacity: 10,
        max_rows_per_s: 1_000_000,
        is_sealed: true,
    }
}

fn runs(commands: &[Command]) -> Vec<(u64, Vec<String>)> {
    let run = |command: &Command| match command {
        Command::Run { token, statements, .. } => {
            Some((*token, statements.iter().map(|text| String::from_utf8_lossy(text).into_owned()).collect()))
        }
        _ => None,
    };
    commands.iter().filter_map(run).collect()
}

/// Replies to a batch: the status row of a primary in term 2, then `row` for each statement.
fn replies(statements: &[String], row: &str) -> Option<Vec<Reply>> {
    let status = Reply { rows: vec![b"primary 2 2.1 0 0 0 1".to_vec()], ..Reply::default() };
    let rest = statements[1..].iter().map(|_| Reply { rows: vec![row.as_bytes().to_vec()], ..Reply::default() });
    Some(std::iter::once(status).chain(rest).collect())
}

#[gtest]
fn given_a_key_written_again_while_it_is_copied_then_its_next_copy_starts_only_after_the_first_has_ended() {
    let (mut copier, mut token) = (RowCopier::default(), 0);
    copier.enqueue(b"k");
    let first = runs(&copier.start_batches(&context(1), &mut token));
    expect_that!(first.len(), eq(1));
    // Both keys are queued, but only the one without a batch in flight may start.
    copier.enqueue(b"k");
    copier.enqueue(b"other");
    let second = runs(&copier.start_batches(&context(2), &mut token));
    expect_that!(second.len(), eq(1));
    expect_that!(second[0].1.contains(&"READ k".to_owned()), eq(false));
    expect_that!(second[0].1.contains(&"READ other".to_owned()), eq(true));
    // The first row is being written to the target, so the key is not read again yet.
    let (_, commands) = copier.on_replies(first[0].0, replies(&first[0].1, "old"), &context(3));
    let write = runs(&commands);
    expect_that!(write[0].1.contains(&"WRITE k old".to_owned()), eq(true));
    expect_that!(runs(&copier.start_batches(&context(4), &mut token)), is_empty());
    copier.on_replies(write[0].0, replies(&write[0].1, ""), &context(5));
    let third = runs(&copier.start_batches(&context(6), &mut token));
    expect_that!(third[0].1.contains(&"READ k".to_owned()), eq(true));
    expect_that!(copier.is_done(), eq(false));
}

#[gtest]
fn given_a_write_with_unknown_outcome_then_the_attempt_is_aborted_but_a_rejected_one_is_retried() {
    for is_refused in [true, false] {
        let (mut copier, mut token) = (RowCopier::default(), 0);
        copier.enqueue(b"k");
        let read = runs(&copier.start_batches(&context(1), &mut token));
        // A read without replies is retried.
        expect_that!(copier.on_replies(read[0].0, None, &context(2)).0, eq(CopyOutcome::Continue));
        let read = runs(&copier.start_batches(&context(200_000), &mut token));
        let (_, commands) = copier.on_replies(read[0].0, replies(&read[0].1, "v"), &context(200_001));
        let write = runs(&commands);
        let refused = Reply { code: Some(ErrorCode::Congested), ..Reply::default() };
        let reply = replies(&write[0].1, "").map(|mut all| {
            all.truncate(1);
            all.push(refused);
            all
        });
        let (outcome, _) = copier.on_replies(write[0].0, reply.filter(|_| is_refused), &context(200_002));
        expect_that!(outcome, eq(if is_refused { CopyOutcome::Continue } else { CopyOutcome::Abort }));
        expect_that!(runs(&copier.start_batches(&context(500_000), &mut token)).len(), eq(usize::from(is_refused)));
    }
}

/// The statements of the only batch among `commands`, and its token.
fn only_run(commands: &[Command]) -> (u64, Vec<Vec<u8>>) {
    match commands {
        [Command::Run { token, statements, .. }] => (*token, statements.clone()),
        _ => (0, Vec::new()),
    }
}

/// Guards against rows and keys that are not UTF-8 being left behind or changed by a split.
#[gtest]
fn given_a_key_and_a_row_of_any_bytes_then_both_are_copied_unchanged() {
    let (key, row) = (b"caf\xe9\nx\r".as_slice(), b"one\ntwo \xff\r".as_slice());
    let (mut copier, mut token) = (RowCopier::default(), 0);
    copier.enqueue(key);
    let (read, statements) = only_run(&copier.start_batches(&context(1), &mut token));
    expect_that!(statements.get(2), some(eq(&[b"READ ", key].concat())));
    let mut found = replies(&["ENQUIRY", "BEGIN", "READ", "ABORT"].map(str::to_owned), "").unwrap_or_default();
    found[2].rows = vec![row.to_vec()];
    let (_, commands) = copier.on_replies(read, Some(found), &context(2));
    let (_, statements) = only_run(&commands);
    expect_that!(statements.get(2), some(eq(&[b"WRITE ", key, b" ", row].concat())));
}
