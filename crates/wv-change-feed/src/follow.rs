use wv_internal_protocol::{FeedUpdate, Leader, Message, Owner, SlotMap};

/// Changes kept for followers that come back; those further behind take a snapshot.
const KEPT: usize = 1024;

/// The publishing side: the newest state and the last changes of this life.
pub struct Feed {
    life: u64,
    place: u64,
    /// The configuration in force: its version, the news of it packed, and its body.
    conf: Option<(u64, FeedUpdate, std::rc::Rc<[u8]>)>,
    nodes: u32,
    leads: std::collections::BTreeMap<String, Leader>,
    owners: std::collections::BTreeMap<String, Owner>,
    slots: std::collections::BTreeMap<String, SlotMap>,
    changes: std::collections::VecDeque<(u64, FeedUpdate)>,
}

impl Feed {
    pub fn new(life: u64) -> Feed {
        Feed {
            life,
            place: 0,
            conf: None,
            nodes: 0,
            leads: Default::default(),
            owners: Default::default(),
            slots: Default::default(),
            changes: Default::default(),
        }
    }

    /// A configuration came into force, `body` and the same `packed`: followers hear what differs from the one before,
    /// newcomers the whole.
    pub fn publish_conf(&mut self, version: u64, packed: Vec<u8>, body: std::rc::Rc<[u8]>) -> Message {
        let whole = FeedUpdate::Configuration { version, body: packed };
        let news = match self.conf.take() {
            Some((base, _, old)) => {
                FeedUpdate::ConfigurationDelta { base, version, delta: wv_compression::delta(&old, &body) }
            }
            None => whole.clone(),
        };
        self.conf = Some((version, whole, body));
        self.publish(news)
    }

    /// The version of the configuration that followers were told last, 0 for none.
    pub fn conf_version(&self) -> u64 {
        self.conf.as_ref().map_or(0, |conf| conf.0)
    }

    /// What makes the configuration in force of that of `version`: the changes since where they are still held and
    /// shorter, else the whole; nothing where it is that one.
    pub fn conf_since(&self, version: u64) -> Vec<FeedUpdate> {
        let Some((newest, whole, _)) = self.conf.as_ref().filter(|conf| conf.0 != version) else { return Vec::new() };
        let (mut at, mut chain) = (version, Vec::new());
        for (_, news) in &self.changes {
            if let FeedUpdate::ConfigurationDelta { base, version, .. } = news {
                if *base == at {
                    at = *version;
                    chain.push(news.clone());
                }
            }
        }
        if at == *newest {
            chain
        } else {
            vec![whole.clone()]
        }
    }

    /// Numbers a change; the caller sends the message to its followers.
    pub fn publish(&mut self, news: FeedUpdate) -> Message {
        match &news {
            FeedUpdate::NodeCount(nodes) => self.nodes = *nodes,
            FeedUpdate::Leader(lead) => {
                self.leads.insert(lead.service.clone(), lead.clone());
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
        self.place += 1;
        if self.changes.len() == KEPT {
            self.changes.pop_front();
        }
        self.changes.push_back((self.place, news.clone()));
        Message::Update { position: self.place, update: news }
    }

    pub fn lead(&self, service: &str) -> Option<&Leader> {
        self.leads.get(service)
    }

    pub fn owners(&self) -> &std::collections::BTreeMap<String, Owner> {
        &self.owners
    }

    pub fn slots(&self) -> &std::collections::BTreeMap<String, SlotMap> {
        &self.slots
    }

    pub fn leads(&self) -> impl Iterator<Item = &Leader> {
        self.leads.values()
    }

    /// What a follower at `place` of `life` needs: the changes since, or a snapshot.
    pub fn since(&self, life: u64, place: u64, table: &crate::Table) -> Vec<Message> {
        let is_within = self.changes.front().is_some_and(|(first, _)| place + 1 >= *first) && place <= self.place;
        if life == self.life && is_within {
            return self
                .changes
                .iter()
                .filter(|(at, _)| *at > place)
                .map(|(place, news)| Message::Update { position: *place, update: news.clone() })
                .collect();
        }
        // Slot maps come before anything that lets work start.
        let mut news: Vec<FeedUpdate> = self.slots.values().cloned().map(FeedUpdate::Slots).collect();
        news.extend(self.conf.iter().map(|(_, whole, _)| whole.clone()));
        news.extend(table.iter().cloned().map(FeedUpdate::Instance));
        news.extend(self.leads.values().cloned().map(FeedUpdate::Leader));
        news.extend(self.owners.values().cloned().map(FeedUpdate::Owner));
        news.push(FeedUpdate::NodeCount(self.nodes));
        vec![Message::Snapshot { incarnation: self.life, position: self.place, updates: news }]
    }
}

/// A change is missing between what is held and what came: the feed is to be followed anew.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Gap;

/// A snapshot that was asked for is there by then, or is asked for again.
const ASK_US: u64 = 1_000_000;

/// The following side: where it stands and whether a change fits on.
#[derive(Default)]
pub struct Follower {
    pub life: u64,
    pub place: u64,
    /// When a snapshot was asked for that has not come yet.
    asked: Option<u64>,
}

impl Follower {
    /// Takes a feed message; a gap asks for a new follow.
    pub fn take(&mut self, msg: Message) -> Result<Vec<FeedUpdate>, Gap> {
        match msg {
            Message::Snapshot { incarnation: life, position: place, updates: news } => {
                (self.life, self.place, self.asked) = (life, place, None);
                Ok(news)
            }
            Message::Update { position: place, update: news } if place == self.place + 1 => {
                self.place = place;
                Ok(vec![news])
            }
            Message::Update { position: place, .. } if place <= self.place => Ok(Vec::new()),
            _ => Err(Gap),
        }
    }

    /// The feed is to be followed anew. Returns whether a snapshot is to be asked for now: not again while one is due.
    pub fn ask(&mut self, now: u64) -> bool {
        (self.life, self.place) = (0, 0);
        let is_due = self.asked.is_none_or(|asked| asked + ASK_US <= now);
        self.asked = if is_due { Some(now) } else { self.asked };
        is_due
    }
}
