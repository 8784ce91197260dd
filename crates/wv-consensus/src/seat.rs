//! This node's own part in the numbered sets of voters: what its disk says of them, and what it answers.
use crate::{MemFiles, RegError, State, Store, LOCAL};
use wv_internal_protocol::{AcceptorState, Ballot, Member, VoterSet};

const KEY: &str = "local/seat";

/// Kept on the disk before anything that rests on it is answered.
#[derive(nanoserde::SerBin, nanoserde::DeBin, Clone, Debug, Default, PartialEq)]
pub struct Seat {
    /// Which disk this is; a lost one comes back under another number.
    pub disk: u64,
    /// The newest set known to be settled, and the one before it.
    pub voters: VoterSet,
    pub before: VoterSet,
    /// The set whose registers this disk holds whole, 0 for none.
    pub set: u64,
    /// The highest fence seen over the successor of `set`, and what was accepted under which.
    pub fence: u64,
    pub next: Option<(u64, VoterSet)>,
    /// The set in which this disk votes no more, whatever follows it.
    pub sealed: u64,
    /// The set of which this disk holds all that was ever acknowledged in it; with it, it may vote in the next one.
    pub whole: u64,
}

/// As it was kept before sets were sealed.
#[derive(nanoserde::SerBin, nanoserde::DeBin)]
struct OldSeat {
    disk: u64,
    voters: VoterSet,
    before: VoterSet,
    set: u64,
    fence: u64,
    next: Option<(u64, VoterSet)>,
}

fn read(bytes: &[u8]) -> Option<Seat> {
    let old = || {
        let old = <OldSeat as nanoserde::DeBin>::deserialize_bin(bytes).ok()?;
        let OldSeat { disk, voters, before, set, fence, next } = old;
        Some(Seat { disk, voters, before, set, fence, next, ..Seat::default() })
    };
    <Seat as nanoserde::DeBin>::deserialize_bin(bytes).ok().or_else(old)
}

/// A voter's answer to a claim.
pub struct Claimed {
    pub is_ok: bool,
    pub fence: u64,
    pub next: Option<(u64, VoterSet)>,
}

