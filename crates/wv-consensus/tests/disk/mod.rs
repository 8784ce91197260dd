//! A folder in memory that dies after a number of calls, and all that a loss of power may then leave of it.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use wv_consensus::Directory;

/// One change of a file that was not synced yet.
#[derive(Clone, Debug)]
enum Change {
    Emptied,
    Written { at: usize, bytes: Vec<u8> },
}

#[derive(Clone, Debug, Default)]
struct File {
    lasting: Vec<u8>,
    /// What a process that goes on, or the next one without a loss of power, reads.
    seen: Vec<u8>,
    changes: Vec<Change>,
    is_named: bool,
}

/// What stands in the folder: all contents by name.
pub type Left = BTreeMap<String, Vec<u8>>;

#[derive(Clone, Default)]
pub struct Disk {
    files: Rc<RefCell<BTreeMap<String, File>>>,
    /// How many more calls are served; the last write of all is half done.
    pub calls: Rc<Cell<usize>>,
    /// Calls that fail while the disk lives on, by how many are left when they come.
    pub failing: BTreeSet<usize>,
}

impl Disk {
    pub fn new(calls: usize) -> Disk {
        let disk = Disk::default();
        disk.calls.set(calls);
        disk
    }

    /// A disk on which just this lasts.
    pub fn holding(left: &Left, calls: usize) -> Disk {
        let disk = Disk::new(calls);
        let file =
            |bytes: &Vec<u8>| File { lasting: bytes.clone(), seen: bytes.clone(), changes: Vec::new(), is_named: true };
        *disk.files.borrow_mut() = left.iter().map(|(name, bytes)| (name.clone(), file(bytes))).collect();
        disk
    }

    /// The process died and nothing else: the next one finds all as it was left.
    pub fn restarted(&self, calls: usize) -> Disk {
        let disk = Disk::new(calls);
        *disk.files.borrow_mut() = self.files.borrow().clone();
        disk
    }

    fn call(&self) -> std::io::Result<()> {
        let left = self.calls.get();
        self.calls.set(left.checked_sub(1).ok_or(std::io::ErrorKind::BrokenPipe)?);
        if self.failing.contains(&left) {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    /// Everything that a loss of power may leave: of each file whose name does not last, also nothing; of each change
    /// that was not synced, all, none, its first part, its last part, a single byte, or zeros.
    pub fn lost_power(&self) -> BTreeSet<Left> {
        let mut all = BTreeSet::from([Left::new()]);
        for (name, file) in self.files.borrow().iter() {
            let mut contents: BTreeSet<Option<Vec<u8>>> =
                contents(file.lasting.clone(), &file.changes).into_iter().map(Some).collect();
            if !file.is_named {
                contents.insert(None);
            }
            let with = |left: &Left, content: &Option<Vec<u8>>| {
                let mut left = left.clone();
                content.iter().for_each(|content| {
                    left.insert(name.clone(), content.clone());
                });
                left
            };
            all = all.iter().flat_map(|left| contents.iter().map(move |content| with(left, content))).collect();
        }
        all
    }
}

fn written(content: &[u8], at: usize, bytes: &[u8]) -> Vec<u8> {
    let mut content = content.to_vec();
    content.resize(content.len().max(at + bytes.len()), 0);
    content[at..at + bytes.len()].copy_from_slice(bytes);
    content
}

fn contents(lasting: Vec<u8>, changes: &[Change]) -> BTreeSet<Vec<u8>> {
    // Of many changes the older ones are there together or not at all: a store that syncs has few.
    let (old, new) = changes.split_at(changes.len().saturating_sub(3));
    let whole = |content: Vec<u8>, change: &Change| match change {
        Change::Emptied => Vec::new(),
        Change::Written { at, bytes } => written(&content, *at, bytes),
    };
    let mut all = BTreeSet::from([old.iter().fold(lasting.clone(), whole), lasting]);
    for change in new {
        let after = |content: &Vec<u8>| match change {
            Change::Emptied => vec![content.clone(), Vec::new()],
            Change::Written { at, bytes } => {
                let half = bytes.len() / 2;
                vec![
                    content.clone(),
                    written(content, *at, bytes),
                    written(content, *at, &bytes[..half]),
                    written(content, *at, &bytes[..bytes.len().min(1)]),
                    written(content, *at + half, &bytes[half..]),
                    written(content, *at, &vec![0; bytes.len()]),
                ]
            }
        };
        all = all.iter().flat_map(after).collect();
    }
    all
}

impl Directory for Disk {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>> {
        Ok(self.files.borrow().get(name).map(|file| file.seen.clone()))
    }

    fn exists(&self, name: &str) -> bool {
        self.files.borrow().contains_key(name)
    }

    fn create(&mut self, name: &str) -> std::io::Result<()> {
        self.call()?;
        let mut files = self.files.borrow_mut();
        if let Some(file) = files.get_mut(name) {
            file.changes.push(Change::Emptied);
            file.seen.clear();
        } else {
            files.insert(name.to_owned(), File::default());
        }
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        let is_half = self.calls.get() == 0 || self.failing.contains(&self.calls.get());
        let mut files = self.files.borrow_mut();
        let file = files.get_mut(name).ok_or(std::io::ErrorKind::NotFound)?;
        // Whoever dies in a write has written part of it.
        let bytes = if is_half { &bytes[..bytes.len() / 2] } else { bytes };
        file.changes.push(Change::Written { at: file.seen.len(), bytes: bytes.to_vec() });
        file.seen.extend_from_slice(bytes);
        self.call()
    }

    fn sync(&self, name: &str) -> std::io::Result<()> {
        self.call()?;
        let mut files = self.files.borrow_mut();
        let file = files.get_mut(name).ok_or(std::io::ErrorKind::NotFound)?;
        file.lasting = file.seen.clone();
        file.changes.clear();
        Ok(())
    }

    fn sync_directory(&self) -> std::io::Result<()> {
        self.call()?;
        self.files.borrow_mut().values_mut().for_each(|file| file.is_named = true);
        Ok(())
    }
}
