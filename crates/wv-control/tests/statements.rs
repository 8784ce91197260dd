//! Statements at a database that closes the connection at any point: a commit must be sent at most once, and an unknown
//! outcome must be reported as such. Rows come back byte for byte.
use googletest::prelude::*;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};

/// The database closes the connection after reading this many lines and sending this many bytes of the last reply.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Cut {
    lines: usize,
    bytes: usize,
}

const STATEMENTS: [&str; 4] = ["ENQUIRY", "BEGIN", "WRITE k d", "COMMIT"];

fn reply_to(line: &str) -> &'static str {
    match line {
        line if line.starts_with("SETUP") => "IDLE I -\r\n",
        line if line.ends_with("ENQUIRY") => "ROW primary 3 3.9 0 0 0 1\r\nCOMPLETE -\r\nIDLE I 3.9\r\n",
        line if line.ends_with("COMMIT") => "COMPLETE stamp-1\r\nIDLE I 3.9\r\n",
        _ => "COMPLETE -\r\nIDLE T 3.9\r\n",
    }
}

async fn database(listener: tokio::net::TcpListener, cut: Cut, extra: &'static str, seen: Rc<RefCell<Vec<String>>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (reader, mut writer) = stream.into_split();
        let mut lines = BufReader::new(reader).lines();
        let mut count = 0;
        while count < cut.lines {
            let Ok(Some(line)) = lines.next_line().await else { break };
            count += 1;
            let text = reply_to(&line);
            let is_last = count == cut.lines;
            seen.borrow_mut().push(line.clone());
            let end = if is_last { cut.bytes.min(text.len()) } else { text.len() };
            let _ = writer.write_all(&text.as_bytes()[..end]).await;
            if line.ends_with("BEGIN") {
                let _ = writer.write_all(extra.as_bytes()).await;
            }
        }
        // Closing with or without unread input makes the client see a reset or an end of stream.
        let _ = writer.shutdown().await;
    }
}

fn run_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

async fn run_with_cut(cut: Cut, extra: &'static str) -> (Option<Vec<wv_shard_split::Reply>>, Vec<String>) {
    let listener = wv_http::listen(([127, 0, 0, 1], 0).into()).expect("a port");
    let addr = listener.local_addr().expect("its address").to_string();
    let seen = Rc::new(RefCell::new(Vec::new()));
    tokio::task::spawn_local(database(listener, cut, extra, seen.clone()));
    let statements: Vec<Vec<u8>> = STATEMENTS.iter().map(|text| text.as_bytes().to_vec()).collect();
    let replies = wv_control::run_statements(&addr, "s", "d1", &statements).await;
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
fn given_a_connection_closed_anywhere_then_the_commit_is_sent_once_at_most_and_an_unknown_outcome_is_reported() {
    run_local(async {
        // Closed before the commit: it must not be sent, and the replies so far are returned.
        for lines in 0..=4 {
            for bytes in [0, 1, 9] {
                let (replies, seen) = run_with_cut(Cut { lines, bytes }, "").await;
                let got = replies.map(|replies| replies.len());
                expect_that!(got, some(le(3)), "{lines} lines, {bytes} bytes");
                expect_that!((count(&seen, "COMMIT"), count(&seen, "SETUP")), eq((0, usize::from(lines > 0))));
            }
        }
        // Closed during the reply to the commit: the outcome is unknown until the reply is complete.
        let whole = reply_to("COMMIT").len();
        for bytes in 0..=whole {
            let (replies, seen) = run_with_cut(Cut { lines: 5, bytes }, "").await;
            let got = replies.map(|replies| replies.len());
            expect_that!(got, eq((bytes == whole).then_some(4)), "{bytes} bytes");
            expect_that!((count(&seen, "COMMIT"), count(&seen, "SETUP")), eq((1, 1)));
        }
    });
}

#[gtest]
fn given_unsolicited_replies_then_they_do_not_answer_later_statements_and_nothing_is_committed() {
    run_local(async {
        for extra in ["COMPLETE -\r\nIDLE T 3.9\r\n", "COMP"] {
            let (replies, seen) = run_with_cut(Cut { lines: 9, bytes: 0 }, extra).await;
            expect_that!(replies.map(|replies| replies.len()), some(le(3)), "{extra:?}");
            expect_that!(count(&seen, "COMMIT"), eq(0));
        }
    });
}

/// A database that answers every line with `reply`, in two parts, until the connection closes.
async fn database_with_row(listener: tokio::net::TcpListener, reply: Vec<u8>, cut: usize) {
    let Ok((stream, _)) = listener.accept().await else { return };
    let _ = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        if line.starts_with("SETUP") {
            let _ = writer.write_all(b"IDLE I -\r\n").await;
            continue;
        }
        let _ = writer.write_all(&reply[..cut]).await;
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
        let _ = writer.write_all(&reply[cut..]).await;
    }
}

/// Guards against a row that holds line feeds, or bytes that are not UTF-8, ending the copy of its batch.
#[gtest]
fn given_a_row_of_any_bytes_then_it_is_returned_unchanged_for_every_cut() {
    run_local(async {
        let row = b"one\nIDLE I 3.9\ntwo\r \xc3";
        let reply = [b"ROW ", &row[..], b"\r\nCOMPLETE -\r\nIDLE I 3.9\r\n"].concat();
        for cut in 0..=reply.len() {
            let listener = wv_http::listen(([127, 0, 0, 1], 0).into()).expect("a port");
            let addr = listener.local_addr().expect("its address").to_string();
            tokio::task::spawn_local(database_with_row(listener, reply.clone(), cut));
            let replies = wv_control::run_statements(&addr, "s", "d1", &[b"READ k".to_vec()]).await;
            let rows = replies.and_then(|replies| Some(replies.first()?.rows.clone()));
            expect_that!(rows, some(eq(&vec![row.to_vec()])), "cut at {cut}");
        }
    });
}
