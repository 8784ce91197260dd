//! Runs the core of one access node; the test acts as its databases, clients, peers and clock.
#![allow(dead_code)]
use std::collections::BTreeMap;
use wv_access::{ConnectionLoss, Core, Effect};
use wv_internal_protocol::{FeedUpdate, ForwardMessage, ForwardedSessionId, Instance, Leader, Message, Owner, SlotMap};

pub const MS: u64 = 1_000;
const CONFIGURATION: &str = r#"{"issue":1,"routing":[
  {"label":"p","host":"shop","category":"primary","expiryMs":1000,"targetMs":200,"destination":"s","maxAttempts":3},
  {"label":"b","host":"look","category":"bounded_staleness","maxStalenessMs":1500,"expiryMs":3000,"targetMs":800,
   "destination":"s","maxAttempts":3}],
  "services":[{"label":"s","syncReplicas":1},{"label":"t","syncReplicas":1}],
  "limits":{"headerBytes":16384,"bodyBytes":262144,"headerTimerMs":3000,"idleTimerMs":15000,"txnIdleMs":3000}PARTNERS}"#;
/// The incarnation of the node under test.
pub const NODE_INCARNATION: u64 = 77;

pub struct TestNode {
    pub core: Core,
    pub now: u64,
    /// Open connections and the lines on each that are not answered yet.
    pub dbs: BTreeMap<u64, Vec<String>>,
    /// Every statement sent to a database, with its connection.
    pub sent_statements: Vec<(u64, String)>,
    /// Output to each client.
    pub client_output: BTreeMap<u64, String>,
    pub closed: Vec<u64>,
    pub peer_messages: Vec<(u64, ForwardMessage)>,
    pub peer_links: Vec<u64>,
    /// Whether the nodes that this node connects to answer its `Hello`.
    pub peers_answer_hello: bool,
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

impl TestNode {
    pub fn new() -> TestNode {
        TestNode::with("", Vec::new())
    }

    /// A node whose shard is owned by another node.
    pub fn with_remote_owner() -> TestNode {
        let (node, forwarding_address) = ("other".to_owned(), "10.0.0.9:1".to_owned());
        let owner = FeedUpdate::Owner(Owner { service: "s".to_owned(), node, forwarding_address, epoch: 1 });
        TestNode::with(r#","partners":[{"label":"all","portion":1,"nodes":["me","other"]}]"#, vec![owner])
    }

    /// A node whose shard has a planned split.
    pub fn with_split_plan(map: SlotMap) -> TestNode {
        let plan = r#","shardPlans":[{"shard":"s","upper":"t","rowsMax":1000,"quiet":"* * 1-4 * * *"}]"#;
        TestNode::with(plan, vec![FeedUpdate::Slots(map)])
    }

    /// A node whose database `shop` has another name.
    pub fn with_host(host: &str) -> TestNode {
        TestNode::configured(&CONFIGURATION.replace("shop", host).replace("PARTNERS", ""), Vec::new())
    }

    fn with(partners: &str, more: Vec<FeedUpdate>) -> TestNode {
        TestNode::configured(&CONFIGURATION.replace("PARTNERS", partners), more)
    }

    fn configured(configuration: &str, more: Vec<FeedUpdate>) -> TestNode {
        let instance = database();
        let leader = Leader { service: "s".to_owned(), id: "d1".to_owned(), term: 3 };
        let configuration = configuration.as_bytes().to_vec();
        let first = [
            FeedUpdate::Configuration { version: 1, body: configuration },
            FeedUpdate::Instance(instance),
            FeedUpdate::Leader(leader),
            FeedUpdate::NodeCount(1),
        ];
        let mut core = Core::new("z0", 6_000_000);
        core.set_node_name("me");
        core.set_incarnation(NODE_INCARNATION);
        // Past the startup period.
        let now = 10_000 * MS;
        let updates = first.into_iter().chain(more).collect();
        core.apply_feed_message(Message::Snapshot { incarnation: 1, position: 7, updates }, now)
            .expect("snapshot is accepted");
        let mut node = TestNode {
            core,
            now,
            dbs: BTreeMap::new(),
            sent_statements: Vec::new(),
            client_output: BTreeMap::new(),
            closed: Vec::new(),
            peer_messages: Vec::new(),
            peer_links: Vec::new(),
            peers_answer_hello: true,
        };
        node.advance(300 * MS);
        node
    }

    /// Advances the time; databases answer only `SETUP` and `ENQUIRY`.
    pub fn advance(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.now += MS;
            if self.now.is_multiple_of(100 * MS) {
                self.core.run_maintenance(self.now);
            }
            self.core.tick(self.now);
            self.apply_effects();
        }
    }

    pub fn apply_effects(&mut self) {
        loop {
            let effects = self.core.take_effects();
            if effects.is_empty() {
                return;
            }
            effects.into_iter().for_each(|effect| self.apply_effect(effect));
        }
    }

    fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::OpenDb { db, .. } => {
                self.dbs.insert(db, Vec::new());
                self.core.db_opened(db, self.now);
            }
            Effect::CloseDb(db) => _ = self.dbs.remove(&db),
            Effect::WriteDb(db) => {
                let out = self.core.db_output(db).map(std::mem::take).unwrap_or_default();
                let out = String::from_utf8_lossy(&out);
                for line in out.split_terminator("\r\n") {
                    if line.starts_with("SETUP") {
                        self.core.db_data(db, b"IDLE I -\r\n", self.now);
                    } else if line.ends_with("ENQUIRY") {
                        let row = b"ROW primary 3 3.9 0 0 0 1\r\nCOMPLETE -\r\nIDLE I 3.9\r\n";
                        self.core.db_data(db, row, self.now);
                    } else if let Some(lines) = self.dbs.get_mut(&db) {
                        lines.push(line.to_owned());
                        self.sent_statements.push((db, line.to_owned()));
                    }
                }
            }
            Effect::WriteClient(id) => {
                if let Some((link, message)) = self.core.take_forwarded_response(id) {
                    return self.peer_messages.push((link, message));
                }
                let out = self.core.client_output(id).map(std::mem::take).unwrap_or_default();
                self.client_output.entry(id).or_default().push_str(&String::from_utf8_lossy(&out));
            }
            Effect::CloseClient(id, out) => {
                self.client_output.entry(id).or_default().push_str(&String::from_utf8_lossy(&out));
                self.closed.push(id);
            }
            Effect::DialPeer { link, .. } => {
                self.peer_links.push(link);
                self.core.peer_link_up(link, self.now);
            }
            Effect::SendToPeer { link, message: ForwardMessage::Hello } if self.peer_links.contains(&link) => {
                if self.peers_answer_hello {
                    self.core.handle_forward_message(link, ForwardMessage::Hello, self.now);
                }
            }
            Effect::SendToPeer { link, message } => self.peer_messages.push((link, message)),
        }
    }

    pub fn connect_client(&mut self, host: &str) -> u64 {
        let id = self.core.client_opened(self.now);
        self.send_line(id, &format!("SETUP {host} me"));
        self.client_output.remove(&id);
        id
    }

    pub fn send_line(&mut self, id: u64, line: &str) {
        self.core.client_data(id, format!("{line}\r\n").as_bytes(), self.now);
        self.apply_effects();
    }

    /// Takes the output to the client since the last call.
    pub fn take_output(&mut self, id: u64) -> String {
        self.client_output.remove(&id).unwrap_or_default()
    }

    /// A connection with unanswered lines.
    pub fn busy_connection(&self) -> Option<u64> {
        self.dbs.iter().find(|(_, lines)| !lines.is_empty()).map(|(db, _)| *db)
    }

    /// Delivers bytes from a database, which answer the first `answered` lines.
    pub fn db_sends(&mut self, db: u64, bytes: &str, answered: usize) {
        self.dbs.get_mut(&db).into_iter().for_each(|lines| _ = lines.drain(..answered.min(lines.len())));
        self.core.db_data(db, bytes.as_bytes(), self.now);
        self.apply_effects();
    }

    /// Closes the connection from the database side.
    pub fn reset_db(&mut self, db: u64) {
        self.dbs.remove(&db);
        self.core.db_lost(db, ConnectionLoss::Closed, self.now);
        self.apply_effects();
    }

    pub fn receive_from_peer(&mut self, link: u64, message: ForwardMessage) {
        self.core.handle_forward_message(link, message, self.now);
        self.apply_effects();
    }

    /// The peer link, session and request of the last forwarded request.
    pub fn last_forwarded_request(&self) -> (u64, ForwardedSessionId, u64) {
        let last = self.peer_messages.iter().rev().find_map(|(link, message)| match message {
            ForwardMessage::Request { session, request, .. } => Some((*link, *session, *request)),
            _ => None,
        });
        last.expect("a request was forwarded")
    }

    /// Applies a newer configuration with these sections after `limits`.
    pub fn configure(&mut self, version: u64, sections: &str) {
        let body = CONFIGURATION.replace("PARTNERS", sections).replace("\"issue\":1", &format!("\"issue\":{version}"));
        self.publish(FeedUpdate::Configuration { version, body: body.into_bytes() });
    }

    /// Applies the next update of the feed.
    pub fn publish(&mut self, update: FeedUpdate) {
        let position = self.core.feed_position().1 + 1;
        self.core.apply_feed_message(Message::Update { position, update }, self.now).expect("update is accepted");
        self.apply_effects();
    }

    /// Number of sent statements that contain `part`.
    pub fn statement_count(&self, part: &str) -> usize {
        self.sent_statements.iter().filter(|(_, line)| line.contains(part)).count()
    }
}
