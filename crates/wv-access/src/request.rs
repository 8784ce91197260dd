//! Opens requests that need a database and dispatches them for the first time.
use crate::core::Core;
use crate::timer::Timer;
use crate::types::Request;
use crate::types::Verb;
use std::rc::Rc;
use wv_configuration::Route;
use wv_wire_protocol::ErrorCode;

/// A client that is refused and returns within this time is taken to retry the same statement.
const RETRY_WINDOW_US: u64 = 500_000;

/// Time until a request has to be answered: slightly before the route's limit, so that the response arrives in time.
fn answer_limit_us(expiry_us: u64) -> u64 {
    expiry_us - expiry_us / 100
}

impl Request {
    /// Whether a response could no longer reach the client in time.
    pub fn is_expired(&self, now: u64) -> bool {
        now >= self.client_deadline
    }
}

impl Core {
    pub(crate) fn open_request(
        &mut self,
        id: u64,
        query: &[u8],
        text: &[&[u8]],
        verb: Verb,
        statement_id: Option<u32>,
        route: &Rc<Route>,
    ) {
        let (now, configuration_version) = (self.now, self.configuration_version().unwrap_or(0));
        let has_planned_shards = self.has_planned_shards();
        let Some(client) = self.clients.get_mut(&id) else { return };
        let request = &mut client.request;
        request.sequence += 1;
        request.is_open = true;
        request.query_id.clear();
        request.query_id.extend_from_slice(query);
        request.text.clear();
        text.iter().for_each(|part| request.text.extend_from_slice(part));
        let limit_us = answer_limit_us(route.expiry_us);
        (request.verb, request.statement_id, request.opened_at, request.deadline) =
            (Some(verb), statement_id, now, now + limit_us);
        let retry_window = client
            .retry_window
            .filter(|(first, refused_at)| refused_at + RETRY_WINDOW_US > now && first + route.expiry_us > now);
        client.retry_window = retry_window;
        request.client_deadline = retry_window.map_or(now, |(first, _)| first) + limit_us;
        (request.attempts, request.db, request.queue, request.last_code, request.is_streamed) =
            (0, None, None, None, false);
        (request.forwarded_session, request.is_local_only) = (None, false);
        request.route = Some(route.clone());
        // A changed route applies from the next transaction on.
        request.configuration_version =
            client.txn.as_ref().map_or(configuration_version, |txn| txn.configuration_version);
        // Keys matter only for shards with a planned split.
        request.target_key = match has_planned_shards {
            true => target_key_of(&request.text, statement_id.is_some()),
            false => Default::default(),
        };
        request.waiting_since = now;
        request.first_byte_at = client.first_byte_at;
        request.refused_by.clear();
        request.response.clear();
        let timer = Timer::Expiry { client: id, sequence: request.sequence };
        self.timers.schedule(request.deadline, timer);
        let tenant = client.tenant;
        if self.is_recording() {
            self.record_request(id);
        }
        if !self.admit_request(tenant) {
            return self.refuse_request(id);
        }
        if self.is_cross_shard(id) {
            return self.roll_back_txn(
                id,
                ErrorCode::Aborted,
                "rolled back: a transaction stays within one shard, and these things stand on two",
            );
        }
        if let Some(client) = self.clients.get_mut(&id) {
            let slot = client.request.target_key.slot;
            client.txn.iter_mut().for_each(|txn| txn.slot = txn.slot.or(slot));
        }
        self.dispatch(id);
    }
}

/// The key in a statement as sent to databases, its slot, and the size of the data written.
pub(crate) fn target_key_of(text: &[u8], is_prepared: bool) -> crate::slots::RequestKey {
    let (_, rest) = wv_wire_protocol::split_word(text);
    let arguments = if is_prepared { wv_wire_protocol::split_word(rest).1 } else { rest };
    let (key, data) = wv_wire_protocol::split_word(arguments);
    let slot = (!key.is_empty()).then(|| wv_internal_protocol::slot_for_key(key));
    crate::slots::RequestKey { key: key.to_vec(), slot, write_bytes: data.len() as u32 }
}
