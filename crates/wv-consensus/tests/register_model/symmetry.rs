//! Values with hashes that are symmetric in the voters.
use super::NAMES;
use std::hash::Hasher;
use std::rc::Rc;

/// States that differ only by a permutation of the voters are equivalent.
pub const ORDERS: [[usize; 3]; 6] = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];

/// A value with its hash under each permutation of the voters, shared by all states that contain it.
pub struct Hashed<T> {
    pub value: T,
    pub hashes: [u64; 6],
}

pub struct DebugText(pub String);

impl std::fmt::Debug for DebugText {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.write_str(&self.0)
    }
}

/// Hashes the debug text under each permutation; only voter names may appear in it as quoted strings.
pub fn hashed<T>(value: T, debug_value: &dyn std::fmt::Debug) -> Rc<Hashed<T>> {
    let text = format!("{debug_value:?}").into_bytes();
    let is_name = |at: usize| at > 0 && text.get(at + 1) == Some(&b'"') && text[at - 1] == b'"';
    let names: Vec<(usize, usize)> = (0..text.len())
        .filter(|at| is_name(*at))
        .filter_map(|at| Some((at, NAMES.iter().position(|name| name.as_bytes() == [text[at]])?)))
        .collect();
    let hash = |order: &[usize; 3]| {
        let mut text = text.clone();
        names.iter().for_each(|(at, name)| text[*at] = NAMES[order[*name]].as_bytes()[0]);
        let mut hasher = std::hash::DefaultHasher::new();
        hasher.write(&text);
        hasher.finish()
    };
    Rc::new(Hashed { value, hashes: ORDERS.each_ref().map(hash) })
}
