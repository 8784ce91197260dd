//! The session with a control node: follows its feed, sends beats and sightings, moves on when it fails.
use crate::exec::Node;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use wv_inner::Msg;

const BEAT: std::time::Duration = std::time::Duration::from_millis(400);
const SILENT: std::time::Duration = std::time::Duration::from_millis(1300);
const CONNECT: std::time::Duration = std::time::Duration::from_millis(300);
/// Every so many beats all sightings are told, changed or not.
const WHOLE_EVERY: u32 = 10;
const FIRST_PAUSE: u64 = 30;
const LAST_PAUSE: u64 = 250;

/// What the session needs of the boot file; reread files change it.
pub struct Place {
    pub node: String,
    pub seeds: Vec<SocketAddr>,
    pub inner_port: u16,
}

pub type Shared = std::rc::Rc<std::cell::RefCell<Place>>;

/// Keeps a session up for ever.
pub async fn keep(node: Node, place: Shared, life: u64) {
    let mut known: Vec<SocketAddr> = Vec::new();
    let mut at = life as usize;
    let mut pause = FIRST_PAUSE;
    let mut last: Option<SocketAddr> = None;
    loop {
        let (seeds, port) = (place.borrow().seeds.clone(), place.borrow().inner_port);
        let all: Vec<SocketAddr> =
            known.iter().chain(seeds.iter().filter(|seed| !known.contains(seed))).copied().collect();
        // The one that has just failed is not asked again at once, wherever the list was rearranged.
        let next = all.get(at % all.len().max(1)).copied().filter(|next| Some(*next) != last || all.len() == 1);
        last = next;
        if let Some(control) = next {
            let inner = SocketAddr::new(control.ip(), port);
            let name = place.borrow().node.clone();
            let is_heard = session(&node, inner, &name, life, &mut known).await;
            // A session that worked is looked for again at once elsewhere; one that never did, ever more slowly.
            pause = if is_heard { FIRST_PAUSE } else { (pause * 2).min(LAST_PAUSE) };
        }
        at = at.wrapping_add(1);
        tokio::time::sleep(std::time::Duration::from_millis(pause)).await;
    }
}

/// One session; returns whether the control node ever spoke.
async fn session(node: &Node, inner: SocketAddr, name: &str, life: u64, known: &mut Vec<SocketAddr>) -> bool {
    let Ok(mut stream) = wv_http::connect(inner, CONNECT).await else { return false };
    wv_http::tune(&stream, SILENT);
    let (follow_life, follow_place) = node.core.borrow().place();
    let mut out = Vec::new();
    let hello = Msg::Hello { node: name.to_owned(), control: String::new(), life };
    wv_inner::put_frame(&mut out, &hello);
    wv_inner::put_frame(&mut out, &Msg::Follow { life: follow_life, place: follow_place });
    let (mut buf, mut is_heard, mut beats) = (Vec::new(), false, 0u32);
    let mut heard = tokio::time::Instant::now();
    let mut ticks = tokio::time::interval(BEAT);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        if !out.is_empty() {
            if stream.write_all(&out).await.is_err() {
                return is_heard;
            }
            out.clear();
        }
        tokio::select! {
            read = stream.read_buf(&mut buf) => match read {
                Ok(len) if len > 0 => heard = tokio::time::Instant::now(),
                _ => return is_heard,
            },
            _ = ticks.tick() => {
                if heard.elapsed() > SILENT {
                    return is_heard;
                }
                beats += 1;
                wv_inner::put_frame(&mut out, &Msg::Here);
                let sights = node.core.borrow_mut().take_sights(beats % WHOLE_EVERY == 0);
                if !sights.is_empty() {
                    wv_inner::put_frame(&mut out, &Msg::Sights(sights));
                }
            }
            _ = node.sights.notified() => {
                let sights = node.core.borrow_mut().take_sights(false);
                if !sights.is_empty() {
                    wv_inner::put_frame(&mut out, &Msg::Sights(sights));
                }
            }
        }
        loop {
            match wv_inner::cut_frame(&buf) {
                Ok(None) => break,
                Err(_) => return is_heard,
                Ok(Some((msg, len))) => {
                    buf.drain(..len);
                    is_heard = true;
                    match msg {
                        // It lost the majority: what it publishes may be old.
                        Msg::Beat { fresh: false } => return false,
                        Msg::Beat { .. } => {}
                        Msg::Peers { addrs, .. } => {
                            *known = addrs.iter().filter_map(|addr| addr.parse().ok()).collect();
                        }
                        msg => {
                            if node.with(|core, now| core.feed(msg, now)).is_err() {
                                wv_inner::put_frame(&mut out, &Msg::Follow { life: 0, place: 0 });
                            }
                        }
                    }
                }
            }
        }
    }
}
