//! Stories of connections of planned shards: what a database said of its term before it led is worth nothing after.
use googletest::prelude::*;
use wv_access::{Act, Core};
use wv_internal_protocol::{FeedUpdate, Instance, Leader, Message, SlotMap};

const CONF: &str = r#"{"issue":1,"routing":[{"label":"p","host":"shop","category":"primary","expiryMs":1000,
  "targetMs":200,"destination":"s"}],"services":[{"label":"s","syncReplicas":1},{"label":"t","syncReplicas":1}],
  "shardPlans":[{"shard":"s","upper":"t","rowsMax":1000,"quiet":"* * 1-4 * * *"}]}"#;

fn inst(id: &str, is_primary: bool) -> FeedUpdate {
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

fn lead(id: &str, term: u64) -> FeedUpdate {
    FeedUpdate::Leader(Leader { service: "s".to_owned(), id: id.to_owned(), term })
}

fn map(number: u64, term: u64) -> FeedUpdate {
    FeedUpdate::Slots(SlotMap { shard: "s".to_owned(), version: number, term, ..SlotMap::default() })
}

/// One access node before databases `d1` and `d2`, whose rows this story says.
struct Node {
    core: Core,
    now: u64,
    place: u64,
    /// Each open connection: its number, its database, and whether that calls itself primary in which term.
    dbs: Vec<(u64, String)>,
    /// What was written to each database but for its set-up and its looks.
    sent: Vec<(String, String)>,
}

impl Node {
    fn new(first: Vec<FeedUpdate>) -> Node {
        let mut node =
            Node { core: Core::new("z0", 6_000_000), now: 1_000_000, place: 7, dbs: Vec::new(), sent: Vec::new() };
        node.core
            .apply_feed_message(Message::Snapshot { incarnation: 1, position: 7, updates: first }, node.now)
            .expect("a snapshot fits");
        node
    }

    fn hear(&mut self, news: FeedUpdate) {
        self.place += 1;
        self.core
            .apply_feed_message(Message::Update { position: self.place, update: news }, self.now)
            .expect("the next change fits");
    }

    /// Lets time pass; `row` is what a database says of itself.
    fn run(&mut self, us: u64, row: impl Fn(&str) -> &'static str) {
        let end = self.now + us;
        while self.now < end {
            self.now += 10_000;
            self.core.run_maintenance(self.now);
            self.core.tick(self.now);
            for _ in 0..8 {
                let acts = self.core.take_acts();
                acts.into_iter().for_each(|act| self.obey(act, &row));
            }
        }
    }

    fn obey(&mut self, act: Act, row: &impl Fn(&str) -> &'static str) {
        match act {
            Act::OpenDb { db, addr } => {
                let id = format!("d{}", addr.trim_start_matches("10.0.0.").trim_end_matches(":1"));
                self.dbs.push((db, id));
                self.core.db_opened(db, self.now);
            }
            Act::CloseDb(db) => self.dbs.retain(|held| held.0 != db),
            Act::WriteDb(db) => {
                let out = self.core.db_out(db).map(std::mem::take).unwrap_or_default();
                let Some((_, id)) = self.dbs.iter().find(|held| held.0 == db).cloned() else { return };
                for line in String::from_utf8_lossy(&out).lines() {
                    let said = match line {
                        line if line.starts_with("SETUP") => "IDLE I -\r\n".to_owned(),
                        line if line.ends_with("ENQUIRY") => {
                            format!("ROW {}\r\nCOMPLETE -\r\nIDLE I 3.9\r\n", row(&id))
                        }
                        line => {
                            self.sent.push((id.clone(), line.to_owned()));
                            "COMPLETE stamp\r\nIDLE T 3.9\r\n".to_owned()
                        }
                    };
                    self.core.db_data(db, said.as_bytes(), self.now);
                }
            }
            _ => {}
        }
    }
}

#[gtest]
fn given_a_connection_made_while_its_database_was_a_replica_then_it_is_not_used_once_that_one_leads_another_term() {
    let first = vec![
        map(1 << 16, 3),
        FeedUpdate::Configuration { version: 1, body: CONF.as_bytes().to_vec() },
        inst("d1", true),
        inst("d2", false),
        lead("d1", 3),
        FeedUpdate::NodeCount(1),
    ];
    let mut node = Node::new(first);
    let before = |id: &str| if id == "d1" { "primary 3 3.9 0 0 0 1" } else { "replica 3 3.9 0 0 0 1" };
    node.run(300_000, before);
    // The platform was called: nodes come near the next lead, which says that it is a replica in term 3.
    node.hear(FeedUpdate::Promoting { service: "s".to_owned(), id: "d2".to_owned(), max_wait_us: 1_500_000 });
    let client = node.core.client_open(node.now);
    node.core.client_data(client, b"SETUP shop me\r\n", node.now);
    node.run(300_000, before);
    expect_that!(node.dbs.iter().any(|held| held.1 == "d2"), eq(true), "a connection to the next lead stands");
    // It leads term 4 now; the map that binds to that term has yet to come.
    let after = |id: &str| if id == "d2" { "primary 4 3.9 0 0 0 1" } else { "replica 4 3.9 0 0 0 1" };
    node.hear(lead("d2", 4));
    node.sent.clear();
    node.core.client_data(client, b"QUERY q1 BEGIN\r\n", node.now);
    node.run(20_000, after);
    node.core.client_data(client, b"QUERY q2 READ k\r\n", node.now);
    node.run(100_000, after);
    expect_that!(node.sent, is_empty(), "nothing may go to a term that the map does not name");
    // With the map the next one goes on.
    node.hear(map(2 << 16, 4));
    let client = node.core.client_open(node.now);
    node.core.client_data(client, b"SETUP shop me\r\nQUERY q3 READ k\r\n", node.now);
    node.run(100_000, after);
    expect_that!(node.sent, contains(eq(&("d2".to_owned(), "QUERY - BEGIN".to_owned()))));
}
