//! A statement that has to go to a database: opened, and offered for the first time.
use crate::core::Core;
use crate::timer::Timer;
use crate::types::Request;
use crate::types::Verb;
use std::rc::Rc;
use wv_configuration::Route;
use wv_wire_protocol::ErrorCode;

/// Who was refused and is back within this, with nothing served meanwhile, tries the same thing again.
const BACK_US: u64 = 500_000;

/// An answer at the limit is one too late: it has its way to go. What is not placed by then is refused, what is under
/// way is answered for.
fn last_us(expiry_us: u64) -> u64 {
    expiry_us - expiry_us / 100
}

impl Request {
    /// No answer of a database would reach the client in its time.
    pub fn is_at_end(&self, now: u64) -> bool {
        now >= self.patience
    }
}

impl Core {
    pub(crate) fn open_request(
        &mut self,
        id: u64,
        query: &[u8],
        text: &[&[u8]],
        verb: Verb,
        shape: Option<u32>,
        route: &Rc<Route>,
    ) {
        let now = self.now;
        // Only where shards are planned to be split it matters which thing is meant.
        let named = if self.has_planned_shards() { name_of(text, shape.is_some()) } else { Default::default() };
        let Some(client) = self.clients.get_mut(&id) else { return };
        let request = &mut client.request;
        request.number += 1;
        request.is_open = true;
        request.id.clear();
        request.id.extend_from_slice(query);
        request.text.clear();
        text.iter().for_each(|part| request.text.extend_from_slice(part));
        let time = last_us(route.expiry_us);
        (request.verb, request.shape, request.at, request.limit) = (Some(verb), shape, now, now + time);
        let since = client.tries_since.filter(|(first, told)| told + BACK_US > now && first + route.expiry_us > now);
        client.tries_since = since;
        request.patience = since.map_or(now, |(first, _)| first) + time;
        (request.tries, request.db, request.queued, request.last_code, request.is_streamed) =
            (0, None, None, None, false);
        (request.hand, request.is_direct) = (None, false);
        request.route = Some(route.clone());
        request.named = named;
        request.waits_since = now;
        request.first_byte = client.first_byte;
        request.refused.clear();
        request.ret.clear();
        let timer = Timer::Expiry { client: id, number: request.number };
        self.timers.put(request.limit, timer);
        let tenant = client.tenant;
        if self.is_recording() {
            self.record_request(id);
        }
        if !self.admit_request(tenant) {
            return self.refuse(id);
        }
        if self.is_cross_shard(id) {
            return self.roll_back(
                id,
                ErrorCode::Aborted,
                "rolled back: a transaction stays within one shard, and these things stand on two",
            );
        }
        if let Some(client) = self.clients.get_mut(&id) {
            let slot = client.request.named.slot;
            client.txn.iter_mut().for_each(|txn| txn.slot = txn.slot.or(slot));
        }
        self.offer(id);
    }
}

/// The thing that a text names, its slot, and how much it writes.
fn name_of(text: &[&[u8]], is_prepared: bool) -> crate::slots::RequestKey {
    let rest = match text {
        [_, rest] if is_prepared => rest,
        [whole] => wv_wire_protocol::split_word(whole).1,
        _ => return Default::default(),
    };
    let (thing, data) = wv_wire_protocol::split_word(rest);
    let slot = (!thing.is_empty()).then(|| wv_internal_protocol::slot_for_key(thing));
    crate::slots::RequestKey { key: thing.to_vec(), slot, write_bytes: data.len() as u32 }
}
