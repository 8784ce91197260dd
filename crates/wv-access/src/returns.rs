//! What comes back of work handed over: returns, refusals, and the end of the way there.
use crate::core::Core;
use crate::types::Verb;

/// An owner that could not be reached is not tried again for this long; its work is done here meanwhile.
const FAILED_US: u64 = 500_000;

impl Core {
    /// Nothing of the request has run elsewhere: it is done here.
    pub(crate) fn retry_here(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.request.hand = None;
        client.request.is_direct = true;
        client.txn.iter_mut().for_each(|txn| txn.hand = None);
        if client.request.is_open {
            self.offer(id);
        }
    }

    /// The link to an owner stands.
    pub fn hand_up(&mut self, link: u64, now: u64) {
        self.now = self.now.max(now);
        let Some(way) = self.hands.owner_links.values_mut().find(|way| way.link == link) else { return };
        way.is_up = true;
        let waiting = std::mem::take(&mut way.waiting);
        self.offer_waiting(waiting);
    }

    fn offer_waiting(&mut self, waiting: Vec<u64>) {
        for id in waiting {
            let is_waiting = |client: &crate::types::Client| {
                client.request.is_open
                    && client.request.db.is_none()
                    && client.request.hand.is_none()
                    && client.request.queued.is_none()
            };
            if self.clients.get(&id).is_some_and(is_waiting) {
                self.offer(id);
            }
        }
    }

    /// A link ended, from whichever side: what was handed over on it is stranded, what came over it is broken off.
    pub fn hand_down(&mut self, link: u64, now: u64) {
        self.now = self.now.max(now);
        let mut waiting = Vec::new();
        if let Some(way) = self.hands.owner_links.values_mut().find(|way| way.link == link) {
            waiting = std::mem::take(&mut way.waiting);
            (way.link, way.is_up, way.failed_until) = (0, false, now + FAILED_US);
        }
        let lost: Vec<u64> =
            self.hands.outbound.iter().filter(|(_, out)| out.link == link).map(|(hand, _)| *hand).collect();
        lost.into_iter().for_each(|hand| self.strand_hand(hand));
        let guests: Vec<u64> =
            self.hands.inbound.iter().filter(|((of, _), _)| *of == link).map(|(_, client)| *client).collect();
        guests.into_iter().for_each(|client| self.client_gone(client, now));
        self.offer_waiting(waiting);
    }

    /// The session at the owner is gone. Its transaction was not committed unless that was asked of it.
    fn strand_hand(&mut self, hand: u64) {
        let Some(out) = self.hands.outbound.remove(&hand) else { return };
        let Some(client) = self.clients.get_mut(&out.client) else { return };
        client.hand = client.hand.filter(|held| *held != hand);
        let is_asked = client.request.is_open && client.request.hand == Some(hand);
        client.request.is_direct = true;
        if let Some(txn) = client.txn.as_mut().filter(|txn| txn.hand == Some(hand)) {
            txn.hand = None;
            if !is_asked {
                txn.fail = txn.fail.or(Some(crate::types::Fail::Untold));
            }
        }
        if is_asked {
            client.request.hand = None;
            let number = client.request.number;
            self.strand_request(out.client, number);
        }
    }

    /// The owner ended the session by itself.
    pub(crate) fn hand_ended(&mut self, hand: u64) {
        self.strand_hand(hand);
    }

    /// Nothing of this ask has run or will. Believed of the one ask that is open, and where its transaction began with it.
    pub(crate) fn hand_refused(&mut self, hand: u64, ask: u64) {
        let is_its =
            |out: &crate::forwarding::OutboundSession| out.pending.len() == 1 && (ask == 0 || out.last_request == ask);
        let Some(out) = self.hands.outbound.get(&hand) else { return };
        let is_begun =
            self.clients.get(&out.client).and_then(|client| client.txn.as_ref()).is_some_and(|txn| txn.is_begun);
        if !is_its(out) || is_begun {
            return self.break_hand(hand);
        }
        let Some(out) = self.hands.outbound.remove(&hand) else { return };
        let Some(client) = self.clients.get_mut(&out.client) else { return };
        client.hand = client.hand.filter(|held| *held != hand);
        if client.request.hand == Some(hand) || client.txn.as_ref().is_some_and(|txn| txn.hand == Some(hand)) {
            self.retry_here(out.client);
        }
    }

