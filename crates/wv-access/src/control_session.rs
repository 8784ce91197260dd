//! The session with a control node: follows its feed, sends heartbeats and reports, and fails over to another node.
use crate::exec::Node;
use crate::ReportScope;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wv_internal_protocol::Message;

const HEARTBEAT_INTERVAL: std::time::Duration = std::time::Duration::from_millis(400);
const SILENCE_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1300);
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);
/// Health reports that expire are repeated every this many heartbeats.
const PERIODIC_REPORT_HEARTBEATS: u32 = 10;
const MIN_RECONNECT_DELAY_MS: u64 = 30;
const MAX_RECONNECT_DELAY_MS: u64 = 250;
/// After sessions with control nodes in this node's zone failed, other zones are used for this long.
const OTHER_ZONES_PERIOD: std::time::Duration = std::time::Duration::from_secs(5);

/// Settings of the session; they change when the settings file is reread.
pub struct ControlSessionSettings {
    pub node_name: String,
    pub zone: String,
    pub seeds: Vec<SocketAddr>,
    pub internal_port: u16,
    /// Where this node accepts forwarded requests, empty if it does not.
    pub forwarding_address: String,
}

pub type SharedSettings = std::rc::Rc<std::cell::RefCell<ControlSessionSettings>>;

/// The known control nodes, and until when those in this node's zone are not preferred.
#[derive(Default)]
struct ControlNodes {
    all: Vec<SocketAddr>,
    same_zone: Vec<SocketAddr>,
    same_zone_failures: usize,
    other_zones_until: Option<tokio::time::Instant>,
}

impl ControlNodes {
    /// Voters persist their state and run on larger machines; other control nodes are used only if no voter is known.
    fn update(&mut self, addrs: &[String], zones: &[String], zone: &str, voters: &wv_internal_protocol::VoterSet) {
        let is_voter = |addr: &str| voters.members.iter().any(|member| member.addr == addr);
        let has_voters = addrs.iter().any(|addr| is_voter(addr));
        let parsed =
            |(addr, addr_zone): (&String, &String)| Some((addr.parse::<SocketAddr>().ok()?, addr_zone == zone));
        let peers: Vec<(SocketAddr, bool)> =
            addrs.iter().zip(zones).filter(|(addr, _)| is_voter(addr) || !has_voters).filter_map(parsed).collect();
        self.all = peers.iter().map(|(addr, _)| *addr).collect();
        self.same_zone = peers.iter().filter(|(_, is_same_zone)| *is_same_zone).map(|(addr, _)| *addr).collect();
    }

    fn prefers_same_zone(&self) -> bool {
        !self.same_zone.is_empty() && self.other_zones_until.is_none_or(|until| until <= tokio::time::Instant::now())
    }

