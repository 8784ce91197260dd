//! The platform's promotion endpoint. It looks at the fence when it works on a call, which may be long after the call
//! arrived, and then answers; the named database leads some time after that. Nothing can be read back from it.
use crate::simulation::{Event, Simulation};
use crate::MS;

/// How long control nodes wait for an answer.
const RESPONSE_TIMEOUT_US: u64 = 30_000 * MS;
/// When a control node notices that the platform has ended the connection without an answer.
const LOST_ANSWER_US: u64 = 1200 * MS;
const ANSWER_DELAY_US: u64 = 3 * MS;

/// A `POST /promotion` on its way.
#[derive(Clone, Debug)]
pub struct PlatformRequest {
    pub control: usize,
    pub incarnation: u64,
    pub request: u64,
    pub service: String,
    pub id: String,
    pub fence: u64,
    /// Its index in `Simulation::promotion_calls`.
    pub number: usize,
    /// When the caller stops waiting for the answer.
    pub response_deadline_us: u64,
}

#[derive(Clone, Debug)]
pub enum PlatformEvent {
    /// The platform works on a call that arrived earlier.
    Work(PlatformRequest),
    /// The caller may stop waiting for the answer.
    ResponseTimeout(PlatformRequest),
    /// A database that the platform accepted leads.
    Promote { database: usize },
}

impl Simulation {
    /// The control node that made the last promotion call.
    pub fn last_promotion_caller(&self) -> Option<usize> {
        self.promotion_callers.last().map(|(_, control, _)| *control)
    }

    pub(crate) fn handle_platform_event(&mut self, event: PlatformEvent) {
        match event {
            PlatformEvent::Work(call) => self.work_on_call(&call),
            PlatformEvent::ResponseTimeout(call) => self.time_out_response(&call),
            PlatformEvent::Promote { database } => self.promote(database),
        }
    }

    pub(crate) fn call_promotion(&mut self, control: usize, request: u64, service: String, (id, fence): (String, u64)) {
        let incarnation = self.controls[control].incarnation;
        let number = self.promotion_calls.len();
        self.promotion_calls.push((service.clone(), id.clone(), fence, None));
        self.promotion_callers.push((self.now, control, incarnation));
        let response_deadline_us = self.now + RESPONSE_TIMEOUT_US;
        let call = PlatformRequest { control, incarnation, request, service, id, fence, number, response_deadline_us };
        if self.is_platform_down {
            self.log_event(format!("promotion of {} under {fence}: the platform is down", call.id));
            return self.answer_call(&call, None, LOST_ANSWER_US);
        }
        match self.platform_delay_us {
            0 => self.work_on_call(&call),
            delay_us => {
                self.log_event(format!("promotion of {} under {fence}: the platform takes {delay_us} us", call.id));
                self.platform_busy_until_us = self.platform_busy_until_us.max(self.now + delay_us);
                self.schedule(RESPONSE_TIMEOUT_US, Event::Platform(PlatformEvent::ResponseTimeout(call.clone())));
                self.schedule(delay_us, Event::Platform(PlatformEvent::Work(call)));
            }
        }
    }

    /// The caller stops waiting if the platform has not worked on the call yet.
    fn time_out_response(&mut self, call: &PlatformRequest) {
        if self.promotion_calls[call.number].3.is_none() {
            self.answer_call(call, None, 0);
        }
    }

    /// Checks the fence and promotes the database.
    fn work_on_call(&mut self, call: &PlatformRequest) {
        let database = self.database_index(&call.id);
        let seen = self.fences.get(&call.service).copied().unwrap_or(0);
        let status = match database.map(|at| &self.databases[at]) {
            _ if call.fence < seen => 409,
            Some(instance) if instance.is_primary => 200,
            Some(instance) if instance.is_up && !instance.is_unreachable => 200,
            _ => 409,
        };
        self.fences.insert(call.service.clone(), call.fence.max(seen));
        self.promotion_calls[call.number].3 = Some(status);
        self.log_event(format!("promotion of {} under {}: {status}", call.id, call.fence));
        if let Some(database) = database.filter(|_| status == 200) {
            self.schedule(self.promotion_delay_us, Event::Platform(PlatformEvent::Promote { database }));
        }
        let is_waiting = self.now < call.response_deadline_us;
        match self.is_platform_losing_answers {
            true if is_waiting => self.answer_call(call, None, LOST_ANSWER_US),
            false if is_waiting => self.answer_call(call, Some(status), ANSWER_DELAY_US),
            _ => {}
        }
    }

    fn answer_call(&mut self, call: &PlatformRequest, code: Option<u16>, after: u64) {
        let (control, incarnation, request) = (call.control, call.incarnation, call.request);
        self.schedule(after, Event::PromotionResponse { control, incarnation, request, code });
    }
}
