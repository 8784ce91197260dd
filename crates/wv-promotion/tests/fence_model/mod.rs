//! Duty and fence as a model: the real duties (`Duty`) of several nodes, one register that is decided at once (its own
//! model is the register's), and a platform. Claims, confirmations, answers and calls each wait as long as they like:
//! a node that is frozen is one of which nothing happens. What the register's answers mean stands for `duties.rs` of
//! wv-control, the wait before a call for `database_calls.rs`.
mod steps;
use wv_promotion::{Database, Duty, Effect, Event, Silent, View};
use wv_wire_protocol::{DatabaseStatus, LogPosition};

/// Longer than any deadline or pause of a duty.
const LAPSE_US: u64 = 2_600_000;

/// A guard that is taken out, to see that the model finds what it guards against.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Without {
    Nothing,
    /// Calls go out without a look whether the fence is still the own one.
    Confirm,
    /// A claim writes its name and leaves the fence.
    Rise,
    /// A successor does not show the platform its fence before it looks.
    Show,
}

#[derive(Clone, Copy)]
pub struct Setup {
    pub without: Without,
    pub nodes: usize,
    /// The platform refuses what is below a fence that it has seen.
    pub is_fencing: bool,
    /// Nothing comes between a confirmation and its call.
    pub is_prompt: bool,
    /// How often the duty changes hands, and how often all limits run out.
    pub turns: u8,
    pub lapses: u8,
    /// How often each node begins anew after a rest.
    pub tries: u8,
}

#[derive(Clone)]
pub enum Step {
    /// This node alone believes from now on that the duty is its own.
    Turn(usize),
    Tick(usize),
    /// The register decides a claim, or tells what stands.
    Decide(usize, bool),
    /// An event that waits at a node is heard.
    Hear(usize, usize, String),
    /// A call that waits at a node reaches the platform.
    Call(usize, usize, u64),
    /// All limits of a node run out.
    Lapse(usize),
}

impl std::fmt::Debug for Step {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Step::Turn(at) => write!(to, "the duty goes to n{at}"),
            Step::Tick(at) => write!(to, "n{at} ticks"),
            Step::Decide(at, true) => write!(to, "n{at}'s claim is decided"),
            Step::Decide(at, false) => write!(to, "n{at}'s fence is read"),
            Step::Hear(at, _, event) => write!(to, "n{at} hears {event}"),
            Step::Call(at, _, fence) => write!(to, "n{at} calls under {fence}"),
            Step::Lapse(at) => write!(to, "n{at}'s limits run out"),
        }
    }
}

#[derive(Clone, Debug)]
struct Node {
    duty: Duty,
    now: u64,
    tries: u8,
    is_holder: bool,
    /// Another has the duty, and this one has not noticed.
    is_overtaken: bool,
    /// The fence of its last claim.
    fence: u64,
    /// Asked of the register: `true` a claim, `false` a confirmation.
    asked: Vec<bool>,
    events: Vec<Event>,
    calls: Vec<(String, u64)>,
    /// When it last asked the register.
    asked_at: u64,
    lead: &'static str,
}

#[derive(Clone)]
pub struct World {
    setup: Setup,
    nodes: Vec<Node>,
    /// The register: the fence, and who holds it.
    register: (u64, usize),
    /// The highest fence that the platform has seen, and whose each was.
    seen: u64,
    owners: Vec<(u64, usize)>,
    /// The highest fence under which somebody went on to suspend or confirm.
    engaged: u64,
    leads: &'static str,
    turns: u8,
    lapses: u8,
}

impl World {
    pub fn new(setup: Setup) -> World {
        let node = |at| Node {
            duty: Duty::default(),
            now: 1_000_000,
            tries: setup.tries,
            is_holder: at == 0,
            is_overtaken: false,
            fence: 0,
            asked: Vec::new(),
            events: Vec::new(),
            calls: Vec::new(),
            asked_at: 0,
            lead: "p",
        };
        World {
            setup,
            nodes: (0..setup.nodes).map(node).collect(),
            register: (0, usize::MAX),
            seen: 0,
            owners: Vec::new(),
            engaged: 0,
            leads: "p",
            turns: setup.turns,
            lapses: setup.lapses,
        }
    }

