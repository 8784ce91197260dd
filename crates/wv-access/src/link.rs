//! The session with a control node: follows its feed, sends beats and sightings, moves on when it fails.
use crate::exec::Node;
use crate::Telling;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wv_internal_protocol::Message;

const BEAT: std::time::Duration = std::time::Duration::from_millis(400);
const SILENT: std::time::Duration = std::time::Duration::from_millis(1300);
const CONNECT: std::time::Duration = std::time::Duration::from_millis(300);
/// Every so many beats the sightings that age are told again.
const ROUND_EVERY: u32 = 10;
const FIRST_PAUSE: u64 = 30;
const LAST_PAUSE: u64 = 250;

/// After sessions in the own zone failed, those of other zones are kept to for this long.
const FAR: std::time::Duration = std::time::Duration::from_secs(5);

/// What the session needs of the settings file; reread files change it.
pub struct Place {
    pub node: String,
    pub zone: String,
    pub seeds: Vec<SocketAddr>,
    pub inner_port: u16,
    /// Where this node takes work handed over by others, empty where it does not.
    pub hands: String,
}

pub type Shared = std::rc::Rc<std::cell::RefCell<Place>>;

/// The control nodes that were told of, and since when those of the own zone are passed over.
#[derive(Default)]
struct Known {
    all: Vec<SocketAddr>,
    near: Vec<SocketAddr>,
    fails: usize,
    far_until: Option<tokio::time::Instant>,
}

impl Known {
    /// Those that vote keep what they know on a disk and are the larger machines: others are followed where no voter
    /// is known.
    fn learn(&mut self, addrs: &[String], zones: &[String], zone: &str, voters: &wv_internal_protocol::VoterSet) {
        let is_voter = |addr: &str| voters.members.iter().any(|member| member.addr == addr);
        let has_voters = addrs.iter().any(|addr| is_voter(addr));
        let parsed = |(addr, its): (&String, &String)| Some((addr.parse::<SocketAddr>().ok()?, its == zone));
        let told: Vec<(SocketAddr, bool)> =
            addrs.iter().zip(zones).filter(|(addr, _)| is_voter(addr) || !has_voters).filter_map(parsed).collect();
        self.all = told.iter().map(|(addr, _)| *addr).collect();
        self.near = told.iter().filter(|(_, is_near)| *is_near).map(|(addr, _)| *addr).collect();
    }

    fn prefers_near(&self) -> bool {
        !self.near.is_empty() && self.far_until.is_none_or(|until| until <= tokio::time::Instant::now())
    }

    /// Sessions in the own zone cost nothing between zones: they are tried first.
    fn list(&self, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        if self.prefers_near() {
            return self.near.clone();
        }
        self.all.iter().chain(seeds.iter().filter(|seed| !self.all.contains(seed))).copied().collect()
    }

    fn ended(&mut self, control: SocketAddr) {
        self.fails += usize::from(self.near.contains(&control));
        if self.fails >= self.near.len().max(1) {
            (self.fails, self.far_until) = (0, Some(tokio::time::Instant::now() + FAR));
        }
    }
}

/// Keeps a session up for ever.
pub async fn keep(node: Node, place: Shared, life: u64) {
    let mut known = Known::default();
    let mut at = life as usize;
    let mut pause = FIRST_PAUSE;
    let mut last: Option<SocketAddr> = None;
    loop {
        let seeds = place.borrow().seeds.clone();
        let all = known.list(&seeds);
        // The one that has just failed is not asked again at once, wherever the list was rearranged.
        let next = all.get(at % all.len().max(1)).copied().filter(|next| Some(*next) != last || all.len() == 1);
        last = next;
        if let Some(control) = next {
            let end = session(&node, control, &place, life, &mut known).await;
            if end != End::Moved {
                known.ended(control);
            }
            // A session that worked is looked for again at once elsewhere; one that never did, ever more slowly.
            pause = if end == End::Deaf { (pause * 2).min(LAST_PAUSE) } else { FIRST_PAUSE };
        }
        at = at.wrapping_add(1);
        tokio::time::sleep(std::time::Duration::from_millis(pause)).await;
    }
}

