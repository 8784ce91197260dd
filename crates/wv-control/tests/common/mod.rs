//! A single control node driven by individual messages.
use std::collections::BTreeMap;
use wv_consensus::{MemoryFiles, Store};
use wv_control::{Core, Effect, Start};
use wv_internal_protocol::Message;

/// A control node and its outgoing links by address.
pub struct Node {
    pub core: Core,
    pub links: BTreeMap<String, u64>,
    pub now: u64,
}

impl Node {
    pub fn start(name: &str, is_first: bool) -> Node {
        let seeds = ["a:80", "b:80", "c:80"].map(str::to_owned).to_vec();
        let start = Start {
            address: format!("{name}:80"),
            node: name.to_owned(),
            zone: "z".to_owned(),
            incarnation: 1,
            seeds,
            is_initial_start: is_first,
            has_disk: true,
            tolerated_machines: 1,
            disk_id: 1,
            requester_id: 1,
        };
        let store = Store::open(Box::new(MemoryFiles::default())).expect("readable");
        let core = Core::new(start, store).expect("it starts");
        let mut node = Node { core, links: BTreeMap::new(), now: 1_000_000 };
        node.core.tick(node.now);
        for effect in node.core.take_effects() {
            if let Effect::Dial { link, addr } = effect {
                node.core.link_up(link, node.now);
                node.links.insert(addr, link);
            }
        }
        node.core.take_effects();
        node
    }

    /// Delivers a message of `from` and returns the messages sent in response.
    pub fn receive(&mut self, from: &str, message: Message) -> Vec<(u64, Message)> {
        self.now += 1_000;
        let link = self.links[&format!("{from}:80")];
        self.core.handle_message(link, message, self.now);
        self.take_sent()
    }

    pub fn take_sent(&mut self) -> Vec<(u64, Message)> {
        let effects = self.core.take_effects().into_iter();
        effects
            .filter_map(|effect| if let Effect::Send { link, message } = effect { Some((link, message)) } else { None })
            .collect()
    }

    pub fn tick(&mut self) -> Vec<(u64, Message)> {
        self.now += 100_000;
        self.core.tick(self.now);
        self.take_sent()
    }
}
