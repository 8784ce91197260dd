//! An access node must not revert to older state when its control node lags behind.
use googletest::prelude::*;
use wv_access::Core;
use wv_internal_protocol::{FeedUpdate, Instance, Leader, Message, Owner, SlotMap};

const MS: u64 = 1000;
const S: u64 = 1_000_000;

fn text(version: u64, host: &str) -> Vec<u8> {
    let services = serde_json::json!([{"label": "s", "syncReplicas": 1}]);
    let configuration = serde_json::json!({"issue": version, "services": services, "routing": [
        {"label": "p", "host": host, "category": "primary", "expiryMs": 1000, "targetMs": 200, "destination": "s"}]});
    configuration.to_string().into_bytes()
}

fn configuration(version: u64, host: &str) -> FeedUpdate {
    FeedUpdate::Configuration { version, body: wv_compression::compress(&text(version, host)) }
}

fn delta((base, old): (u64, &str), (version, new): (u64, &str)) -> FeedUpdate {
    FeedUpdate::ConfigurationDelta {
        base,
        version,
        delta: wv_compression::encode_delta(&text(base, old), &text(version, new)),
    }
}

fn instance(id: &str, sequence: u64, draining: bool, gone: bool) -> FeedUpdate {
    let addr = format!("10.0.0.{}:1", &id[1..]);
    let (id, service) = (id.to_owned(), "s".to_owned());
    FeedUpdate::Instance(Instance {
        id,
        service,
        address: addr,
        capacity: 10,
        sequence,
        draining,
        gone,
        ..Instance::default()
    })
}

fn leader(id: &str, term: u64) -> FeedUpdate {
    FeedUpdate::Leader(Leader { service: "s".to_owned(), id: id.to_owned(), term })
}

struct Node {
    core: Core,
    now: u64,
    /// Number of snapshots requested.
    snapshot_requests: usize,
}

impl Node {
    fn new(updates: Vec<FeedUpdate>) -> Node {
        let mut node = Node { core: Core::new("z0", 6 * S), now: S, snapshot_requests: 0 };
        node.feed(Message::Snapshot { incarnation: 1, position: 7, updates });
        node
    }

    fn feed(&mut self, message: Message) {
        self.snapshot_requests += usize::from(self.core.apply_feed_message(message, self.now).is_err());
    }

    /// An update of the feed with incarnation 2, from another control node.
    fn change(&mut self, position: u64, update: FeedUpdate) {
        self.feed(Message::Update { position, update });
    }

    fn advance(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.now += 100 * MS;
            self.core.run_maintenance(self.now);
        }
    }

    fn route_state(&self, id: &str) -> String {
        let routes = self.core.routing_states();
        routes.into_iter().find(|(its, _)| its == id).map_or("none".to_owned(), |(_, state)| state)
    }
}

#[gtest]
fn given_an_older_configuration_then_the_newer_one_is_kept_and_the_feed_continues() {
    let mut node = Node::new(vec![configuration(10, "ten")]);
    node.feed(Message::Snapshot {
        incarnation: 2,
        position: 3,
        updates: vec![configuration(8, "eight"), instance("d1", 1, false, false)],
    });
    expect_that!(node.core.held_configuration_version(), eq(10));
    // Deltas up to the current version are ignored without requesting a snapshot.
    node.change(4, delta((8, "eight"), (9, "nine")));
    node.change(5, delta((9, "nine"), (10, "ten")));
    node.change(6, instance("d1", 2, true, false));
    expect_that!((node.snapshot_requests, node.core.held_configuration_version()), eq((0, 10)));
    expect_that!(node.route_state("d1"), eq("softdraining"));
    node.change(7, delta((10, "ten"), (11, "eleven")));
    expect_that!((node.snapshot_requests, node.core.held_configuration_version()), eq((0, 11)));
}

#[gtest]
fn given_deltas_of_an_unknown_base_then_one_snapshot_is_requested_and_the_feed_continues_from_it() {
    let mut node = Node::new(vec![configuration(10, "ten")]);
    node.feed(Message::Snapshot { incarnation: 2, position: 3, updates: vec![configuration(8, "eight")] });
    // Versions 9 and 11 are unknown here: one snapshot is requested, however many deltas follow.
    node.change(4, delta((9, "nine"), (12, "twelve")));
    node.change(5, delta((12, "twelve"), (13, "thirteen")));
    node.change(6, instance("d1", 1, false, false));
    expect_that!((node.snapshot_requests, node.core.held_configuration_version()), eq((1, 10)));
    node.feed(Message::Snapshot {
        incarnation: 2,
        position: 6,
        updates: vec![configuration(13, "thirteen"), instance("d1", 1, false, false)],
    });
    node.change(7, delta((13, "thirteen"), (14, "fourteen")));
    expect_that!((node.snapshot_requests, node.core.held_configuration_version()), eq((1, 14)));
    // A lost snapshot is requested again.
    node.change(9, instance("d1", 2, false, false));
    node.advance(1100 * MS);
    node.change(10, instance("d1", 3, false, false));
    expect_that!(node.snapshot_requests, eq(3));
}

