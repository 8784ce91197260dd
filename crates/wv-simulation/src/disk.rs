//! Fault injection for a control node's disk: full disk, hanging writes and writes torn by a power loss.
use std::cell::RefCell;
use std::rc::Rc;
use wv_consensus::{DurableFiles, MemoryFiles};

/// File name, bytes, and whether the write appends.
type PendingWrite = (String, Vec<u8>, bool);

#[derive(Default)]
enum Mode {
    #[default]
    Healthy,
    /// Each write stores a prefix, of a length drawn from this value, and fails.
    Full(u64),
    /// The first write hangs and may still complete; later ones fail at once.
    Hang(Option<PendingWrite>),
    /// Power is lost during the next write, at an offset drawn from this value.
    Tear(u64),
    PoweredOff,
}

/// Handle to the faults of one disk, shared with the open disk.
#[derive(Clone, Default)]
pub struct DiskFaults(Rc<RefCell<Mode>>);

pub(crate) struct FaultyDisk {
    files: MemoryFiles,
    faults: DiskFaults,
}

/// The bytes that a torn write leaves: a prefix, or a prefix padded with zeros to the full length.
fn torn_write(bytes: &[u8], draw: u64) -> Vec<u8> {
    let len = (draw >> 1) as usize % (bytes.len() + 1);
    let mut stored = bytes[..len].to_vec();
    if draw & 1 == 1 {
        stored.resize(bytes.len(), 0);
    }
    stored
}

fn store(files: &MemoryFiles, (name, bytes, is_append): &PendingWrite) {
    let mut files = files.files.borrow_mut();
    if *is_append {
        return files.entry(name.clone()).or_default().extend_from_slice(bytes);
    }
    files.insert(name.clone(), bytes.clone());
}

impl DiskFaults {
    pub fn set_full(&self, draw: u64) {
        *self.0.borrow_mut() = Mode::Full(draw);
    }

    pub fn set_hanging(&self) {
        *self.0.borrow_mut() = Mode::Hang(None);
    }

    pub fn tear_next_write(&self, draw: u64) {
        *self.0.borrow_mut() = Mode::Tear(draw);
    }

    pub fn is_powered_off(&self) -> bool {
        matches!(*self.0.borrow(), Mode::PoweredOff)
    }

    /// Clears the fault; a hanging write completes.
    pub fn clear(&self, files: &MemoryFiles) {
        if let Mode::Hang(Some(write)) = std::mem::take(&mut *self.0.borrow_mut()) {
            store(files, &write);
        }
    }

    /// Power is lost: a hanging write may be stored in part.
    pub fn power_off(&self, files: &MemoryFiles, draw: u64) {
        if let Mode::Hang(Some((name, bytes, is_append))) = std::mem::take(&mut *self.0.borrow_mut()) {
            if !draw.is_multiple_of(3) {
                store(files, &(name, torn_write(&bytes, draw / 3), is_append));
            }
        }
    }
}

impl FaultyDisk {
    pub(crate) fn new(files: MemoryFiles, faults: DiskFaults) -> FaultyDisk {
        FaultyDisk { files, faults }
    }

    fn run(&mut self, name: &str, bytes: &[u8], is_append: bool) -> std::io::Result<()> {
        let mut mode = self.faults.0.borrow_mut();
        match &mut *mode {
            Mode::Healthy if is_append => self.files.append(name, bytes),
            Mode::Healthy => self.files.write(name, bytes),
            Mode::Full(draw) => {
                *draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(17);
                let len = *draw as usize % (bytes.len() / 2 + 1);
                store(&self.files, &(name.to_owned(), bytes[..len].to_vec(), is_append));
                Err(std::io::ErrorKind::StorageFull.into())
            }
            Mode::Hang(write) => {
                write.get_or_insert_with(|| (name.to_owned(), bytes.to_vec(), is_append));
                Err(std::io::ErrorKind::TimedOut.into())
            }
            Mode::Tear(draw) => {
                // A newly created file may be lost together with its directory entry.
                let is_new = !self.files.files.borrow().contains_key(name);
                if !is_new || *draw % 5 > 0 {
                    store(&self.files, &(name.to_owned(), torn_write(bytes, *draw / 5), is_append));
                }
                *mode = Mode::PoweredOff;
                Err(std::io::ErrorKind::TimedOut.into())
            }
            Mode::PoweredOff => Err(std::io::ErrorKind::TimedOut.into()),
        }
    }
}

impl DurableFiles for FaultyDisk {
    fn read(&self, name: &str) -> std::io::Result<Option<Vec<u8>>> {
        self.files.read(name)
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.run(name, bytes, false)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.run(name, bytes, true)
    }
}
