use crate::disk_format::{decode_slot, encode_record, encode_slot, replay, RegisterChange};
use crate::{DurableFiles, RegisterError, StoreState, MAX_STORE_BYTES};
use wv_internal_protocol::{AcceptorState, Ballot, RegisterValue};

const SLOT_FILES: [&str; 2] = ["slot-a", "slot-b"];
const LOG_FILE: &str = "log";
/// All files of a store.
pub(crate) const FILE_NAMES: [&str; 3] = [SLOT_FILES[0], SLOT_FILES[1], LOG_FILE];
/// The log is compacted into the next slot once it exceeds both this size and the size of the state. This bounds the
/// bytes written per change, and the disk usage to about three times the size of the state.
const DEFAULT_LOG_LIMIT_BYTES: usize = 256 << 10;
/// Approximate size of a register beyond its key and value.
const REGISTER_OVERHEAD_BYTES: usize = 96;

/// Two slots written alternately, with a log of the changes since the last slot.
pub struct Store {
    files: Box<dyn DurableFiles>,
    state: Option<StoreState>,
    /// Approximate size of all registers.
    size_bytes: usize,
    generation: u64,
    /// Set while the result of the last write is unknown: a slot that did get written would hide records of the older
    /// generation, and a torn log tail would hide all records after it. A new slot must be written before the log is
    /// appended to.
    needs_new_slot: bool,
    log_len_bytes: usize,
    log_limit_bytes: usize,
}

fn register_bytes(key: &str, value: &RegisterValue) -> usize {
    REGISTER_OVERHEAD_BYTES + key.len() + value.bytes.len()
}

impl Store {
    /// Opens the store; a torn log tail and a torn slot are ignored. Returns I/O errors.
    pub fn open(files: Box<dyn DurableFiles>) -> Result<Store, RegisterError> {
        Store::open_with_log_limit(files, DEFAULT_LOG_LIMIT_BYTES)
    }

    /// Like `open`, with a log that is compacted once it exceeds `log_limit_bytes`.
    pub fn open_with_log_limit(files: Box<dyn DurableFiles>, log_limit_bytes: usize) -> Result<Store, RegisterError> {
        let mut best: Option<(u64, StoreState, bool)> = None;
        let mut has_slots = false;
        for name in SLOT_FILES {
            let bytes = files.read(name)?;
            has_slots |= bytes.is_some();
            let slot = bytes.and_then(|bytes| decode_slot(&bytes));
            if slot.as_ref().map(|slot| slot.0) > best.as_ref().map(|slot| slot.0) {
                best = slot;
            }
        }
        let mut store = Store {
            files,
            state: None,
            size_bytes: 0,
            generation: 0,
            needs_new_slot: false,
            log_len_bytes: 0,
            log_limit_bytes,
        };
        if has_slots && best.is_none() {
            // Equivalent to a lost disk: the node votes again after it has caught up as a new member.
            log::error!("no readable slot in the store; treating the disk as lost");
        }
        let Some((generation, mut state, is_current_format)) = best else { return Ok(store) };
        store.generation = generation;
        let log = store.files.read(LOG_FILE)?.unwrap_or_default();
        let read = replay(&log, generation, &mut state);
        store.size_bytes = state.registers.iter().map(|(key, current)| register_bytes(key, &current.value)).sum();
        store.state = Some(state);
        store.log_len_bytes = log.len();
        // A torn tail would hide later records, and an older slot format is upgraded immediately.
        if read < log.len() || !is_current_format {
            store.compact()?;
        }
        Ok(store)
    }

    pub fn state(&self) -> Option<&StoreState> {
        self.state.as_ref()
    }

    pub fn get(&self, key: &str) -> Option<&AcceptorState> {
        self.state.as_ref()?.registers.get(key)
    }

