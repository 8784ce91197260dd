//! Values with hashes that tell the voters apart only as far as it matters.
use super::NAMES;
use std::hash::Hasher;
use std::rc::Rc;

/// The voters are alike: states that differ only in which of them is which are one.
pub const ORDERS: [[usize; 3]; 6] = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];

/// A value with its hash in each order of the voters, shared by all states that have it.
pub struct Kept<T> {
    pub value: T,
    pub hashes: [u64; 6],
}

pub struct Shown(pub String);

impl std::fmt::Debug for Shown {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        to.write_str(&self.0)
    }
}

/// With the voters' names, which alone stand in quotes, put in each order.
pub fn kept<T>(value: T, shown: &dyn std::fmt::Debug) -> Rc<Kept<T>> {
    let text = format!("{shown:?}").into_bytes();
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
    Rc::new(Kept { value, hashes: ORDERS.each_ref().map(hash) })
}