#[gtest]
fn given_older_instance_records_then_the_latest_ones_are_kept() {
    let mut node =
        Node::new(vec![configuration(1, "p"), instance("d1", 5, true, false), instance("d2", 5, false, false)]);
    node.advance(10 * S);
    node.feed(Message::Snapshot {
        incarnation: 2,
        position: 1,
        updates: vec![instance("d1", 4, false, false), instance("d2", 4, true, false)],
    });
    expect_that!(
        (node.route_state("d1"), node.route_state("d2")),
        eq(&("softdraining".to_owned(), "online".to_owned()))
    );
    // An older sequence does not bring a removed instance back, neither by update nor by snapshot.
    node.change(2, instance("d2", 0, false, true));
    node.change(3, instance("d2", 5, false, false));
    node.feed(Message::Snapshot {
        incarnation: 3,
        position: 9,
        updates: vec![instance("d1", 5, true, false), instance("d2", 3, false, false)],
    });
    expect_that!(node.route_state("d2"), eq("gone"));
}

#[gtest]
fn given_a_snapshot_without_an_instance_then_it_is_removed_unless_it_was_announced_recently() {
    let mut node = Node::new(vec![configuration(1, "p"), instance("d1", 5, false, false)]);
    node.advance(10 * S);
    node.change(8, instance("d2", 1, false, false));
    node.feed(Message::Snapshot { incarnation: 2, position: 1, updates: vec![] });
    expect_that!((node.route_state("d1"), node.route_state("d2")), eq(&("gone".to_owned(), "online".to_owned())));
    // The instance was missing from the snapshot by mistake; the same sequence restores it.
    node.change(2, instance("d1", 5, false, false));
    expect_that!(node.route_state("d1"), eq("online"));
    node.advance(4 * S);
    node.feed(Message::Snapshot { incarnation: 3, position: 1, updates: vec![instance("d1", 5, false, false)] });
    expect_that!(node.route_state("d2"), eq("gone"));
}

#[gtest]
fn given_a_leader_of_an_older_term_then_it_is_ignored_while_a_newer_one_leads() {
    let dbs = vec![instance("d1", 1, false, false), instance("d2", 1, false, false)];
    let first = dbs.iter().cloned().chain([configuration(1, "p"), leader("d2", 5)]).collect();
    let mut node = Node::new(first);
    expect_that!(node.route_state("d2"), eq("writer"));
    node.feed(Message::Snapshot {
        incarnation: 2,
        position: 1,
        updates: dbs.into_iter().chain([leader("d1", 4)]).collect(),
    });
    node.advance(S);
    expect_that!((node.route_state("d1"), node.route_state("d2")), eq(&("online".to_owned(), "writer".to_owned())));
    node.change(2, leader("d1", 4));
    expect_that!(node.route_state("d2"), eq("writer"));
    // Without the newer leader, the older one is used; a newer term always wins.
    node.change(3, instance("d2", 2, false, true));
    node.advance(200 * MS);
    expect_that!(node.route_state("d1"), eq("writer"));
    node.change(4, instance("d3", 1, false, false));
    node.change(5, leader("d3", 6));
    expect_that!(node.route_state("d3"), eq("writer"));
}

#[gtest]
fn given_older_owners_and_slot_maps_then_the_higher_versions_are_kept() {
    let owner = |node: &str, number| {
        let (service, node, forwarding_address) = ("s".to_owned(), node.to_owned(), "10.0.0.9:9".to_owned());
        FeedUpdate::Owner(Owner { service, node, forwarding_address, epoch: number })
    };
    let map = |number| FeedUpdate::Slots(SlotMap { shard: "s".to_owned(), version: number, ..SlotMap::default() });
    let mut node = Node::new(vec![configuration(1, "p"), owner("a2", 4), map(9)]);
    node.feed(Message::Snapshot { incarnation: 2, position: 1, updates: vec![owner("a1", 3), map(8)] });
    node.change(2, owner("a1", 3));
    expect_that!(node.core.shard_owners(), elements_are![eq(&("s".to_owned(), "a2".to_owned(), 4))]);
}

#[gtest]
fn given_a_draining_primary_past_its_bound_then_a_leader_of_an_older_term_does_not_replace_it() {
    let mut node = Node::new(vec![
        configuration(1, "a"),
        instance("d1", 1, false, false),
        instance("d2", 1, false, false),
        leader("d1", 5),
    ]);
    node.change(8, leader("d2", 4));
    node.change(9, instance("d1", 2, true, false));
    node.advance(S);
    expect_that!(node.route_state("d1"), eq("writer"));
    node.advance(7 * S);
    expect_that!((node.route_state("d1").as_str(), node.route_state("d2").as_str()), eq(("softdraining", "online")));
    // The successor is announced.
    node.change(10, leader("d2", 6));
    expect_that!(node.route_state("d2"), eq("writer"));
}
