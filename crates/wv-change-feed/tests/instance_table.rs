//! Merging of instances and departures that arrive in any order.
use wv_change_feed::InstanceTable;
use wv_internal_protocol::Instance;

fn instance(sequence: u64, gone: bool) -> Instance {
    let (id, service, addr) = ("i-1".to_owned(), "s".to_owned(), "10.0.0.1:1".to_owned());
    Instance { id, service, address: addr, sequence, gone, ..Instance::default() }
}

#[test]
fn given_a_departure_of_an_unknown_instance_when_an_older_message_arrives_then_it_stays_departed() {
    let mut table = InstanceTable::default();
    let departure = Instance { id: "i-1".to_owned(), gone: true, ..Instance::default() };
    assert!(table.merge(departure).is_empty(), "the departure of an unknown instance is not an update");
    assert!(table.merge(instance(7, false)).is_empty());
    assert!(table.get("i-1").is_some_and(|known| known.gone));
    assert_eq!(table.service_instances("s").count(), 0);
    assert_eq!(table.digests(), InstanceTable::default().digests(), "departed instances do not affect digests");
    // Kept until the second call, like any departed instance.
    table.prune_departed(&Default::default());
    table.prune_departed(&Default::default());
    assert!(table.get("i-1").is_none());
}

#[test]
fn given_messages_in_any_order_then_the_instance_ends_as_departed() {
    for order in [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]] {
        let mut table = InstanceTable::default();
        let messages = [instance(3, false), instance(5, false), instance(4, true)];
        order.iter().for_each(|at| {
            table.merge(messages[*at].clone());
        });
        assert!(table.get("i-1").is_some_and(|known| known.gone), "{order:?}");
    }
}
