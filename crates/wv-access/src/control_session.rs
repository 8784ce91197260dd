//! The session with a control node: follows its feed, sends beats and sightings, moves on when it fails.
use crate::exec::Node;
use crate::ReportScope;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wv_internal_protocol::Message;

const HEARTBEAT_INTERVAL: std::time::Duration = std::time::Duration::from_millis(400);
const SILENCE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1300);
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);
/// Every so many beats the sightings that age are told again.
const PERIODIC_REPORT_HEARTBEATS: u32 = 10;
const MIN_RECONNECT_DELAY_MS: u64 = 30;
const MAX_RECONNECT_DELAY_MS: u64 = 250;

/// After sessions in the own zone failed, those of other zones are kept to for this long.
const OTHER_ZONES_PERIOD: std::time::Duration = std::time::Duration::from_secs(5);

/// What the session needs of the settings file; reread files change it.
pub struct ControlSessionSettings {
    pub node_name: String,
    pub zone: String,
    pub seeds: Vec<SocketAddr>,
    pub internal_port: u16,
    /// Where this node takes work handed over by others, empty where it does not.
    pub forwarding_address: String,
}

pub type SharedSettings = std::rc::Rc<std::cell::RefCell<ControlSessionSettings>>;

/// The control nodes that were told of, and since when those of the own zone are passed over.
#[derive(Default)]
struct ControlNodes {
    all: Vec<SocketAddr>,
    same_zone: Vec<SocketAddr>,
    same_zone_failures: usize,
    other_zones_until: Option<tokio::time::Instant>,
}

impl ControlNodes {
    /// Those that vote keep what they know on a disk and are the larger machines: others are followed where no voter
    /// is known.
    fn update(&mut self, addrs: &[String], zones: &[String], zone: &str, voters: &wv_internal_protocol::VoterSet) {
        let is_voter = |addr: &str| voters.members.iter().any(|member| member.addr == addr);
        let has_voters = addrs.iter().any(|addr| is_voter(addr));
        let parsed = |(addr, its): (&String, &String)| Some((addr.parse::<SocketAddr>().ok()?, its == zone));
        let told: Vec<(SocketAddr, bool)> =
            addrs.iter().zip(zones).filter(|(addr, _)| is_voter(addr) || !has_voters).filter_map(parsed).collect();
        self.all = told.iter().map(|(addr, _)| *addr).collect();
        self.same_zone = told.iter().filter(|(_, is_near)| *is_near).map(|(addr, _)| *addr).collect();
    }

    fn prefers_same_zone(&self) -> bool {
        !self.same_zone.is_empty() && self.other_zones_until.is_none_or(|until| until <= tokio::time::Instant::now())
    }

    /// Sessions in the own zone cost nothing between zones: they are tried first.
    fn candidates(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        if self.prefers_same_zone() {
            return self.same_zone.clone();
        }
        self.all.iter().chain(seeds.iter().filter(|seed| !self.all.contains(seed))).copied().collect()
    }

    fn note_session_ended(&mut self, control: SocketAddr) {
        self.same_zone_failures += usize::from(self.same_zone.contains(&control));
        if self.same_zone_failures >= self.same_zone.len().max(1) {
            (self.same_zone_failures, self.other_zones_until) =
                (0, Some(tokio::time::Instant::now() + OTHER_ZONES_PERIOD));
        }
    }
}

/// Keeps a session up for ever.
pub async fn maintain_session(node: Node, place: SharedSettings, life: u64) {
    let mut known = ControlNodes::default();
    let mut at = life as usize;
    let mut pause = MIN_RECONNECT_DELAY_MS;
    let mut last: Option<SocketAddr> = None;
    loop {
        let seeds = place.borrow().seeds.clone();
        let all = known.candidates(&seeds);
        // The one that has just failed is not asked again at once, wherever the list was rearranged.
        let next = all.get(at % all.len().max(1)).copied().filter(|next| Some(*next) != last || all.len() == 1);
        last = next;
        if let Some(control) = next {
            let end = run_session(&node, control, &place, life, &mut known).await;
            if end != SessionEnd::SameZoneAvailable {
                known.note_session_ended(control);
            }
            // A session that worked is looked for again at once elsewhere; one that never did, ever more slowly.
            pause = if end == SessionEnd::NoResponse {
                (pause * 2).min(MAX_RECONNECT_DELAY_MS)
            } else {
                MIN_RECONNECT_DELAY_MS
            };
        }
        at = at.wrapping_add(1);
        tokio::time::sleep(std::time::Duration::from_millis(pause)).await;
    }
}

/// How a session ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SessionEnd {
    /// The control node never spoke.
    NoResponse,
    Closed,
    /// There is one in the own zone.
    SameZoneAvailable,
}

fn closed_or_no_response(is_heard: bool) -> SessionEnd {
    if is_heard {
        SessionEnd::Closed
    } else {
        SessionEnd::NoResponse
    }
}

