//! A control node's disk with troubles of its own: full, hanging, or torn by a loss of power in the middle of a write.
use std::cell::RefCell;
use std::rc::Rc;
use wv_consensus::{DurableFiles, MemoryFiles};

/// A write that was begun: its file, its bytes, and whether they go to the file's end.
type Job = (String, Vec<u8>, bool);

#[derive(Default)]
enum Mode {
    #[default]
    Fine,
    /// Nothing more fits beyond a part of each write, drawn from this.
    Full(u64),
    /// The first write hangs, and may yet come to stand; all others fail at once.
    Hang(Option<Job>),
    /// The next write is cut off by a loss of power, at a place drawn from this.
    Tear(u64),
    /// Power is gone.
    Dead,
}

/// The troubles of one disk, shared by whoever opened it.
#[derive(Clone, Default)]
pub struct Faults(Rc<RefCell<Mode>>);

pub(crate) struct Disk {
    files: MemoryFiles,
    faults: Faults,
}

/// What a write that was cut off leaves: a part, or as many bytes with a part of them never written.
fn torn(bytes: &[u8], draw: u64) -> Vec<u8> {
    let len = (draw >> 1) as usize % (bytes.len() + 1);
    let mut left = bytes[..len].to_vec();
    if draw & 1 == 1 {
        left.resize(bytes.len(), 0);
    }
    left
}

fn put(files: &MemoryFiles, (name, bytes, is_append): &Job) {
    let mut files = files.files.borrow_mut();
    if *is_append {
        return files.entry(name.clone()).or_default().extend_from_slice(bytes);
    }
    files.insert(name.clone(), bytes.clone());
}

impl Faults {
    pub fn fill(&self, draw: u64) {
        *self.0.borrow_mut() = Mode::Full(draw);
    }

    pub fn hang(&self) {
        *self.0.borrow_mut() = Mode::Hang(None);
    }

    pub fn tear(&self, draw: u64) {
        *self.0.borrow_mut() = Mode::Tear(draw);
    }

    pub fn is_dead(&self) -> bool {
        matches!(*self.0.borrow(), Mode::Dead)
    }

    /// The trouble is over; a write that hung stands now, whole.
    pub fn end(&self, files: &MemoryFiles) {
        if let Mode::Hang(Some(job)) = std::mem::take(&mut *self.0.borrow_mut()) {
            put(files, &job);
        }
    }

    /// Power is lost: of a write that hung some of it may stand.
    pub fn cut(&self, files: &MemoryFiles, draw: u64) {
        if let Mode::Hang(Some((name, bytes, is_append))) = std::mem::take(&mut *self.0.borrow_mut()) {
            if !draw.is_multiple_of(3) {
                put(files, &(name, torn(&bytes, draw / 3), is_append));
            }
        }
    }
}

impl Disk {
    pub(crate) fn new(files: MemoryFiles, faults: Faults) -> Disk {
        Disk { files, faults }
    }

    fn run(&mut self, name: &str, bytes: &[u8], is_append: bool) -> std::io::Result<()> {
        let mut mode = self.faults.0.borrow_mut();
        match &mut *mode {
            Mode::Fine if is_append => self.files.append(name, bytes),
            Mode::Fine => self.files.write(name, bytes),
            Mode::Full(draw) => {
                *draw = draw.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(17);
                let len = *draw as usize % (bytes.len() / 2 + 1);
                put(&self.files, &(name.to_owned(), bytes[..len].to_vec(), is_append));
                Err(std::io::ErrorKind::StorageFull.into())
            }
            Mode::Hang(job) => {
                job.get_or_insert_with(|| (name.to_owned(), bytes.to_vec(), is_append));
                Err(std::io::ErrorKind::TimedOut.into())
            }
            Mode::Tear(draw) => {
                // A file that was just made may be lost with its name.
                let is_new = !self.files.files.borrow().contains_key(name);
                if !is_new || *draw % 5 > 0 {
                    put(&self.files, &(name.to_owned(), torn(bytes, *draw / 5), is_append));
                }
                *mode = Mode::Dead;
                Err(std::io::ErrorKind::TimedOut.into())
            }
            Mode::Dead => Err(std::io::ErrorKind::TimedOut.into()),
        }
    }
}

impl DurableFiles for Disk {
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
