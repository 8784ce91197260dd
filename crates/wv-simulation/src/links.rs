//! Links from access nodes to control nodes and between control nodes.
use crate::nodes::LinkEnd;
use crate::simulation::{Event, Simulation, LINK_DELAY_US};
use crate::MS;
use wv_access::ReportScope;
use wv_internal_protocol::Message;

impl Simulation {
    /// Sends the access node's heartbeat, or connects to the next control node if the session has timed out.
    pub(crate) fn maintain_session(&mut self, at: usize) {
        self.schedule(400 * MS, Event::AccessSession(at));
        let now = self.now;
        let Some(core) = self.access[at].core.as_mut() else { return };
        let (is_stalled, node) = (core.needs_new_session(), &mut self.access[at]);
        if let Some(end) = node.session.filter(|_| !is_stalled && node.last_received_us + 1300 * MS > now) {
            node.heartbeats += 1;
            let scope = if node.heartbeats % 10 == 0 { ReportScope::Periodic } else { ReportScope::Heartbeat };
            let is_leaving = node.core.as_ref().is_some_and(|core| core.is_shutting_down());
            let health_reports = node.core.as_mut().map(|core| core.take_health_reports(scope)).unwrap_or_default();
            self.schedule(
                LINK_DELAY_US,
                Event::LinkMessage { to: end, msg: Message::AccessHeartbeat { leaving: is_leaving } },
            );
            if !health_reports.is_empty() {
                self.schedule(
                    LINK_DELAY_US,
                    Event::LinkMessage { to: end, msg: Message::HealthReports(health_reports) },
                );
            }
            self.send_reports(at, end, false);
            return;
        }
        node.session.take().into_iter().for_each(|end| self.schedule(LINK_DELAY_US, Event::LinkDown { end }));
        let node = &mut self.access[at];
        node.control_index += 1;
        node.attempt += 1;
        let (to, name, incarnation, attempt) =
            (node.control_index % self.controls.len(), node.name.clone(), node.incarnation, node.attempt);
        let is_unreachable =
            self.frozen_controls.contains(&to) || self.is_unconnectable(&name, &self.controls[to].name);
        let Some(core) = self.controls[to].core.as_mut().filter(|_| !is_unreachable) else { return };
        let link = core.accept_link(now);
        let end = LinkEnd::Control { at: to, link, incarnation: self.controls[to].incarnation };
        self.controls[to].peer_ends.insert(link, LinkEnd::Access { at, incarnation, attempt });
        (self.access[at].session, self.access[at].last_received_us) = (Some(end), now);
        let position = self.access[at].core.as_mut().map_or((0, 0), |core| core.begin_control_session(now));
        self.schedule(
            LINK_DELAY_US,
            Event::LinkMessage {
                to: end,
                msg: Message::Hello {
                    node: name,
                    control_address: String::new(),
                    zone: String::new(),
                    forwarding_address: format!("peer:{at}"),
                    incarnation,
                },
            },
        );
        self.schedule(
            LINK_DELAY_US,
            Event::LinkMessage { to: end, msg: Message::Subscribe { incarnation: position.0, position: position.1 } },
        );
        let health_reports =
            self.access[at].core.as_mut().map(|core| core.take_health_reports(ReportScope::Full)).unwrap_or_default();
        self.schedule(LINK_DELAY_US, Event::LinkMessage { to: end, msg: Message::HealthReports(health_reports) });
        self.send_reports(at, end, true);
    }

    fn send_reports(&mut self, at: usize, to: LinkEnd, is_start: bool) {
        let reports = self.access[at].core.as_mut().map(|core| core.take_split_reports(is_start)).unwrap_or_default();
        reports.into_iter().for_each(|msg| self.schedule(LINK_DELAY_US, Event::LinkMessage { to, msg }));
    }

    pub(crate) fn dial(&mut self, at: usize, link: u64, addr: &str) {
        let to = self.controls.iter().position(|control| control.addr == addr);
        let end = LinkEnd::Control { at, link, incarnation: self.controls[at].incarnation };
        let name = self.controls[at].name.clone();
        let now = self.now;
        let is_unavailable =
            |to: &usize| self.frozen_controls.contains(to) || self.is_unconnectable(&name, &self.controls[*to].name);
        let to = to.filter(|to| self.controls[*to].core.is_some() && !is_unavailable(to));
        let Some(to) = to else { return self.schedule(2 * LINK_DELAY_US, Event::LinkDown { end }) };
        let Some(peer) = self.controls[to].core.as_mut().map(|core| core.accept_link(now)) else { return };
        let peer_end = LinkEnd::Control { at: to, link: peer, incarnation: self.controls[to].incarnation };
        self.controls[at].peer_ends.insert(link, peer_end);
        self.controls[to].peer_ends.insert(peer, end);
        self.schedule(2 * LINK_DELAY_US, Event::LinkUp { control: at, link });
    }

