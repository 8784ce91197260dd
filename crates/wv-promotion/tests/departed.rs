//! Stories of nomination where databases have left, on the bare choice.
use std::collections::BTreeMap;
use wv_promotion::{choose_candidate, Choice, Database, Left, Obstacle, Silent, StatusReply};
use wv_wire_protocol::{DatabaseStatus, LogPosition};

fn database(id: &str, left: Option<Left>) -> Database {
    Database { id: id.to_owned(), is_draining: false, refused_us: None, left }
}

fn row(number: u64) -> StatusReply {
    let received = LogPosition { term: 3, number };
    Ok(DatabaseStatus { is_primary: false, term: 3, received, ..DatabaseStatus::default() })
}

fn rows(all: &[(&str, StatusReply)]) -> BTreeMap<String, StatusReply> {
    all.iter().map(|(id, reply)| ((*id).to_owned(), *reply)).collect()
}

const S: u64 = 1_000_000;

#[test]
fn given_one_that_left_and_may_still_receive_then_nobody_leads_however_long_ago_it_said_so() {
    let databases =
        [database("p", None), database("a", None), database("b", Some(Left { ended_us: None, heir: None }))];
    let fenced = Some((S / 10, LogPosition { term: 3, number: 50 }));
    let choose =
        |rows: &[(&str, StatusReply)]| choose_candidate(&databases, Some("p"), &self::rows(rows), 1, fenced, true);
    // The other has all that any node saw acknowledged, and yet this one may have got the last of it.
    for silent in [Silent::Refused, Silent::Dark] {
        let (candidate, replica) = ("a".to_owned(), "b".to_owned());
        let obstacle = Obstacle::Silent { candidate, replica, reply: Some(silent) };
        assert_eq!(choose(&[("a", row(50)), ("b", Err(silent))]), Choice::Blocked(obstacle));
    }
    // It answers, and has no more; or it has.
    assert_eq!(choose(&[("a", row(50)), ("b", row(50))]), Choice::Candidate("a".to_owned()));
    let obstacle = Obstacle::Behind {
        candidate: "a".to_owned(),
        received: LogPosition { term: 3, number: 50 },
        ahead: "b".to_owned(),
        ahead_received: LogPosition { term: 3, number: 51 },
    };
    assert_eq!(choose(&[("a", row(50)), ("b", row(51))]), Choice::Blocked(obstacle));
}

#[test]
fn given_one_that_left_and_has_ended_before_the_primary_was_last_seen_then_who_reached_that_place_leads() {
    let choose = |ended_us: u64, place: u64, heir: Option<&str>, reply: StatusReply| {
        let left = Left { ended_us: Some(ended_us), heir: heir.map(str::to_owned) };
        let databases = [database("p", None), database("a", None), database("h", None), database("b", Some(left))];
        let fenced = Some((S, LogPosition { term: 3, number: place }));
        choose_candidate(&databases, Some("p"), &rows(&[("a", row(50)), ("h", reply)]), 1, fenced, true)
    };
    let is_led = |choice: Choice| choice == Choice::Candidate("a".to_owned());
    assert!(is_led(choose(2 * S, 50, None, row(40))));
    assert!(!is_led(choose(2 * S, 51, None, row(40))), "the primary went on, and nobody has it");
    assert!(!is_led(choose(S, 50, None, row(40))), "it may have ended after the primary was seen");
    // Its heir has its log, and has told what stands in it; one that tells nothing is waited for itself.
    assert!(is_led(choose(S, 51, Some("h"), row(40))));
    assert!(!is_led(choose(S, 51, Some("h"), Err(Silent::Refused))));
}
