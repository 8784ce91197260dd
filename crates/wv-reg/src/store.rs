use crate::{newer, Files, RegError, STORE_MAX};
use wv_inner::Cell;

const SLOTS: [&str; 2] = ["slot-a", "slot-b"];
const LOG: &str = "log";
/// The log is folded into the next slot beyond this many bytes.
const LOG_MAX: usize = 1 << 20;

/// What a node keeps on its disk.
#[derive(nanoserde::SerBin, nanoserde::DeBin, Clone, Debug, Default, PartialEq)]
pub struct State {
    pub me: String,
    pub voters: Vec<String>,
    pub cells: Vec<(String, Cell)>,
}

#[derive(nanoserde::SerBin, nanoserde::DeBin)]
struct Entry {
    generation: u64,
    key: String,
    cell: Cell,
}

/// Two slots written in turn with a short log between them.
pub struct Store {
    files: Box<dyn Files>,
    state: Option<State>,
    generation: u64,
    log_len: usize,
}

fn seal(body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(body.len() + 8);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    out.extend_from_slice(body);
    out
}

/// One sealed body and its whole length; `None` where it is torn or missing.
fn unseal(bytes: &[u8]) -> Option<(&[u8], usize)> {
    let len = u32::from_le_bytes(*bytes.first_chunk::<4>()?) as usize;
    let sum = u32::from_le_bytes(*bytes.get(4..8)?.first_chunk::<4>()?);
    let body = bytes.get(8..8usize.checked_add(len)?)?;
    (crc32fast::hash(body) == sum).then_some((body, 8 + len))
}

fn read_slot(bytes: &[u8]) -> Option<(u64, State)> {
    let (body, _) = unseal(bytes)?;
    nanoserde::DeBin::deserialize_bin(body).ok()
}

impl Store {
    /// Reads what the disk holds; torn tails and a torn slot are passed over.
    pub fn open(files: Box<dyn Files>) -> Result<Store, RegError> {
        let mut best: Option<(u64, State)> = None;
        for name in SLOTS {
            let slot = files.read(name)?.and_then(|bytes| read_slot(&bytes));
            if slot.as_ref().map(|slot| slot.0) > best.as_ref().map(|slot| slot.0) {
                best = slot;
            }
        }
        let mut store = Store { files, state: None, generation: 0, log_len: 0 };
        let Some((generation, state)) = best else { return Ok(store) };
        (store.generation, store.state) = (generation, Some(state));
        let log = store.files.read(LOG)?.unwrap_or_default();
        let mut at = 0;
        while let Some((body, len)) = log.get(at..).and_then(unseal) {
            at += len;
            let entry: Result<Entry, _> = nanoserde::DeBin::deserialize_bin(body);
            // Entries of an older generation were folded into the slot before it was sealed.
            if let Some(entry) = entry.ok().filter(|entry| entry.generation == generation) {
                store.accept(&entry.key, &entry.cell);
            }
        }
        store.log_len = log.len();
        // A torn tail would hide later entries: fold the log away before anything is appended.
        if at < log.len() {
            store.fold()?;
        }
        Ok(store)
    }

    pub fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    pub fn get(&self, key: &str) -> Option<&Cell> {
        self.state.as_ref()?.cells.iter().find(|(held, _)| held == key).map(|(_, cell)| cell)
    }

    fn accept(&mut self, key: &str, cell: &Cell) {
        let Some(state) = self.state.as_mut() else { return };
        match state.cells.iter_mut().find(|(held, _)| held == key) {
            Some((_, held)) if newer(cell, held) => *held = cell.clone(),
            Some(_) => {}
            None => state.cells.push((key.to_owned(), cell.clone())),
        }
    }

    /// Puts a whole state down, for a first start or after a mend.
    pub fn reset(&mut self, state: State) -> Result<(), RegError> {
        self.state = Some(state);
        self.fold()
    }

    /// Keeps `cell` if it is newer. Returns whether this copy is now exactly `cell`.
    pub fn put(&mut self, key: &str, cell: &Cell) -> Result<bool, RegError> {
        if cell.value.len() > STORE_MAX / 4 {
            return Err(RegError::Oversize(cell.value.len()));
        }
        if let Some(held) = self.get(key) {
            if !newer(cell, held) {
                return Ok(held == cell);
            }
        }
        let entry = Entry { generation: self.generation, key: key.to_owned(), cell: cell.clone() };
        let sealed = seal(&nanoserde::SerBin::serialize_bin(&entry));
        // First the disk, then memory: what was not synced is never shown.
        if self.log_len + sealed.len() > LOG_MAX {
            self.accept(key, cell);
            self.fold()?;
        } else {
            self.files.append(LOG, &sealed)?;
            self.log_len += sealed.len();
            self.accept(key, cell);
        }
        Ok(true)
    }

    fn fold(&mut self) -> Result<(), RegError> {
        let Some(state) = self.state.as_ref() else { return Ok(()) };
        let generation = self.generation + 1;
        let body = nanoserde::SerBin::serialize_bin(&(generation, state.clone()));
        self.files.write(SLOTS[generation as usize % 2], &seal(&body))?;
        self.generation = generation;
        self.files.write(LOG, b"")?;
        self.log_len = 0;
        Ok(())
    }
}
