//! The rule on databases that leave: once a leave was acknowledged for longer than the bound, no new work that a node in
//! touch took from its clients reaches the database.
//!
//! New work is a statement on its own, or the first one of a transaction; what goes on with a transaction is none.
use crate::walls::Node;
use crate::world::World;
use crate::S;
use std::collections::BTreeMap;

/// How long after the acknowledgement of its leave a database may be given new work.
pub const DRAIN: u64 = 7 * S;
/// A machine is in touch once it has been without trouble for this long, and the core with it.
pub const CONTACT: u64 = 4 * S;

/// What the world keeps for the rule.
#[derive(Default)]
pub(crate) struct Leaves {
    /// Calls that say that a database leaves or is gone, by token.
    calls: BTreeMap<u64, String>,
    /// When the first of them was acknowledged, by database.
    acknowledged: BTreeMap<String, u64>,
    /// When each process last had trouble of its own or on its links, by name.
    troubled: BTreeMap<String, u64>,
    /// Databases of which the rule was found broken already.
    found: std::collections::BTreeSet<String>,
}

/// The database that a call says is leaving or gone.
fn leaving(method: &str, path: &str, body: &[u8]) -> Option<String> {
    let id = path.strip_prefix("/instances/")?;
    let is_draining = || {
        let beat: Option<serde_json::Value> = serde_json::from_slice(body).ok();
        beat.is_some_and(|beat| beat["state"] == "draining")
    };
    (method == "DELETE" || (method == "PUT" && is_draining())).then(|| id.to_owned())
}

impl World {
    pub(crate) fn note_call(&mut self, token: u64, method: &str, path: &str, body: &[u8]) {
        if let Some(id) = leaving(method, path, body) {
            self.leaves.calls.insert(token, id);
        }
    }

    pub(crate) fn note_return(&mut self, token: u64, status: u16) {
        let now = self.now;
        if let Some(id) = self.leaves.calls.remove(&token).filter(|_| status == 200) {
            self.leaves.acknowledged.entry(id).or_insert(now);
        }
    }

    /// The process of this name is in trouble now.
    pub(crate) fn note_trouble(&mut self, name: &str) {
        let now = self.now;
        self.leaves.troubled.insert(name.to_owned(), now);
    }

    pub(crate) fn node_name(&self, node: Node) -> String {
        match node {
            Node::Access(at) => self.access[at].name.clone(),
            Node::Control(at) => self.controls[at].name.clone(),
        }
    }

    /// Whether an access node and all control nodes have been without trouble for long enough.
    fn is_in_touch(&self, access: usize) -> bool {
        let name = &self.access[access].name;
        let is_meant = |other: &str| other == name || self.controls.iter().any(|control| control.name == other);
        let is_between = |(one, other): &(String, String)| is_meant(one) || is_meant(other);
        let is_late = |(name, at): (&String, &u64)| is_meant(name) && *at + CONTACT > self.now;
        let is_slow = self.slow.iter().any(|(node, (delay, _))| *delay > 0 && is_meant(&self.node_name(*node)));
        let is_still = self.frozen.contains(&access) || !self.frozen_controls.is_empty();
        !is_slow
            && !is_still
            && !self.leaves.troubled.iter().any(is_late)
            && !self.walls.keys().any(is_between)
            && !self.cut.iter().chain(&self.one_way).any(is_between)
    }

    /// A client's statement reaches a database.
    pub(crate) fn judge_drain(&mut self, base: usize, conn: u64, id: &str) {
        let held = &mut self.bases[base];
        let is_new = held.conns.get_mut(&conn).is_some_and(|conn| {
            let is_going_on = std::mem::replace(&mut conn.has_worked, true);
            conn.state == b'I' || !is_going_on
        });
        let database = held.id.clone();
        let Some(acknowledged) = self.leaves.acknowledged.get(&database).copied().filter(|_| is_new) else { return };
        let Some((access, _)) = self.owner(base, conn) else { return };
        let ago = self.now - acknowledged;
        if ago > DRAIN && self.is_in_touch(access) && self.leaves.found.insert(database.clone()) {
            let (name, ms) = (&self.access[access].name, ago / 1000);
            let text = format!("DRAIN: {id} of {name} reaches {database} {ms} ms after its leave was acknowledged");
            self.oracle.broken.push(text);
        }
    }
}
