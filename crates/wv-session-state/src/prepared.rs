use wv_wire_protocol::StatementKind;

/// Limit on distinct prepared statements per node.
const MAX_STATEMENTS: usize = 50_000;

/// Interned prepared statements. Statements with equal kind and body share an ID, so that clients
/// can reuse each other's definitions on a pooled connection.
#[derive(Default)]
pub struct PreparedStatements {
    ids: hashbrown::HashMap<(StatementKind, Box<[u8]>), u32, ahash::RandomState>,
    statements: Vec<(StatementKind, Box<[u8]>)>,
}

impl PreparedStatements {
    /// Returns the ID for a statement, or `None` when the limit is reached.
    pub fn intern(&mut self, kind: StatementKind, body: &[u8]) -> Option<u32> {
        let key = (kind, Box::from(body));
        if let Some(id) = self.ids.get(&key) {
            return Some(*id);
        }
        if self.statements.len() >= MAX_STATEMENTS {
            return None;
        }
        let id = self.statements.len() as u32;
        self.statements.push(key.clone());
        self.ids.insert(key, id);
        Some(id)
    }

    pub fn get(&self, id: u32) -> Option<(StatementKind, &[u8])> {
        self.statements.get(id as usize).map(|(kind, body)| (*kind, &body[..]))
    }
}
