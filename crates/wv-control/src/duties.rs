//! Duties held by this node: inputs to the promotion state machines and execution of their effects.
use crate::core::{Core, Effect};
use crate::types::{Operation, PendingRequest, RequestPurpose};
use wv_internal_protocol::{FeedUpdate, Health, HealthReport, Leader, Message};
use wv_promotion::{
    Database, Effect as PromotionEffect, Event, PromotionCoordinator, ServiceView, StatusError, StatusReply,
};

/// How long contact must have lasted before a duty is acted on, so that membership is known.
const STABLE_CONTACT_US: u64 = 800_000;

impl Core {
    pub(crate) fn record_health_reports(&mut self, node: &str, reports: Vec<HealthReport>) {
        let is_unhealthy = |report: &&HealthReport| !matches!(report.health, Health::Up | Health::Unknown);
        let unhealthy: Vec<String> = reports.iter().filter(is_unhealthy).map(|report| report.id.clone()).collect();
        for report in &reports {
            // The last fenced position of a leader that is gone still determines which databases may succeed it.
            let is_gone = self.table.get(&report.id).is_some_and(|instance| instance.gone);
            let by_node = self.health_reports.entry(report.id.clone()).or_default();
            if report.health == Health::Unknown && (report.fenced_position.is_empty() || !is_gone) {
                by_node.remove(node);
            } else {
                by_node.insert(node.to_owned(), (self.now, report.clone()));
            }
        }
        self.track_outages(&reports);
        if !unhealthy.is_empty() {
            self.run_duties_for(&unhealthy);
        }
    }

    /// The databases of a service, including those that left under the current leader.
    fn databases(&self, service: &str, leader: Option<&str>) -> Vec<Database> {
        let led_since = self.leader_changed_at.get(service).copied().unwrap_or(0);
        let is_counted = |instance: &&wv_internal_protocol::Instance| {
            let is_left = instance.gone
                && self.departures.get(&instance.id).is_some_and(|departure| departure.left_at >= led_since);
            !instance.gone || (is_left && Some(instance.id.as_str()) != leader)
        };
        let database = |instance: &wv_internal_protocol::Instance| Database {
            id: instance.id.clone(),
            is_draining: instance.draining,
            refused_for_us: self.refused_for_us(&instance.id),
            departed: instance.gone.then(|| self.departure_status(instance)),
        };
        self.table.service_instances(service).filter(is_counted).map(database).collect()
    }

