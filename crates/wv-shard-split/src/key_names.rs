//! The keys of a shard: the database protocol cannot list them, so rows to move must be known by key name.
use crate::key_list::{decode_key_list, encode_key_list};
use std::collections::BTreeSet;

/// Number of chunks that the names are stored in, each written separately.
pub const NAME_CHUNKS: usize = 16;
/// Maximum number of stored names; a shard with more keys is not split.
pub const MAX_NAMES: usize = 262_144;

/// New names are stored in a separate list, which is folded into the chunks at this length.
const MAX_NEW_NAMES: usize = 1024;

#[derive(Clone, Default, PartialEq, Debug)]
pub struct KeyNames {
    chunks: Vec<BTreeSet<Box<[u8]>>>,
    /// Chunks to write.
    dirty: BTreeSet<usize>,
    /// Names that no written chunk contains yet, and those being folded into their chunks.
    new_names: BTreeSet<Box<[u8]>>,
    folding: BTreeSet<Box<[u8]>>,
    has_unwritten_names: bool,
    is_full: bool,
}

fn chunk_index(name: &[u8]) -> usize {
    name.iter().fold(7u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(*byte))) as usize % NAME_CHUNKS
}

impl KeyNames {
    pub fn len(&self) -> usize {
        self.chunks.iter().map(BTreeSet::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a name was dropped because the limit was reached.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    fn insert(&mut self, name: &[u8]) -> Option<usize> {
        self.chunks.resize_with(NAME_CHUNKS, BTreeSet::new);
        let at = chunk_index(name);
        if self.chunks[at].contains(name) {
            return None;
        }
        if self.len() >= MAX_NAMES {
            self.is_full = true;
            return None;
        }
        self.chunks[at].insert(Box::from(name));
        Some(at)
    }

    /// Adds a name whose storage an access node waits for.
    pub fn add(&mut self, name: &[u8]) {
        if self.insert(name).is_some() {
            self.new_names.insert(Box::from(name));
            self.has_unwritten_names = true;
        }
    }

    /// Adds a name from a bulk import; it is written with its chunk.
    pub fn add_listed(&mut self, name: &[u8]) {
        let at = self.insert(name);
        self.dirty.extend(at);
    }

    pub fn iter(&self) -> impl Iterator<Item = &[u8]> {
        self.chunks.iter().flat_map(|chunk| chunk.iter().map(|name| &**name))
    }

    /// The list of new names to write, if any were added since the last call.
    pub fn take_new(&mut self) -> Option<Vec<u8>> {
        let names = self.new_names.iter().chain(&self.folding).map(|name| &**name);
        std::mem::take(&mut self.has_unwritten_names).then(|| encode_key_list(names))
    }

    /// Marks the new names as unwritten after a failed write.
    pub fn restore_new(&mut self) {
        self.has_unwritten_names = true;
    }

    /// The next chunk to write: its index and its names.
    pub fn take_dirty_chunk(&mut self) -> Option<(usize, Vec<u8>)> {
        if self.dirty.is_empty() && self.new_names.len() >= MAX_NEW_NAMES {
            self.folding = std::mem::take(&mut self.new_names);
            self.dirty = self.folding.iter().map(|name| chunk_index(name)).collect();
        }
        let at = self.dirty.pop_first()?;
        let chunk = self.chunks.get(at).map(|chunk| encode_key_list(chunk.iter().map(|name| &**name)));
        Some((at, chunk.unwrap_or_default()))
    }

    /// Marks a chunk as dirty again after a failed write.
    pub fn restore_chunk(&mut self, at: usize) {
        self.dirty.insert(at);
    }

    /// Handles the write of the last chunk taken; once none is dirty, all folded names are stored.
    pub fn on_chunk_written(&mut self) {
        if self.dirty.is_empty() {
            self.folding.clear();
        }
    }

    pub fn is_stored(&self) -> bool {
        self.dirty.is_empty() && !self.has_unwritten_names
    }

    /// Loads a stored chunk.
    pub fn load_chunk(&mut self, list: &[u8]) {
        decode_key_list(list).iter().for_each(|name| {
            self.insert(name);
        });
    }

    /// Loads the stored list of new names.
    pub fn load_new(&mut self, list: &[u8]) {
        self.load_chunk(list);
        self.new_names.extend(decode_key_list(list));
    }

    /// Merges stored names into those received since.
    pub fn merge(&mut self, stored: KeyNames) {
        stored.iter().for_each(|name| {
            self.insert(name);
        });
        self.new_names.extend(stored.new_names);
    }
}
