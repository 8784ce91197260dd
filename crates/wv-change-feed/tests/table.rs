//! Stories of the table of databases: leaves that are heard of before the databases are.
use wv_change_feed::Table;
use wv_internal_protocol::Instance;

fn inst(sequence: u64, gone: bool) -> Instance {
    let (id, service, addr) = ("i-1".to_owned(), "s".to_owned(), "10.0.0.1:1".to_owned());
    Instance { id, service, address: addr, sequence, gone, ..Instance::default() }
}

#[test]
fn given_a_leave_of_one_that_was_never_known_when_an_older_word_on_it_comes_then_it_stays_out() {
    let mut table = Table::default();
    let leave = Instance { id: "i-1".to_owned(), gone: true, ..Instance::default() };
    assert!(table.offer(leave).is_empty(), "nobody need hear of it");
    assert!(table.offer(inst(7, false)).is_empty());
    assert!(table.get("i-1").is_some_and(|held| held.gone));
    assert_eq!(table.of("s").count(), 0);
    assert_eq!(table.digests(), Table::default().digests(), "those that left are no difference");
    // Remembered for one to two sweeps, like any that left.
    table.forget(&Default::default());
    table.forget(&Default::default());
    assert!(table.get("i-1").is_none());
}

#[test]
fn given_words_in_any_order_then_the_newest_and_the_leave_stand() {
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        let mut table = Table::default();
        let words = [inst(3, false), inst(5, false), inst(4, true)];
        order.iter().for_each(|at| {
            table.offer(words[*at].clone());
        });
        assert!(table.get("i-1").is_some_and(|held| held.gone), "{order:?}");
    }
}
