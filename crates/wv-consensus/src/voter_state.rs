//! This node's persistent state in the numbered voter sets, and its replies to changes of the set.
use crate::{MemoryFiles, RegisterError, Store, StoreState, LOCAL_KEY_PREFIX};
use wv_internal_protocol::{AcceptorState, Ballot, Member, VoterSet};

const KEY: &str = "local/seat";

/// Persisted before any reply that depends on it.
#[derive(nanoserde::SerBin, nanoserde::DeBin, Clone, Debug, Default, PartialEq)]
pub struct VoterState {
    /// The disk's ID; a replaced disk gets a new one.
    pub disk: u64,
    /// The newest accepted voter set known here, and its predecessor.
    pub voters: VoterSet,
    pub previous: VoterSet,
    /// The set whose registers are completely installed on this disk, or 0.
    pub installed_set: u64,
    /// The highest fence seen for the successor of `installed_set`, and the accepted successor with its fence.
    pub fence: u64,
    pub successor: Option<(u64, VoterSet)>,
    /// The set in which this disk no longer votes on registers.
    pub sealed_set: u64,
    /// The set of which this disk holds every acknowledged write, which allows it to vote in the next set.
    pub complete_set: u64,
}

/// The format from before sets were sealed.
#[derive(nanoserde::SerBin, nanoserde::DeBin)]
struct LegacyVoterState {
    disk: u64,
    voters: VoterSet,
    previous: VoterSet,
    installed_set: u64,
    fence: u64,
    successor: Option<(u64, VoterSet)>,
}

fn decode(bytes: &[u8]) -> Option<VoterState> {
    let legacy = || {
        let legacy = <LegacyVoterState as nanoserde::DeBin>::deserialize_bin(bytes).ok()?;
        let LegacyVoterState { disk, voters, previous, installed_set, fence, successor } = legacy;
        Some(VoterState { disk, voters, previous, installed_set, fence, successor, ..VoterState::default() })
    };
    <VoterState as nanoserde::DeBin>::deserialize_bin(bytes).ok().or_else(legacy)
}

/// A voter's reply to a successor prepare request.
pub struct PrepareResult {
    pub is_ok: bool,
    pub fence: u64,
    pub successor: Option<(u64, VoterSet)>,
}

impl VoterState {
    /// Loads the state or initializes it: on an initial start the seeds form set 1; any other empty node belongs to no
    /// set.
    pub fn open(
        store: &mut Store,
        addr: &str,
        seeds: &[String],
        is_first: bool,
        disk: u64,
    ) -> Result<VoterState, RegisterError> {
        if let Some(mut state) = store.get(KEY).and_then(|current| decode(&current.value.bytes)) {
            // Disks of an initial start have ID 0. One that was moved to another member's address must not pass for
            // that member, whose promises differ.
            let has_moved = state.disk == 0 && store.state().is_some_and(|state| state.addr != addr);
            if has_moved {
                state.replace(store, VoterState { disk: disk.max(1), ..state.clone() })?;
            }
            return Ok(state);
        }
        let first = |addrs: &[String]| VoterSet {
            number: 1,
            members: addrs.iter().map(|addr| Member { addr: addr.clone(), disk: 0 }).collect(),
        };
        let state = match store.state().map(|state| state.voters.clone()) {
            // The format from before sets were numbered.
            Some(voters) if !voters.is_empty() => {
                VoterState { voters: first(&voters), installed_set: 1, ..VoterState::default() }
            }
            None if is_first && seeds.iter().any(|seed| seed == addr) => {
                VoterState { voters: first(seeds), installed_set: 1, ..VoterState::default() }
            }
            _ => VoterState { disk: disk.max(1), ..VoterState::default() },
        };
        if store.state().is_some() {
            return state.persist(store).map(|()| state);
        }
        // A single write: after a power loss in between, the seed would come back as a different member.
        let ballot = Ballot { round: 1, proposer: 0 };
        let value = crate::register_value(1, nanoserde::SerBin::serialize_bin(&state));
        let current = AcceptorState { promised: ballot, accepted: ballot, value };
        let registers = [(KEY.to_owned(), current)].into_iter().collect();
        store.reset(StoreState { addr: addr.to_owned(), registers, ..StoreState::default() })?;
        Ok(state)
    }

    fn persist(&self, store: &mut Store) -> Result<(), RegisterError> {
        store.put_local(KEY, nanoserde::SerBin::serialize_bin(self))
    }

    /// Replaces the state after persisting the new one.
    pub(crate) fn replace(&mut self, store: &mut Store, changed: VoterState) -> Result<(), RegisterError> {
        changed.persist(store)?;
        *self = changed;
        Ok(())
    }

    /// Returns the set for which this disk can serve complete registers as a member, or 0.
    pub fn source_set(&self, addr: &str) -> u64 {
        let is_own = |member: &Member| member.addr == addr && member.disk == self.disk;
        let is_in = |voters: &VoterSet| voters.number == self.installed_set && voters.members.iter().any(is_own);
        if self.installed_set > 0 && (is_in(&self.voters) || is_in(&self.previous)) {
            self.installed_set
        } else {
            0
        }
    }

    /// Whether this disk is a member of the newest set.
    pub fn is_member(&self, addr: &str) -> bool {
        self.voters.members.iter().any(|member| member.addr == addr && member.disk == self.disk)
    }

