//! Clients write text of two lines. The wire ends a line with CR LF, so a LF alone is part of the text.
use crate::day::{Day, Verdict};
use crate::load::Session;
use crate::wire::shown;
use std::time::{Duration, Instant};

/// Sends one statement and reads its answer, both with their texts in the record.
fn say(day: &Day, session: &mut Session, id: &str, text: &str) -> Option<Vec<String>> {
    day.world.lock().sent.insert(id.to_owned(), text.to_owned());
    day.world.record.tell(&format!("client sends one message: QUERY {id} {}", shown(text)));
    let answer = session.send(&format!("QUERY {id} {text}")).and_then(|()| session.answer());
    let lines = answer.iter().flatten().map(|line| shown(line)).collect::<Vec<String>>();
    day.world.record.tell(&format!("client gets {lines:?}"));
    answer
}

/// Without the trouble a blank stands where the LF is.
pub fn run(day: &mut Day, has_line_feed: bool) -> Verdict {
    let until = Instant::now() + Duration::from_secs(15);
    let end = if has_line_feed { "\n" } else { " " };
    let front = day.fleet.fronts[0].clone();
    let Some(mut clerk) = Session::open(&front, "ledger-db", "clerk") else {
        return Verdict::NotRun("no session".to_owned());
    };
    for number in 0.. {
        let is_done = |lines: Vec<String>| lines.iter().any(|line| line.starts_with("COMPLETE "));
        if say(day, &mut clerk, &format!("warm{number:04}"), "WRITE parcel-0 known").is_some_and(is_done) {
            break;
        }
        if Instant::now() > until {
            return Verdict::NotRun("clients are not served".to_owned());
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    let address = format!("WRITE parcel-1 gate 4{end}ring twice");
    say(day, &mut clerk, "a5c0e7a21d94b301", &address);
    let Some(mut courier) = Session::open(&front, "ledger-db", "courier") else {
        return Verdict::NotRun("no session".to_owned());
    };
    let note = format!("WRITE parcel-2 left with neighbour{end}QUERY f0f0f0f0f0f0f0f0 WRITE parcel-0 forged");
    say(day, &mut courier, "a5c0e7a21d94b302", &note);
    std::thread::sleep(Duration::from_millis(1500));
    // A new session, as the earlier ones may have got more answers than they asked for.
    let Some(mut reader) = Session::open(&front, "ledger-db", "reader") else {
        return Verdict::NotRun("no session".to_owned());
    };
    for (at, thing) in ["parcel-0", "parcel-1", "parcel-2"].iter().enumerate() {
        say(day, &mut reader, &format!("b5c0e7a21d94b30{at}"), &format!("READ {thing}"));
    }
    day.judge_unasked()
}
