use wv_internal_protocol::{FeedUpdate, Leader, Message, Owner, SlotMap};

/// Updates retained for reconnecting followers; followers further behind receive a snapshot.
const MAX_RETAINED_UPDATES: usize = 1024;

/// The publishing side: the current state and the latest updates of this incarnation.
pub struct Feed {
    incarnation: u64,
    position: u64,
    /// The active configuration: its version, the update with its compressed body, and its plain body.
    configuration: Option<(u64, FeedUpdate, std::rc::Rc<[u8]>)>,
    node_count: u32,
    leaders: std::collections::BTreeMap<String, Leader>,
    owners: std::collections::BTreeMap<String, Owner>,
    slots: std::collections::BTreeMap<String, SlotMap>,
    updates: std::collections::VecDeque<(u64, FeedUpdate)>,
}

impl Feed {
    pub fn new(incarnation: u64) -> Feed {
        Feed {
            incarnation,
            position: 0,
            configuration: None,
            node_count: 0,
            leaders: Default::default(),
            owners: Default::default(),
            slots: Default::default(),
            updates: Default::default(),
        }
    }

    /// Publishes a newly active configuration. Current followers receive the delta from the previous one, new followers
    /// the `compressed` body.
    pub fn publish_configuration(&mut self, version: u64, compressed: Vec<u8>, body: std::rc::Rc<[u8]>) -> Message {
        let full = FeedUpdate::Configuration { version, body: compressed };
        let update = match self.configuration.take() {
            Some((base, _, old)) => {
                FeedUpdate::ConfigurationDelta { base, version, delta: wv_compression::encode_delta(&old, &body) }
            }
            None => full.clone(),
        };
        self.configuration = Some((version, full, body));
        self.publish(update)
    }

    /// The version of the configuration published last, 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.0)
    }

    /// The updates from the configuration of `version` to the active one: the retained deltas where they are complete,
    /// else the full body; empty if `version` is the active one.
    pub fn configuration_updates_since(&self, version: u64) -> Vec<FeedUpdate> {
        let Some((newest, full, _)) = self.configuration.as_ref().filter(|active| active.0 != version) else {
            return Vec::new();
        };
        let (mut reached, mut chain) = (version, Vec::new());
        for (_, update) in &self.updates {
            if let FeedUpdate::ConfigurationDelta { base, version, .. } = update {
                if *base == reached {
                    reached = *version;
                    chain.push(update.clone());
                }
            }
        }
        if reached == *newest {
            chain
        } else {
            vec![full.clone()]
        }
    }

    /// Assigns the next position to an update; the caller sends the message to its followers.
    pub fn publish(&mut self, update: FeedUpdate) -> Message {
        match &update {
            FeedUpdate::NodeCount(count) => self.node_count = *count,
            FeedUpdate::Leader(leader) => {
                self.leaders.insert(leader.service.clone(), leader.clone());
            }
            FeedUpdate::Owner(owner) => {
                self.owners.insert(owner.service.clone(), owner.clone());
            }
            FeedUpdate::Slots(map) => {
                self.slots.insert(map.shard.clone(), map.clone());
            }
            FeedUpdate::Configuration { .. } | FeedUpdate::ConfigurationDelta { .. } => {}
            FeedUpdate::Instance(_) | FeedUpdate::SlowStart { .. } | FeedUpdate::Promoting { .. } => {}
        }
        self.position += 1;
        if self.updates.len() == MAX_RETAINED_UPDATES {
            self.updates.pop_front();
        }
        self.updates.push_back((self.position, update.clone()));
        Message::Update { position: self.position, update }
    }

    pub fn leader(&self, service: &str) -> Option<&Leader> {
        self.leaders.get(service)
    }

    pub fn owners(&self) -> &std::collections::BTreeMap<String, Owner> {
        &self.owners
    }

    pub fn slots(&self) -> &std::collections::BTreeMap<String, SlotMap> {
        &self.slots
    }

    pub fn leaders(&self) -> impl Iterator<Item = &Leader> {
        self.leaders.values()
    }

    /// The messages that bring a follower at `position` of `incarnation` up to date: the retained updates after it, or
    /// a snapshot.
    pub fn messages_since(&self, incarnation: u64, position: u64, table: &crate::InstanceTable) -> Vec<Message> {
        let is_retained =
            self.updates.front().is_some_and(|(first, _)| position + 1 >= *first) && position <= self.position;
        if incarnation == self.incarnation && is_retained {
            return self
                .updates
                .iter()
                .filter(|(at, _)| *at > position)
                .map(|(position, update)| Message::Update { position: *position, update: update.clone() })
                .collect();
        }
        // Slot maps come first, so that a follower has them before it can start requests.
        let mut updates: Vec<FeedUpdate> = self.slots.values().cloned().map(FeedUpdate::Slots).collect();
        updates.extend(self.configuration.iter().map(|(_, full, _)| full.clone()));
        updates.extend(table.iter().cloned().map(FeedUpdate::Instance));
        updates.extend(self.leaders.values().cloned().map(FeedUpdate::Leader));
        updates.extend(self.owners.values().cloned().map(FeedUpdate::Owner));
        updates.push(FeedUpdate::NodeCount(self.node_count));
        vec![Message::Snapshot { incarnation: self.incarnation, position: self.position, updates }]
    }
}

/// An update is missing before the received one: the follower must resubscribe.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Gap;

/// Time after which a requested snapshot that has not arrived is requested again.
const SNAPSHOT_RETRY_US: u64 = 1_000_000;

/// The following side: the position reached and the pending snapshot request.
#[derive(Default)]
pub struct Follower {
    pub incarnation: u64,
    pub position: u64,
    /// When the pending snapshot was requested.
    snapshot_requested_us: Option<u64>,
}

impl Follower {
    /// Accepts a feed message and returns the updates to apply. Updates already seen are ignored.
    pub fn receive(&mut self, message: Message) -> Result<Vec<FeedUpdate>, Gap> {
        match message {
            Message::Snapshot { incarnation, position, updates } => {
                (self.incarnation, self.position, self.snapshot_requested_us) = (incarnation, position, None);
                Ok(updates)
            }
            Message::Update { position, update } if position == self.position + 1 => {
                self.position = position;
                Ok(vec![update])
            }
            Message::Update { position, .. } if position <= self.position => Ok(Vec::new()),
            _ => Err(Gap),
        }
    }

    /// Resets the position. Returns whether to request a snapshot now: not while an earlier request is still pending.
    pub fn request_snapshot(&mut self, now_us: u64) -> bool {
        (self.incarnation, self.position) = (0, 0);
        let is_due = self.snapshot_requested_us.is_none_or(|requested| requested + SNAPSHOT_RETRY_US <= now_us);
        self.snapshot_requested_us = if is_due { Some(now_us) } else { self.snapshot_requested_us };
        is_due
    }
}
