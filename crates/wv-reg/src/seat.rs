//! This node's own part in the numbered sets of voters: what its disk says of them, and what it answers.
use crate::{cell, newer, MemFiles, RegError, State, Store, LOCAL};
use wv_inner::{Cell, Member, Voters};

const KEY: &str = "local/seat";

/// Kept on the disk before anything that rests on it is answered.
#[derive(nanoserde::SerBin, nanoserde::DeBin, Clone, Debug, Default, PartialEq)]
pub struct Seat {
    /// Which disk this is; a lost one comes back under another number.
    pub disk: u64,
    /// The newest set known to be settled, and the one before it.
    pub voters: Voters,
    pub before: Voters,
    /// The set whose registers this disk holds whole, 0 for none.
    pub set: u64,
    /// The highest fence seen over the successor of `set`, and what was accepted under which.
    pub fence: u64,
    pub next: Option<(u64, Voters)>,
}

/// A voter's answer to a claim.
pub struct Claimed {
    pub is_ok: bool,
    pub fence: u64,
    pub next: Option<(u64, Voters)>,
}

impl Seat {
    /// Reads the seat, or takes one: the seeds of a first start are the first set, whoever else starts empty has none.
    pub fn open(store: &mut Store, me: &str, seeds: &[String], is_first: bool, disk: u64) -> Result<Seat, RegError> {
        let held = store.get(KEY).and_then(|held| nanoserde::DeBin::deserialize_bin(&held.value).ok());
        if let Some(seat) = held {
            return Ok(seat);
        }
        let first = |addrs: &[String]| Voters {
            number: 1,
            members: addrs.iter().map(|addr| Member { addr: addr.clone(), disk: 0 }).collect(),
        };
        let seat = match store.state().map(|state| state.voters.clone()) {
            // Written before sets had numbers.
            Some(voters) if !voters.is_empty() => Seat { voters: first(&voters), set: 1, ..Seat::default() },
            None if is_first && seeds.iter().any(|seed| seed == me) => {
                Seat { voters: first(seeds), set: 1, ..Seat::default() }
            }
            _ => Seat { disk: disk.max(1), ..Seat::default() },
        };
        if store.state().is_none() {
            store.reset(State { me: me.to_owned(), voters: Vec::new(), cells: Vec::new() })?;
        }
        seat.keep(store)?;
        Ok(seat)
    }

    fn keep(&self, store: &mut Store) -> Result<(), RegError> {
        let (key, cell) = self.cell(store);
        store.put(&key, &cell).map(|_| ())
    }

    fn cell(&self, store: &Store) -> (String, Cell) {
        let version = store.get(KEY).map_or(1, |held| held.version + 1);
        (KEY.to_owned(), cell(version, nanoserde::SerBin::serialize_bin(self)))
    }

    /// Takes `changed` over once the disk has it.
    fn turn(&mut self, store: &mut Store, changed: Seat) -> Result<(), RegError> {
        changed.keep(store)?;
        *self = changed;
        Ok(())
    }

    /// Whether this disk is a member of the newest set.
    pub fn is_member(&self, me: &str) -> bool {
        self.voters.members.iter().any(|member| member.addr == me && member.disk == self.disk)
    }

    /// The set in which this disk votes now, 0 for none. Whoever knows of a successor has left its set: what a
    /// successor takes over must not be written behind its back.
    pub fn votes_in(&self, me: &str) -> u64 {
        if self.set == self.voters.number && self.is_member(me) {
            self.set
        } else {
            0
        }
    }

    /// A settled set was heard of.
    pub fn learn(&mut self, store: &mut Store, voters: &Voters, before: &Voters) -> Result<bool, RegError> {
        if voters.number <= self.voters.number || voters.members.is_empty() {
            return Ok(false);
        }
        let changed = Seat { voters: voters.clone(), before: before.clone(), ..self.clone() };
        self.turn(store, changed).map(|()| true)
    }

