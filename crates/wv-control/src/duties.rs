//! Duties held by this node: inputs to the promotion state machines and execution of their effects.
use crate::core::{Core, Effect};
use crate::types::{Operation, PendingRequest};
use wv_consensus::OperationOutcome;
use wv_internal_protocol::{FeedUpdate, Health, HealthReport, Leader, Message};
use wv_promotion::{Database, Effect as PromotionEffect, Event, ServiceView, StatusError, StatusReply};

/// How long contact must have lasted before a duty is acted on, so that membership is known.
const STABLE_CONTACT_US: u64 = 800_000;

fn duty_key(service: &str) -> String {
    format!("duty/{service}")
}

impl Core {
    pub(crate) fn record_health_reports(&mut self, node: &str, reports: Vec<HealthReport>) {
        let is_unhealthy = |report: &&HealthReport| !matches!(report.health, Health::Up | Health::Unknown);
        let unhealthy: Vec<String> = reports.iter().filter(is_unhealthy).map(|report| report.id.clone()).collect();
        for report in &reports {
            // The last fenced position of a leader that is gone still determines which databases may succeed it.
            let is_gone = self.table.get(&report.id).is_some_and(|inst| inst.gone);
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
    fn databases(&self, service: &str, lead: Option<&str>) -> Vec<Database> {
        let led = self.leader_changed_at.get(service).copied().unwrap_or(0);
        let is_counted = |inst: &&wv_internal_protocol::Instance| {
            let is_left = inst.gone && self.departures.get(&inst.id).is_some_and(|held| held.left_at >= led);
            !inst.gone || (is_left && Some(inst.id.as_str()) != lead)
        };
        let database = |inst: &wv_internal_protocol::Instance| Database {
            id: inst.id.clone(),
            is_draining: inst.draining,
            refused_for_us: self.refused_for_us(&inst.id),
            departed: inst.gone.then(|| self.departure_status(inst)),
        };
        self.table.service_instances(service).filter(is_counted).map(database).collect()
    }

    fn with_duty(
        &mut self,
        service: &str,
        run: impl FnOnce(&mut wv_promotion::PromotionCoordinator, &ServiceView<'_>),
    ) {
        let Some(mut duty) = self.duties.remove(service) else { return };
        let lead = self.feed.leader(service).map(|lead| lead.id.clone());
        let databases = self.databases(service, lead.as_deref());
        let service_conf = self.conf.as_ref().and_then(|conf| conf.services.get(service));
        let view = ServiceView {
            now: self.now,
            is_duty_holder: self.membership.is_duty_holder(service) && self.is_stable_for(STABLE_CONTACT_US),
            leader: lead.as_deref(),
            sync_replicas: service_conf.map_or(1, |held| held.sync_replicas),
            databases: &databases,
            is_switchover_requested: self.is_term_raise_needed(service),
            is_leader_suspected: lead
                .as_deref()
                .is_some_and(|lead| self.reports(lead).any(|(report, _)| report.health != Health::Up)),
            is_leader_closed_to_new_work: lead.as_deref().is_some_and(|lead| self.is_past_drain(lead)),
            is_leader_down: lead.as_deref().is_some_and(|lead| self.is_down(lead)),
            term: self.known_term(service),
            fenced_position: lead.as_deref().and_then(|lead| self.fenced_position(lead)),
        };
        run(&mut duty, &view);
        let effects = duty.take_effects();
        self.duties.insert(service.to_owned(), duty);
        effects.into_iter().for_each(|effect| self.apply_effect(service, effect));
    }

    /// Runs all duties held here, and those no longer held that still have effects to revert.
    pub(crate) fn run_duties(&mut self) {
        let Some(conf) = self.conf.as_ref() else { return };
        let is_engaged =
            |service: &&String| self.duties.get(*service).is_some_and(wv_promotion::PromotionCoordinator::is_active);
        let is_meant = |service: &&String| self.membership.is_duty_holder(service) || is_engaged(service);
        let services: Vec<String> = conf.services.keys().filter(is_meant).cloned().collect();
        self.duties.retain(|service, _| conf.services.contains_key(service));
        // A recreated duty restarts its step numbers, so outstanding requests of the old one must not match.
        self.platform_calls.requests.retain(|_, asked| asked.step == 0 || self.duties.contains_key(&asked.service));
        services.iter().for_each(|service| self.run_duty(service));
        self.poll_departed();
    }

    fn run_duty(&mut self, service: &str) {
        self.duties.entry(service.to_owned()).or_default();
        self.with_duty(service, |duty, view| duty.tick(view));
    }

    /// Runs the duties of the affected services immediately instead of at the next tick.
    fn run_duties_for(&mut self, ids: &[String]) {
        let service = |id: &String| self.table.get(id).map(|inst| inst.service.clone());
        let services: std::collections::BTreeSet<String> = ids.iter().filter_map(service).collect();
        let is_known = |service: &String| self.conf.as_ref().is_some_and(|conf| conf.services.contains_key(service));
        let held = services.into_iter().filter(|service| is_known(service) && self.membership.is_duty_holder(service));
        held.collect::<Vec<String>>().iter().for_each(|service| self.run_duty(service));
    }

    pub(crate) fn duty_step(&self, service: &str) -> u64 {
        self.duties.get(service).map_or(0, wv_promotion::PromotionCoordinator::step_number)
    }

    /// Delivers an event only to the step that requested it: in a later step it would be taken for another reply.
    pub(crate) fn on_duty_event(&mut self, service: &str, turn: u64, event: Event) {
        if turn > 0 && turn == self.duty_step(service) {
            self.with_duty(service, |duty, view| duty.handle_event(event, view));
        }
    }

    pub(crate) fn track_request(&mut self, service: &str, id: &str, turn: u64) -> u64 {
        let ask = self.allocate_id();
        self.platform_calls
            .requests
            .insert(ask, PendingRequest { service: service.to_owned(), id: id.to_owned(), step: turn });
        ask
    }

    fn apply_effect(&mut self, service: &str, effect: PromotionEffect) {
        log::info!("duty {service}: {effect:?}");
        let turn = self.duty_step(service);
        match effect {
            PromotionEffect::ClaimFence => self.claim_duty(service),
            PromotionEffect::ConfirmFence => {
                self.platform_calls.confirm_started.insert(service.to_owned(), self.now);
                self.start_duty_op(service, Operation::ConfirmDuty(service.to_owned(), turn), None);
            }
            PromotionEffect::QueryStatus { id } => self.send_db_request(service, id, "ENQUIRY".to_owned(), turn),
            PromotionEffect::Suspend { id, term } => self.send_db_request(service, id, format!("SUSPEND {term}"), turn),
            PromotionEffect::Continue { id } => self.send_db_request(service, id, "CONTINUE".to_owned(), 0),
            PromotionEffect::Yield { id, term } => self.send_db_request(service, id, format!("YIELD {term}"), 0),
            PromotionEffect::Demote { id, term } => self.send_db_request(service, id, format!("YIELD {term}"), turn),
            PromotionEffect::RequestPromotion { id, fence } => self.request_promotion(service, id, fence),
            PromotionEffect::ReportBlocked(obstacle) => self.count_stall(service, &obstacle),
            PromotionEffect::AnnounceLeader { id, term } => {
                let lead = Leader { service: service.to_owned(), id, term };
                self.send_peers(&Message::Leader(lead.clone()));
                self.on_leader(lead);
            }
        }
    }

    pub(crate) fn on_leader(&mut self, lead: Leader) {
        let held = self.feed.leader(&lead.service);
        // Ignores older terms and repeated messages.
        if held.is_none_or(|held| held.term < lead.term && !(held.id == lead.id && held.term == lead.term)) {
            self.record_lead_change(&lead);
            self.is_table_unsaved = true;
            self.leadership.promoted.insert(lead.service.clone(), lead.clone());
            self.publish(FeedUpdate::Leader(lead));
        }
    }

    /// Departures before a change of leader no longer matter: the new leader's log holds everything acknowledged.
    pub(crate) fn record_lead_change(&mut self, lead: &Leader) {
        if self.feed.leader(&lead.service).is_some_and(|held| held.id != lead.id) {
            self.leader_changed_at.insert(lead.service.clone(), self.now);
        }
    }

    pub(crate) fn send_db_request(&mut self, service: &str, id: String, statement: String, turn: u64) {
        match self.table.get(&id).map(|inst| inst.address.clone()) {
            Some(addr) => {
                let request = self.track_request(service, &id, turn);
                self.effects.push(Effect::QueryDatabase { request, service: service.to_owned(), id, addr, statement });
            }
            None => self.on_duty_event(service, turn, Event::Status { id, reply: Err(StatusError::Refused) }),
        }
    }

    /// Handles a database's status reply, or the failure to get one.
    pub fn on_db_status(&mut self, ask: u64, reply: StatusReply, now: u64) {
        self.advance_clock(now);
        let Some(PendingRequest { service, id, step: turn }) = self.platform_calls.requests.remove(&ask) else {
            return;
        };
        log::info!("duty {service}: status of {id}: {reply:?}");
        self.record_departure_reply(&id, reply);
        self.on_duty_event(&service, turn, Event::Status { id, reply });
        self.run_proposer();
    }

    /// Handles the platform's response to a promotion call, or the failure to get one.
    pub fn on_promotion_response(&mut self, ask: u64, code: Option<u16>, now: u64) {
        self.advance_clock(now);
        let Some(PendingRequest { service, id, step: turn }) = self.platform_calls.requests.remove(&ask) else {
            return;
        };
        log::info!("duty {service}: platform returned {code:?} for {id}");
        self.on_duty_event(&service, turn, Event::PromotionReturned(code));
        self.run_proposer();
    }

    pub(crate) fn start_duty_op(&mut self, service: &str, waiting: Operation, edit: Option<wv_consensus::UpdateFn>) {
        let token = self.allocate_id();
        self.operations.insert(token, waiting);
        self.proposer.start(token, &duty_key(service), edit, self.now);
    }

    /// Claims the duty with a single register write: the next fence under this node's name. Fences are unique per
    /// write.
    fn claim_duty(&mut self, service: &str) {
        self.platform_calls.confirm_started.insert(service.to_owned(), self.now);
        let name = self.address.clone().into_bytes();
        let edit: wv_consensus::UpdateFn =
            Box::new(move |held| Some(wv_consensus::register_value(held.version + 1, name.clone())));
        let turn = self.duty_step(service);
        self.start_duty_op(service, Operation::ClaimDuty(service.to_owned(), turn), Some(edit));
    }

    /// A previous holder may have a promotion call in flight, unless the previous claim was made by this incarnation.
    pub(crate) fn on_duty_claimed(
        &mut self,
        service: String,
        turn: u64,
        outcome: OperationOutcome,
        before: &wv_internal_protocol::RegisterValue,
    ) {
        let is_mine = |cell: &wv_internal_protocol::RegisterValue| cell.bytes == self.address.as_bytes();
        let fence = match outcome {
            OperationOutcome::Written(cell) if is_mine(&cell) => Some(cell.version),
            _ => None,
        };
        let is_succession = before.version > 0 && self.fences.get(&service) != Some(&before.version);
        if let Some(fence) = fence {
            self.fences.insert(service.clone(), fence);
        }
        self.on_duty_event(&service, turn, Event::FenceClaimed(fence.map(|fence| (fence, is_succession))));
    }

    /// Whether the duty register still names this node under its latest fence.
    pub(crate) fn holds_duty_register(&self, service: &str, outcome: &OperationOutcome) -> bool {
        let fence = self.fences.get(service).copied();
        matches!(outcome, OperationOutcome::Read(cell) if Some(cell.version) == fence && cell.bytes == self.address.as_bytes())
    }

    pub(crate) fn on_duty_confirmed(&mut self, service: String, turn: u64, outcome: OperationOutcome) {
        let is_ours = self.holds_duty_register(&service, &outcome);
        self.on_duty_event(&service, turn, Event::FenceConfirmed(is_ours));
    }
}
