use crate::record::{play, put_record, put_slot, read_slot, Change};
use crate::{Files, RegError, State, STORE_MAX};
use wv_internal_protocol::{AcceptorState, Ballot, RegisterValue};

const SLOTS: [&str; 2] = ["slot-a", "slot-b"];
const LOG: &str = "log";
/// All files that a store has.
pub(crate) const NAMES: [&str; 3] = [SLOTS[0], SLOTS[1], LOG];
/// The log is folded into the next slot once it is longer than this and than the slot: what a change costs on the disk
/// is then bounded by its own bytes, and the three files together by three times the state and a little.
const LOG_MIN: usize = 256 << 10;
/// What a register costs beyond its value, about.
const OVERHEAD: usize = 96;

/// Two slots written in turn with a short log between them.
pub struct Store {
    files: Box<dyn Files>,
    state: Option<State>,
    /// Bytes of all registers, about.
    size: usize,
    generation: u64,
    /// What came of the last write is not known: a slot that yet comes to stand hides what is appended under the older
    /// generation, a torn tail all that follows. First a slot must be written again.
    is_doubtful: bool,
    log_len: usize,
    log_min: usize,
}

fn bytes(key: &str, cell: &RegisterValue) -> usize {
    OVERHEAD + key.len() + cell.bytes.len()
}

impl Store {
    /// Reads what the disk holds; torn tails and a torn slot are passed over. Errors are those of the files.
    pub fn open(files: Box<dyn Files>) -> Result<Store, RegError> {
        Store::open_folding(files, LOG_MIN)
    }

    /// The same with a log that is folded from `log_min` bytes on.
    pub fn open_folding(files: Box<dyn Files>, log_min: usize) -> Result<Store, RegError> {
        let mut best: Option<(u64, State, bool)> = None;
        let mut has_slots = false;
        for name in SLOTS {
            let bytes = files.read(name)?;
            has_slots |= bytes.is_some();
            let slot = bytes.and_then(|bytes| read_slot(&bytes));
            if slot.as_ref().map(|slot| slot.0) > best.as_ref().map(|slot| slot.0) {
                best = slot;
            }
        }
        let mut store = Store { files, state: None, size: 0, generation: 0, is_doubtful: false, log_len: 0, log_min };
        if has_slots && best.is_none() {
            // As good as a lost disk: it votes again once it was taken in anew.
            log::error!("no slot on this disk can be read: it counts as lost");
        }
        let Some((generation, mut state, is_present)) = best else { return Ok(store) };
        store.generation = generation;
        let log = store.files.read(LOG)?.unwrap_or_default();
        let read = play(&log, generation, &mut state);
        store.size = state.cells.iter().map(|(key, held)| bytes(key, &held.value)).sum();
        store.state = Some(state);
        store.log_len = log.len();
        // A torn tail would hide later records, and a slot of the older format is left behind at once.
        if read < log.len() || !is_present {
            store.fold()?;
        }
        Ok(store)
    }

    pub fn state(&self) -> Option<&State> {
        self.state.as_ref()
    }

    pub fn get(&self, key: &str) -> Option<&AcceptorState> {
        self.state.as_ref()?.cells.get(key)
    }

