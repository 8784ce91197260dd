//! One access node on its bare types: the story is its databases, its clients, other nodes and its clock.
#![allow(dead_code)]
use std::collections::BTreeMap;
use wv_access::{Act, Core, Lost};
use wv_internal_protocol::{FeedUpdate, ForwardMessage, ForwardedSessionId, Instance, Leader, Message, Owner, SlotMap};

pub const MS: u64 = 1_000;
const CONF: &str = r#"{"issue":1,"routing":[
  {"label":"p","host":"shop","category":"primary","expiryMs":1000,"targetMs":200,"destination":"s","maxAttempts":3},
  {"label":"b","host":"look","category":"bounded_staleness","maxStalenessMs":1500,"expiryMs":3000,"targetMs":800,
   "destination":"s","maxAttempts":3}],
  "services":[{"label":"s","syncReplicas":1},{"label":"t","syncReplicas":1}],
  "limits":{"headerBytes":16384,"bodyBytes":262144,"headerTimerMs":3000,"idleTimerMs":15000,"txnIdleMs":3000}PARTNERS}"#;
/// The life of the node under test.
pub const LIFE: u64 = 77;

pub struct Bare {
    pub core: Core,
    pub now: u64,
    /// Connections that stand, and what was written on each that nobody has answered yet.
    pub dbs: BTreeMap<u64, Vec<String>>,
    /// Every statement that ever reached a database, with its connection.
    pub ran: Vec<(u64, String)>,
    /// What each client was told.
    pub told: BTreeMap<u64, String>,
    pub closed: Vec<u64>,
    pub hands: Vec<(u64, ForwardMessage)>,
    pub links: Vec<u64>,
}

/// The only database of the service `s`, its primary.
pub fn database() -> Instance {
    Instance {
        id: "d1".to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.1:1".to_owned(),
        zone: "z0".to_owned(),
        capacity: 10,
        primary: true,
        sequence: 1,
        ..Instance::default()
    }
}

impl Bare {
    pub fn new() -> Bare {
        Bare::with("", Vec::new())
    }

    /// Its primary work belongs to another node.
    pub fn partner() -> Bare {
        let (node, place) = ("other".to_owned(), "10.0.0.9:1".to_owned());
        let owner = FeedUpdate::Owner(Owner { service: "s".to_owned(), node, handover_address: place, epoch: 1 });
        Bare::with(r#","partners":[{"label":"all","portion":1,"nodes":["me","other"]}]"#, vec![owner])
    }

    /// Its shard is planned to be split.
    pub fn planned(map: SlotMap) -> Bare {
        let plan = r#","shardPlans":[{"shard":"s","upper":"t","rowsMax":1000,"quiet":"* * 1-4 * * *"}]"#;
        Bare::with(plan, vec![FeedUpdate::Slots(map)])
    }

    fn with(partners: &str, more: Vec<FeedUpdate>) -> Bare {
        let inst = database();
        let lead = Leader { service: "s".to_owned(), id: "d1".to_owned(), term: 3 };
        let conf = CONF.replace("PARTNERS", partners).into_bytes();
        let first = [
            FeedUpdate::Configuration { version: 1, body: conf },
            FeedUpdate::Instance(inst),
            FeedUpdate::Leader(lead),
            FeedUpdate::NodeCount(1),
        ];
        let mut core = Core::new("z0", 6_000_000);
        core.set_node_name("me");
        core.set_incarnation(LIFE);
        // Old enough to be no young node.
        let now = 10_000 * MS;
        let news = first.into_iter().chain(more).collect();
        core.apply_feed_message(Message::Snapshot { incarnation: 1, position: 7, updates: news }, now)
            .expect("a snapshot fits");
        let mut bare = Bare {
            core,
            now,
            dbs: BTreeMap::new(),
            ran: Vec::new(),
            told: BTreeMap::new(),
            closed: Vec::new(),
            hands: Vec::new(),
            links: Vec::new(),
        };
        bare.run(300 * MS);
        bare
    }

    /// Lets time pass; databases say nothing of themselves but to a `SETUP`.
    pub fn run(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.now += MS;
            if self.now.is_multiple_of(100 * MS) {
                self.core.run_maintenance(self.now);
            }
            self.core.tick(self.now);
            self.obey();
        }
    }

