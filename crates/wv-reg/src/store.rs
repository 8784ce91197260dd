use crate::{newer, Files, RegError, STORE_MAX};
use wv_inner::Cell;

const SLOTS: [&str; 2] = ["slot-a", "slot-b"];
const LOG: &str = "log";
/// All files that a store has.
pub(crate) const NAMES: [&str; 3] = [SLOTS[0], SLOTS[1], LOG];
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
    /// The generation of the last attempt at a slot. One that failed may still come to stand on the disk.
    tried: u64,
    /// Such an attempt hides what is appended under the older generation: first a slot must be written again.
    is_doubtful: bool,
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
        let mut has_slots = false;
        for name in SLOTS {
            let bytes = files.read(name)?;
            has_slots |= bytes.is_some();
            let slot = bytes.and_then(|bytes| read_slot(&bytes));
            if slot.as_ref().map(|slot| slot.0) > best.as_ref().map(|slot| slot.0) {
                best = slot;
            }
        }
        let mut store = Store { files, state: None, generation: 0, tried: 0, is_doubtful: false, log_len: 0 };
        if has_slots && best.is_none() {
            // As good as a lost disk: it votes again once it was taken in anew.
            log::error!("no slot on this disk can be read: it counts as lost");
        }
        let Some((generation, state)) = best else { return Ok(store) };
        (store.generation, store.tried, store.state) = (generation, generation, Some(state));
        let log = store.files.read(LOG)?.unwrap_or_default();
        let mut at = 0;
        let mut read = store.state.take().unwrap_or_default();
        while let Some((body, len)) = log.get(at..).and_then(unseal) {
            at += len;
            let entry: Result<Entry, _> = nanoserde::DeBin::deserialize_bin(body);
            // Entries of an older generation were folded into the slot before it was sealed.
            if let Some(entry) = entry.ok().filter(|entry| entry.generation == generation) {
                accept(&mut read, &entry.key, &entry.cell);
            }
        }
        store.state = Some(read);
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

    /// Puts a whole state down, for a first start or with a new set of voters.
    pub fn reset(&mut self, state: State) -> Result<(), RegError> {
        self.write_slot(state)
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
        let mut changed = self.state.clone().ok_or(RegError::Empty)?;
        accept(&mut changed, key, cell);
        // First the disk, then memory: what was not synced is never shown.
        if self.is_doubtful || self.log_len + sealed.len() > LOG_MAX {
            return self.write_slot(changed).map(|()| true);
        }
        if let Err(error) = self.files.append(LOG, &sealed) {
            // What came of it is not known: the next write begins a slot of its own.
            self.is_doubtful = true;
            return Err(error.into());
        }
        self.log_len += sealed.len();
        self.state = Some(changed);
        Ok(true)
    }

    fn fold(&mut self) -> Result<(), RegError> {
        self.state.clone().map_or(Ok(()), |state| self.write_slot(state))
    }

    /// Writes the slot that does not hold the state in force; only when it stands does it take that one's place.
    fn write_slot(&mut self, state: State) -> Result<(), RegError> {
        let mut generation = self.generation + 1;
        while generation <= self.tried {
            generation += 2;
        }
        (self.tried, self.is_doubtful) = (generation, true);
        let body = nanoserde::SerBin::serialize_bin(&(generation, state.clone()));
        self.files.write(SLOTS[generation as usize % 2], &seal(&body))?;
        (self.generation, self.state) = (generation, Some(state));
        // Older entries are passed over by their generation; emptied, the log is only shorter.
        self.files.write(LOG, b"")?;
        (self.log_len, self.is_doubtful) = (0, false);
        Ok(())
    }
}

/// Entries stay sorted as they came; the newer copy counts.
fn accept(state: &mut State, key: &str, cell: &Cell) {
    match state.cells.iter_mut().find(|(held, _)| held == key) {
        Some((_, held)) if newer(cell, held) => *held = cell.clone(),
        Some(_) => {}
        None => state.cells.push((key.to_owned(), cell.clone())),
    }
}
