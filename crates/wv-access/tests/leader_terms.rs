//! Connections for shards with a planned split: a term reported before a promotion must not be relied on after it.
use googletest::prelude::*;
use wv_access::{Core, Effect};
use wv_internal_protocol::{FeedUpdate, Instance, Leader, Message, SlotMap};

const CONFIGURATION: &str = r#"{"issue":1,"routing":[{"label":"p","host":"shop","category":"primary","expiryMs":1000,
  "targetMs":200,"destination":"s"}],"services":[{"label":"s","syncReplicas":1},{"label":"t","syncReplicas":1}],
  "shardPlans":[{"shard":"s","upper":"t","rowsMax":1000,"quiet":"* * 1-4 * * *"}]}"#;

fn instance(id: &str, is_primary: bool) -> FeedUpdate {
    FeedUpdate::Instance(Instance {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: format!("10.0.0.{}:1", &id[1..]),
        zone: "z0".to_owned(),
        capacity: 10,
        primary: is_primary,
        sequence: 1,
        ..Instance::default()
    })
}

fn leader(id: &str, term: u64) -> FeedUpdate {
    FeedUpdate::Leader(Leader { service: "s".to_owned(), id: id.to_owned(), term })
}

fn slot_map(number: u64, term: u64) -> FeedUpdate {
    FeedUpdate::Slots(SlotMap { shard: "s".to_owned(), version: number, term, ..SlotMap::default() })
}

/// An access node with databases `d1` and `d2`, whose `ENQUIRY` rows are set by the test.
struct Node {
    core: Core,
    now: u64,
    position: u64,
    /// Open connections and their databases.
    dbs: Vec<(u64, String)>,
    /// Statements sent to each database, except for `SETUP` and `ENQUIRY`.
    sent: Vec<(String, String)>,
}

impl Node {
    fn new(first: Vec<FeedUpdate>) -> Node {
        let mut node =
            Node { core: Core::new("z0", 6_000_000), now: 1_000_000, position: 7, dbs: Vec::new(), sent: Vec::new() };
        node.core
            .apply_feed_message(Message::Snapshot { incarnation: 1, position: 7, updates: first }, node.now)
            .expect("snapshot is accepted");
        node
    }

    fn feed(&mut self, update: FeedUpdate) {
        self.position += 1;
        self.core
            .apply_feed_message(Message::Update { position: self.position, update }, self.now)
            .expect("update is accepted");
    }

    /// Advances the time; `row` is the `ENQUIRY` row of a database.
    fn advance(&mut self, us: u64, row: impl Fn(&str) -> &'static str) {
        let end = self.now + us;
        while self.now < end {
            self.now += 10_000;
            self.core.run_maintenance(self.now);
            self.core.tick(self.now);
            for _ in 0..8 {
                let effects = self.core.take_effects();
                effects.into_iter().for_each(|effect| self.apply_effect(effect, &row));
            }
        }
    }

    fn apply_effect(&mut self, effect: Effect, row: &impl Fn(&str) -> &'static str) {
        match effect {
            Effect::OpenDb { db, addr } => {
                let id = format!("d{}", addr.trim_start_matches("10.0.0.").trim_end_matches(":1"));
                self.dbs.push((db, id));
                self.core.db_opened(db, self.now);
            }
            Effect::CloseDb(db) => self.dbs.retain(|connection| connection.0 != db),
            Effect::WriteDb(db) => {
                let out = self.core.db_output(db).map(std::mem::take).unwrap_or_default();
                let Some((_, id)) = self.dbs.iter().find(|connection| connection.0 == db).cloned() else { return };
                for line in String::from_utf8_lossy(&out).lines() {
                    let reply = match line {
                        line if line.starts_with("SETUP") => "IDLE I -\r\n".to_owned(),
                        line if line.ends_with("ENQUIRY") => {
                            format!("ROW {}\r\nCOMPLETE -\r\nIDLE I 3.9\r\n", row(&id))
                        }
                        line => {
                            self.sent.push((id.clone(), line.to_owned()));
                            "COMPLETE stamp\r\nIDLE T 3.9\r\n".to_owned()
                        }
                    };
                    self.core.db_data(db, reply.as_bytes(), self.now);
                }
            }
            _ => {}
        }
    }
}

#[gtest]
fn given_a_connection_opened_to_a_replica_then_it_is_not_used_once_the_replica_leads_another_term() {
    let first = vec![
        slot_map(1 << 16, 3),
        FeedUpdate::Configuration { version: 1, body: CONFIGURATION.as_bytes().to_vec() },
        instance("d1", true),
        instance("d2", false),
        leader("d1", 3),
        FeedUpdate::NodeCount(1),
    ];
    let mut node = Node::new(first);
    let before = |id: &str| if id == "d1" { "primary 3 3.9 0 0 0 1" } else { "replica 3 3.9 0 0 0 1" };
    node.advance(300_000, before);
    // The promotion has been requested, so the node connects to the candidate, still a replica in term 3.
    node.feed(FeedUpdate::Promoting { service: "s".to_owned(), id: "d2".to_owned(), max_wait_us: 1_500_000 });
    let client = node.core.client_opened(node.now);
    node.core.client_data(client, b"SETUP shop me\r\n", node.now);
    node.advance(300_000, before);
    expect_that!(
        node.dbs.iter().any(|connection| connection.1 == "d2"),
        eq(true),
        "a connection to the candidate is open"
    );
    // The candidate now leads term 4; the slot map for that term has not arrived.
    let after = |id: &str| if id == "d2" { "primary 4 3.9 0 0 0 1" } else { "replica 4 3.9 0 0 0 1" };
    node.feed(leader("d2", 4));
    node.sent.clear();
    node.core.client_data(client, b"QUERY q1 BEGIN\r\n", node.now);
    node.advance(20_000, after);
    node.core.client_data(client, b"QUERY q2 READ k\r\n", node.now);
    node.advance(100_000, after);
    expect_that!(node.sent, is_empty(), "no statement is sent in a term without a slot map");
    // With the slot map, requests proceed.
    node.feed(slot_map(2 << 16, 4));
    let client = node.core.client_opened(node.now);
    node.core.client_data(client, b"SETUP shop me\r\nQUERY q3 READ k\r\n", node.now);
    node.advance(100_000, after);
    expect_that!(node.sent, contains(eq(&("d2".to_owned(), "QUERY - BEGIN".to_owned()))));
}