    pub(crate) fn with_duty(&mut self, service: &str, run: impl FnOnce(&mut PromotionCoordinator, &ServiceView<'_>)) {
        let Some(mut duty) = self.duties.remove(service) else { return };
        let leader = self.feed.leader(service).map(|leader| leader.id.clone());
        let databases = self.databases(service, leader.as_deref());
        let settings = self.configuration.as_ref().and_then(|configuration| configuration.services.get(service));
        let view = ServiceView {
            now: self.now,
            is_duty_holder: self.membership.is_duty_holder(service) && self.is_stable_for(STABLE_CONTACT_US),
            leader: leader.as_deref(),
            sync_replicas: settings.map_or(1, |settings| settings.sync_replicas),
            databases: &databases,
            is_switchover_requested: self.is_term_raise_needed(service),
            is_leader_suspected: leader
                .as_deref()
                .is_some_and(|leader| self.reports(leader).any(|(report, _)| report.health != Health::Up)),
            is_leader_closed_to_new_work: leader.as_deref().is_some_and(|leader| self.is_past_drain(leader)),
            has_leader_stepped_down: leader
                .as_deref()
                .is_some_and(|leader| self.has_leader_stepped_down(service, leader)),
            is_leader_down: leader.as_deref().is_some_and(|leader| self.is_down(leader)),
            term: self.known_term(service),
            fenced_position: leader.as_deref().and_then(|leader| self.fenced_position(leader)),
        };
        run(&mut duty, &view);
        let effects = duty.take_effects();
        self.duties.insert(service.to_owned(), duty);
        effects.into_iter().for_each(|effect| self.apply_effect(service, effect));
    }

    /// Runs all duties held here, and those no longer held that still have effects to revert.
    pub(crate) fn run_duties(&mut self) {
        let Some(configuration) = self.configuration.as_ref() else { return };
        let is_active = |service: &&String| self.duties.get(*service).is_some_and(PromotionCoordinator::is_active);
        let is_relevant = |service: &&String| self.membership.is_duty_holder(service) || is_active(service);
        let services: Vec<String> = configuration.services.keys().filter(is_relevant).cloned().collect();
        self.duties.retain(|service, _| configuration.services.contains_key(service));
        // A recreated duty restarts its step numbers, so outstanding requests of the old one must not match.
        self.platform_calls.requests.retain(|_, call| call.step == 0 || self.duties.contains_key(&call.service));
        services.iter().for_each(|service| self.run_duty(service));
        self.poll_departed();
    }

    fn run_duty(&mut self, service: &str) {
        self.duties.entry(service.to_owned()).or_default();
        self.with_duty(service, |duty, view| duty.tick(view));
    }

    /// Runs the duties of the affected services immediately instead of at the next tick.
    fn run_duties_for(&mut self, ids: &[String]) {
        let service = |id: &String| self.table.get(id).map(|instance| instance.service.clone());
        let services: std::collections::BTreeSet<String> = ids.iter().filter_map(service).collect();
        let is_known = |service: &String| {
            self.configuration.as_ref().is_some_and(|configuration| configuration.services.contains_key(service))
        };
        let affected =
            services.into_iter().filter(|service| is_known(service) && self.membership.is_duty_holder(service));
        affected.collect::<Vec<String>>().iter().for_each(|service| self.run_duty(service));
    }

    /// Passes a heartbeat to the duty of the database's service.
    pub(crate) fn on_database_reported(&mut self, instance: &wv_internal_protocol::Instance) {
        if !instance.gone && self.duties.get(&instance.service).is_some_and(|duty| duty.has_unresolved_calls()) {
            self.with_duty(&instance.service, |duty, view| duty.on_database_reported(&instance.id, view));
        }
    }

    pub(crate) fn duty_step(&self, service: &str) -> u64 {
        self.duties.get(service).map_or(0, PromotionCoordinator::step_number)
    }

    /// Delivers an event only to the step that requested it: in a later step it would be taken for another reply.
    pub(crate) fn on_duty_event(&mut self, service: &str, step: u64, event: Event) {
        if step > 0 && step == self.duty_step(service) {
            self.with_duty(service, |duty, view| duty.handle_event(event, view));
        }
    }

    pub(crate) fn track_request(&mut self, service: &str, id: &str, step: u64) -> u64 {
        let request = self.allocate_id();
        let pending =
            PendingRequest { service: service.to_owned(), id: id.to_owned(), step, purpose: RequestPurpose::Status };
        self.platform_calls.requests.insert(request, pending);
        request
    }

    fn apply_effect(&mut self, service: &str, effect: PromotionEffect) {
        log::info!("duty {service}: {effect:?}");
        let step = self.duty_step(service);
        match effect {
            PromotionEffect::ReadDuty => self.read_duty(service),
            PromotionEffect::ClaimFence => self.claim_duty(service),
            PromotionEffect::RecordCall { .. } | PromotionEffect::RecordResolution => self.record_calls(service),
            PromotionEffect::ConfirmFence => {
                self.platform_calls.confirm_started.insert(service.to_owned(), self.now);
                self.start_duty_op(service, Operation::ConfirmDuty(service.to_owned(), step), None);
            }
            PromotionEffect::QueryStatus { id } => self.send_db_request(service, id, "ENQUIRY".to_owned(), step),
            PromotionEffect::Suspend { id, term } => self.send_db_request(service, id, format!("SUSPEND {term}"), step),
            PromotionEffect::Continue { id } => self.resume_replica(service, id),
            PromotionEffect::Yield { id, term } => self.send_db_request(service, id, format!("YIELD {term}"), 0),
            PromotionEffect::Demote { id, term } => self.send_db_request(service, id, format!("YIELD {term}"), step),
            PromotionEffect::RequestPromotion { id, fence } => self.request_promotion(service, id, fence),
            PromotionEffect::ReportBlocked(reason) => self.count_stall(service, &reason),
            PromotionEffect::AnnounceLeader { id, term } => {
                let leader = Leader { service: service.to_owned(), id, term };
                self.send_peers(&Message::Leader(leader.clone()));
                self.on_leader(leader);
            }
        }
    }

    pub(crate) fn on_leader(&mut self, leader: Leader) {
        let known = self.feed.leader(&leader.service);
        // Ignores older terms and repeated messages.
        if known.is_none_or(|known| known.term < leader.term && !(known.id == leader.id && known.term == leader.term)) {
            self.record_leader_change(&leader);
            self.is_table_unsaved = true;
            self.leadership.promoted.insert(leader.service.clone(), leader.clone());
            self.publish(FeedUpdate::Leader(leader));
        }
    }

    /// Departures before a change of leader no longer matter: the new leader's log holds everything acknowledged.
    pub(crate) fn record_leader_change(&mut self, leader: &Leader) {
        if self.feed.leader(&leader.service).is_some_and(|known| known.id != leader.id) {
            self.leader_changed_at.insert(leader.service.clone(), self.now);
        }
    }

    pub(crate) fn send_db_request(&mut self, service: &str, id: String, statement: String, step: u64) {
        match self.table.get(&id).map(|instance| instance.address.clone()) {
            Some(addr) => {
                let request = self.track_request(service, &id, step);
                self.effects.push(Effect::QueryDatabase { request, service: service.to_owned(), id, addr, statement });
            }
            None => self.on_duty_event(service, step, Event::Status { id, reply: Err(StatusError::Refused) }),
        }
    }

    /// Sends `CONTINUE`; its answer counts in whatever step it arrives.
    fn resume_replica(&mut self, service: &str, id: String) {
        let Some(addr) = self.table.get(&id).map(|instance| instance.address.clone()) else { return };
        let request = self.track_request(service, &id, 0);
        let pending = self.platform_calls.requests.get_mut(&request);
        pending.into_iter().for_each(|pending| pending.purpose = RequestPurpose::Resume);
        let (service, statement) = (service.to_owned(), "CONTINUE".to_owned());
        self.effects.push(Effect::QueryDatabase { request, service, id, addr, statement });
    }

    /// Handles a database's status reply, or the failure to get one.
    pub fn on_db_status(&mut self, request: u64, reply: StatusReply, now: u64) {
        self.advance_clock(now);
        let Some(PendingRequest { service, id, step, purpose }) = self.platform_calls.requests.remove(&request) else {
            return;
        };
        log::info!("duty {service}: status of {id}: {reply:?}");
        self.record_departure_reply(&id, reply);
        match purpose {
            RequestPurpose::Resume => {
                self.with_duty(&service, |duty, view| duty.handle_event(Event::Resumed { id, reply }, view))
            }
            _ => self.on_duty_event(&service, step, Event::Status { id, reply }),
        }
        self.run_proposer();
    }
}
