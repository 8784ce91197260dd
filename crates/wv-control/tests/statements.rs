//! Stories of own texts at a database that resets the connection somewhere: a commit goes out once, and where its end is
//! not known that is said.
use googletest::prelude::*;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};

/// The far end breaks off when so many lines were read, and of the answer to the last one this many bytes were sent.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Cut {
    lines: usize,
    bytes: usize,
}

const TEXTS: [&str; 4] = ["ENQUIRY", "BEGIN", "WRITE k d", "COMMIT"];

fn answer(line: &str) -> &'static str {
    match line {
        line if line.starts_with("SETUP") => "IDLE I -\r\n",
        line if line.ends_with("ENQUIRY") => "ROW primary 3 3.9 0 0 0 1\r\nCOMPLETE -\r\nIDLE I 3.9\r\n",
        line if line.ends_with("COMMIT") => "COMPLETE stamp-1\r\nIDLE I 3.9\r\n",
        _ => "COMPLETE -\r\nIDLE T 3.9\r\n",
    }
}

async fn database(listener: tokio::net::TcpListener, cut: Cut, more: &'static str, seen: Rc<RefCell<Vec<String>>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (reader, mut writer) = stream.into_split();
        let mut lines = BufReader::new(reader).lines();
        let mut count = 0;
        while count < cut.lines {
            let Ok(Some(line)) = lines.next_line().await else { break };
            count += 1;
            let text = answer(&line);
            let is_last = count == cut.lines;
            seen.borrow_mut().push(line.clone());
            let end = if is_last { cut.bytes.min(text.len()) } else { text.len() };
            let _ = writer.write_all(&text.as_bytes()[..end]).await;
            if line.ends_with("BEGIN") {
                let _ = writer.write_all(more.as_bytes()).await;
            }
        }
        // Closed with what came meanwhile unread, or with nothing left to read: the other side hears an end or a reset.
        let _ = writer.shutdown().await;
    }
}

fn told(story: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, story);
}

async fn ran(cut: Cut, more: &'static str) -> (Option<Vec<wv_shard_split::Reply>>, Vec<String>) {
    let listener = wv_http::listen(([127, 0, 0, 1], 0).into()).expect("a port");
    let addr = listener.local_addr().expect("its address").to_string();
    let seen = Rc::new(RefCell::new(Vec::new()));
    tokio::task::spawn_local(database(listener, cut, more, seen.clone()));
    let texts: Vec<String> = TEXTS.iter().map(|text| (*text).to_owned()).collect();
    let replies = wv_control::run_statements(&addr, "s", "d1", &texts).await;
    for _ in 0..64 {
        tokio::task::yield_now().await;
    }
    let seen = seen.borrow().clone();
    (replies, seen)
}

fn count(seen: &[String], text: &str) -> usize {
    seen.iter().filter(|line| line.contains(text)).count()
}

#[gtest]
fn given_an_end_anywhere_then_what_was_to_be_committed_went_out_once_at_most_and_an_unknown_end_is_said_to_be_one() {
    told(async {
        // The set-up and the three texts before the commit: nothing is kept, and what was gone through is said.
        for lines in 0..=4 {
            for bytes in [0, 1, 9] {
                let (replies, seen) = ran(Cut { lines, bytes }, "").await;
                let got = replies.map(|replies| replies.len());
                expect_that!(got, some(le(3)), "{lines} lines, {bytes} bytes");
                expect_that!((count(&seen, "COMMIT"), count(&seen, "SETUP")), eq((0, usize::from(lines > 0))));
            }
        }
        // The commit was read: until its answer is whole its end is not known.
        let whole = answer("COMMIT").len();
        for bytes in 0..=whole {
            let (replies, seen) = ran(Cut { lines: 5, bytes }, "").await;
            let got = replies.map(|replies| replies.len());
            expect_that!(got, eq((bytes == whole).then_some(4)), "{bytes} bytes");
            expect_that!((count(&seen, "COMMIT"), count(&seen, "SETUP")), eq((1, 1)));
        }
    });
}

#[gtest]
fn given_more_answers_than_questions_then_none_is_taken_for_the_next_ones_and_nothing_is_committed() {
    told(async {
        for more in ["COMPLETE -\r\nIDLE T 3.9\r\n", "COMP"] {
            let (replies, seen) = ran(Cut { lines: 9, bytes: 0 }, more).await;
            expect_that!(replies.map(|replies| replies.len()), some(le(3)), "{more:?}");
            expect_that!(count(&seen, "COMMIT"), eq(0));
        }
    });
}
