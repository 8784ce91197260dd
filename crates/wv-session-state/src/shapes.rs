use wv_wire_protocol::Kind;

/// Distinct shapes a node knows at once.
const SHAPES_MAX: usize = 50_000;

/// Prepared shapes under numbers: one name per shape serves all clients on a pooled connection.
#[derive(Default)]
pub struct Shapes {
    numbers: hashbrown::HashMap<(Kind, Box<[u8]>), u32, ahash::RandomState>,
    shapes: Vec<(Kind, Box<[u8]>)>,
}

impl Shapes {
    /// `None` where the node is full.
    pub fn number(&mut self, kind: Kind, shape: &[u8]) -> Option<u32> {
        let key = (kind, Box::from(shape));
        if let Some(number) = self.numbers.get(&key) {
            return Some(*number);
        }
        if self.shapes.len() >= SHAPES_MAX {
            return None;
        }
        let number = self.shapes.len() as u32;
        self.shapes.push(key.clone());
        self.numbers.insert(key, number);
        Some(number)
    }

    pub fn get(&self, number: u32) -> Option<(Kind, &[u8])> {
        self.shapes.get(number as usize).map(|(kind, shape)| (*kind, &shape[..]))
    }
}
