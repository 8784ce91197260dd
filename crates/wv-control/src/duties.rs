//! The duties this node holds: what the promotion machines read, and what they order.
use crate::core::{Action, Core};
use crate::types::{Operation, PendingRequest};
use wv_consensus::Outcome;
use wv_internal_protocol::{FeedUpdate, Health, HealthReport, Leader, Message};
use wv_promotion::{Database, Effect, Event, Silent, StatusReply, View};

/// A node that has just started, or was out of contact, first hears who is there.
const SETTLE_US: u64 = 800_000;

fn key(service: &str) -> String {
    format!("duty/{service}")
}

impl Core {
    pub(crate) fn take_sights(&mut self, node: &str, sights: Vec<HealthReport>) {
        let is_bad = |sight: &&HealthReport| !matches!(sight.health, Health::Up | Health::Unknown);
        let bad: Vec<String> = sights.iter().filter(is_bad).map(|sight| sight.id.clone()).collect();
        for sight in &sights {
            // Of a leader that is gone the last fenced sighting still tells who may follow it.
            let is_gone = self.table.get(&sight.id).is_some_and(|inst| inst.gone);
            let words = self.health_reports.entry(sight.id.clone()).or_default();
            if sight.health == Health::Unknown && (sight.fenced_position.is_empty() || !is_gone) {
                words.remove(node);
            } else {
                words.insert(node.to_owned(), (self.now, sight.clone()));
            }
        }
        self.watch_falls(&sights);
        if !bad.is_empty() {
            self.run_duties_of(&bad);
        }
    }

    /// The databases of a service, and those that left it under the present lead.
    fn databases(&self, service: &str, lead: Option<&str>) -> Vec<Database> {
        let led = self.leader_changed_at.get(service).copied().unwrap_or(0);
        let is_counted = |inst: &&wv_internal_protocol::Instance| {
            let is_left = inst.gone && self.departures.get(&inst.id).is_some_and(|held| held.at >= led);
            !inst.gone || (is_left && Some(inst.id.as_str()) != lead)
        };
        let database = |inst: &wv_internal_protocol::Instance| Database {
            id: inst.id.clone(),
            is_draining: inst.draining,
            refused_us: self.refused_for_us(&inst.id),
            left: inst.gone.then(|| self.departed(inst)),
        };
        self.table.of(service).filter(is_counted).map(database).collect()
    }