    pub(crate) fn deliver_message(&mut self, to: LinkEnd, msg: Message) {
        match to {
            LinkEnd::Control { at, link, incarnation } if self.controls[at].incarnation == incarnation => {
                self.controls[at].last_received_us.insert(link, self.now);
                let peer = self.controls[at].peer_ends.get(&link).copied();
                let is_dropped = peer.is_some_and(|peer| self.is_message_dropped(peer, to));
                if !is_dropped {
                    let name = self.controls[at].name.clone();
                    self.record_traffic(&name, &msg);
                    self.with_control(at, |core, now| core.handle_message(link, msg, now));
                }
            }
            LinkEnd::Access { at, incarnation, attempt }
                if self.access[at].incarnation == incarnation && self.access[at].attempt == attempt =>
            {
                let is_dropped = self.access[at].session.is_some_and(|peer| self.is_message_dropped(peer, to));
                if is_dropped {
                    return;
                }
                self.access[at].last_received_us = self.now;
                if matches!(msg, Message::ControlHeartbeat { has_majority: false }) {
                    let peer = self.access[at].session.take();
                    return peer.into_iter().for_each(|end| self.schedule(LINK_DELAY_US, Event::LinkDown { end }));
                }
                let name = self.access[at].name.clone();
                self.record_traffic(&name, &msg);
                match msg {
                    Message::ControlHeartbeat { .. } | Message::Peers { .. } => {}
                    Message::DirtyKeysAck { shard, attempt, incarnation, serial, .. } => {
                        self.with_access(at, |core, now| {
                            core.dirty_keys_acked(&shard, attempt, (incarnation, serial), now)
                        });
                    }
                    Message::ShardReportAck { shard, incarnation, serial, .. } => {
                        self.with_access(at, |core, now| core.shard_report_acked(&shard, (incarnation, serial), now));
                    }
                    msg => {
                        let is_applied = self.with_access(at, |core, now| core.apply_feed_message(msg, now).is_ok());
                        if let Some(to) = self.access[at].session.filter(|_| is_applied == Some(false)) {
                            self.schedule(
                                LINK_DELAY_US,
                                Event::LinkMessage { to, msg: Message::Subscribe { incarnation: 0, position: 0 } },
                            );
                        }
                    }
                }
            }
            _ => {}
        }
    }

    fn record_traffic(&mut self, name: &str, msg: &Message) {
        let Some(crossed) = self.traffic.as_mut() else { return };
        let mut frame = Vec::new();
        wv_internal_protocol::encode_frame(&mut frame, msg);
        let totals = crossed.entry(name.to_owned()).or_default();
        totals.bytes += frame.len() as u64;
        totals.longest_bytes = totals.longest_bytes.max(frame.len() as u64);
        totals.register_parts +=
            u64::from(matches!(msg, Message::CatchUp(wv_internal_protocol::CatchUp::NewerRegisters { .. })));
        let is_configuration = |update: &wv_internal_protocol::FeedUpdate| {
            matches!(
                update,
                wv_internal_protocol::FeedUpdate::Configuration { .. }
                    | wv_internal_protocol::FeedUpdate::ConfigurationDelta { .. }
            )
        };
        totals.configurations += u64::from(matches!(msg, Message::Update { update, .. } if is_configuration(update)));
    }

    /// Whether no connection can be opened between the two, because messages are lost in at least one direction.
    fn is_unconnectable(&self, one: &str, other: &str) -> bool {
        let is_one_way_dropped =
            |from: &str, to: &str| self.dropped_one_way.contains(&(from.to_owned(), to.to_owned()));
        self.is_disconnected(one, other) || is_one_way_dropped(one, other) || is_one_way_dropped(other, one)
    }

    /// Whether messages from one end to the other are lost.
    fn is_message_dropped(&self, from: LinkEnd, to: LinkEnd) -> bool {
        let name = |end: LinkEnd| match end {
            LinkEnd::Control { at, .. } => &self.controls[at].name,
            LinkEnd::Access { at, .. } => &self.access[at].name,
        };
        self.is_dropped(name(from), name(to)) || self.dropped_one_way.contains(&(name(from).clone(), name(to).clone()))
    }

    /// The control node that each access node is connected to.
    pub fn followed_controls(&self) -> Vec<Option<usize>> {
        let at = |end: LinkEnd| match end {
            LinkEnd::Control { at, .. } => Some(at),
            LinkEnd::Access { .. } => None,
        };
        self.access.iter().map(|node| node.session.and_then(at)).collect()
    }

    pub(crate) fn link_down(&mut self, end: LinkEnd) {
        match end {
            LinkEnd::Control { at, link, incarnation } if self.controls[at].incarnation == incarnation => {
                self.controls[at].peer_ends.remove(&link);
                self.with_control(at, |core, now| core.link_down(link, now));
            }
            LinkEnd::Access { at, incarnation, attempt }
                if self.access[at].incarnation == incarnation && self.access[at].attempt == attempt =>
            {
                self.access[at].session = None;
            }
            _ => {}
        }
    }
}
