//! Which pieces of a new text stand in an old one: nearly all do, one after the other, so each is looked for where the
//! last one was found, and by a table of all only once several in a row were not there.

/// Pieces that went are stepped over up to this many at once.
const NEAR: usize = 4;
/// So many in a row may be new without a doubt about the place.
const NEW: usize = 3;

/// Finds equal pieces of a text that is gone through from its beginning to its end.
pub struct Align<'a, F> {
    count: usize,
    piece: F,
    next: usize,
    missed: usize,
    table: Option<hashbrown::HashMap<&'a [u8], usize, ahash::RandomState>>,
}

impl<'a, F: Fn(usize) -> &'a [u8]> Align<'a, F> {
    /// `piece` is the old text's by number, of `count`.
    pub fn new(count: usize, piece: F) -> Align<'a, F> {
        Align { count, piece, next: 0, missed: 0, table: None }
    }

    /// Where the old text has `wanted`, if it does.
    pub fn find(&mut self, wanted: &[u8]) -> Option<usize> {
        let near = self.next..(self.next + NEAR).min(self.count);
        let found = near.into_iter().find(|at| (self.piece)(*at) == wanted).or_else(|| self.look_up(wanted));
        match found {
            Some(at) => (self.next, self.missed) = (at + 1, 0),
            None => self.missed += 1,
        }
        found
    }

    /// The table is made when it is first needed. What is only new costs it once.
    fn look_up(&mut self, wanted: &[u8]) -> Option<usize> {
        if self.missed < NEW {
            return None;
        }
        let (count, piece) = (self.count, &self.piece);
        let table = self.table.get_or_insert_with(|| (0..count).map(|at| (piece(at), at)).collect());
        table.get(wanted).copied()
    }
}