    pub fn obey(&mut self) {
        loop {
            let acts = self.core.take_acts();
            if acts.is_empty() {
                return;
            }
            acts.into_iter().for_each(|act| self.act(act));
        }
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::OpenDb { db, .. } => {
                self.dbs.insert(db, Vec::new());
                self.core.db_opened(db, self.now);
            }
            Act::CloseDb(db) => _ = self.dbs.remove(&db),
            Act::WriteDb(db) => {
                let out = self.core.db_out(db).map(std::mem::take).unwrap_or_default();
                for line in String::from_utf8_lossy(&out).lines() {
                    if line.starts_with("SETUP") {
                        self.core.db_data(db, b"IDLE I -\r\n", self.now);
                    } else if line.ends_with("ENQUIRY") {
                        let row = b"ROW primary 3 3.9 0 0 0 1\r\nCOMPLETE -\r\nIDLE I 3.9\r\n";
                        self.core.db_data(db, row, self.now);
                    } else if let Some(held) = self.dbs.get_mut(&db) {
                        held.push(line.to_owned());
                        self.ran.push((db, line.to_owned()));
                    }
                }
            }
            Act::WriteClient(id) => {
                if let Some((link, msg)) = self.core.take_forwarded_response(id) {
                    return self.hands.push((link, msg));
                }
                let out = self.core.client_out(id).map(std::mem::take).unwrap_or_default();
                self.told.entry(id).or_default().push_str(&String::from_utf8_lossy(&out));
            }
            Act::CloseClient(id, out) => {
                self.told.entry(id).or_default().push_str(&String::from_utf8_lossy(&out));
                self.closed.push(id);
            }
            Act::DialHand { link, .. } => {
                self.links.push(link);
                self.core.hand_up(link, self.now);
            }
            Act::SendHand { link, msg } => self.hands.push((link, msg)),
        }
    }

    pub fn client(&mut self, host: &str) -> u64 {
        let id = self.core.client_open(self.now);
        self.say(id, &format!("SETUP {host} me"));
        self.told.remove(&id);
        id
    }

    pub fn say(&mut self, id: u64, line: &str) {
        self.core.client_data(id, format!("{line}\r\n").as_bytes(), self.now);
        self.obey();
    }

    /// What the client was told since it was last looked at.
    pub fn heard(&mut self, id: u64) -> String {
        self.told.remove(&id).unwrap_or_default()
    }

    /// The connection on which a line is still unanswered, and how many are.
    pub fn busy(&self) -> Option<u64> {
        self.dbs.iter().find(|(_, lines)| !lines.is_empty()).map(|(db, _)| *db)
    }

    /// Bytes from a database; how many lines they answer is the story's to say.
    pub fn db_says(&mut self, db: u64, bytes: &str, answered: usize) {
        self.dbs.get_mut(&db).into_iter().for_each(|lines| _ = lines.drain(..answered.min(lines.len())));
        self.core.db_data(db, bytes.as_bytes(), self.now);
        self.obey();
    }

    /// The connection is reset, or closed at the other end.
    pub fn reset(&mut self, db: u64) {
        self.dbs.remove(&db);
        self.core.db_lost(db, Lost::Closed, self.now);
        self.obey();
    }

    pub fn hand(&mut self, link: u64, msg: ForwardMessage) {
        self.core.handle_forward_message(link, msg, self.now);
        self.obey();
    }

    /// The hand and ask that this node last asked on, and over which link.
    pub fn asked(&self) -> (u64, ForwardedSessionId, u64) {
        let last = self.hands.iter().rev().find_map(|(link, msg)| match msg {
            ForwardMessage::Request { session: hand, request: ask, .. } => Some((*link, *hand, *ask)),
            _ => None,
        });
        last.expect("something was handed over")
    }

    /// How often this statement reached a database.
    pub fn count(&self, part: &str) -> usize {
        self.ran.iter().filter(|(_, line)| line.contains(part)).count()
    }
}