    fn with_duty(&mut self, service: &str, turn: impl FnOnce(&mut wv_promotion::Duty, &View<'_>)) {
        let Some(mut duty) = self.duties.remove(service) else { return };
        let lead = self.feed.lead(service).map(|lead| lead.id.clone());
        let databases = self.databases(service, lead.as_deref());
        let service_conf = self.conf.as_ref().and_then(|conf| conf.services.get(service));
        let view = View {
            now: self.now,
            is_holder: self.membership.is_duty_holder(service) && self.is_settled(SETTLE_US),
            lead: lead.as_deref(),
            sync_replicas: service_conf.map_or(1, |held| held.sync_replicas),
            databases: &databases,
            is_raise_wanted: self.is_term_raise_needed(service),
            is_lead_doubted: lead
                .as_deref()
                .is_some_and(|lead| self.reports(lead).any(|(sight, _)| sight.health != Health::Up)),
            is_lead_past_drain: lead.as_deref().is_some_and(|lead| self.is_past_drain(lead)),
            is_lead_down: lead.as_deref().is_some_and(|lead| self.is_down(lead)),
            term: self.known_term(service),
            fenced: lead.as_deref().and_then(|lead| self.fenced_position(lead)),
        };
        turn(&mut duty, &view);
        let effects = duty.take_effects();
        self.duties.insert(service.to_owned(), duty);
        effects.into_iter().for_each(|effect| self.obey(service, effect));
    }

    /// All duties that are held here, and those held until now, which have something to undo.
    pub(crate) fn run_duties(&mut self) {
        let Some(conf) = self.conf.as_ref() else { return };
        let is_engaged = |service: &&String| self.duties.get(*service).is_some_and(wv_promotion::Duty::is_engaged);
        let is_meant = |service: &&String| self.membership.is_duty_holder(service) || is_engaged(service);
        let services: Vec<String> = conf.services.keys().filter(is_meant).cloned().collect();
        self.duties.retain(|service, _| conf.services.contains_key(service));
        // A duty that begins anew counts its steps anew.
        self.calls.requests.retain(|_, asked| asked.step == 0 || self.duties.contains_key(&asked.service));
        services.iter().for_each(|service| self.run_duty(service));
        self.watch_departed();
    }

    fn run_duty(&mut self, service: &str) {
        self.duties.entry(service.to_owned()).or_default();
        self.with_duty(service, |duty, view| duty.tick(view));
    }

    /// Bad news is acted on at once rather than at the next turn: by the duties of the services it is about.
    fn run_duties_of(&mut self, ids: &[String]) {
        let service = |id: &String| self.table.get(id).map(|inst| inst.service.clone());
        let services: std::collections::BTreeSet<String> = ids.iter().filter_map(service).collect();
        let is_known = |service: &String| self.conf.as_ref().is_some_and(|conf| conf.services.contains_key(service));
        let held = services.into_iter().filter(|service| is_known(service) && self.membership.is_duty_holder(service));
        held.collect::<Vec<String>>().iter().for_each(|service| self.run_duty(service));
    }

    pub(crate) fn turn(&self, service: &str) -> u64 {
        self.duties.get(service).map_or(0, wv_promotion::Duty::step_number)
    }

    /// An answer counts in the step that asked for it; in a later one it would pass for another's answer.
    pub(crate) fn duty_event(&mut self, service: &str, turn: u64, event: Event) {
        if turn > 0 && turn == self.turn(service) {
            self.with_duty(service, |duty, view| duty.event(event, view));
        }
    }

    pub(crate) fn ask(&mut self, service: &str, id: &str, turn: u64) -> u64 {
        let ask = self.allocate_id();
        self.calls.requests.insert(ask, PendingRequest { service: service.to_owned(), id: id.to_owned(), step: turn });
        ask
    }

    fn obey(&mut self, service: &str, effect: Effect) {
        log::info!("duty {service}: {effect:?}");
        let turn = self.turn(service);
        match effect {
            Effect::Claim => self.claim_duty(service),
            Effect::Confirm => {
                self.calls.confirm_started.insert(service.to_owned(), self.now);
                self.ask_register(service, Operation::ConfirmDuty(service.to_owned(), turn), None);
            }
            Effect::Look { id } => self.ask_db(service, id, "ENQUIRY".to_owned(), turn),
            Effect::Suspend { id, term } => self.ask_db(service, id, format!("SUSPEND {term}"), turn),
            Effect::Continue { id } => self.ask_db(service, id, "CONTINUE".to_owned(), 0),
            Effect::Yield { id, term } => self.ask_db(service, id, format!("YIELD {term}"), 0),
            Effect::Depose { id, term } => self.ask_db(service, id, format!("YIELD {term}"), turn),
            Effect::Post { id, fence } => self.request_promotion(service, id, fence),
            Effect::Stalled(obstacle) => self.count_stall(service, &obstacle),
            Effect::Led { id, term } => {
                let lead = Leader { service: service.to_owned(), id, term };
                self.send_peers(&Message::Leader(lead.clone()));
                self.lead_told(lead);
            }
        }
    }

    pub(crate) fn lead_told(&mut self, lead: Leader) {
        let held = self.feed.lead(&lead.service);
        // A term already known to be over is old news; the same word again is none.
        if held.is_none_or(|held| held.term < lead.term && !(held.id == lead.id && held.term == lead.term)) {
            self.note_led(&lead);
            self.is_table_unsaved = true;
            self.leadership.promoted.insert(lead.service.clone(), lead.clone());
            self.publish(FeedUpdate::Leader(lead));
        }
    }

    /// What left before this one came to lead matters no more: all that was acknowledged stands in its log.
    pub(crate) fn note_led(&mut self, lead: &Leader) {
        if self.feed.lead(&lead.service).is_some_and(|held| held.id != lead.id) {
            self.leader_changed_at.insert(lead.service.clone(), self.now);
        }
    }

    pub(crate) fn ask_db(&mut self, service: &str, id: String, text: String, turn: u64) {
        match self.table.get(&id).map(|inst| inst.address.clone()) {
            Some(addr) => {
                let ask = self.ask(service, &id, turn);
                self.actions.push(Action::QueryDatabase {
                    request: ask,
                    service: service.to_owned(),
                    id,
                    addr,
                    statement: text,
                });
            }
            None => self.duty_event(service, turn, Event::Row { id, reply: Err(Silent::Refused) }),
        }
    }

    /// A database's row came, or did not.
    pub fn row(&mut self, ask: u64, reply: StatusReply, now: u64) {
        self.at(now);
        let Some(PendingRequest { service, id, step: turn }) = self.calls.requests.remove(&ask) else {
            return;
        };
        log::info!("duty {service}: row of {id}: {reply:?}");
        self.note_ended(&id, reply);
        self.duty_event(&service, turn, Event::Row { id, reply });
        self.run_quorum();
    }

    /// The platform's return came, or did not.
    pub fn posted(&mut self, ask: u64, code: Option<u16>, now: u64) {
        self.at(now);
        let Some(PendingRequest { service, id, step: turn }) = self.calls.requests.remove(&ask) else {
            return;
        };
        log::info!("duty {service}: platform returned {code:?} for {id}");
        self.duty_event(&service, turn, Event::Posted(code));
        self.run_quorum();
    }

    pub(crate) fn ask_register(&mut self, service: &str, waiting: Operation, edit: Option<wv_consensus::Edit>) {
        let token = self.allocate_id();
        self.operations.insert(token, waiting);
        self.quorum.start(token, &key(service), edit, self.now);
    }

    /// Takes the duty in one change: the next fence, in this node's name. No two changes make the same fence.
    fn claim_duty(&mut self, service: &str) {
        self.calls.confirm_started.insert(service.to_owned(), self.now);
        let name = self.address.clone().into_bytes();
        let edit: wv_consensus::Edit = Box::new(move |held| Some(wv_consensus::cell(held.version + 1, name.clone())));
        let turn = self.turn(service);
        self.ask_register(service, Operation::ClaimDuty(service.to_owned(), turn), Some(edit));
    }

    /// Whoever held the duty before may have a call under way, unless it was this life's own last claim.
    pub(crate) fn duty_claimed(
        &mut self,
        service: String,
        turn: u64,
        outcome: Outcome,
        before: &wv_internal_protocol::RegisterValue,
    ) {
        let is_mine = |cell: &wv_internal_protocol::RegisterValue| cell.bytes == self.address.as_bytes();
        let fence = match outcome {
            Outcome::Written(cell) if is_mine(&cell) => Some(cell.version),
            _ => None,
        };
        let is_succession = before.version > 0 && self.fences.get(&service) != Some(&before.version);
        if let Some(fence) = fence {
            self.fences.insert(service.clone(), fence);
        }
        self.duty_event(&service, turn, Event::Claimed(fence.map(|fence| (fence, is_succession))));
    }

    /// Whether the register still names this node under its own last fence.
    pub(crate) fn is_ours(&self, service: &str, outcome: &Outcome) -> bool {
        let fence = self.fences.get(service).copied();
        matches!(outcome, Outcome::Read(cell) if Some(cell.version) == fence && cell.bytes == self.address.as_bytes())
    }

    pub(crate) fn duty_confirmed(&mut self, service: String, turn: u64, outcome: Outcome) {
        let is_ours = self.is_ours(&service, &outcome);
        self.duty_event(&service, turn, Event::Confirmed(is_ours));
    }
}