    /// Control nodes in this node's zone are tried first, since they cause no traffic between zones.
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

/// Maintains a session with some control node; never returns.
pub async fn maintain_session(node: Node, settings: SharedSettings, incarnation: u64) {
    let mut control_nodes = ControlNodes::default();
    let mut at = incarnation as usize;
    let mut delay_ms = MIN_RECONNECT_DELAY_MS;
    let mut last: Option<SocketAddr> = None;
    loop {
        let seeds = settings.borrow().seeds.clone();
        let all = control_nodes.candidates(&seeds);
        // The node that just failed is not retried at once, even if the list was reordered.
        let next = all.get(at % all.len().max(1)).copied().filter(|next| Some(*next) != last || all.len() == 1);
        last = next;
        if let Some(control) = next {
            let end = run_session(&node, control, &settings, incarnation, &mut control_nodes).await;
            if !matches!(end, SessionEnd::SameZoneAvailable | SessionEnd::Stalled) {
                control_nodes.note_session_ended(control);
            }
            // Backs off only while control nodes do not respond.
            delay_ms = if end == SessionEnd::NoResponse {
                (delay_ms * 2).min(MAX_RECONNECT_DELAY_MS)
            } else {
                MIN_RECONNECT_DELAY_MS
            };
        }
        at = at.wrapping_add(1);
        tokio::time::sleep(std::time::Duration::from_millis(delay_ms)).await;
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum SessionEnd {
    /// The control node sent nothing, or it has lost its majority.
    NoResponse,
    Closed,
    /// A control node in this node's zone can be used instead.
    SameZoneAvailable,
    /// This process was stalled, so that messages of the session may be as old as the stall.
    Stalled,
}

fn closed_or_no_response(has_received: bool) -> SessionEnd {
    if has_received {
        SessionEnd::Closed
    } else {
        SessionEnd::NoResponse
    }
}

async fn run_session(
    node: &Node,
    control: SocketAddr,
    settings: &SharedSettings,
    incarnation: u64,
    control_nodes: &mut ControlNodes,
) -> SessionEnd {
    let (name, zone, port) =
        (settings.borrow().node_name.clone(), settings.borrow().zone.clone(), settings.borrow().internal_port);
    let address = SocketAddr::new(control.ip(), port);
    let Ok(mut stream) = wv_http::connect(address, CONNECT_TIMEOUT).await else { return SessionEnd::NoResponse };
    wv_http::configure_stream(&stream, SILENCE_TIMEOUT);
    let (feed_incarnation, position) = node.with(|core, now| core.begin_control_session(now));
    let mut out = Vec::new();
    let hello = Message::Hello {
        node: name,
        control_address: String::new(),
        zone: zone.clone(),
        forwarding_address: settings.borrow().forwarding_address.clone(),
        incarnation,
    };
    wv_internal_protocol::encode_frame(&mut out, &hello);
    wv_internal_protocol::encode_frame(&mut out, &Message::Subscribe { incarnation: feed_incarnation, position });
    wv_internal_protocol::encode_frame(
        &mut out,
        &Message::HealthReports(node.core.borrow_mut().take_health_reports(ReportScope::Full)),
    );
    encode_split_reports(node, &mut out, true);
    let (mut buf, mut has_received, mut heartbeats) = (Vec::new(), false, 0u32);
    let mut last_received = tokio::time::Instant::now();
    let mut ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        if node.core.borrow().needs_new_session() {
            return SessionEnd::Stalled;
        }
        if !out.is_empty() {
            if stream.write_all(&out).await.is_err() {
                return closed_or_no_response(has_received);
            }
            let (read, written) = node.traffic.get();
            node.traffic.set((read, written + out.len() as u64));
            out.clear();
        }
        tokio::select! {
            read = stream.read_buf(&mut buf) => match read {
                Ok(len) if len > 0 => {
                    last_received = tokio::time::Instant::now();
                    let (read, written) = node.traffic.get();
                    node.traffic.set((read + len as u64, written));
                }
                _ => return closed_or_no_response(has_received),
            },
            _ = ticks.tick() => {
                if last_received.elapsed() > SILENCE_TIMEOUT {
                    return closed_or_no_response(has_received);
                }
                if has_received && control_nodes.prefers_same_zone() && !control_nodes.same_zone.contains(&control) {
                    return SessionEnd::SameZoneAvailable;
                }
                heartbeats += 1;
                let heartbeat = Message::AccessHeartbeat { leaving: node.core.borrow().is_shutting_down() };
                wv_internal_protocol::encode_frame(&mut out, &heartbeat);
                let is_periodic = heartbeats % PERIODIC_REPORT_HEARTBEATS == 0;
                let scope = if is_periodic { ReportScope::Periodic } else { ReportScope::Heartbeat };
                let reports = node.core.borrow_mut().take_health_reports(scope);
                if !reports.is_empty() {
                    wv_internal_protocol::encode_frame(&mut out, &Message::HealthReports(reports));
                }
                encode_split_reports(node, &mut out, false);
            }
            _ = node.health_changed.notified() => {
                let reports = node.core.borrow_mut().take_health_reports(ReportScope::Changes);
                if !reports.is_empty() {
                    wv_internal_protocol::encode_frame(&mut out, &Message::HealthReports(reports));
                }
                encode_split_reports(node, &mut out, false);
            }
        }
        loop {
            match wv_internal_protocol::decode_frame(&buf) {
                Ok(None) => break,
                Err(_) => return closed_or_no_response(has_received),
                Ok(Some((message, len))) => {
                    buf.drain(..len);
                    has_received = true;
                    match message {
                        // Without a majority its feed may be stale.
                        Message::ControlHeartbeat { has_majority: false } => return SessionEnd::NoResponse,
                        Message::ControlHeartbeat { .. } => {}
                        Message::Peers { addresses, zones, voters, .. } => {
                            control_nodes.update(&addresses, &zones, &zone, &voters)
                        }
                        Message::DirtyKeysAck { shard, attempt, incarnation, serial, .. } => {
                            node.with(|core, now| core.dirty_keys_acked(&shard, attempt, (incarnation, serial), now));
                        }
                        Message::ShardReportAck { shard, incarnation, serial, .. } => {
                            node.with(|core, now| core.shard_report_acked(&shard, (incarnation, serial), now));
                        }
                        message => {
                            if node.with(|core, now| core.apply_feed_message(message, now)).is_err() {
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
    reports.iter().for_each(|message| wv_internal_protocol::encode_frame(out, message));
}