    /// All registers here, by key.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &AcceptorState)> {
        self.state.iter().flat_map(|state| state.cells.iter().map(|(key, held)| (key.as_str(), held)))
    }

    /// Bytes of all registers, about.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Puts a whole state down, for a first start or with a new set of voters.
    pub fn reset(&mut self, state: State) -> Result<(), RegError> {
        self.write_slot(state)
    }

    /// Promises to take nothing below `ballot`. False where more was promised before.
    pub fn promise(&mut self, key: &str, ballot: Ballot) -> Result<bool, RegError> {
        let promised = self.get(key).map_or(Ballot::default(), |held| held.promised.max(held.accepted));
        if ballot <= promised {
            // The same proposal said again is promised already.
            return Ok(ballot == promised);
        }
        self.change(vec![Change { key: key.to_owned(), promised: ballot, accepted: None }]).map(|()| true)
    }

    /// Keeps what was proposed under `ballot`. False where more was promised before.
    pub fn accept(&mut self, key: &str, ballot: Ballot, cell: &RegisterValue) -> Result<bool, RegError> {
        let held = self.get(key);
        if held.is_some_and(|held| held.promised.max(held.accepted) > ballot) {
            return Ok(false);
        }
        if held.is_some_and(|held| held.accepted == ballot && held.value == *cell) {
            return Ok(true);
        }
        self.fits(key, cell)?;
        let change = Change { key: key.to_owned(), promised: ballot, accepted: Some((ballot, cell.clone())) };
        self.change(vec![change]).map(|()| true)
    }

    /// Keeps those of `copies` that are newer than what is held, in one write: for a disk that does not vote with them
    /// yet. Returns how many were.
    pub fn adopt(&mut self, copies: Vec<(String, AcceptorState)>) -> Result<usize, RegError> {
        let is_news = |(key, copy): &(String, AcceptorState)| self.get(key).is_none_or(|held| copy.is_newer_than(held));
        let news: Vec<(String, AcceptorState)> = copies.into_iter().filter(is_news).collect();
        // No bound here: those that told it keep it, and a vote must never wait for a local hint that is shorter there.
        let change = |(key, copy): (String, AcceptorState)| Change {
            key,
            promised: copy.accepted,
            accepted: Some((copy.accepted, copy.value)),
        };
        let changes: Vec<Change> = news.into_iter().map(change).collect();
        let count = changes.len();
        if count > 0 {
            self.change(changes)?;
        }
        Ok(count)
    }

    /// Keeps what stands on this disk alone.
    pub fn put_local(&mut self, key: &str, value: Vec<u8>) -> Result<(), RegError> {
        let round = self.get(key).map_or(1, |held| held.accepted.round + 1);
        let (ballot, cell) = (Ballot { round, proposer: 0 }, crate::cell(round, value));
        self.fits(key, &cell)?;
        self.change(vec![Change { key: key.to_owned(), promised: ballot, accepted: Some((ballot, cell)) }])
    }

    fn fits(&self, key: &str, cell: &RegisterValue) -> Result<(), RegError> {
        let replaced = self.get(key).map_or(0, |held| held.value.bytes.len());
        // A register crosses in one frame, with some room for what stands around it.
        let is_long = cell.bytes.len() > wv_internal_protocol::MAX_FRAME_BYTES - (64 << 10);
        let is_over = is_long || self.size - replaced + cell.bytes.len() > STORE_MAX;
        if is_over {
            return Err(RegError::Oversize(cell.bytes.len()));
        }
        Ok(())
    }

    /// First the disk, then memory: what was not synced is never shown.
    fn change(&mut self, changes: Vec<Change>) -> Result<(), RegError> {
        if self.state.is_none() {
            return Err(RegError::Empty);
        }
        let record = put_record(self.generation, &changes);
        if self.is_doubtful || self.log_len + record.len() > self.log_min.max(self.size) {
            let mut changed = self.state.clone().unwrap_or_default();
            changes.into_iter().for_each(|change| change.apply(&mut changed.cells));
            return self.write_slot(changed);
        }
        if let Err(error) = self.files.append(LOG, &record) {
            // What came of it is not known: the next write begins a slot of its own.
            self.is_doubtful = true;
            return Err(error.into());
        }
        self.log_len += record.len();
        for change in changes {
            let Some(state) = self.state.as_mut() else { continue };
            let before = state.cells.get(&change.key).map_or(0, |held| bytes(&change.key, &held.value));
            let key = change.key.clone();
            change.apply(&mut state.cells);
            let after = state.cells.get(&key).map_or(0, |held| bytes(&key, &held.value));
            self.size = self.size + after - before;
        }
        Ok(())
    }

    fn fold(&mut self) -> Result<(), RegError> {
        self.state.clone().map_or(Ok(()), |state| self.write_slot(state))
    }

    /// Writes the slot that does not hold the state in force; only when it stands does it take that one's place.
    fn write_slot(&mut self, state: State) -> Result<(), RegError> {
        // One that failed is written again in its own place; until then nothing is appended.
        let generation = self.generation + 1;
        self.is_doubtful = true;
        self.files.write(SLOTS[generation as usize % 2], &put_slot(generation, &state))?;
        self.size = state.cells.iter().map(|(key, held)| bytes(key, &held.value)).sum();
        (self.generation, self.state) = (generation, Some(state));
        // Older records are passed over by their generation; emptied, the log is only shorter. Until it is, nothing is
        // appended: what failed may have left a tail there that hides all that follows.
        match self.files.write(LOG, b"") {
            Ok(()) => (self.log_len, self.is_doubtful) = (0, false),
            Err(error) => log::warn!("the log is not emptied: {error}"),
        }
        Ok(())
    }
}
