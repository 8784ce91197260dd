//! How long a request may wait before it is sent; after that it is refused without being executed.
use crate::core::Core;
use crate::timer::Timer;

/// A request is refused after waiting for this fraction of its target latency (1/N).
const WAIT_TARGET_DIVISOR: u64 = 4;

impl Core {
    /// Schedules the end of the time that the request may wait.
    pub(crate) fn schedule_wait_limit(&mut self, id: u64) {
        if let Some(request) = self.clients.get(&id).map(|client| &client.request) {
            let at = self.wait_deadline(id);
            self.timers.schedule(at, Timer::WaitLimit { client: id, sequence: request.sequence });
        }
    }

    fn wait_deadline(&self, id: u64) -> u64 {
        let Some(request) = self.clients.get(&id).map(|client| &client.request) else { return 0 };
        let Some(route) = request.route.as_ref() else { return request.opened_at };
        let max_wait_us = route.target_us / WAIT_TARGET_DIVISOR;
        (request.waiting_since + max_wait_us - max_wait_us / 8).min(request.client_deadline)
    }

    /// Refuses the request if its time to wait is over.
    pub(crate) fn expire_wait(&mut self, id: u64, sequence: u64) {
        let is_waiting = self.clients.get(&id).is_some_and(|client| {
            let request = &client.request;
            request.is_open
                && request.sequence == sequence
                && request.db.is_none()
                && request.forwarded_session.is_none()
        });
        if !is_waiting || self.now < self.wait_deadline(id) {
            return;
        }
        if self.stop_waiting_for_owner(id) {
            return self.dispatch_locally(id);
        }
        self.refuse_request(id);
    }
}