    /// Iterates over all registers by key.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &AcceptorState)> {
        self.state.iter().flat_map(|state| state.registers.iter().map(|(key, current)| (key.as_str(), current)))
    }

    /// Returns the approximate size of all registers.
    pub fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Replaces the whole state.
    pub fn reset(&mut self, state: StoreState) -> Result<(), RegisterError> {
        self.write_slot(state)
    }

    /// Promises to accept nothing below `ballot`. Returns false if a higher ballot was already promised.
    pub fn promise(&mut self, key: &str, ballot: Ballot) -> Result<bool, RegisterError> {
        let promised = self.get(key).map_or(Ballot::default(), |current| current.promised.max(current.accepted));
        if ballot <= promised {
            // A repeated prepare request with the promised ballot succeeds.
            return Ok(ballot == promised);
        }
        self.change(vec![RegisterChange { key: key.to_owned(), promised: ballot, accepted: None }]).map(|()| true)
    }

    /// Accepts the value proposed under `ballot`. Returns false if a higher ballot was promised.
    pub fn accept(&mut self, key: &str, ballot: Ballot, value: &RegisterValue) -> Result<bool, RegisterError> {
        let current = self.get(key);
        if current.is_some_and(|current| current.promised.max(current.accepted) > ballot) {
            return Ok(false);
        }
        if current.is_some_and(|current| current.accepted == ballot && current.value == *value) {
            return Ok(true);
        }
        self.check_size(key, value)?;
        let change = RegisterChange { key: key.to_owned(), promised: ballot, accepted: Some((ballot, value.clone())) };
        self.change(vec![change]).map(|()| true)
    }

    /// Stores those of `copies` that are newer than the local registers in one write and returns their number. Only for
    /// a disk that does not vote on them yet.
    pub fn adopt_newer(&mut self, copies: Vec<(String, AcceptorState)>) -> Result<usize, RegisterError> {
        let is_newer =
            |(key, state): &(String, AcceptorState)| self.get(key).is_none_or(|current| state.is_newer_than(current));
        let newer: Vec<(String, AcceptorState)> = copies.into_iter().filter(is_newer).collect();
        // The size limit does not apply: the sources hold the same registers, and catching up must not fail because of
        // larger local data.
        let change = |(key, state): (String, AcceptorState)| RegisterChange {
            key,
            promised: state.accepted,
            accepted: Some((state.accepted, state.value)),
        };
        let changes: Vec<RegisterChange> = newer.into_iter().map(change).collect();
        let count = changes.len();
        if count > 0 {
            self.change(changes)?;
        }
        Ok(count)
    }

    /// Stores a local register, which is not replicated.
    pub fn put_local(&mut self, key: &str, value: Vec<u8>) -> Result<(), RegisterError> {
        let round = self.get(key).map_or(1, |current| current.accepted.round + 1);
        let (ballot, value) = (Ballot { round, proposer: 0 }, crate::register_value(round, value));
        self.check_size(key, &value)?;
        self.change(vec![RegisterChange { key: key.to_owned(), promised: ballot, accepted: Some((ballot, value)) }])
    }

    fn check_size(&self, key: &str, value: &RegisterValue) -> Result<(), RegisterError> {
        let replaced = self.get(key).map_or(0, |current| current.value.bytes.len());
        // A register must fit into one frame, including the enclosing message.
        let exceeds_frame = value.bytes.len() > wv_internal_protocol::MAX_FRAME_BYTES - (64 << 10);
        let is_too_large = exceeds_frame || self.size_bytes - replaced + value.bytes.len() > MAX_STORE_BYTES;
        if is_too_large {
            return Err(RegisterError::TooLarge(value.bytes.len()));
        }
        Ok(())
    }

    /// Updates the disk before memory, so that state that is not durable is never visible.
    fn change(&mut self, changes: Vec<RegisterChange>) -> Result<(), RegisterError> {
        if self.state.is_none() {
            return Err(RegisterError::NotInitialized);
        }
        let record = encode_record(self.generation, &changes);
        if self.needs_new_slot || self.log_len_bytes + record.len() > self.log_limit_bytes.max(self.size_bytes) {
            let mut changed = self.state.clone().unwrap_or_default();
            changes.into_iter().for_each(|change| change.apply(&mut changed.registers));
            return self.write_slot(changed);
        }
        if let Err(error) = self.files.append(LOG_FILE, &record) {
            // The result is unknown: the next write starts a new slot.
            self.needs_new_slot = true;
            return Err(error.into());
        }
        self.log_len_bytes += record.len();
        for change in changes {
            let Some(state) = self.state.as_mut() else { continue };
            let before =
                state.registers.get(&change.key).map_or(0, |current| register_bytes(&change.key, &current.value));
            let key = change.key.clone();
            change.apply(&mut state.registers);
            let after = state.registers.get(&key).map_or(0, |current| register_bytes(&key, &current.value));
            self.size_bytes = self.size_bytes + after - before;
        }
        Ok(())
    }

    fn compact(&mut self) -> Result<(), RegisterError> {
        self.state.clone().map_or(Ok(()), |state| self.write_slot(state))
    }

    /// Writes the inactive slot, which becomes the active one once it is durable.
    fn write_slot(&mut self, state: StoreState) -> Result<(), RegisterError> {
        // A failed slot is written again in the same place; the log is not appended to until then.
        let generation = self.generation + 1;
        self.needs_new_slot = true;
        self.files.write(SLOT_FILES[generation as usize % 2], &encode_slot(generation, &state))?;
        self.size_bytes = state.registers.iter().map(|(key, current)| register_bytes(key, &current.value)).sum();
        (self.generation, self.state) = (generation, Some(state));
        // Records of older generations are ignored on replay, so truncating the log only saves space. Until it succeeds
        // nothing is appended, because a failed append may have left a torn tail that would hide later records.
        match self.files.write(LOG_FILE, b"") {
            Ok(()) => (self.log_len_bytes, self.needs_new_slot) = (0, false),
            Err(error) => log::warn!("failed to truncate the store log: {error}"),
        }
        Ok(())
    }
}
