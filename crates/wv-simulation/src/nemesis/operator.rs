//! Operators and readers of the configuration: they send, follow, repeat and insist as the pages say.
use super::{Answer, History, Order, Read};
use crate::{Rng, Simulation, MS, S};
use std::collections::BTreeSet;

/// A node that says nothing for so long is given up for another one.
const SILENCE: u64 = S;
const PAUSE: u64 = 100 * MS;
const HOPS: u32 = 2;

#[derive(Clone, Copy)]
enum What {
    /// An operator's sending of an order; one that nobody waits for.
    Put(usize),
    Echo(usize),
    Get,
}

struct Call {
    what: What,
    token: u64,
    control: usize,
    sent: u64,
    hops: u32,
}

/// One operator with one order.
struct Op {
    order: usize,
    /// When it sends next; none while it waits for an answer to this call.
    next: Option<u64>,
    waits_for: u64,
    at: usize,
    tries: u32,
    refusals: u32,
}

pub(super) struct Operators {
    luck: Rng,
    calls: Vec<Call>,
    ops: Vec<Op>,
    /// What is sent once more: when, to whom, and which order.
    echoes: Vec<(u64, usize, usize)>,
    pub number: u64,
    pub is_unheard: bool,
    pub is_echoing: bool,
}

fn variant(number: u64, which: u64) -> Vec<u8> {
    let text = String::from_utf8_lossy(&Simulation::config(number)).into_owned();
    text.replace("\"targetMs\":800", &format!("\"targetMs\":{}", 800 + which)).into_bytes()
}

/// Orders that no node may take, each for another reason.
fn spoilt(number: u64, which: u64) -> Vec<u8> {
    let text = String::from_utf8_lossy(&Simulation::config(number)).into_owned();
    let text = match which % 4 {
        0 => text.replace("\"expiryMs\":1000", "\"expiryMs\":0"),
        1 => text.replace("\"destination\":\"s\"", "\"destination\":\"nowhere\""),
        2 => text.replace("\"host\":\"b\"", "\"host\":\"p\""),
        _ => text[..text.len() / 2].to_owned(),
    };
    text.into_bytes()
}

impl Operators {
    pub fn new(seed: u64) -> Operators {
        let (calls, ops, echoes) = (Vec::new(), Vec::new(), Vec::new());
        let luck = Rng::new(seed ^ 0x0b5);
        Operators { luck, calls, ops, echoes, number: 0, is_unheard: false, is_echoing: false }
    }

    /// The next number of a valid order; they go up in uneven steps.
    pub fn next_number(&mut self) -> u64 {
        self.number += 1 + self.luck.below(3);
        self.number
    }

    pub fn write(&mut self, history: &mut History, number: u64, which: u64, now: u64) -> usize {
        let order = Order { number, body: variant(number, which), is_valid: true, first_sent: now };
        history.orders.push(order);
        history.orders.len() - 1
    }

    pub fn write_invalid(&mut self, history: &mut History, which: u64, now: u64) -> usize {
        let number = self.number + 1;
        history.orders.push(Order { number, body: spoilt(number, which), is_valid: false, first_sent: now });
        history.orders.len() - 1
    }

    /// An operator begins to send an order, first to this node.
    pub fn send(&mut self, order: usize, at: usize, when: u64) {
        self.ops.push(Op { order, next: Some(when), waits_for: 0, at, tries: 0, refusals: 0 });
    }

    /// Orders on which somebody is still at work.
    pub fn open(&self) -> Vec<usize> {
        self.ops.iter().map(|op| op.order).collect()
    }

    pub fn read(&mut self, world: &mut Simulation, gone: &BTreeSet<String>) {
        if let Some(at) = self.pick(world, gone) {
            self.call(world, What::Get, at, b"", 0);
        }
    }

    pub fn read_at(&mut self, world: &mut Simulation, at: usize) {
        self.call(world, What::Get, at, b"", 0);
    }

    /// Any node that the operator's list has.
    fn pick(&mut self, world: &Simulation, gone: &BTreeSet<String>) -> Option<usize> {
        let listed = |at: &usize| !gone.contains(&world.controls[*at].name);
        let listed: Vec<usize> = (0..world.controls.len()).filter(listed).collect();
        listed.get(self.luck.below(listed.len() as u64) as usize).copied()
    }

    fn call(&mut self, world: &mut Simulation, what: What, at: usize, body: &[u8], hops: u32) -> u64 {
        let method = if matches!(what, What::Get) { "GET" } else { "PUT" };
        let sent = world.now;
        let token = world.call(at, method, "/configuration", body);
        if token > 0 {
            self.calls.push(Call { what, token, control: at, sent, hops });
        }
        token
    }

