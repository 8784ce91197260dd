//! Stories of nomination where databases have left, on the bare choice.
use std::collections::BTreeMap;
use wv_promo::{nominate, Left, Obstacle, Seat, Silent, Verdict, Word};
use wv_wire::{Pos, Status};

fn seat(id: &str, left: Option<Left>) -> Seat {
    Seat { id: id.to_owned(), is_draining: false, refused_us: None, left }
}

fn row(number: u64) -> Word {
    let received = Pos { term: 3, number };
    Ok(Status { is_primary: false, term: 3, received, ..Status::default() })
}

fn rows(all: &[(&str, Word)]) -> BTreeMap<String, Word> {
    all.iter().map(|(id, word)| ((*id).to_owned(), *word)).collect()
}

const S: u64 = 1_000_000;

#[test]
fn given_one_that_left_and_may_still_receive_then_nobody_leads_however_long_ago_it_said_so() {
    let seats = [seat("p", None), seat("a", None), seat("b", Some(Left { ended_us: None, heir: None }))];
    let fenced = Some((S / 10, Pos { term: 3, number: 50 }));
    let nominee = |rows: &[(&str, Word)]| nominate(&seats, Some("p"), &self::rows(rows), 1, fenced, true);
    // The other has all that any node saw acknowledged, and yet this one may have got the last of it.
    for silent in [Silent::Refused, Silent::Dark] {
        let (candidate, replica) = ("a".to_owned(), "b".to_owned());
        let obstacle = Obstacle::Silent { candidate, replica, word: Some(silent) };
        assert_eq!(nominee(&[("a", row(50)), ("b", Err(silent))]), Verdict::Blocked(obstacle));
    }
    // It answers, and has no more; or it has.
    assert_eq!(nominee(&[("a", row(50)), ("b", row(50))]), Verdict::Nominee("a".to_owned()));
    let obstacle = Obstacle::Behind {
        candidate: "a".to_owned(),
        received: Pos { term: 3, number: 50 },
        ahead: "b".to_owned(),
        ahead_received: Pos { term: 3, number: 51 },
    };
    assert_eq!(nominee(&[("a", row(50)), ("b", row(51))]), Verdict::Blocked(obstacle));
}

#[test]
fn given_one_that_left_and_has_ended_before_the_primary_was_last_seen_then_who_reached_that_place_leads() {
    let nominee = |ended_us: u64, place: u64, heir: Option<&str>, word: Word| {
        let left = Left { ended_us: Some(ended_us), heir: heir.map(str::to_owned) };
        let seats = [seat("p", None), seat("a", None), seat("h", None), seat("b", Some(left))];
        let fenced = Some((S, Pos { term: 3, number: place }));
        nominate(&seats, Some("p"), &rows(&[("a", row(50)), ("h", word)]), 1, fenced, true)
    };
    let is_led = |verdict: Verdict| verdict == Verdict::Nominee("a".to_owned());
    assert!(is_led(nominee(2 * S, 50, None, row(40))));
    assert!(!is_led(nominee(2 * S, 51, None, row(40))), "the primary went on, and nobody has it");
    assert!(!is_led(nominee(S, 50, None, row(40))), "it may have ended after the primary was seen");
    // Its heir has its log, and has told what stands in it; one that tells nothing is waited for itself.
    assert!(is_led(nominee(S, 51, Some("h"), row(40))));
    assert!(!is_led(nominee(S, 51, Some("h"), Err(Silent::Refused))));
}
