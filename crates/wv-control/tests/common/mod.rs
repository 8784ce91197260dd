//! One control node by itself, spoken to message by message.
use std::collections::BTreeMap;
use wv_consensus::{MemoryFiles, Store};
use wv_control::{Act, Core, Start};
use wv_internal_protocol::Message;

/// One control node and the links it dialled, by address.
pub struct Node {
    pub core: Core,
    pub links: BTreeMap<String, u64>,
    pub now: u64,
}

impl Node {
    pub fn start(name: &str, is_first: bool) -> Node {
        let seeds = ["a:80", "b:80", "c:80"].map(str::to_owned).to_vec();
        let start = Start {
            me: format!("{name}:80"),
            node: name.to_owned(),
            zone: "z".to_owned(),
            life: 1,
            seeds,
            is_first,
            is_core: true,
            tolerate: 1,
            disk: 1,
            who: 1,
        };
        let store = Store::open(Box::new(MemoryFiles::default())).expect("readable");
        let core = Core::new(start, store).expect("it starts");
        let mut node = Node { core, links: BTreeMap::new(), now: 1_000_000 };
        node.core.tick(node.now);
        for act in node.core.take_acts() {
            if let Act::Dial { link, addr } = act {
                node.core.link_up(link, node.now);
                node.links.insert(addr, link);
            }
        }
        node.core.take_acts();
        node
    }

    /// What it says to a message of `from`.
    pub fn hear(&mut self, from: &str, msg: Message) -> Vec<(u64, Message)> {
        self.now += 1_000;
        let link = self.links[&format!("{from}:80")];
        self.core.msg(link, msg, self.now);
        self.said()
    }

    pub fn said(&mut self) -> Vec<(u64, Message)> {
        let acts = self.core.take_acts().into_iter();
        acts.filter_map(|act| if let Act::Send { link, msg } = act { Some((link, msg)) } else { None }).collect()
    }

    pub fn tick(&mut self) -> Vec<(u64, Message)> {
        self.now += 100_000;
        self.core.tick(self.now);
        self.said()
    }
}
