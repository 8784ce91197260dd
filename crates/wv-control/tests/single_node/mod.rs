//! One control node of three, whose peers are simulated by the test.
use std::collections::BTreeMap;
use wv_control::{Core, Effect, Start};
use wv_internal_protocol::{Ballot, Message, RegisterReply, RegisterRequest, RegisterValue};

pub const MS: u64 = 1000;
pub const S: u64 = 1_000_000;
pub const ADDRESS: &str = "10.0.0.1:80";
pub const REQUESTER_ID: u64 = 77;

pub struct Node {
    pub core: Core,
    pub now: u64,
    pub links: BTreeMap<String, u64>,
    /// Messages sent to each peer that are not answered yet.
    pub sent: Vec<(String, Message)>,
    pub responses: BTreeMap<u64, u16>,
    /// Number of queries sent to databases.
    pub database_queries: usize,
}

impl Node {
    pub fn new() -> Node {
        Node::with_tolerance(1)
    }

    /// A node that has to tolerate the loss of this many machines.
    pub fn with_tolerance(tolerated_machines: usize) -> Node {
        Node::start(ADDRESS, tolerated_machines, true)
    }

    /// Starts a node at an address, with or without a disk; the three seeds are the voters.
    pub fn start(address: &str, tolerated_machines: usize, has_disk: bool) -> Node {
        let seeds: Vec<String> = (1..4).map(|at| format!("10.0.0.{at}:80")).collect();
        let start = Start {
            address: address.to_owned(),
            node: "c0".to_owned(),
            zone: "z0".to_owned(),
            incarnation: 1,
            seeds,
            is_initial_start: true,
            has_disk,
            tolerated_machines,
            disk_id: 1,
            requester_id: REQUESTER_ID,
        };
        let store = wv_consensus::Store::open(Box::new(wv_consensus::MemoryFiles::default())).expect("an empty store");
        let core = Core::new(start, store).expect("a control node");
        Node { core, now: S, links: BTreeMap::new(), sent: Vec::new(), responses: BTreeMap::new(), database_queries: 0 }
    }

    pub fn apply_actions(&mut self) {
        for effect in self.core.take_effects() {
            match effect {
                Effect::Dial { link, addr } => {
                    self.links.insert(addr, link);
                    self.core.link_up(link, self.now);
                    self.apply_actions();
                }
                Effect::Send { link, message } => {
                    let to = self.links.iter().find(|(_, its)| **its == link).map(|(addr, _)| addr.clone());
                    to.into_iter().for_each(|to| self.sent.push((to, message.clone())));
                }
                Effect::Respond { token, status, .. } => {
                    self.responses.insert(token, status);
                }
                Effect::QueryDatabase { .. } => self.database_queries += 1,
                _ => {}
            }
        }
    }

    pub fn receive(&mut self, from: &str, message: Message) {
        self.core.handle_message(self.links[from], message, self.now);
        self.apply_actions();
    }

    /// Connects an access node that subscribes to the feed.
    pub fn subscribe(&mut self) {
        let link = self.core.accept_link(self.now);
        self.links.insert("a0".to_owned(), link);
        let (node, forwarding_address) = ("a0".to_owned(), String::new());
        self.receive(
            "a0",
            Message::Hello {
                node,
                control_address: String::new(),
                zone: String::new(),
                forwarding_address,
                incarnation: 5,
            },
        );
        self.receive("a0", Message::Subscribe { incarnation: 0, position: 0 });
    }

    /// Ticks for the given time without answering any message.
    pub fn run(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.now += 100 * MS;
            self.core.tick(self.now);
            self.apply_actions();
        }
    }

    /// Removes and returns the sent messages that match.
    pub fn take_sent(&mut self, is_match: impl Fn(&Message) -> bool) -> Vec<(String, Message)> {
        let (matching, rest) = std::mem::take(&mut self.sent).into_iter().partition(|(_, message)| is_match(message));
        self.sent = rest;
        matching
    }

    /// Answers the sent messages that match, as voters without data.
    pub fn answer(&mut self, is_match: impl Fn(&Message) -> bool) {
        for (from, message) in self.take_sent(is_match) {
            reply(&message).into_iter().for_each(|answer| self.receive(&from, answer));
        }
    }

    /// Ticks for the given time and answers every message at once.
    pub fn run_answering(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.run(100 * MS);
            (0..6).for_each(|_| self.answer(|_| true));
        }
    }

    /// Runs until the next pings are sent; returns their time and the pings.
    pub fn next_pings(&mut self) -> (u64, Vec<(String, Message)>) {
        self.sent.clear();
        while !self.sent.iter().any(|(_, message)| is_ping(message)) {
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

pub fn reply(message: &Message) -> Option<Message> {
    match message.clone() {
        Message::Ping { requester, request } => Some(Message::Pong {
            requester,
            request,
            version: 0,
            disk: Some(0),
            voter_set: 1,
            sealed_set: 0,
            ready: true,
        }),
        Message::RegisterRequest { requester, request, key, step, .. } => {
            let vote = match step {
                RegisterRequest::Accept { .. } => RegisterReply::Accepted,
                _ => RegisterReply::Current { accepted: Ballot::default(), value: Some(RegisterValue::default()) },
            };
            Some(Message::RegisterReply { requester, request, key, vote })
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
        Message::Resync { requester, request, .. } => Some(Message::ResyncDone { requester, request }),
        Message::Instance { requester, request, instance } if request > 0 => {
            Some(Message::InstanceAck { requester, request, id: instance.id })
        }
        _ => None,
    }
}

pub fn is_ping(message: &Message) -> bool {
    matches!(message, Message::Ping { .. })
}
