//! Model of promotions under fences: the real coordinators of several nodes, an atomic register and a platform. Claims,
//! confirmations, replies and calls may be delayed arbitrarily, which also models paused nodes. Handling of register
//! replies stands for `duties.rs` of wv-control, the delay before a call for `database_calls.rs`.
mod platform;
mod register;
mod steps;
use register::RegisterRequest;
use wv_promotion::{Database, DutyState, Effect, Event, PromotionCall, PromotionCoordinator, ServiceView, StatusError};
use wv_wire_protocol::{DatabaseStatus, LogPosition};

/// Longer than any timeout or retry delay of a coordinator.
const TIMEOUT_US: u64 = 3_100_000;

/// A safety mechanism that is disabled to check that the model finds the violation it prevents.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Disabled {
    None,
    /// Calls are sent without confirming that the node still owns the fence.
    Confirmation,
    /// A claim changes the owner but not the fence.
    FenceIncrement,
    /// A duty holder does not learn which calls are recorded, so it does not present its fence to the platform.
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

fn is_register_effect(effect: &Effect) -> bool {
    matches!(effect, Effect::ClaimFence | Effect::ConfirmFence | Effect::RecordCall { .. } | Effect::RecordResolution)
}

/// An event on its way to a node, with the step of the coordinator that requested it.
#[derive(Clone, Debug)]
struct PendingEvent {
    step: u64,
    event: Event,
    /// What is delivered instead to a later step; nothing if there is none.
    late: Option<Event>,
}

#[derive(Clone, Debug)]
struct PendingCall {
    step: u64,
    id: String,
    fence: u64,
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
    register_requests: Vec<(u64, RegisterRequest)>,
    events: Vec<PendingEvent>,
    calls: Vec<PendingCall>,
    /// When it last sent a request to the register.
    register_request_at: u64,
    leader: &'static str,
}

#[derive(Clone)]
pub struct World {
    setup: Setup,
    nodes: Vec<Node>,
    /// The register: the fence, its owner, and the recorded calls.
    register: (u64, usize),
    recorded: Vec<PromotionCall>,
    /// The highest fence that the platform has seen, and the owners of all fences it was called with.
    highest_seen: u64,
    owners: Vec<(u64, usize)>,
    /// The highest fence with which a node proceeded to suspend replicas or to confirm a promotion, and the calls that
    /// this node knows to be unresolved. These name the database that it is about to promote, so nothing changes if
    /// one of them is accepted.
    fence_in_use: u64,
    known_calls: Vec<PromotionCall>,
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
            recorded: Vec::new(),
            highest_seen: 0,
            owners: Vec::new(),
            fence_in_use: 0,
            known_calls: Vec::new(),
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
            has_leader_stepped_down: false,
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
        if is_register_effect(&effect) {
            self.nodes[at].register_request_at = self.nodes[at].now;
        }
        let step = self.nodes[at].coordinator.step_number();
        let is_confirmation = is_register_effect(&effect) && effect != Effect::ClaimFence;
        if is_confirmation && self.setup.disabled == Disabled::Confirmation {
            self.recorded = self.nodes[at].coordinator.unresolved_calls();
            self.push_event(at, step, Event::FenceConfirmed(true));
            return Ok(());
        }
        if is_confirmation && self.setup.calls_at_once {
            let event = self.confirm(at, &self.record_request(at, &effect));
            return self.with(at, |coordinator, view| coordinator.handle_event(event, view));
        }
        match effect {
            Effect::ReadDuty => {
                let recorded = self.recorded_calls();
                self.push_event(at, step, Event::DutyRead(Some(DutyState { fence: self.register.0, recorded })));
            }
            Effect::ClaimFence => self.nodes[at].register_requests.push((step, RegisterRequest::Claim)),
            Effect::ConfirmFence | Effect::RecordCall { .. } | Effect::RecordResolution => {
                let request = self.record_request(at, &effect);
                self.nodes[at].register_requests.push((step, request));
            }
            // The old primary is down for good; the other database answers.
            Effect::QueryStatus { id } | Effect::Suspend { id, .. } => {
                let reply = if id == "r" { Ok(status(self.leader == "r")) } else { Err(StatusError::Refused) };
                self.push_event(at, step, Event::Status { id, reply });
            }
            Effect::RequestPromotion { id, fence } => {
                if self.nodes[at].now - self.nodes[at].register_request_at >= TIMEOUT_US {
                    return Err("a call follows a confirmation that arrived after its deadline".to_owned());
                }
                self.nodes[at].calls.push(PendingCall { step, id, fence });
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
        if is_in_use && self.nodes[at].fence >= self.fence_in_use {
            self.fence_in_use = self.nodes[at].fence;
            self.known_calls = self.nodes[at].coordinator.unresolved_calls();
        }
    }
}
