//! The names of a shard's things: the wire lists none, so what is to be moved must be known by name.
use std::collections::BTreeSet;

/// Names are kept in so many parts, each written by itself.
pub const CHUNKS: usize = 16;
/// More names than this are not kept; a shard with more things is not split by itself.
pub const NAMES_MAX: usize = 262_144;

/// New names are written together and by themselves; so many of them are folded into their parts.
const FRESH_MAX: usize = 1024;

#[derive(Clone, Default, PartialEq, Debug)]
pub struct Names {
    chunks: Vec<BTreeSet<Box<str>>>,
    /// Parts that are to be written.
    dirty: BTreeSet<usize>,
    /// Names that stand in no written part yet, and those of them that are being folded into theirs.
    fresh: BTreeSet<Box<str>>,
    folding: BTreeSet<Box<str>>,
    is_new: bool,
    is_full: bool,
}

fn chunk(name: &str) -> usize {
    name.bytes().fold(7u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte))) as usize % CHUNKS
}

impl Names {
    pub fn len(&self) -> usize {
        self.chunks.iter().map(BTreeSet::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether a name was met that could not be kept.
    pub fn is_full(&self) -> bool {
        self.is_full
    }

    fn insert(&mut self, name: &str) -> Option<usize> {
        self.chunks.resize_with(CHUNKS, BTreeSet::new);
        let at = chunk(name);
        if self.chunks[at].contains(name) {
            return None;
        }
        if self.len() >= NAMES_MAX {
            self.is_full = true;
            return None;
        }
        self.chunks[at].insert(Box::from(name));
        Some(at)
    }

    /// Takes in a name that a node waits to see kept.
    pub fn add(&mut self, name: &str) {
        if self.insert(name).is_some() {
            self.fresh.insert(Box::from(name));
            self.is_new = true;
        }
    }

    /// Takes in one of a long list.
    pub fn list(&mut self, name: &str) {
        let at = self.insert(name);
        self.dirty.extend(at);
    }

    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.chunks.iter().flat_map(|chunk| chunk.iter().map(|name| &**name))
    }

    /// The new names, a line each, where there are any since they were last taken.
    pub fn take_fresh(&mut self) -> Option<String> {
        std::mem::take(&mut self.is_new).then(|| text(self.fresh.iter().chain(&self.folding)))
    }

    /// The new names were not written after all.
    pub fn renew(&mut self) {
        self.is_new = true;
    }

    /// A part that is to be written: its number and its names.
    pub fn take_dirty(&mut self) -> Option<(usize, String)> {
        if self.dirty.is_empty() && self.fresh.len() >= FRESH_MAX {
            self.folding = std::mem::take(&mut self.fresh);
            self.dirty = self.folding.iter().map(|name| chunk(name)).collect();
        }
        let at = self.dirty.pop_first()?;
        Some((at, self.chunks.get(at).map(|chunk| text(chunk.iter())).unwrap_or_default()))
    }

    /// The part was not written after all.
    pub fn put_back(&mut self, at: usize) {
        self.dirty.insert(at);
    }

    /// The last part taken was written: with none left, what was folded stands in its parts.
    pub fn written(&mut self) {
        if self.dirty.is_empty() {
            self.folding.clear();
        }
    }

    pub fn is_kept(&self) -> bool {
        self.dirty.is_empty() && !self.is_new
    }

    /// Takes in names as they were read back.
    pub fn load(&mut self, text: &str) {
        text.lines().filter(|name| !name.is_empty()).for_each(|name| {
            self.insert(name);
        });
    }

    /// The same for those that stand in no part.
    pub fn load_fresh(&mut self, text: &str) {
        self.load(text);
        self.fresh.extend(text.lines().filter(|name| !name.is_empty()).map(Box::from));
    }

    /// What was kept and what was heard since, together.
    pub fn merge(&mut self, kept: Names) {
        kept.iter().for_each(|name| {
            self.insert(name);
        });
        self.fresh.extend(kept.fresh);
    }
}

fn text<'a>(names: impl Iterator<Item = &'a Box<str>>) -> String {
    names.map(|name| format!("{name}\n")).collect()
}
