//! Links between nodes in the world: sessions of access nodes, and control nodes among themselves.
use crate::nodes::End;
use crate::world::{Ev, World, HOP};
use crate::MS;
use wv_access::ReportScope;
use wv_internal_protocol::Message;

impl World {
    /// The access node's side of its session, as its link keeps it up.
    pub(crate) fn session(&mut self, at: usize) {
        self.put(400 * MS, Ev::Session(at));
        let now = self.now;
        let Some(core) = self.access[at].core.as_mut() else { return };
        let (place, node) = (core.feed_position(), &mut self.access[at]);
        if let Some(end) = node.session.filter(|_| node.heard + 1300 * MS > now) {
            node.beats += 1;
            let telling = if node.beats % 10 == 0 { ReportScope::Periodic } else { ReportScope::Heartbeat };
            let is_leaving = node.core.as_ref().is_some_and(|core| core.is_shutting_down());
            let sights = node.core.as_mut().map(|core| core.take_health_reports(telling)).unwrap_or_default();
            self.put(HOP, Ev::Link { to: end, msg: Message::AccessHeartbeat { leaving: is_leaving } });
            if !sights.is_empty() {
                self.put(HOP, Ev::Link { to: end, msg: Message::HealthReports(sights) });
            }
            self.send_reports(at, end, false);
            return;
        }
        node.session.take().into_iter().for_each(|end| self.put(HOP, Ev::LinkDown { end }));
        let node = &mut self.access[at];
        node.next += 1;
        node.turn += 1;
        let (to, name, life, turn) = (node.next % self.controls.len(), node.name.clone(), node.life, node.turn);
        let is_cut = self.frozen_controls.contains(&to) || self.is_parted(&name, &self.controls[to].name);
        let Some(core) = self.controls[to].core.as_mut().filter(|_| !is_cut) else { return };
        let link = core.accept_link(now);
        let end = End::Control { at: to, link, life: self.controls[to].life };
        self.controls[to].far.insert(link, End::Access { at, life, turn });
        (self.access[at].session, self.access[at].heard) = (Some(end), now);
        self.put(
            HOP,
            Ev::Link {
                to: end,
                msg: Message::Hello {
                    node: name,
                    control_address: String::new(),
                    zone: String::new(),
                    forwarding_address: format!("hand:{at}"),
                    incarnation: life,
                },
            },
        );
        self.put(HOP, Ev::Link { to: end, msg: Message::Subscribe { incarnation: place.0, position: place.1 } });
        let sights =
            self.access[at].core.as_mut().map(|core| core.take_health_reports(ReportScope::Full)).unwrap_or_default();
        self.put(HOP, Ev::Link { to: end, msg: Message::HealthReports(sights) });
        self.send_reports(at, end, true);
    }

    fn send_reports(&mut self, at: usize, to: End, is_start: bool) {
        let reports = self.access[at].core.as_mut().map(|core| core.take_split_reports(is_start)).unwrap_or_default();
        reports.into_iter().for_each(|msg| self.put(HOP, Ev::Link { to, msg }));
    }

    pub(crate) fn dial(&mut self, at: usize, link: u64, addr: &str) {
        let to = self.controls.iter().position(|control| control.addr == addr);
        let end = End::Control { at, link, life: self.controls[at].life };
        let name = self.controls[at].name.clone();
        let now = self.now;
        let is_still =
            |to: &usize| self.frozen_controls.contains(to) || self.is_parted(&name, &self.controls[*to].name);
        let to = to.filter(|to| self.controls[*to].core.is_some() && !is_still(to));
        let Some(to) = to else { return self.put(2 * HOP, Ev::LinkDown { end }) };
        let Some(far) = self.controls[to].core.as_mut().map(|core| core.accept_link(now)) else { return };
        let far_end = End::Control { at: to, link: far, life: self.controls[to].life };
        self.controls[at].far.insert(link, far_end);
        self.controls[to].far.insert(far, end);
        self.put(2 * HOP, Ev::LinkUp { control: at, link });
    }