/// How a session ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    /// The control node never spoke.
    Deaf,
    Over,
    /// There is one in the own zone.
    Moved,
}

fn over(is_heard: bool) -> End {
    if is_heard {
        End::Over
    } else {
        End::Deaf
    }
}

async fn session(node: &Node, control: SocketAddr, place: &Shared, life: u64, known: &mut Known) -> End {
    let (name, zone, port) = (place.borrow().node.clone(), place.borrow().zone.clone(), place.borrow().inner_port);
    let inner = SocketAddr::new(control.ip(), port);
    let Ok(mut stream) = wv_http::connect(inner, CONNECT).await else { return End::Deaf };
    wv_http::tune(&stream, SILENT);
    let (follow_life, follow_place) = node.core.borrow().place();
    let mut out = Vec::new();
    let hello = Message::Hello {
        node: name,
        control_address: String::new(),
        zone: zone.clone(),
        handover_address: place.borrow().hands.clone(),
        incarnation: life,
    };
    wv_internal_protocol::encode_frame(&mut out, &hello);
    wv_internal_protocol::encode_frame(
        &mut out,
        &Message::Subscribe { incarnation: follow_life, position: follow_place },
    );
    wv_internal_protocol::encode_frame(
        &mut out,
        &Message::HealthReports(node.core.borrow_mut().take_sights(Telling::Whole)),
    );
    put_reports(node, &mut out, true);
    let (mut buf, mut is_heard, mut beats) = (Vec::new(), false, 0u32);
    let mut heard = tokio::time::Instant::now();
    let mut ticks = tokio::time::interval(BEAT);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        if !out.is_empty() {
            if stream.write_all(&out).await.is_err() {
                return over(is_heard);
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
                _ => return over(is_heard),
            },
            _ = ticks.tick() => {
                if heard.elapsed() > SILENT {
                    return over(is_heard);
                }
                if is_heard && known.prefers_near() && !known.near.contains(&control) {
                    return End::Moved;
                }
                beats += 1;
                wv_internal_protocol::encode_frame(&mut out, &Message::AccessHeartbeat { leaving: node.core.borrow().is_leaving() });
                let telling = if beats % ROUND_EVERY == 0 { Telling::Round } else { Telling::Beat };
                let sights = node.core.borrow_mut().take_sights(telling);
                if !sights.is_empty() {
                    wv_internal_protocol::encode_frame(&mut out, &Message::HealthReports(sights));
                }
                put_reports(node, &mut out, false);
            }
            _ = node.health_changed.notified() => {
                let sights = node.core.borrow_mut().take_sights(Telling::Changes);
                if !sights.is_empty() {
                    wv_internal_protocol::encode_frame(&mut out, &Message::HealthReports(sights));
                }
                put_reports(node, &mut out, false);
            }
        }
        loop {
            match wv_internal_protocol::decode_frame(&buf) {
                Ok(None) => break,
                Err(_) => return over(is_heard),
                Ok(Some((msg, len))) => {
                    buf.drain(..len);
                    is_heard = true;
                    match msg {
                        // It lost the majority: what it publishes may be old.
                        Message::ControlHeartbeat { has_majority: false } => return End::Deaf,
                        Message::ControlHeartbeat { .. } => {}
                        Message::Peers { addresses: addrs, zones, voters, .. } => {
                            known.learn(&addrs, &zones, &zone, &voters)
                        }
                        Message::DirtyKeysAck { shard, attempt, incarnation: life, serial, .. } => {
                            node.with(|core, now| core.marked(&shard, attempt, (life, serial), now));
                        }
                        Message::KeySamplesAck { shard, incarnation: life, serial, .. } => {
                            node.with(|core, now| core.filled(&shard, (life, serial), now));
                        }
                        msg => {
                            if node.with(|core, now| core.feed(msg, now)).is_err() {
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

fn put_reports(node: &Node, out: &mut Vec<u8>, is_start: bool) {
    let reports = node.core.borrow_mut().take_reports(is_start);
    reports.iter().for_each(|msg| wv_internal_protocol::encode_frame(out, msg));
}
