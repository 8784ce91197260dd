//! How the use of a connection ends: back to the pool, rolled back first, or closed; and how a client does.
use crate::core::Core;
use crate::types::{Expect, Phase, What};
use crate::Act;
use wv_wire_protocol::write_query;

impl Core {
    /// The connection stands at rest and in order: back to the pool.
    pub(crate) fn free_db(&mut self, db: u64) {
        let Some(held) = self.dbs.get_mut(&db) else { return };
        let (spot, charge) = (held.spot, held.charge.take());
        self.release_charge(spot, charge);
        let Some(held) = self.dbs.get(&db) else { return };
        let is_gone =
            self.checks.database(spot).is_none_or(|member| member.instance.gone || member.instance.id != held.id);
        let is_over = self.pools.get(&spot).is_some_and(|pool| pool.all > self.cap(spot) && pool.waiting.is_empty());
        let fitness = self.compare_term(db);
        let Some(held) = self.dbs.get_mut(&db) else { return };
        if held.is_doubtful || !held.expects.is_empty() || is_gone || is_over || fitness.is_lt() {
            self.close_db(db);
        } else if fitness.is_gt() {
            // Promoted since this node's map was made: kept until the next one tells what holds under that term.
            (held.phase, held.holder) = (Phase::Idle, None);
            self.pools.entry(spot).or_default().early.push(db);
        } else {
            held.phase = Phase::Idle;
            held.holder = None;
            held.since = self.now;
            self.pools.entry(spot).or_default().idle.push(db);
        }
        self.serve_waiting(spot);
    }

    /// A database that is said to lead refused a write on this connection: it may have lost the lead since that was set
    /// up and won it again, and then takes writes on newer ones alone.
    pub(crate) fn distrust(&mut self, db: u64) {
        let Some(spot) = self.dbs.get(&db).map(|held| held.spot) else { return };
        let is_lead = self.checks.service(spot.service).and_then(|checker| checker.leader()) == Some(spot.index);
        self.dbs.get_mut(&db).filter(|_| is_lead).into_iter().for_each(|held| held.is_doubtful = true);
    }

    /// Rolls back what the connection holds and returns it to the pool.
    pub(crate) fn abort_db(&mut self, db: u64) {
        let now = self.now;
        let Some(held) = self.dbs.get_mut(&db) else { return };
        held.holder = None;
        // With a return outstanding only its end is sure to roll back.
        if held.expects.iter().any(|expect| matches!(expect.what, What::Request { .. })) {
            return self.drop_db(db);
        }
        write_query(&mut held.out, b"-", &[b"ABORT"]);
        held.expects.push_back(Expect { what: What::Abort, sent: now, is_fenced: false });
        self.acts.push(Act::WriteDb(db));
    }

    /// Nobody waits for what is under way on it: closed, never used again.
    pub(crate) fn drop_db(&mut self, db: u64) {
        let spot = self.dbs.get(&db).map(|held| held.spot);
        self.close_db(db);
        spot.into_iter().for_each(|spot| self.serve_waiting(spot));
    }

    /// The client's connection ended.
    pub fn client_gone(&mut self, id: u64, now: u64) {
        self.now = self.now.max(now);
        self.record_close(id);
        self.slots.shards.values_mut().for_each(|shard| shard.dirty_keys.mark_outcome_unknown(id));
        let Some(client) = self.clients.remove(&id) else { return };
        client.hand.into_iter().for_each(|hand| self.close_outbound_session(hand));
        if let Some(guest) = client.guest {
            self.hands.inbound.remove(&(guest.link, guest.hand));
        }
        if client.database.is_some() {
            self.release_session(client.tenant);
        }
        if client.request.is_open {
            self.release_request(client.tenant);
        }
        let txn_db = client.txn.as_ref().and_then(|txn| txn.db);
        // A return that is under way has nobody to go to: its connection is in doubt.
        match client.request.db.filter(|_| client.request.is_open) {
            Some(db) => self.drop_db(db),
            None => txn_db.into_iter().for_each(|db| self.abort_db(db)),
        }
    }

    pub(crate) fn close_client(&mut self, id: u64) {
        if let Some((link, last)) = self.take_forwarded_response(id) {
            if let wv_internal_protocol::ForwardMessage::Response { session: hand, .. } = last {
                self.acts.push(Act::SendHand { link, msg: last });
                self.acts
                    .push(Act::SendHand { link, msg: wv_internal_protocol::ForwardMessage::Close { session: hand } });
            }
            return self.client_gone(id, self.now);
        }
        let out = self.clients.get_mut(&id).map(|client| std::mem::take(&mut client.out)).unwrap_or_default();
        self.acts.push(Act::CloseClient(id, out));
        self.client_gone(id, self.now);
    }
}