    pub(crate) fn link_msg(&mut self, to: End, msg: Message) {
        match to {
            End::Control { at, link, life } if self.controls[at].life == life => {
                self.controls[at].heard.insert(link, self.now);
                let far = self.controls[at].far.get(&link).copied();
                let is_cut = far.is_some_and(|far| self.is_lost(far, to));
                if !is_cut {
                    let name = self.controls[at].name.clone();
                    self.weigh(&name, &msg);
                    self.with_control(at, |core, now| core.handle_message(link, msg, now));
                }
            }
            End::Access { at, life, turn } if self.access[at].life == life && self.access[at].turn == turn => {
                let is_cut = self.access[at].session.is_some_and(|far| self.is_lost(far, to));
                if is_cut {
                    return;
                }
                self.access[at].heard = self.now;
                if matches!(msg, Message::ControlHeartbeat { has_majority: false }) {
                    let far = self.access[at].session.take();
                    return far.into_iter().for_each(|end| self.put(HOP, Ev::LinkDown { end }));
                }
                let name = self.access[at].name.clone();
                self.weigh(&name, &msg);
                match msg {
                    Message::ControlHeartbeat { .. } | Message::Peers { .. } => {}
                    Message::DirtyKeysAck { shard, attempt, incarnation: life, serial, .. } => {
                        self.with_access(at, |core, now| core.dirty_keys_acked(&shard, attempt, (life, serial), now));
                    }
                    Message::ShardReportAck { shard, incarnation: life, serial, .. } => {
                        self.with_access(at, |core, now| core.shard_report_acked(&shard, (life, serial), now));
                    }
                    msg => {
                        let is_fed = self.with_access(at, |core, now| core.apply_feed_message(msg, now).is_ok());
                        if let Some(to) = self.access[at].session.filter(|_| is_fed == Some(false)) {
                            self.put(HOP, Ev::Link { to, msg: Message::Subscribe { incarnation: 0, position: 0 } });
                        }
                    }
                }
            }
            _ => {}
        }
    }

    fn weigh(&mut self, name: &str, msg: &Message) {
        let Some(crossed) = self.crossed.as_mut() else { return };
        let mut frame = Vec::new();
        wv_internal_protocol::encode_frame(&mut frame, msg);
        let held = crossed.entry(name.to_owned()).or_default();
        held.bytes += frame.len() as u64;
        held.longest = held.longest.max(frame.len() as u64);
        held.parts += u64::from(matches!(msg, Message::CatchUp(wv_internal_protocol::CatchUp::NewerRegisters { .. })));
        let is_conf = |news: &wv_internal_protocol::FeedUpdate| {
            matches!(
                news,
                wv_internal_protocol::FeedUpdate::Configuration { .. }
                    | wv_internal_protocol::FeedUpdate::ConfigurationDelta { .. }
            )
        };
        held.confs += u64::from(matches!(msg, Message::Update { update: news, .. } if is_conf(news)));
    }

    /// No connection can be made between these two: that takes both ways.
    fn is_parted(&self, one: &str, other: &str) -> bool {
        let way = |from: &str, to: &str| self.one_way.contains(&(from.to_owned(), to.to_owned()));
        self.is_cut(one, other) || way(one, other) || way(other, one)
    }

    /// Whether what the one sends does not reach the other.
    fn is_lost(&self, from: End, to: End) -> bool {
        let name = |end: End| match end {
            End::Control { at, .. } => &self.controls[at].name,
            End::Access { at, .. } => &self.access[at].name,
        };
        self.is_lossy(name(from), name(to)) || self.one_way.contains(&(name(from).clone(), name(to).clone()))
    }

    /// Which control node each access node is in session with.
    pub fn followed(&self) -> Vec<Option<usize>> {
        let at = |end: End| match end {
            End::Control { at, .. } => Some(at),
            End::Access { .. } => None,
        };
        self.access.iter().map(|node| node.session.and_then(at)).collect()
    }

    pub(crate) fn link_down(&mut self, end: End) {
        match end {
            End::Control { at, link, life } if self.controls[at].life == life => {
                self.controls[at].far.remove(&link);
                self.with_control(at, |core, now| core.link_down(link, now));
            }
            End::Access { at, life, turn } if self.access[at].life == life && self.access[at].turn == turn => {
                self.access[at].session = None;
            }
            _ => {}
        }
    }
}