    /// What came makes no sense: nothing more on this hand can be trusted, and what is open there ends.
    fn break_hand(&mut self, hand: u64) {
        if let Some(out) = self.hands.outbound.get(&hand) {
            let msg = wv_internal_protocol::ForwardMessage::Close { session: self.forwarded_session_id(hand) };
            self.acts.push(crate::Act::SendHand { link: out.link, msg });
        }
        self.strand_hand(hand);
    }

    /// The open request is over its limit while an owner works on it; its return may still come and is then nobody's.
    pub(crate) fn expire_hand(&mut self, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.request.hand = None;
        client.request.is_direct = true;
        client.txn.iter_mut().for_each(|txn| txn.hand = None);
        let number = client.request.number;
        let is_read = client.txn.is_none() && client.request.verb() == Verb::Read;
        self.close_client_outbound_session(id);
        if is_read {
            return self.fail(id, wv_wire_protocol::ErrorCode::Expired, "over the route's limit", b'I');
        }
        self.strand_request(id, number);
    }

    /// Bytes that an owner returned to one ask: those before it are answered wholly, those after it not at all.
    pub(crate) fn hand_returned(&mut self, hand: u64, ask: u64, bytes: &[u8]) {
        let Some(out) = self.hands.outbound.get_mut(&hand) else { return };
        match out.pending.front().map_or(out.last_request + 1, |asked| asked.request) {
            first if ask < first => return,
            first if ask > first => return self.break_hand(hand),
            _ => out.buf.extend_from_slice(bytes),
        }
        if out.buf.len() > wv_wire_protocol::MAX_MESSAGE_BYTES * 2 {
            return self.break_hand(hand);
        }
        while let Some(out) = self.hands.outbound.get_mut(&hand) {
            let Some((line, len)) = wv_wire_protocol::split_line(&out.buf) else { return };
            let parsed = match wv_wire_protocol::DatabaseLine::parse(line) {
                wv_wire_protocol::DatabaseLine::Idle(state, pos) => Some((state, pos)),
                wv_wire_protocol::DatabaseLine::Error(code, text) => {
                    out.error = Some((code, text.to_vec()));
                    None
                }
                _ => None,
            };
            let raw: Vec<u8> = out.buf.drain(..len).collect();
            let Some(asked) = out.pending.front_mut().filter(|asked| asked.request == ask) else {
                // More than was asked for.
                return self.break_hand(hand);
            };
            let (is_own, id) = (asked.internal_responses > 0, out.client);
            match parsed {
                // The session there is not what it should be: what follows in it may have run otherwise than meant.
                Some(_) if is_own && out.error.is_some() => return self.break_hand(hand),
                Some(_) if is_own => {
                    asked.internal_responses -= 1;
                    if asked.internal_responses == 0 && !asked.has_client_response {
                        out.pending.pop_front();
                    }
                }
                Some((state, pos)) => {
                    let error = out.error.take();
                    out.pending.pop_front();
                    if !out.buf.is_empty() {
                        return self.break_hand(hand);
                    }
                    self.hand_done(id, hand, error, state, pos);
                }
                None if is_own || out.error.is_some() => {}
                None => {
                    let client = self.clients.get_mut(&id).filter(|client| client.request.hand == Some(hand));
                    client.into_iter().for_each(|client| client.request.ret.extend_from_slice(&raw));
                }
            }
        }
    }

    fn hand_done(
        &mut self,
        id: u64,
        hand: u64,
        error: Option<(wv_wire_protocol::ErrorCode, Vec<u8>)>,
        state: u8,
        pos: Option<wv_wire_protocol::LogPosition>,
    ) {
        let Some(client) = self.clients.get_mut(&id).filter(|client| client.request.is_open) else { return };
        if client.request.hand != Some(hand) {
            return;
        }
        client.request.hand = None;
        // Whatever ends here ends the transaction there as well.
        if state == b'I' {
            client.txn.iter_mut().for_each(|txn| txn.hand = None);
        }
        match error {
            None => self.pass(id, state, pos),
            Some((code, text)) => self.fail(id, code, &String::from_utf8_lossy(&text), state),
        }
    }
}
