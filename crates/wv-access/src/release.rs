//! Releases connections to the pool, rolls them back or closes them; closes clients.
use crate::core::Core;
use crate::types::{Pending, Phase, Reply};
use crate::Effect;
use wv_wire_protocol::write_query;

impl Core {
    /// Returns a clean connection to the pool, or closes it.
    pub(crate) fn release_db(&mut self, db: u64) {
        let Some(connection) = self.connections.get_mut(&db) else { return };
        let (key, charge) = (connection.key, connection.charge.take());
        self.release_charge(key, charge);
        let Some(connection) = self.connections.get(&db) else { return };
        let is_gone =
            self.health.database(key).is_none_or(|member| member.instance.gone || member.instance.id != connection.id);
        let is_over =
            self.pools.get(&key).is_some_and(|pool| pool.total > self.connection_limit(key) && pool.waiting.is_empty());
        let term_order = self.compare_term(db);
        let Some(connection) = self.connections.get_mut(&db) else { return };
        if connection.is_tainted || !connection.pending.is_empty() || is_gone || is_over || term_order.is_lt() {
            self.close_db(db);
        } else if term_order.is_gt() {
            // Keeps the connection until the slot map for its newer term arrives.
            (connection.phase, connection.txn_client) = (Phase::Idle, None);
            self.pools.entry(key).or_default().newer_term.push(db);
        } else {
            connection.phase = Phase::Idle;
            connection.txn_client = None;
            connection.phase_since = self.now;
            self.pools.entry(key).or_default().idle.push(db);
        }
        self.serve_queue(key);
    }

    /// The leader refused a write on this connection. It may have lost and regained leadership since the connection was
    /// opened and then accepts writes only on newer connections.
    pub(crate) fn taint_leader(&mut self, db: u64) {
        let Some(key) = self.connections.get(&db).map(|connection| connection.key) else { return };
        let is_leader = self.health.service(key.service).and_then(|checker| checker.leader()) == Some(key.index);
        self.connections
            .get_mut(&db)
            .filter(|_| is_leader)
            .into_iter()
            .for_each(|connection| connection.is_tainted = true);
    }

    /// Rolls back the connection's transaction and returns it to the pool.
    pub(crate) fn roll_back_db(&mut self, db: u64) {
        let now = self.now;
        let Some(connection) = self.connections.get_mut(&db) else { return };
        connection.txn_client = None;
        // With a response pending, only closing the connection ensures a rollback.
        if connection.pending.iter().any(|reply| matches!(reply.kind, Reply::Request { .. })) {
            return self.discard_db(db);
        }
        write_query(&mut connection.out, b"-", &[b"ABORT"]);
        connection.pending.push_back(Pending { kind: Reply::Abort, sent_at: now, is_fenced: false });
        self.effects.push(Effect::WriteDb(db));
    }

    /// Closes a connection with a pending response that no client waits for.
    pub(crate) fn discard_db(&mut self, db: u64) {
        let key = self.connections.get(&db).map(|connection| connection.key);
        self.close_db(db);
        key.into_iter().for_each(|key| self.serve_queue(key));
    }

    /// The client's connection was closed.
    pub fn client_closed(&mut self, id: u64, now: u64) {
        self.advance_clock(now);
        self.record_close(id);
        self.slots.shards.values_mut().for_each(|shard| shard.dirty_keys.mark_outcome_unknown(id));
        let Some(client) = self.clients.remove(&id) else { return };
        client.forwarded_session.into_iter().for_each(|session| self.close_outbound_session(session));
        if let Some(origin) = client.forward_origin {
            self.forwarding.inbound.remove(&(origin.link, origin.session));
        }
        if client.database.is_some() {
            self.release_session(client.tenant);
        }
        if client.request.is_open {
            self.release_request(client.tenant);
        }
        let txn_db = client.txn.as_ref().and_then(|txn| txn.db);
        // The pending response has no recipient, so the connection is closed.
        match client.request.db.filter(|_| client.request.is_open) {
            Some(db) => self.discard_db(db),
            None => txn_db.into_iter().for_each(|db| self.roll_back_db(db)),
        }
    }

    pub(crate) fn close_client(&mut self, id: u64) {
        if let Some((link, last)) = self.take_forwarded_response(id) {
            if let wv_internal_protocol::ForwardMessage::Response { session, .. } = last {
                self.effects.push(Effect::SendToPeer { link, message: last });
                self.effects.push(Effect::SendToPeer {
                    link,
                    message: wv_internal_protocol::ForwardMessage::Close { session },
                });
            }
            return self.client_closed(id, self.now);
        }
        let out = self.clients.get_mut(&id).map(|client| std::mem::take(&mut client.out)).unwrap_or_default();
        self.effects.push(Effect::CloseClient(id, out));
        self.client_closed(id, self.now);
    }
}