    /// Returns the set, or 0, on whose successor this disk may vote: it is a member and its registers are installed.
    pub fn successor_voting_set(&self, addr: &str) -> u64 {
        if self.installed_set == self.voters.number && self.is_member(addr) {
            self.installed_set
        } else {
            0
        }
    }

    /// Returns the set on whose registers this disk may vote, or 0. A disk that knows of a successor, or is sealed for
    /// one, no longer votes in its set, so nothing is written after the successor has taken over.
    pub fn voting_set(&self, addr: &str) -> u64 {
        let set = self.successor_voting_set(addr);
        if set == self.sealed_set {
            0
        } else {
            set
        }
    }

    /// Stores a newer accepted set. Returns false if it is not newer.
    pub fn update_voters(
        &mut self,
        store: &mut Store,
        addr: &str,
        voters: &VoterSet,
        previous: &VoterSet,
    ) -> Result<bool, RegisterError> {
        if voters.number <= self.voters.number || voters.members.is_empty() {
            return Ok(false);
        }
        let mut changed = VoterState { voters: voters.clone(), previous: previous.clone(), ..self.clone() };
        // The data handed over before the set was accepted is all that the set starts with.
        if self.complete_set > 0
            && self.complete_set == previous.number
            && voters.number == previous.number + 1
            && changed.is_member(addr)
        {
            (changed.installed_set, changed.fence, changed.successor) = (voters.number, 0, None);
        }
        self.replace(store, changed).map(|()| true)
    }

    pub fn prepare_successor(
        &mut self,
        store: &mut Store,
        addr: &str,
        set: u64,
        fence: u64,
    ) -> Option<Result<PrepareResult, RegisterError>> {
        (set > 0 && self.successor_voting_set(addr) == set).then_some(())?;
        let is_ok = fence > self.fence;
        let persisted = if is_ok { self.replace(store, VoterState { fence, ..self.clone() }) } else { Ok(()) };
        Some(persisted.map(|()| PrepareResult { is_ok, fence: self.fence, successor: self.successor.clone() }))
    }

    /// Accepts a successor unless a higher fence has been seen. `None` if this disk has no vote in `set`.
    pub fn accept_successor(
        &mut self,
        store: &mut Store,
        addr: &str,
        (set, fence): (u64, u64),
        successor: &VoterSet,
    ) -> Option<Result<bool, RegisterError>> {
        (set > 0 && self.successor_voting_set(addr) == set && successor.number == set + 1).then_some(())?;
        if fence < self.fence {
            return Some(Ok(false));
        }
        let changed = VoterState { fence, successor: Some((fence, successor.clone())), ..self.clone() };
        Some(self.replace(store, changed).map(|()| true))
    }

    /// Returns the registers that are newer here than in the requester's summaries.
    pub fn newer_registers(store: &Store, summaries: &[(String, Ballot, u64, u32)]) -> Vec<(String, AcceptorState)> {
        let is_wanted = |(key, current): &(&str, &AcceptorState)| {
            let known = summaries.iter().find(|known| known.0 == *key);
            let rank = (current.accepted, current.value.version, current.value.tie_breaker);
            !key.starts_with(LOCAL_KEY_PREFIX) && known.is_none_or(|known| rank > (known.1, known.2, known.3))
        };
        store.iter().filter(is_wanted).map(|(key, current)| (key.to_owned(), current.clone())).collect()
    }

    /// Summarizes the registers of this store for a request.
    pub fn register_summaries(store: &Store) -> Vec<(String, Ballot, u64, u32)> {
        let shared = store.iter().filter(|(key, _)| !key.starts_with(LOCAL_KEY_PREFIX));
        shared
            .map(|(key, current)| (key.to_owned(), current.accepted, current.value.version, current.value.tie_breaker))
            .collect()
    }

    /// Marks the registers of the newest set as installed: every write acknowledged in the previous set is on this
    /// disk, and it votes from now on.
    pub fn install(&mut self, store: &mut Store) -> Result<(), RegisterError> {
        let changed = VoterState { installed_set: self.voters.number, fence: 0, successor: None, ..self.clone() };
        self.replace(store, changed)
    }
}

/// Reads the contents of a control node's data directory without modifying it.
pub fn inspect_data_dir(dir: &std::path::Path) -> Result<(StoreState, VoterState), RegisterError> {
    let files = MemoryFiles::default();
    let mut has_files = false;
    for name in crate::store::FILE_NAMES {
        match std::fs::read(dir.join(name)) {
            Ok(bytes) => {
                has_files = true;
                files.files.borrow_mut().insert(name.to_owned(), bytes);
            }
            Err(error) if error.kind() == std::io::ErrorKind::NotFound && dir.is_dir() => {}
            Err(error) => return Err(error.into()),
        }
    }
    // Opens a copy in memory, so that repairing a torn log leaves the directory unchanged.
    let store = Store::open(Box::new(files))?;
    let store_state = store.state().cloned().ok_or(if has_files {
        RegisterError::Unreadable
    } else {
        RegisterError::NotInitialized
    })?;
    let voter_state = store.get(KEY).and_then(|current| decode(&current.value.bytes));
    voter_state.map(|voter_state| (store_state, voter_state)).ok_or(RegisterError::Unreadable)
}
