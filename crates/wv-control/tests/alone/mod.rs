//! One control node among three, whose peers answer when the story says so.
use std::collections::BTreeMap;
use wv_control::{Act, Core, Start};
use wv_internal_protocol::{Ballot, Msg, RegisterReply, RegisterRequest, RegisterValue};

pub const MS: u64 = 1000;
pub const S: u64 = 1_000_000;
pub const ME: &str = "10.0.0.1:80";
pub const WHO: u64 = 77;

pub struct Node {
    pub core: Core,
    pub now: u64,
    pub links: BTreeMap<String, u64>,
    /// What it has sent to each peer and is not answered yet.
    pub sent: Vec<(String, Msg)>,
    pub returns: BTreeMap<u64, u16>,
    /// How often it asked a database something.
    pub asked: usize,
}

impl Node {
    pub fn new() -> Node {
        Node::bearing(1)
    }

    /// One whose settings say how many machines may be lost at once.
    pub fn bearing(tolerate: usize) -> Node {
        Node::start(ME, tolerate, true)
    }

    /// At this address, with a disk or without; the three seeds vote.
    pub fn start(me: &str, tolerate: usize, is_core: bool) -> Node {
        let seeds: Vec<String> = (1..4).map(|at| format!("10.0.0.{at}:80")).collect();
        let start = Start {
            me: me.to_owned(),
            node: "c0".to_owned(),
            zone: "z0".to_owned(),
            life: 1,
            seeds,
            is_first: true,
            is_core,
            tolerate,
            disk: 1,
            who: WHO,
        };
        let store = wv_consensus::Store::open(Box::new(wv_consensus::MemFiles::default())).expect("an empty store");
        let core = Core::new(start, store).expect("a control node");
        Node { core, now: S, links: BTreeMap::new(), sent: Vec::new(), returns: BTreeMap::new(), asked: 0 }
    }

    pub fn acts(&mut self) {
        for act in self.core.take_acts() {
            match act {
                Act::Dial { link, addr } => {
                    self.links.insert(addr, link);
                    self.core.link_up(link, self.now);
                    self.acts();
                }
                Act::Send { link, msg } => {
                    let to = self.links.iter().find(|(_, its)| **its == link).map(|(addr, _)| addr.clone());
                    to.into_iter().for_each(|to| self.sent.push((to, msg.clone())));
                }
                Act::Return { token, status, .. } => {
                    self.returns.insert(token, status);
                }
                Act::Request { .. } => self.asked += 1,
                _ => {}
            }
        }
    }

    pub fn hear(&mut self, from: &str, msg: Msg) {
        self.core.msg(self.links[from], msg, self.now);
        self.acts();
    }

    /// An access node comes on a link of its own and follows.
    pub fn follow(&mut self) {
        let link = self.core.link_in(self.now);
        self.links.insert("a0".to_owned(), link);
        let (node, place) = ("a0".to_owned(), String::new());
        self.hear("a0", Msg::Hello { node, control: String::new(), zone: String::new(), place, life: 5 });
        self.hear("a0", Msg::Follow { life: 0, place: 0 });
    }

    /// Its turns for so long; nothing is answered.
    pub fn run(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.now += 100 * MS;
            self.core.tick(self.now);
            self.acts();
        }
    }

    /// Takes out what was sent and is meant.
    pub fn take(&mut self, is_meant: impl Fn(&Msg) -> bool) -> Vec<(String, Msg)> {
        let (meant, rest) = std::mem::take(&mut self.sent).into_iter().partition(|(_, msg)| is_meant(msg));
        self.sent = rest;
        meant
    }

    /// The peers answer what was sent so far and is meant, as empty voters do.
    pub fn answer(&mut self, is_meant: impl Fn(&Msg) -> bool) {
        for (from, msg) in self.take(is_meant) {
            reply(&msg).into_iter().for_each(|answer| self.hear(&from, answer));
        }
    }

    /// Turns in which everything is answered at once.
    pub fn serve(&mut self, us: u64) {
        let end = self.now + us;
        while self.now < end {
            self.run(100 * MS);
            (0..6).for_each(|_| self.answer(|_| true));
        }
    }

    /// The next round of pings: when it was sent, and the pings.
    pub fn pings(&mut self) -> (u64, Vec<(String, Msg)>) {
        self.sent.clear();
        while !self.sent.iter().any(|(_, msg)| is_ping(msg)) {
            self.run(100 * MS);
        }
        (self.now, self.take(is_ping))
    }

    pub fn call(&mut self, method: &str, path: &str, body: &str) -> Option<u16> {
        let token = self.core.fresh_id();
        self.core.call(token, method, path, Some(body.as_bytes()), self.now);
        self.acts();
        self.returns.get(&token).copied()
    }
}

pub fn reply(msg: &Msg) -> Option<Msg> {
    match msg.clone() {
        Msg::Ping { asker, request } => {
            Some(Msg::Pong { asker, request, conf: 0, disk: Some(0), set: 1, sealed: 0, ready: true })
        }
        Msg::Call { asker, request, key, step, .. } => {
            let vote = match step {
                RegisterRequest::Accept { .. } => RegisterReply::Accepted,
                _ => RegisterReply::Current { accepted: Ballot::default(), value: Some(RegisterValue::default()) },
            };
            Some(Msg::Voted { asker, request, key, vote })
        }
        Msg::Hello { .. } => {
            let member = |at| wv_internal_protocol::Member { addr: format!("10.0.0.{at}:80"), disk: 0 };
            let voters = wv_internal_protocol::VoterSet { number: 1, members: (1..4).map(member).collect() };
            Some(Msg::Peers {
                addrs: Vec::new(),
                zones: Vec::new(),
                voters,
                before: wv_internal_protocol::VoterSet::default(),
            })
        }
        Msg::Recap { asker, request, .. } => Some(Msg::Recapped { asker, request }),
        Msg::Inst { asker, request, inst } if request > 0 => Some(Msg::InstHeld { asker, request, id: inst.id }),
        _ => None,
    }
}

pub fn is_ping(msg: &Msg) -> bool {
    matches!(msg, Msg::Ping { .. })
}
