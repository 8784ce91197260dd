//! Matches the pieces of a new text against those of an old one. Most pieces are unchanged and in order, so each is
//! first searched for after the previous match, and in a hash table only after several consecutive misses.

/// Pieces compared after the previous match; up to one less removed in a row are skipped without the table.
const NEAR_WINDOW: usize = 4;
/// Consecutive misses before the hash table is used.
const MISSES_BEFORE_TABLE: usize = 3;

/// Finds equal pieces of the old text while the new text is scanned from start to end.
pub struct PieceMatcher<'a, F> {
    count: usize,
    piece: F,
    next: usize,
    misses: usize,
    table: Option<hashbrown::HashMap<&'a [u8], usize, ahash::RandomState>>,
}

impl<'a, F: Fn(usize) -> &'a [u8]> PieceMatcher<'a, F> {
    /// `piece` returns the old text's piece of that index, below `count`.
    pub fn new(count: usize, piece: F) -> PieceMatcher<'a, F> {
        PieceMatcher { count, piece, next: 0, misses: 0, table: None }
    }

    /// The index of a piece of the old text that equals `wanted`.
    pub fn find(&mut self, wanted: &[u8]) -> Option<usize> {
        let near = self.next..(self.next + NEAR_WINDOW).min(self.count);
        let found =
            near.into_iter().find(|index| (self.piece)(*index) == wanted).or_else(|| self.find_in_table(wanted));
        match found {
            Some(index) => (self.next, self.misses) = (index + 1, 0),
            None => self.misses += 1,
        }
        found
    }

    /// Looks `wanted` up in the hash table, which is built on first use.
    fn find_in_table(&mut self, wanted: &[u8]) -> Option<usize> {
        if self.misses < MISSES_BEFORE_TABLE {
            return None;
        }
        let (count, piece) = (self.count, &self.piece);
        let table = self.table.get_or_insert_with(|| (0..count).map(|index| (piece(index), index)).collect());
        table.get(wanted).copied()
    }
}