impl Seat {
    /// Reads the seat, or takes one: the seeds of a first start are the first set, whoever else starts empty has none.
    pub fn open(store: &mut Store, me: &str, seeds: &[String], is_first: bool, disk: u64) -> Result<Seat, RegError> {
        if let Some(mut seat) = store.get(KEY).and_then(|held| read(&held.value.bytes)) {
            // The disks of a first start have no numbers yet: one that stands at another's address must not pass for
            // that one's, which promised other things.
            let is_moved = seat.disk == 0 && store.state().is_some_and(|state| state.me != me);
            if is_moved {
                seat.turn(store, Seat { disk: disk.max(1), ..seat.clone() })?;
            }
            return Ok(seat);
        }
        let first = |addrs: &[String]| VoterSet {
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
        if store.state().is_some() {
            return seat.keep(store).map(|()| seat);
        }
        // In one write: a loss of power in between would make another member of a seed.
        let ballot = Ballot { round: 1, proposer: 0 };
        let cell = crate::cell(1, nanoserde::SerBin::serialize_bin(&seat));
        let held = AcceptorState { promised: ballot, accepted: ballot, value: cell };
        let cells = [(KEY.to_owned(), held)].into_iter().collect();
        store.reset(State { me: me.to_owned(), cells, ..State::default() })?;
        Ok(seat)
    }

    fn keep(&self, store: &mut Store) -> Result<(), RegError> {
        store.put_local(KEY, nanoserde::SerBin::serialize_bin(self))
    }

    /// Takes `changed` over once the disk has it.
    pub(crate) fn turn(&mut self, store: &mut Store, changed: Seat) -> Result<(), RegError> {
        changed.keep(store)?;
        *self = changed;
        Ok(())
    }

    /// The set of which this disk can tell as one of its members, 0 for none: the one whose registers it holds whole.
    pub fn tells_of(&self, me: &str) -> u64 {
        let is_own = |member: &Member| member.addr == me && member.disk == self.disk;
        let is_in = |voters: &VoterSet| voters.number == self.set && voters.members.iter().any(is_own);
        if self.set > 0 && (is_in(&self.voters) || is_in(&self.before)) {
            self.set
        } else {
            0
        }
    }

    /// Whether this disk is a member of the newest set.
    pub fn is_member(&self, me: &str) -> bool {
        self.voters.members.iter().any(|member| member.addr == me && member.disk == self.disk)
    }

    /// The set that this disk is a member of and holds whole, 0 for none: here it has a say on the successor.
    pub fn sits_in(&self, me: &str) -> u64 {
        if self.set == self.voters.number && self.is_member(me) {
            self.set
        } else {
            0
        }
    }

    /// The set in whose registers this disk votes now, 0 for none. Whoever knows of a successor, or was sealed for one,
    /// has left its set: what a successor takes over must not be written behind its back.
    pub fn votes_in(&self, me: &str) -> u64 {
        let set = self.sits_in(me);
        if set == self.sealed {
            0
        } else {
            set
        }
    }

    /// A settled set was heard of.
    pub fn learn(
        &mut self,
        store: &mut Store,
        me: &str,
        voters: &VoterSet,
        before: &VoterSet,
    ) -> Result<bool, RegError> {
        if voters.number <= self.voters.number || voters.members.is_empty() {
            return Ok(false);
        }
        let mut changed = Seat { voters: voters.clone(), before: before.clone(), ..self.clone() };
        // What was handed over before the set was settled is all that it begins with.
        if self.whole > 0 && self.whole == before.number && voters.number == before.number + 1 && changed.is_member(me)
        {
            (changed.set, changed.fence, changed.next) = (voters.number, 0, None);
        }
        self.turn(store, changed).map(|()| true)
    }

    pub fn claim(&mut self, store: &mut Store, me: &str, set: u64, fence: u64) -> Option<Result<Claimed, RegError>> {
        (set > 0 && self.sits_in(me) == set).then_some(())?;
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
        next: &VoterSet,
    ) -> Option<Result<bool, RegError>> {
        (set > 0 && self.sits_in(me) == set && next.number == set + 1).then_some(())?;
        if fence < self.fence {
            return Some(Ok(false));
        }
        let changed = Seat { fence, next: Some((fence, next.clone())), ..self.clone() };
        Some(self.turn(store, changed).map(|()| true))
    }

    /// What this disk holds that is newer than what an asker holds.
    pub fn cells(store: &Store, held: &[(String, Ballot, u64, u32)]) -> Vec<(String, AcceptorState)> {
        let is_wanted = |(key, copy): &(&str, &AcceptorState)| {
            let known = held.iter().find(|known| known.0 == *key);
            let rank = (copy.accepted, copy.value.version, copy.value.tie_breaker);
            !key.starts_with(LOCAL) && known.is_none_or(|known| rank > (known.1, known.2, known.3))
        };
        store.iter().filter(is_wanted).map(|(key, copy)| (key.to_owned(), copy.clone())).collect()
    }

    /// What an asker says that it holds.
    pub fn held(store: &Store) -> Vec<(String, Ballot, u64, u32)> {
        let shared = store.iter().filter(|(key, _)| !key.starts_with(LOCAL));
        shared.map(|(key, copy)| (key.to_owned(), copy.accepted, copy.value.version, copy.value.tie_breaker)).collect()
    }

    /// All that was acknowledged in the set before stands on this disk: it votes in the newest one from now on.
    pub fn install(&mut self, store: &mut Store) -> Result<(), RegError> {
        let changed = Seat { set: self.voters.number, fence: 0, next: None, ..self.clone() };
        self.turn(store, changed)
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
    let seat = store.get(KEY).and_then(|held| read(&held.value.bytes));
    seat.map(|seat| (state, seat)).ok_or(RegError::Unreadable)
}
