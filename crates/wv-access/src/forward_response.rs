//! Responses to forwarded requests: results, refusals, and lost peer links.
use crate::core::Core;
use crate::types::{Effect, Verb};
use wv_internal_protocol::ForwardMessage;

/// After a link to an owner fails, requests are executed locally for this long.
const PEER_RETRY_DELAY_US: u64 = 500_000;

impl Core {
    /// The request was not executed by the owner: executes it on this node.
    pub(crate) fn dispatch_locally(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.request.forwarded_session = None;
        client.request.is_local_only = true;
        client.txn.iter_mut().for_each(|txn| txn.forwarded_session = None);
        if client.request.is_open {
            self.dispatch(id);
        }
    }

    /// The link to an owner is connected; requests wait for its `Hello`.
    pub fn peer_link_up(&mut self, link: u64, now: u64) {
        self.advance_clock(now);
        self.effects.push(Effect::SendToPeer { link, message: ForwardMessage::Hello });
    }

    /// The other node understands configuration versions: a node that accepted the link answers, one that opened it
    /// forwards the requests that waited.
    pub(crate) fn on_peer_hello(&mut self, link: u64) {
        let Some(owner_link) = self.forwarding.owner_links.values_mut().find(|owner_link| owner_link.link == link)
        else {
            return self.effects.push(Effect::SendToPeer { link, message: ForwardMessage::Hello });
        };
        owner_link.is_up = true;
        let waiting = std::mem::take(&mut owner_link.waiting);
        self.dispatch_waiting(waiting);
    }

    /// Ends the client's wait for a link to an owner; until the link is retried, requests are executed locally. Returns
    /// whether the client waited.
    pub(crate) fn stop_waiting_for_owner(&mut self, id: u64) -> bool {
        let owner_links = self.forwarding.owner_links.values_mut();
        let Some(owner_link) = owner_links.into_iter().find(|owner_link| owner_link.waiting.contains(&id)) else {
            return false;
        };
        owner_link.waiting.retain(|waiting| *waiting != id);
        owner_link.failed_until = self.now + PEER_RETRY_DELAY_US;
        true
    }

    fn dispatch_waiting(&mut self, waiting: Vec<u64>) {
        for id in waiting {
            let is_waiting = |client: &crate::types::Client| {
                client.request.is_open
                    && client.request.db.is_none()
                    && client.request.forwarded_session.is_none()
                    && client.request.queue.is_none()
            };
            if self.clients.get(&id).is_some_and(is_waiting) {
                self.dispatch(id);
            }
        }
    }

    /// A peer link was closed: resolves the requests forwarded on it and closes the sessions received on it.
    pub fn peer_link_down(&mut self, link: u64, now: u64) {
        self.advance_clock(now);
        let mut waiting = Vec::new();
        if let Some(owner_link) = self.forwarding.owner_links.values_mut().find(|owner_link| owner_link.link == link) {
            waiting = std::mem::take(&mut owner_link.waiting);
            (owner_link.link, owner_link.is_up, owner_link.failed_until) = (0, false, now + PEER_RETRY_DELAY_US);
        }
        let sessions: Vec<u64> =
            self.forwarding.outbound.iter().filter(|(_, out)| out.link == link).map(|(session, _)| *session).collect();
        sessions.into_iter().for_each(|session| self.forwarded_session_lost(session));
        let clients: Vec<u64> =
            self.forwarding.inbound.iter().filter(|((of, _), _)| *of == link).map(|(_, client)| *client).collect();
        clients.into_iter().for_each(|client| self.client_closed(client, now));
        self.dispatch_waiting(waiting);
    }

    /// The session on the owner is lost. Its transaction was not committed unless a commit was sent.
    fn forwarded_session_lost(&mut self, session: u64) {
        let Some(out) = self.forwarding.outbound.remove(&session) else { return };
        let Some(client) = self.clients.get_mut(&out.client) else { return };
        client.forwarded_session = client.forwarded_session.filter(|current| *current != session);
        let is_pending = client.request.is_open && client.request.forwarded_session == Some(session);
        client.request.is_local_only = true;
        if let Some(txn) = client.txn.as_mut().filter(|txn| txn.forwarded_session == Some(session)) {
            txn.forwarded_session = None;
            if !is_pending {
                txn.failure = txn.failure.or(Some(crate::types::TxnFailure::Unreported));
            }
        }
        if is_pending {
            client.request.forwarded_session = None;
            let sequence = client.request.sequence;
            self.request_lost(out.client, sequence);
        }
    }

    /// The owner closed the session.
    pub(crate) fn forwarded_session_closed(&mut self, session: u64) {
        self.forwarded_session_lost(session);
    }

