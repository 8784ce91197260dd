//! An in-memory directory that fails after a number of operations, and the contents that a power loss may leave.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use wv_consensus::Directory;

/// A change to a file that was not synced.
#[derive(Clone, Debug)]
enum Change {
    Truncated,
    Written { at: usize, bytes: Vec<u8> },
}

#[derive(Clone, Debug, Default)]
struct File {
    durable: Vec<u8>,
    /// The contents visible before a power loss.
    visible: Vec<u8>,
    changes: Vec<Change>,
    has_durable_name: bool,
}

/// File contents by name.
pub type Contents = BTreeMap<String, Vec<u8>>;

#[derive(Clone, Default)]
pub struct Disk {
    files: Rc<RefCell<BTreeMap<String, File>>>,
    /// Number of operations left; of the last write only the first half is applied.
    pub calls: Rc<Cell<usize>>,
    /// Operations that fail temporarily, by the number of operations left when they are called.
    pub failing_calls: BTreeSet<usize>,
}

impl Disk {
    pub fn new(calls: usize) -> Disk {
        let disk = Disk::default();
        disk.calls.set(calls);
        disk
    }

    /// Returns a disk with the given durable contents.
    pub fn with_contents(remaining: &Contents, calls: usize) -> Disk {
        let disk = Disk::new(calls);
        let file = |bytes: &Vec<u8>| File {
            durable: bytes.clone(),
            visible: bytes.clone(),
            changes: Vec::new(),
            has_durable_name: true,
        };
        *disk.files.borrow_mut() = remaining.iter().map(|(name, bytes)| (name.clone(), file(bytes))).collect();
        disk
    }

    /// Simulates a process restart without a power loss.
    pub fn restarted(&self, calls: usize) -> Disk {
        let disk = Disk::new(calls);
        *disk.files.borrow_mut() = self.files.borrow().clone();
        disk
    }

    fn call(&self) -> std::io::Result<()> {
        let remaining = self.calls.get();
        self.calls.set(remaining.checked_sub(1).ok_or(std::io::ErrorKind::BrokenPipe)?);
        if self.failing_calls.contains(&remaining) {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    /// Returns every result of a power loss: files whose entry is not durable may be missing, and each unsynced change
    /// may be applied fully, not at all, by its first or last part, by a single byte, or as zeros.
    pub fn power_loss_results(&self) -> BTreeSet<Contents> {
        let mut all = BTreeSet::from([Contents::new()]);
        for (name, file) in self.files.borrow().iter() {
            let mut contents: BTreeSet<Option<Vec<u8>>> =
                contents(file.durable.clone(), &file.changes).into_iter().map(Some).collect();
            if !file.has_durable_name {
                contents.insert(None);
            }
            let with = |remaining: &Contents, content: &Option<Vec<u8>>| {
                let mut remaining = remaining.clone();
                content.iter().for_each(|content| {
                    remaining.insert(name.clone(), content.clone());
                });
                remaining
            };
            all =
                all.iter().flat_map(|remaining| contents.iter().map(move |content| with(remaining, content))).collect();
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

fn contents(durable: Vec<u8>, changes: &[Change]) -> BTreeSet<Vec<u8>> {
    // All but the last three changes are applied together or not at all, which limits the number of combinations.
    let (old, new) = changes.split_at(changes.len().saturating_sub(3));
    let apply_fully = |content: Vec<u8>, change: &Change| match change {
        Change::Truncated => Vec::new(),
        Change::Written { at, bytes } => written(&content, *at, bytes),
    };
    let mut all = BTreeSet::from([old.iter().fold(durable.clone(), apply_fully), durable]);
    for change in new {
        let after = |content: &Vec<u8>| match change {
            Change::Truncated => vec![content.clone(), Vec::new()],
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
        Ok(self.files.borrow().get(name).map(|file| file.visible.clone()))
    }

    fn exists(&self, name: &str) -> bool {
        self.files.borrow().contains_key(name)
    }

    fn create(&mut self, name: &str) -> std::io::Result<()> {
        self.call()?;
        let mut files = self.files.borrow_mut();
        if let Some(file) = files.get_mut(name) {
            file.changes.push(Change::Truncated);
            file.visible.clear();
        } else {
            files.insert(name.to_owned(), File::default());
        }
        Ok(())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        let is_partial = self.calls.get() == 0 || self.failing_calls.contains(&self.calls.get());
        let mut files = self.files.borrow_mut();
        let file = files.get_mut(name).ok_or(std::io::ErrorKind::NotFound)?;
        // Only the first half of a failing write is applied.
        let bytes = if is_partial { &bytes[..bytes.len() / 2] } else { bytes };
        file.changes.push(Change::Written { at: file.visible.len(), bytes: bytes.to_vec() });
        file.visible.extend_from_slice(bytes);
        self.call()
    }

    fn sync(&self, name: &str) -> std::io::Result<()> {
        self.call()?;
        let mut files = self.files.borrow_mut();
        let file = files.get_mut(name).ok_or(std::io::ErrorKind::NotFound)?;
        file.durable = file.visible.clone();
        file.changes.clear();
        Ok(())
    }

    fn sync_directory(&self) -> std::io::Result<()> {
        self.call()?;
        self.files.borrow_mut().values_mut().for_each(|file| file.has_durable_name = true);
        Ok(())
    }
}
