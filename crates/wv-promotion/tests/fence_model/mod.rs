//! Model of promotions under fences: the real coordinators of several nodes, an atomic register and a platform. Claims,
//! confirmations, replies and calls may be delayed arbitrarily, which also models paused nodes. Handling of register
//! replies stands for `duties.rs` of wv-control, the delay before a call for `database_calls.rs`.
mod steps;
use wv_promotion::{Database, Effect, Event, PromotionCoordinator, ServiceView, StatusError};
use wv_wire_protocol::{DatabaseStatus, LogPosition};

/// Longer than any timeout or retry delay of a coordinator.
const TIMEOUT_US: u64 = 2_600_000;

/// A safety mechanism that is disabled to check that the model finds the violation it prevents.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Disabled {
    None,
    /// Calls are sent without confirming that the node still owns the fence.
    Confirmation,
    /// A claim changes the owner but not the fence.
    FenceIncrement,
    /// A new duty holder does not present its fence to the platform before it queries the replicas.
    FencePresentation,
}

#[derive(Clone, Copy)]
pub struct Setup {
    pub disabled: Disabled,
    pub nodes: usize,
    /// The platform rejects calls with a fence lower than one that it has seen.
    pub checks_fences: bool,
    /// A call is sent in the same step as its confirmation.
    pub calls_at_once: bool,
    /// How often the duty moves to another node, and how often all timeouts of a node expire.
    pub handovers: u8,
    pub timeouts: u8,
    /// How often each node starts another attempt.
    pub retries: u8,
}

#[derive(Clone)]
pub enum Step {
    /// The duty moves to this node; the previous holder notices at its next tick.
    Handover(usize),
    Tick(usize),
    /// The register decides a claim (`true`) or answers a confirmation.
    Decide(usize, bool),
    /// A pending event is delivered to a node.
    Deliver(usize, usize, String),
    /// A pending call of a node reaches the platform.
    Call(usize, usize, u64),
    /// All timeouts of a node expire.
    Timeout(usize),
}

impl std::fmt::Debug for Step {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Step::Handover(at) => write!(to, "the duty moves to n{at}"),
            Step::Tick(at) => write!(to, "n{at} ticks"),
            Step::Decide(at, true) => write!(to, "n{at}'s claim is decided"),
            Step::Decide(at, false) => write!(to, "n{at}'s confirmation is read"),
            Step::Deliver(at, _, event) => write!(to, "n{at} receives {event}"),
            Step::Call(at, _, fence) => write!(to, "n{at} calls with fence {fence}"),
            Step::Timeout(at) => write!(to, "n{at}'s timeouts expire"),
        }
    }
}

#[derive(Clone, Debug)]
struct Node {
    coordinator: PromotionCoordinator,
    now: u64,
    retries: u8,
    is_duty_holder: bool,
    /// Another node holds the duty, which this node has not noticed yet.
    is_superseded: bool,
    /// The fence of its last claim.
    fence: u64,
    /// Pending requests to the register: `true` for a claim, `false` for a confirmation.
    register_requests: Vec<bool>,
    events: Vec<Event>,
    calls: Vec<(String, u64)>,
    /// When it last sent a request to the register.
    register_request_at: u64,
    leader: &'static str,
}

#[derive(Clone)]
pub struct World {
    setup: Setup,
    nodes: Vec<Node>,
    /// The register: the fence and its owner.
    register: (u64, usize),
    /// The highest fence that the platform has seen, and the owners of all fences it was called with.
    highest_seen: u64,
    owners: Vec<(u64, usize)>,
    /// The highest fence with which a node proceeded to suspend replicas or to confirm a promotion.
    fence_in_use: u64,
    leader: &'static str,
    handovers: u8,
    timeouts: u8,
}

impl World {
    pub fn new(setup: Setup) -> World {
        let node = |at| Node {
            coordinator: PromotionCoordinator::default(),
            now: 1_000_000,
            retries: setup.retries,
            is_duty_holder: at == 0,
            is_superseded: false,
            fence: 0,
            register_requests: Vec::new(),
            events: Vec::new(),
            calls: Vec::new(),
            register_request_at: 0,
            leader: "p",
        };
        World {
            setup,
            nodes: (0..setup.nodes).map(node).collect(),
            register: (0, usize::MAX),
            highest_seen: 0,
            owners: Vec::new(),
            fence_in_use: 0,
            leader: "p",
            handovers: setup.handovers,
            timeouts: setup.timeouts,
        }
    }