    /// Takes in what came, and sends what is due.
    pub fn listen(&mut self, world: &mut Simulation, history: &mut History, gone: &BTreeSet<String>) {
        let (came, waiting): (Vec<Call>, Vec<Call>) =
            std::mem::take(&mut self.calls).into_iter().partition(|call| world.responses.contains_key(&call.token));
        self.calls = waiting;
        for call in came {
            let (status, body) = world.responses.remove(&call.token).unwrap_or_default();
            self.take(world, history, &call, status, &body);
        }
        self.send_due(world, history, gone);
    }

    fn take(&mut self, world: &mut Simulation, history: &mut History, call: &Call, status: u16, body: &[u8]) {
        let (now, control) = (world.now, world.controls[call.control].name.clone());
        if status == 307 && call.hops < HOPS {
            let place = String::from_utf8_lossy(body).into_owned();
            let addr = place.trim_start_matches("http://").split('/').next().unwrap_or_default().to_owned();
            let Some(to) = world.controls.iter().position(|held| held.addr == addr) else { return };
            let body = match call.what {
                What::Put(order) | What::Echo(order) => history.orders[order].body.clone(),
                What::Get => Vec::new(),
            };
            let token = self.call(world, call.what, to, &body, call.hops + 1);
            let op = self.ops.iter_mut().find(|op| op.waits_for == call.token && call.token > 0);
            op.into_iter().for_each(|op| op.waits_for = token);
            return;
        }
        match call.what {
            What::Get if status == 200 => {
                let number = serde_json::from_slice::<serde_json::Value>(body).unwrap_or_default();
                let number = number["issue"].as_u64().unwrap_or(0);
                let order = history.orders.iter().position(|order| order.body == body);
                history.reads.push(Read { control, sent: call.sent, heard: now, number, order });
            }
            What::Get => {}
            What::Put(order) | What::Echo(order) => {
                history.answers.push(Answer { order, control, sent: call.sent, heard: now, status });
                let is_lost = self.is_unheard && self.luck.chance(70);
                let at = self.ops.iter().position(|op| op.waits_for == call.token && op.next.is_none());
                if let Some(at) = at.filter(|_| !is_lost) {
                    self.told(at, status, now);
                }
            }
        }
    }

    /// The operator hears a status: it is done, or goes on to another node.
    fn told(&mut self, at: usize, status: u16, now: u64) {
        let op = &mut self.ops[at];
        op.refusals += u32::from(status / 100 == 4 && !matches!(status, 408 | 429));
        let is_clear = matches!(status, 200..=299 | 400 | 409 | 412 | 413 | 422) || op.refusals >= 3;
        if is_clear {
            self.ops.remove(at);
            return;
        }
        op.next = Some(now + (PAUSE << op.tries.min(4)));
    }

    fn send_due(&mut self, world: &mut Simulation, history: &History, gone: &BTreeSet<String>) {
        let now = world.now;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.echoes).into_iter().partition(|echo| echo.0 <= now);
        self.echoes = later;
        for (_, at, order) in due {
            self.call(world, What::Echo(order), at, &history.orders[order].body, 0);
        }
        for at in 0..self.ops.len() {
            if self.ops[at].next.is_none_or(|next| next > now) {
                continue;
            }
            // After the first try, to any node.
            let to = match self.ops[at].tries {
                0 => Some(self.ops[at].at),
                _ => self.pick(world, gone),
            };
            let Some(to) = to else { continue };
            let order = self.ops[at].order;
            if self.is_echoing && self.luck.chance(60) {
                let (after, to) = (self.luck.below(3 * S), self.pick(world, gone).unwrap_or(to));
                self.echoes.push((now + after, to, order));
            }
            let token = self.call(world, What::Put(order), to, &history.orders[order].body, 0);
            let op = &mut self.ops[at];
            op.tries += 1;
            (op.waits_for, op.next) = (token, None);
            if token == 0 {
                op.next = Some(now + (PAUSE << op.tries.min(4)));
            }
        }
        let silent: BTreeSet<u64> =
            self.calls.iter().filter(|call| call.sent + SILENCE <= now).map(|call| call.token).collect();
        let heard: BTreeSet<u64> = self.calls.iter().map(|call| call.token).collect();
        for op in self.ops.iter_mut().filter(|op| op.next.is_none()) {
            // Silent, or answered where the answer was lost on its way.
            if silent.contains(&op.waits_for) || !heard.contains(&op.waits_for) {
                op.next = Some(now + (PAUSE << op.tries.min(4)));
            }
        }
    }
}
