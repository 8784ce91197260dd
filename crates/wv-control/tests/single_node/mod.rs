//! One control node among three, whose peers answer when the story says so.
use std::collections::BTreeMap;
use wv_control::{Action, Core, Start};
use wv_internal_protocol::{Ballot, Message, RegisterReply, RegisterRequest, RegisterValue};

pub const MS: u64 = 1000;
pub const S: u64 = 1_000_000;
pub const ME: &str = "10.0.0.1:80";
pub const WHO: u64 = 77;

pub struct Node {
    pub core: Core,
    pub now: u64,
    pub links: BTreeMap<String, u64>,
    /// What it has sent to each peer and is not answered yet.
    pub sent: Vec<(String, Message)>,
    pub responses: BTreeMap<u64, u16>,
    /// How often it asked a database something.
    pub database_queries: usize,
}

impl Node {
    pub fn new() -> Node {
        Node::with_tolerance(1)
    }

    /// One whose settings say how many machines may be lost at once.
    pub fn with_tolerance(tolerate: usize) -> Node {
        Node::start(ME, tolerate, true)
    }

    /// At this address, with a disk or without; the three seeds vote.
    pub fn start(me: &str, tolerate: usize, is_core: bool) -> Node {
        let seeds: Vec<String> = (1..4).map(|at| format!("10.0.0.{at}:80")).collect();
        let start = Start {
            address: me.to_owned(),
            node: "c0".to_owned(),
            zone: "z0".to_owned(),
            incarnation: 1,
            seeds,
            is_initial_start: true,
            has_disk: is_core,
            tolerated_machines: tolerate,
            disk_id: 1,
            requester_id: WHO,
        };
        let store = wv_consensus::Store::open(Box::new(wv_consensus::MemFiles::default())).expect("an empty store");
        let core = Core::new(start, store).expect("a control node");
        Node { core, now: S, links: BTreeMap::new(), sent: Vec::new(), responses: BTreeMap::new(), database_queries: 0 }
    }

    pub fn apply_actions(&mut self) {
        for act in self.core.take_actions() {
            match act {
                Action::Dial { link, addr } => {
                    self.links.insert(addr, link);
                    self.core.link_up(link, self.now);
                    self.apply_actions();
                }
                Action::Send { link, msg } => {
                    let to = self.links.iter().find(|(_, its)| **its == link).map(|(addr, _)| addr.clone());
                    to.into_iter().for_each(|to| self.sent.push((to, msg.clone())));
                }
                Action::Respond { token, status, .. } => {
                    self.responses.insert(token, status);
                }
                Action::QueryDatabase { .. } => self.database_queries += 1,
                _ => {}
            }
        }
    }

    pub fn receive(&mut self, from: &str, msg: Message) {
        self.core.handle_message(self.links[from], msg, self.now);
        self.apply_actions();
    }

    /// An access node comes on a link of its own and follows.
    pub fn subscribe(&mut self) {
        let link = self.core.accept_link(self.now);
        self.links.insert("a0".to_owned(), link);
        let (node, place) = ("a0".to_owned(), String::new());
        self.receive(
            "a0",
            Message::Hello {
                node,
                control_address: String::new(),
                zone: String::new(),
                handover_address: place,
                incarnation: 5,
            },
        );
        self.receive("a0", Message::Subscribe { incarnation: 0, position: 0 });
    }

    /// Its turns for so long; nothing is answered.
    pub fn run(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.now += 100 * MS;
            self.core.tick(self.now);
            self.apply_actions();
        }
    }

    /// Takes out what was sent and is meant.
    pub fn take_sent(&mut self, is_meant: impl Fn(&Message) -> bool) -> Vec<(String, Message)> {
        let (meant, rest) = std::mem::take(&mut self.sent).into_iter().partition(|(_, msg)| is_meant(msg));
        self.sent = rest;
        meant
    }

    /// The peers answer what was sent so far and is meant, as empty voters do.
    pub fn answer(&mut self, is_meant: impl Fn(&Message) -> bool) {
        for (from, msg) in self.take_sent(is_meant) {
            reply(&msg).into_iter().for_each(|answer| self.receive(&from, answer));
        }
    }

    /// Turns in which everything is answered at once.
    pub fn run_answering(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.run(100 * MS);
            (0..6).for_each(|_| self.answer(|_| true));
        }
    }

    /// The next round of pings: when it was sent, and the pings.
    pub fn next_pings(&mut self) -> (u64, Vec<(String, Message)>) {
        self.sent.clear();
        while !self.sent.iter().any(|(_, msg)| is_ping(msg)) {
            self.run(100 * MS);
        }
        (self.now, self.take_sent(is_ping))
    }

    pub fn call(&mut self, method: &str, path: &str, body: &str) -> Option<u16> {
        let token = self.core.allocate_id();
        self.core.handle_call(token, method, path, Some(body.as_bytes()), self.now);
        self.apply_actions();
        self.responses.get(&token).copied()
    }
}

pub fn reply(msg: &Message) -> Option<Message> {
    match msg.clone() {
        Message::Ping { requester: asker, request } => Some(Message::Pong {
            requester: asker,
            request,
            version: 0,
            disk: Some(0),
            voter_set: 1,
            sealed_set: 0,
            ready: true,
        }),
        Message::RegisterRequest { requester: asker, request, key, step, .. } => {
            let vote = match step {
                RegisterRequest::Accept { .. } => RegisterReply::Accepted,
                _ => RegisterReply::Current { accepted: Ballot::default(), value: Some(RegisterValue::default()) },
            };
            Some(Message::RegisterReply { requester: asker, request, key, vote })
        }
        Message::Hello { .. } => {
            let member = |at| wv_internal_protocol::Member { addr: format!("10.0.0.{at}:80"), disk: 0 };
            let voters = wv_internal_protocol::VoterSet { number: 1, members: (1..4).map(member).collect() };
            Some(Message::Peers {
                addresses: Vec::new(),
                zones: Vec::new(),
                voters,
                previous_voters: wv_internal_protocol::VoterSet::default(),
            })
        }
        Message::Resync { requester: asker, request, .. } => Some(Message::ResyncDone { requester: asker, request }),
        Message::Instance { requester: asker, request, instance: inst } if request > 0 => {
            Some(Message::InstanceAck { requester: asker, request, id: inst.id })
        }
        _ => None,
    }
}

pub fn is_ping(msg: &Message) -> bool {
    matches!(msg, Message::Ping { .. })
}