    fn with(&mut self, at: usize, act: impl FnOnce(&mut Duty, &View<'_>)) -> Result<(), String> {
        let database = |id: &str| Database { id: id.to_owned(), is_draining: false, refused_us: None, left: None };
        let node = &mut self.nodes[at];
        let view = View {
            now: node.now,
            is_holder: node.is_holder,
            lead: Some(node.lead),
            sync_replicas: 0,
            databases: &[database("p"), database("r")],
            is_raise_wanted: false,
            is_lead_doubted: node.lead == "p",
            is_lead_past_drain: false,
            is_lead_down: node.lead == "p",
            term: 1,
            fenced: None,
        };
        act(&mut node.duty, &view);
        let effects = node.duty.take_effects();
        effects.into_iter().try_for_each(|effect| self.obey(at, effect))
    }

    fn obey(&mut self, at: usize, effect: Effect) -> Result<(), String> {
        let status = |is_primary| DatabaseStatus {
            is_primary,
            term: if is_primary { 2 } else { 1 },
            received: LogPosition { term: 1, number: 5 },
            suspended_term: 0,
            lag_us: 0,
            busy_connections: 0,
            connections: 0,
        };
        if matches!(effect, Effect::Claim | Effect::Confirm) {
            self.nodes[at].asked_at = self.nodes[at].now;
        }
        match effect {
            Effect::Claim => self.nodes[at].asked.push(true),
            Effect::Confirm if self.setup.without == Without::Confirm => {
                self.nodes[at].events.push(Event::Confirmed(true));
            }
            Effect::Confirm if self.setup.is_prompt => {
                let is_own = self.register == (self.nodes[at].fence, at);
                return self.with(at, |duty, view| duty.event(Event::Confirmed(is_own), view));
            }
            Effect::Confirm => self.nodes[at].asked.push(false),
            // The old primary is down for good; the other database answers.
            Effect::Look { id } | Effect::Suspend { id, .. } => {
                let reply = if id == "r" { Ok(status(self.leads == "r")) } else { Err(Silent::Refused) };
                self.nodes[at].events.push(Event::Row { id, reply });
            }
            Effect::Post { id, fence } => {
                if self.nodes[at].now - self.nodes[at].asked_at >= LAPSE_US {
                    return Err("a call rests on an answer that came after its deadline".to_owned());
                }
                self.nodes[at].calls.push((id, fence));
                if self.setup.is_prompt {
                    return self.call(at, self.nodes[at].calls.len() - 1);
                }
            }
            Effect::Led { id, .. } => self.nodes[at].lead = if id == "r" { "r" } else { "p" },
            _ => {}
        }
        Ok(())
    }

    /// Whoever looked on under its fence counts on it that nothing older is accepted any more.
    fn note_engaged(&mut self, at: usize) {
        let text = format!("{:?}", self.nodes[at].duty);
        let is_engaged =
            ["step: Suspending", "step: Confirming", "step: Posting"].iter().any(|step| text.contains(step));
        if is_engaged {
            self.engaged = self.engaged.max(self.nodes[at].fence);
        }
    }

    fn decide(&mut self, at: usize, is_claim: bool) {
        let node = &mut self.nodes[at];
        let place = node.asked.iter().position(|asked| *asked == is_claim);
        node.asked.remove(place.unwrap_or(0));
        if !is_claim {
            return node.events.push(Event::Confirmed(self.register == (node.fence, at)));
        }
        let before = self.register.0;
        let is_succession = before > 0 && node.fence != before && self.setup.without != Without::Show;
        let fence = if self.setup.without == Without::Rise { before.max(1) } else { before + 1 };
        (self.register, node.fence) = ((fence, at), fence);
        node.events.push(Event::Claimed(Some((fence, is_succession))));
    }

    fn call(&mut self, at: usize, place: usize) -> Result<(), String> {
        let (id, fence) = self.nodes[at].calls.remove(place);
        if self.owners.iter().any(|(known, owner)| *known == fence && *owner != at) {
            return Err(format!("two holders call under fence {fence}"));
        }
        self.owners.push((fence, at));
        self.owners.sort();
        self.owners.dedup();
        if self.setup.is_fencing && fence < self.seen {
            self.nodes[at].events.push(Event::Posted(Some(409)));
            return Ok(());
        }
        if fence < self.seen {
            return Err(format!("fence {fence} is sent after {}", self.seen));
        }
        if fence < self.engaged {
            return Err(format!("fence {fence} is accepted after the holder of {} went on", self.engaged));
        }
        self.seen = fence;
        if id == "r" {
            self.leads = "r";
        }
        self.nodes[at].events.push(Event::Posted(Some(200)));
        Ok(())
    }
}