    fn with(
        &mut self,
        at: usize,
        apply: impl FnOnce(&mut PromotionCoordinator, &ServiceView<'_>),
    ) -> Result<(), String> {
        let database =
            |id: &str| Database { id: id.to_owned(), is_draining: false, refused_for_us: None, departed: None };
        let node = &mut self.nodes[at];
        let view = ServiceView {
            now: node.now,
            is_duty_holder: node.is_duty_holder,
            leader: Some(node.leader),
            sync_replicas: 0,
            databases: &[database("p"), database("r")],
            is_switchover_requested: false,
            is_leader_suspected: node.leader == "p",
            is_leader_closed_to_new_work: false,
            is_leader_down: node.leader == "p",
            term: 1,
            fenced_position: None,
        };
        apply(&mut node.coordinator, &view);
        let effects = node.coordinator.take_effects();
        effects.into_iter().try_for_each(|effect| self.apply_effect(at, effect))
    }

    fn apply_effect(&mut self, at: usize, effect: Effect) -> Result<(), String> {
        let status = |is_primary| DatabaseStatus {
            is_primary,
            term: if is_primary { 2 } else { 1 },
            received: LogPosition { term: 1, number: 5 },
            suspended_term: 0,
            lag_us: 0,
            busy_connections: 0,
            connections: 0,
        };
        if matches!(effect, Effect::ClaimFence | Effect::ConfirmFence) {
            self.nodes[at].register_request_at = self.nodes[at].now;
        }
        match effect {
            Effect::ClaimFence => self.nodes[at].register_requests.push(true),
            Effect::ConfirmFence if self.setup.disabled == Disabled::Confirmation => {
                self.nodes[at].events.push(Event::FenceConfirmed(true));
            }
            Effect::ConfirmFence if self.setup.calls_at_once => {
                let is_own = self.register == (self.nodes[at].fence, at);
                return self
                    .with(at, |coordinator, view| coordinator.handle_event(Event::FenceConfirmed(is_own), view));
            }
            Effect::ConfirmFence => self.nodes[at].register_requests.push(false),
            // The old primary is down for good; the other database answers.
            Effect::QueryStatus { id } | Effect::Suspend { id, .. } => {
                let reply = if id == "r" { Ok(status(self.leader == "r")) } else { Err(StatusError::Refused) };
                self.nodes[at].events.push(Event::Status { id, reply });
            }
            Effect::RequestPromotion { id, fence } => {
                if self.nodes[at].now - self.nodes[at].register_request_at >= TIMEOUT_US {
                    return Err("a call follows a confirmation that arrived after its deadline".to_owned());
                }
                self.nodes[at].calls.push((id, fence));
                if self.setup.calls_at_once {
                    return self.call(at, self.nodes[at].calls.len() - 1);
                }
            }
            Effect::AnnounceLeader { id, .. } => self.nodes[at].leader = if id == "r" { "r" } else { "p" },
            _ => {}
        }
        Ok(())
    }

    /// A node that proceeds under its fence relies on the platform to accept no older one.
    fn record_fence_in_use(&mut self, at: usize) {
        let text = format!("{:?}", self.nodes[at].coordinator);
        let is_in_use = ["step: SuspendingReplicas", "step: ConfirmingPromotion", "step: RequestingPromotion"]
            .iter()
            .any(|step| text.contains(step));
        if is_in_use {
            self.fence_in_use = self.fence_in_use.max(self.nodes[at].fence);
        }
    }

    fn decide(&mut self, at: usize, is_claim: bool) {
        let node = &mut self.nodes[at];
        let index = node.register_requests.iter().position(|request| *request == is_claim);
        node.register_requests.remove(index.unwrap_or(0));
        if !is_claim {
            return node.events.push(Event::FenceConfirmed(self.register == (node.fence, at)));
        }
        let before = self.register.0;
        let is_succession = before > 0 && node.fence != before && self.setup.disabled != Disabled::FencePresentation;
        let fence = if self.setup.disabled == Disabled::FenceIncrement { before.max(1) } else { before + 1 };
        (self.register, node.fence) = ((fence, at), fence);
        node.events.push(Event::FenceClaimed(Some((fence, is_succession))));
    }

    fn call(&mut self, at: usize, index: usize) -> Result<(), String> {
        let (id, fence) = self.nodes[at].calls.remove(index);
        if self.owners.iter().any(|(known, owner)| *known == fence && *owner != at) {
            return Err(format!("two nodes call with fence {fence}"));
        }
        self.owners.push((fence, at));
        self.owners.sort();
        self.owners.dedup();
        if self.setup.checks_fences && fence < self.highest_seen {
            self.nodes[at].events.push(Event::PromotionReturned(Some(409)));
            return Ok(());
        }
        if fence < self.highest_seen {
            return Err(format!("fence {fence} is sent after fence {}", self.highest_seen));
        }
        if fence < self.fence_in_use {
            return Err(format!("fence {fence} is accepted after fence {} was in use", self.fence_in_use));
        }
        self.highest_seen = fence;
        if id == "r" {
            self.leader = "r";
        }
        self.nodes[at].events.push(Event::PromotionReturned(Some(200)));
        Ok(())
    }
}