    /// The owner did not execute this request. Accepted only for the single open request of a transaction without
    /// completed statements.
    pub(crate) fn forwarded_request_refused(&mut self, session: u64, request: u64) {
        let is_only_open = |out: &crate::forwarding::OutboundSession| {
            out.pending.len() == 1 && (request == 0 || out.last_request == request)
        };
        let Some(out) = self.forwarding.outbound.get(&session) else { return };
        let has_completed = self
            .clients
            .get(&out.client)
            .and_then(|client| client.txn.as_ref())
            .is_some_and(|txn| txn.has_completed_statement);
        if !is_only_open(out) || has_completed {
            return self.fail_forwarded_session(session);
        }
        let Some(out) = self.forwarding.outbound.remove(&session) else { return };
        let Some(client) = self.clients.get_mut(&out.client) else { return };
        client.forwarded_session = client.forwarded_session.filter(|current| *current != session);
        if client.request.forwarded_session == Some(session)
            || client.txn.as_ref().is_some_and(|txn| txn.forwarded_session == Some(session))
        {
            self.dispatch_locally(out.client);
        }
    }

    /// Closes a forwarded session after a protocol violation.
    fn fail_forwarded_session(&mut self, session: u64) {
        if let Some(out) = self.forwarding.outbound.get(&session) {
            let message = ForwardMessage::Close { session: self.forwarded_session_id(session) };
            self.effects.push(Effect::SendToPeer { link: out.link, message });
        }
        self.forwarded_session_lost(session);
    }

    /// A forwarded request reached its deadline; a late response is ignored.
    pub(crate) fn expire_forwarded_request(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.request.forwarded_session = None;
        client.request.is_local_only = true;
        client.txn.iter_mut().for_each(|txn| txn.forwarded_session = None);
        let sequence = client.request.sequence;
        let is_read = client.txn.is_none() && client.request.verb() == Verb::Read;
        self.close_client_outbound_session(id);
        if is_read {
            return self.fail(id, wv_wire_protocol::ErrorCode::Expired, "over the route's limit", b'I');
        }
        self.request_lost(id, sequence);
    }

    /// Response data of the owner. Data for answered requests is ignored, data for later ones is a protocol violation.
    pub(crate) fn forwarded_data(&mut self, session: u64, request: u64, bytes: &[u8]) {
        let Some(out) = self.forwarding.outbound.get_mut(&session) else { return };
        match out.pending.front().map_or(out.last_request + 1, |entry| entry.request) {
            first if request < first => return,
            first if request > first => return self.fail_forwarded_session(session),
            _ => out.buf.extend_from_slice(bytes),
        }
        if out.buf.len() > wv_wire_protocol::MAX_MESSAGE_BYTES * 2 {
            return self.fail_forwarded_session(session);
        }
        while let Some(out) = self.forwarding.outbound.get_mut(&session) {
            let Some((line, len)) = wv_wire_protocol::split_line(&out.buf) else { return };
            let parsed = match wv_wire_protocol::DatabaseLine::parse(line) {
                wv_wire_protocol::DatabaseLine::Idle(state, position) => Some((state, position)),
                wv_wire_protocol::DatabaseLine::Error(code, text) => {
                    out.error = Some((code, text.to_vec()));
                    None
                }
                _ => None,
            };
            let raw: Vec<u8> = out.buf.drain(..len).collect();
            let Some(entry) = out.pending.front_mut().filter(|entry| entry.request == request) else {
                // More replies than requested.
                return self.fail_forwarded_session(session);
            };
            let (is_internal, id) = (entry.internal_responses > 0, out.client);
            match parsed {
                // A session command failed, so later statements may have run with wrong session state.
                Some(_) if is_internal && out.error.is_some() => return self.fail_forwarded_session(session),
                Some(_) if is_internal => {
                    entry.internal_responses -= 1;
                    if entry.internal_responses == 0 && !entry.has_client_response {
                        out.pending.pop_front();
                    }
                }
                Some((state, position)) => {
                    let error = out.error.take();
                    out.pending.pop_front();
                    if !out.buf.is_empty() {
                        return self.fail_forwarded_session(session);
                    }
                    self.finish_forwarded_request(id, session, error, state, position);
                }
                None if is_internal || out.error.is_some() => {}
                None => {
                    let client =
                        self.clients.get_mut(&id).filter(|client| client.request.forwarded_session == Some(session));
                    client.into_iter().for_each(|client| client.request.response.extend_from_slice(&raw));
                }
            }
        }
    }

    fn finish_forwarded_request(
        &mut self,
        id: u64,
        session: u64,
        error: Option<(wv_wire_protocol::ErrorCode, Vec<u8>)>,
        state: u8,
        position: Option<wv_wire_protocol::LogPosition>,
    ) {
        let Some(client) = self.clients.get_mut(&id).filter(|client| client.request.is_open) else { return };
        if client.request.forwarded_session != Some(session) {
            return;
        }
        client.request.forwarded_session = None;
        // An idle state means that the transaction on the owner has ended.
        if state == b'I' {
            client.txn.iter_mut().for_each(|txn| txn.forwarded_session = None);
        }
        match error {
            None => self.complete_request(id, state, position),
            Some((code, text)) => self.fail(id, code, text, state),
        }
    }
}
