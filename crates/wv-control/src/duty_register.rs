//! The register of a duty: its holder, its fence, and the platform calls that may still take effect.
//!
//! The version of the register is the fence. A claim writes the next version; recording a call keeps the version.
//! A call is recorded at a majority before it is sent, so that every later holder learns of it from its claim. Recorded
//! calls are dropped from the register by the next claim of a holder that knows what became of them.
use crate::core::Core;
use crate::types::Operation;
use nanoserde::{DeBin, SerBin};
use wv_consensus::{OperationOutcome, UpdateFn};
use wv_internal_protocol::RegisterValue;
use wv_promotion::{DutyState, Event, PromotionCall};

/// First byte of a value that lists calls. Values of earlier builds are the bare address of the holder.
const FORMAT_TAG: u8 = 1;

#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug)]
struct RecordedCall {
    id: String,
    fence: u64,
}

/// The decoded value of a duty's register.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
struct DutyRecord {
    holder: String,
    calls: Vec<RecordedCall>,
}

impl DutyRecord {
    fn new(holder: &str, calls: Vec<PromotionCall>) -> DutyRecord {
        let record = |call: PromotionCall| RecordedCall { id: call.id, fence: call.fence };
        DutyRecord { holder: holder.to_owned(), calls: calls.into_iter().map(record).collect() }
    }

    /// Decodes a register value. A holder of an earlier build may have made a call that it did not record.
    fn read(value: &RegisterValue) -> DutyRecord {
        let tagged = value.bytes.split_first().filter(|(tag, _)| **tag == FORMAT_TAG);
        if let Some(record) = tagged.and_then(|(_, bytes)| DeBin::deserialize_bin(bytes).ok()) {
            return record;
        }
        let holder = String::from_utf8_lossy(&value.bytes).into_owned();
        let unknown = (!holder.is_empty()).then(|| RecordedCall { id: String::new(), fence: value.version });
        DutyRecord { holder, calls: unknown.into_iter().collect() }
    }

    fn to_value(&self, fence: u64) -> RegisterValue {
        let mut bytes = vec![FORMAT_TAG];
        self.ser_bin(&mut bytes);
        wv_consensus::register_value(fence, bytes)
    }

    fn into_state(self, fence: u64) -> DutyState {
        DutyState { fence, recorded: self.into_calls() }
    }

    fn into_calls(self) -> Vec<PromotionCall> {
        self.calls.into_iter().map(|call| PromotionCall { id: call.id, fence: call.fence }).collect()
    }
}

fn register_key(service: &str) -> String {
    format!("duty/{service}")
}

impl Core {
    pub(crate) fn start_duty_op(&mut self, service: &str, waiting: Operation, update: Option<UpdateFn>) {
        let token = self.allocate_id();
        self.operations.insert(token, waiting);
        self.proposer.start(token, &register_key(service), update, self.now);
    }

    /// Reads which calls earlier holders recorded.
    pub(crate) fn read_duty(&mut self, service: &str) {
        let step = self.duty_step(service);
        self.start_duty_op(service, Operation::ReadDuty(service.to_owned(), step), None);
    }

    pub(crate) fn on_duty_read(&mut self, service: String, step: u64, outcome: OperationOutcome) {
        let state = match outcome {
            OperationOutcome::Read(value) => Some(DutyRecord::read(&value).into_state(value.version)),
            _ => None,
        };
        self.on_duty_event(&service, step, Event::DutyRead(state));
    }

    /// Claims the duty with one register write: the next fence under this node's name. Fences are unique per write.
    /// The calls recorded by others are kept; of its own ones this node knows which are unresolved.
    pub(crate) fn claim_duty(&mut self, service: &str) {
        self.platform_calls.confirm_started.insert(service.to_owned(), self.now);
        let holder = self.address.clone();
        let own_fence = self.fences.get(service).copied();
        let unresolved = self.duties.get(service).map(|duty| duty.unresolved_calls()).unwrap_or_default();
        let update: UpdateFn = Box::new(move |current| {
            let recorded = DutyRecord::read(current);
            let is_own = recorded.holder == holder && Some(current.version) == own_fence;
            let calls = if is_own { unresolved.clone() } else { recorded.into_calls() };
            Some(DutyRecord::new(&holder, calls).to_value(current.version + 1))
        });
        let step = self.duty_step(service);
        self.start_duty_op(service, Operation::ClaimDuty(service.to_owned(), step), Some(update));
    }

    pub(crate) fn on_duty_claimed(&mut self, service: String, step: u64, outcome: OperationOutcome) {
        let written = match outcome {
            OperationOutcome::Written(value) => Some((value.version, DutyRecord::read(&value))),
            _ => None,
        };
        let own = written.filter(|(_, record)| record.holder == self.address);
        let claim = own.map(|(fence, record)| record.into_state(fence));
        if let Some(claim) = &claim {
            self.fences.insert(service.clone(), claim.fence);
        }
        self.on_duty_event(&service, step, Event::FenceClaimed(claim));
    }

    /// Records the calls that are unresolved or about to be sent, if this node still holds the duty under its latest
    /// fence.
    pub(crate) fn record_calls(&mut self, service: &str) {
        self.platform_calls.confirm_started.insert(service.to_owned(), self.now);
        let (holder, fence) = (self.address.clone(), self.fences.get(service).copied());
        let unresolved = self.duties.get(service).map(|duty| duty.unresolved_calls()).unwrap_or_default();
        let update: UpdateFn = Box::new(move |current| {
            let is_held = Some(current.version) == fence && DutyRecord::read(current).holder == holder;
            is_held.then(|| DutyRecord::new(&holder, unresolved.clone()).to_value(current.version))
        });
        let step = self.duty_step(service);
        self.start_duty_op(service, Operation::ConfirmDuty(service.to_owned(), step), Some(update));
    }

    /// Whether the duty register still names this node under its latest fence.
    pub(crate) fn holds_duty_register(&self, service: &str, outcome: &OperationOutcome) -> bool {
        let fence = self.fences.get(service).copied();
        match outcome {
            OperationOutcome::Read(value) | OperationOutcome::Written(value) => {
                Some(value.version) == fence && DutyRecord::read(value).holder == self.address
            }
            OperationOutcome::Unchanged(_) | OperationOutcome::Unknown => false,
        }
    }

    pub(crate) fn on_duty_confirmed(&mut self, service: String, step: u64, outcome: OperationOutcome) {
        let is_ours = self.holds_duty_register(&service, &outcome);
        self.on_duty_event(&service, step, Event::FenceConfirmed(is_ours));
    }
}
