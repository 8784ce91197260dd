//! Choice of the candidate when databases have departed.
use std::collections::BTreeMap;
use wv_promotion::{choose_candidate, BlockedReason, Choice, Database, DepartedDatabase, StatusError, StatusReply};
use wv_wire_protocol::{DatabaseStatus, LogPosition};

fn database(id: &str, departed: Option<DepartedDatabase>) -> Database {
    Database { id: id.to_owned(), is_draining: false, refused_for_us: None, departed }
}

fn status(number: u64) -> StatusReply {
    let received = LogPosition { term: 3, number };
    Ok(DatabaseStatus { is_primary: false, term: 3, received, ..DatabaseStatus::default() })
}

fn statuses(all: &[(&str, StatusReply)]) -> BTreeMap<String, StatusReply> {
    all.iter().map(|(id, reply)| ((*id).to_owned(), *reply)).collect()
}

const S: u64 = 1_000_000;

#[test]
fn given_a_departed_database_that_may_still_receive_then_no_candidate_is_chosen() {
    let databases = [
        database("p", None),
        database("a", None),
        database("b", Some(DepartedDatabase { stopped_for_us: None, successor: None })),
    ];
    let fenced_position = Some((S / 10, LogPosition { term: 3, number: 50 }));
    let choose = |statuses: &[(&str, StatusReply)]| {
        choose_candidate(&databases, Some("p"), &self::statuses(statuses), 1, fenced_position, true)
    };
    // The candidate reached the fenced position, but the departed database may have received later commits.
    for error in [StatusError::Refused, StatusError::Unreachable] {
        let (candidate, replica) = ("a".to_owned(), "b".to_owned());
        let reason = BlockedReason::ReplicaUnavailable { candidate, replica, error: Some(error) };
        assert_eq!(choose(&[("a", status(50)), ("b", Err(error))]), Choice::Blocked(reason));
    }
    // If it returns its status, its received position decides.
    assert_eq!(choose(&[("a", status(50)), ("b", status(50))]), Choice::Candidate("a".to_owned()));
    let reason = BlockedReason::CandidateBehind {
        candidate: "a".to_owned(),
        received: LogPosition { term: 3, number: 50 },
        ahead: "b".to_owned(),
        ahead_received: LogPosition { term: 3, number: 51 },
    };
    assert_eq!(choose(&[("a", status(50)), ("b", status(51))]), Choice::Blocked(reason));
}

#[test]
fn given_a_departed_database_that_stopped_before_a_fenced_position_then_a_replica_that_reached_it_is_chosen() {
    let choose = |stopped_for_us: u64, position: u64, successor: Option<&str>, reply: StatusReply| {
        let departed =
            DepartedDatabase { stopped_for_us: Some(stopped_for_us), successor: successor.map(str::to_owned) };
        let databases = [database("p", None), database("a", None), database("h", None), database("b", Some(departed))];
        let fenced_position = Some((S, LogPosition { term: 3, number: position }));
        choose_candidate(&databases, Some("p"), &statuses(&[("a", status(50)), ("h", reply)]), 1, fenced_position, true)
    };
    let is_chosen = |choice: Choice| choice == Choice::Candidate("a".to_owned());
    assert!(is_chosen(choose(2 * S, 50, None, status(40))));
    assert!(!is_chosen(choose(2 * S, 51, None, status(40))), "no replica has reached the fenced position");
    assert!(
        !is_chosen(choose(S, 50, None, status(40))),
        "the departed database may have stopped after the fenced position was observed"
    );
    // The successor has its log, so the status of the successor is sufficient. Without it the choice is blocked.
    assert!(is_chosen(choose(S, 51, Some("h"), status(40))));
    assert!(!is_chosen(choose(S, 51, Some("h"), Err(StatusError::Refused))));
}
