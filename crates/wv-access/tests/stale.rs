//! Stories of an access node whose control node knows less than it does: nothing that is newer here is undone.
use googletest::prelude::*;
use wv_access::Core;
use wv_internal_protocol::{FeedUpdate, Instance, Leader, Message, Owner, SlotMap};

const MS: u64 = 1000;
const S: u64 = 1_000_000;

fn text(version: u64, host: &str) -> Vec<u8> {
    let conf = serde_json::json!({"issue": version, "services": [{"label": "s", "syncReplicas": 1}], "routing": [
        {"label": "p", "host": host, "category": "primary", "expiryMs": 1000, "targetMs": 200, "destination": "s"}]});
    conf.to_string().into_bytes()
}

fn conf(version: u64, host: &str) -> FeedUpdate {
    FeedUpdate::Configuration { version, body: wv_compression::compress(&text(version, host)) }
}

fn change((base, old): (u64, &str), (version, new): (u64, &str)) -> FeedUpdate {
    FeedUpdate::ConfigurationDelta {
        base,
        version,
        delta: wv_compression::encode_delta(&text(base, old), &text(version, new)),
    }
}

fn inst(id: &str, sequence: u64, draining: bool, gone: bool) -> FeedUpdate {
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

fn lead(id: &str, term: u64) -> FeedUpdate {
    FeedUpdate::Leader(Leader { service: "s".to_owned(), id: id.to_owned(), term })
}

struct Node {
    core: Core,
    now: u64,
    /// Snapshots that it asked for.
    asked: usize,
}

impl Node {
    fn new(news: Vec<FeedUpdate>) -> Node {
        let mut node = Node { core: Core::new("z0", 6 * S), now: S, asked: 0 };
        node.feed(Message::Snapshot { incarnation: 1, position: 7, updates: news });
        node
    }

    fn feed(&mut self, msg: Message) {
        self.asked += usize::from(self.core.apply_feed_message(msg, self.now).is_err());
    }

    /// A change of the feed of life 2, as a session with another control node brings it.
    fn change(&mut self, place: u64, news: FeedUpdate) {
        self.feed(Message::Update { position: place, update: news });
    }

    fn run(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.now += 100 * MS;
            self.core.run_maintenance(self.now);
        }
    }

    fn route(&self, id: &str) -> String {
        let routes = self.core.routing_states();
        routes.into_iter().find(|(its, _)| its == id).map_or("none".to_owned(), |(_, state)| state)
    }
}

#[gtest]
fn given_a_control_node_with_an_older_configuration_then_this_node_stays_with_its_own_and_goes_on_with_the_feed() {
    let mut node = Node::new(vec![conf(10, "ten")]);
    node.feed(Message::Snapshot {
        incarnation: 2,
        position: 3,
        updates: vec![conf(8, "eight"), inst("d1", 1, false, false)],
    });
    expect_that!(node.core.held_configuration_version(), eq(10));
    // Each of its changes up to the own one says nothing, and none of them asks for a snapshot.
    node.change(4, change((8, "eight"), (9, "nine")));
    node.change(5, change((9, "nine"), (10, "ten")));
    node.change(6, inst("d1", 2, true, false));
    expect_that!((node.asked, node.core.held_configuration_version()), eq((0, 10)));
    expect_that!(node.route("d1"), eq("softdraining"));
    node.change(7, change((10, "ten"), (11, "eleven")));
    expect_that!((node.asked, node.core.held_configuration_version()), eq((0, 11)));
}

#[gtest]
fn given_changes_made_of_another_configuration_then_one_snapshot_is_asked_for_and_the_feed_goes_on_from_it() {
    let mut node = Node::new(vec![conf(10, "ten")]);
    node.feed(Message::Snapshot { incarnation: 2, position: 3, updates: vec![conf(8, "eight")] });
    // Never heard of 9 and 11: it has to be told the whole, once, however many changes are under way.
    node.change(4, change((9, "nine"), (12, "twelve")));
    node.change(5, change((12, "twelve"), (13, "thirteen")));
    node.change(6, inst("d1", 1, false, false));
    expect_that!((node.asked, node.core.held_configuration_version()), eq((1, 10)));
    node.feed(Message::Snapshot {
        incarnation: 2,
        position: 6,
        updates: vec![conf(13, "thirteen"), inst("d1", 1, false, false)],
    });
    node.change(7, change((13, "thirteen"), (14, "fourteen")));
    expect_that!((node.asked, node.core.held_configuration_version()), eq((1, 14)));
    // One that does not come is asked for again.
    node.change(9, inst("d1", 2, false, false));
    node.run(1100 * MS);
    node.change(10, inst("d1", 3, false, false));
    expect_that!(node.asked, eq(3));
}