    pub fn claim(&mut self, store: &mut Store, me: &str, set: u64, fence: u64) -> Option<Result<Claimed, RegError>> {
        (set > 0 && self.votes_in(me) == set).then_some(())?;
        let is_ok = fence > self.fence;
        let kept = if is_ok { self.turn(store, Seat { fence, ..self.clone() }) } else { Ok(()) };
        Some(kept.map(|()| Claimed { is_ok, fence: self.fence, next: self.next.clone() }))
    }

    /// Accepts a successor unless a higher fence was seen.
    pub fn settle(
        &mut self,
        store: &mut Store,
        me: &str,
        (set, fence): (u64, u64),
        next: &Voters,
    ) -> Option<Result<bool, RegError>> {
        (set > 0 && self.votes_in(me) == set && next.number == set + 1).then_some(())?;
        if fence < self.fence {
            return Some(Ok(false));
        }
        let changed = Seat { fence, next: Some((fence, next.clone())), ..self.clone() };
        Some(self.turn(store, changed).map(|()| true))
    }

    /// What this disk holds that is newer than what an asker holds.
    pub fn cells(store: &Store, held: &[(String, u64, u32)]) -> Vec<(String, Cell)> {
        let cells = store.state().map(|state| &state.cells[..]).unwrap_or_default();
        let is_wanted = |(key, cell): &&(String, Cell)| {
            let known = held.iter().find(|(known, _, _)| known == key);
            !key.starts_with(LOCAL) && known.is_none_or(|known| (cell.version, cell.tie) > (known.1, known.2))
        };
        cells.iter().filter(is_wanted).cloned().collect()
    }

    /// What an asker says that it holds.
    pub fn held(store: &Store) -> Vec<(String, u64, u32)> {
        let cells = store.state().map(|state| &state.cells[..]).unwrap_or_default();
        let shared = cells.iter().filter(|(key, _)| !key.starts_with(LOCAL));
        shared.map(|(key, cell)| (key.clone(), cell.version, cell.tie)).collect()
    }

    /// The registers of the set before, merged, make this disk a voter of the newest one: in one write.
    pub fn install(
        &mut self,
        store: &mut Store,
        me: &str,
        cells: impl Iterator<Item = (String, Cell)>,
    ) -> Result<(), RegError> {
        let changed = Seat { set: self.voters.number, fence: 0, next: None, ..self.clone() };
        let mut merged: std::collections::BTreeMap<String, Cell> = Default::default();
        let own = store.state().map(|state| state.cells.clone()).unwrap_or_default();
        for (key, cell) in own.into_iter().chain(cells.filter(|(key, _)| !key.starts_with(LOCAL))) {
            let held = merged.entry(key).or_default();
            if newer(&cell, held) {
                *held = cell;
            }
        }
        let (key, cell) = changed.cell(store);
        merged.insert(key, cell);
        store.reset(State { me: me.to_owned(), voters: Vec::new(), cells: merged.into_iter().collect() })?;
        *self = changed;
        Ok(())
    }
}

/// What the folder of a control node holds, read without a change to it.
pub fn inspect(dir: &std::path::Path) -> Result<(State, Seat), RegError> {
    let files = MemFiles::default();
    let mut has_any = false;
    for name in crate::store::NAMES {
        match std::fs::read(dir.join(name)) {
            Ok(bytes) => {
                has_any = true;
                files.files.borrow_mut().insert(name.to_owned(), bytes);
            }
            Err(error) if error.kind() == std::io::ErrorKind::NotFound && dir.is_dir() => {}
            Err(error) => return Err(error.into()),
        }
    }
    // A copy in memory: mending a torn tail there leaves the folder as it is.
    let store = Store::open(Box::new(files))?;
    let state = store.state().cloned().ok_or(if has_any { RegError::Unreadable } else { RegError::Empty })?;
    let seat = store.get(KEY).and_then(|held| nanoserde::DeBin::deserialize_bin(&held.value).ok());
    seat.map(|seat| (state, seat)).ok_or(RegError::Unreadable)
}
