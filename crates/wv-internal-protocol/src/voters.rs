//! Numbered sets of the control nodes that vote on registers.
use nanoserde::{DeBin, SerBin};

/// A voter's address and the ID of its disk, which is 0 for voters of an initial start.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Member {
    pub addr: String,
    pub disk: u64,
}

/// Number 0 means that there is no set.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct VoterSet {
    pub number: u64,
    pub members: Vec<Member>,
}

impl VoterSet {
    pub fn contains(&self, addr: &str) -> bool {
        self.members.iter().any(|member| member.addr == addr)
    }

    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    pub fn addrs(&self) -> impl Iterator<Item = &str> {
        self.members.iter().map(|member| member.addr.as_str())
    }
}