async fn run_session(
    node: &Node,
    control: SocketAddr,
    place: &SharedSettings,
    life: u64,
    known: &mut ControlNodes,
) -> SessionEnd {
    let (name, zone, port) =
        (place.borrow().node_name.clone(), place.borrow().zone.clone(), place.borrow().internal_port);
    let inner = SocketAddr::new(control.ip(), port);
    let Ok(mut stream) = wv_http::connect(inner, CONNECT_TIMEOUT).await else { return SessionEnd::NoResponse };
    wv_http::tune(&stream, SILENCE_TIMEOUT);
    let (follow_life, follow_place) = node.core.borrow().feed_position();
    let mut out = Vec::new();
    let hello = Message::Hello {
        node: name,
        control_address: String::new(),
        zone: zone.clone(),
        handover_address: place.borrow().forwarding_address.clone(),
        incarnation: life,
    };
    wv_internal_protocol::encode_frame(&mut out, &hello);
    wv_internal_protocol::encode_frame(
        &mut out,
        &Message::Subscribe { incarnation: follow_life, position: follow_place },
    );
    wv_internal_protocol::encode_frame(
        &mut out,
        &Message::HealthReports(node.core.borrow_mut().take_health_reports(ReportScope::Full)),
    );
    encode_split_reports(node, &mut out, true);
    let (mut buf, mut is_heard, mut beats) = (Vec::new(), false, 0u32);
    let mut heard = tokio::time::Instant::now();
    let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        if !out.is_empty() {
            if stream.write_all(&out).await.is_err() {
                return closed_or_no_response(is_heard);
            }
            let (read, written) = node.traffic.get();
            node.traffic.set((read, written + out.len() as u64));
            out.clear();
        }
        tokio::select! {
            read = stream.read_buf(&mut buf) => match read {
                Ok(len) if len > 0 => {
                    heard = tokio::time::Instant::now();
                    let (read, written) = node.traffic.get();
                    node.traffic.set((read + len as u64, written));
                }
                _ => return closed_or_no_response(is_heard),
            },
            _ = ticks.tick() => {
                if heard.elapsed() > SILENCE_TIMEOUT {
                    return closed_or_no_response(is_heard);
                }
                if is_heard && known.prefers_same_zone() && !known.same_zone.contains(&control) {
                    return SessionEnd::SameZoneAvailable;
                }
                beats += 1;
                wv_internal_protocol::encode_frame(&mut out, &Message::AccessHeartbeat { leaving: node.core.borrow().is_shutting_down() });
                let telling = if beats % PERIODIC_REPORT_HEARTBEATS == 0 { ReportScope::Periodic } else { ReportScope::Heartbeat };
                let sights = node.core.borrow_mut().take_health_reports(telling);
                if !sights.is_empty() {
                    wv_internal_protocol::encode_frame(&mut out, &Message::HealthReports(sights));
                }
                encode_split_reports(node, &mut out, false);
            }
            _ = node.sights.notified() => {
                let sights = node.core.borrow_mut().take_health_reports(ReportScope::Changes);
                if !sights.is_empty() {
                    wv_internal_protocol::encode_frame(&mut out, &Message::HealthReports(sights));
                }
                encode_split_reports(node, &mut out, false);
            }
        }
        loop {
            match wv_internal_protocol::decode_frame(&buf) {
                Ok(None) => break,
                Err(_) => return closed_or_no_response(is_heard),
                Ok(Some((msg, len))) => {
                    buf.drain(..len);
                    is_heard = true;
                    match msg {
                        // It lost the majority: what it publishes may be old.
                        Message::ControlHeartbeat { has_majority: false } => return SessionEnd::NoResponse,
                        Message::ControlHeartbeat { .. } => {}
                        Message::Peers { addresses: addrs, zones, voters, .. } => {
                            known.update(&addrs, &zones, &zone, &voters)
                        }
                        Message::DirtyKeysAck { shard, attempt, incarnation: life, serial, .. } => {
                            node.with(|core, now| core.dirty_keys_acked(&shard, attempt, (life, serial), now));
                        }
                        Message::KeySamplesAck { shard, incarnation: life, serial, .. } => {
                            node.with(|core, now| core.key_samples_acked(&shard, (life, serial), now));
                        }
                        msg => {
                            if node.with(|core, now| core.apply_feed_message(msg, now)).is_err() {
                                wv_internal_protocol::encode_frame(
                                    &mut out,
                                    &Message::Subscribe { incarnation: 0, position: 0 },
                                );
                            }
                        }
                    }
                }
            }
        }
    }
}

fn encode_split_reports(node: &Node, out: &mut Vec<u8>, is_start: bool) {
    let reports = node.core.borrow_mut().take_split_reports(is_start);
    reports.iter().for_each(|msg| wv_internal_protocol::encode_frame(out, msg));
}