#[gtest]
fn given_older_copies_of_databases_then_what_they_said_last_stands() {
    let mut node = Node::new(vec![conf(1, "p"), inst("d1", 5, true, false), inst("d2", 5, false, false)]);
    node.run(10 * S);
    node.feed(Message::Snapshot {
        incarnation: 2,
        position: 1,
        updates: vec![inst("d1", 4, false, false), inst("d2", 4, true, false)],
    });
    expect_that!((node.route("d1"), node.route("d2")), eq(&("softdraining".to_owned(), "online".to_owned())));
    // One that left does not come back with an old word on it, nor with a change.
    node.change(2, inst("d2", 0, false, true));
    node.change(3, inst("d2", 5, false, false));
    node.feed(Message::Snapshot {
        incarnation: 3,
        position: 9,
        updates: vec![inst("d1", 5, true, false), inst("d2", 3, false, false)],
    });
    expect_that!(node.route("d2"), eq("gone"));
}

#[gtest]
fn given_a_snapshot_that_lacks_a_database_then_it_is_gone_unless_it_was_told_of_just_now() {
    let mut node = Node::new(vec![conf(1, "p"), inst("d1", 5, false, false)]);
    node.run(10 * S);
    node.change(8, inst("d2", 1, false, false));
    node.feed(Message::Snapshot { incarnation: 2, position: 1, updates: vec![] });
    expect_that!((node.route("d1"), node.route("d2")), eq(&("gone".to_owned(), "online".to_owned())));
    // The list that lacked it was wrong: the same word brings it back.
    node.change(2, inst("d1", 5, false, false));
    expect_that!(node.route("d1"), eq("online"));
    node.run(4 * S);
    node.feed(Message::Snapshot { incarnation: 3, position: 1, updates: vec![inst("d1", 5, false, false)] });
    expect_that!(node.route("d2"), eq("gone"));
}

#[gtest]
fn given_an_older_term_then_its_lead_is_not_followed_while_the_newer_one_leads_here() {
    let dbs = vec![inst("d1", 1, false, false), inst("d2", 1, false, false)];
    let first = dbs.iter().cloned().chain([conf(1, "p"), lead("d2", 5)]).collect();
    let mut node = Node::new(first);
    expect_that!(node.route("d2"), eq("writer"));
    node.feed(Message::Snapshot {
        incarnation: 2,
        position: 1,
        updates: dbs.into_iter().chain([lead("d1", 4)]).collect(),
    });
    node.run(S);
    expect_that!((node.route("d1"), node.route("d2")), eq(&("online".to_owned(), "writer".to_owned())));
    node.change(2, lead("d1", 4));
    expect_that!(node.route("d2"), eq("writer"));
    // Once the newer one is gone, the other word is all there is; a newer term wins in any case.
    node.change(3, inst("d2", 2, false, true));
    node.run(200 * MS);
    expect_that!(node.route("d1"), eq("writer"));
    node.change(4, inst("d3", 1, false, false));
    node.change(5, lead("d3", 6));
    expect_that!(node.route("d3"), eq("writer"));
}

#[gtest]
fn given_older_owners_and_slot_maps_then_the_higher_numbers_stand() {
    let owner = |node: &str, number| {
        let (service, node, place) = ("s".to_owned(), node.to_owned(), "10.0.0.9:9".to_owned());
        FeedUpdate::Owner(Owner { service, node, handover_address: place, epoch: number })
    };
    let map = |number| FeedUpdate::Slots(SlotMap { shard: "s".to_owned(), version: number, ..SlotMap::default() });
    let mut node = Node::new(vec![conf(1, "p"), owner("a2", 4), map(9)]);
    node.feed(Message::Snapshot { incarnation: 2, position: 1, updates: vec![owner("a1", 3), map(8)] });
    node.change(2, owner("a1", 3));
    expect_that!(node.core.shard_owners(), elements_are![eq(&("s".to_owned(), "a2".to_owned(), 4))]);
}

#[gtest]
fn given_a_primary_that_leaves_past_its_bound_when_one_of_an_older_term_was_told_of_then_that_one_does_not_lead() {
    let mut node =
        Node::new(vec![conf(1, "a"), inst("d1", 1, false, false), inst("d2", 1, false, false), lead("d1", 5)]);
    node.change(8, lead("d2", 4));
    node.change(9, inst("d1", 2, true, false));
    node.run(S);
    expect_that!(node.route("d1"), eq("writer"));
    node.run(7 * S);
    expect_that!((node.route("d1").as_str(), node.route("d2").as_str()), eq(("softdraining", "online")));
    // Its successor is told of.
    node.change(10, lead("d2", 6));
    expect_that!(node.route("d2"), eq("writer"));
}
