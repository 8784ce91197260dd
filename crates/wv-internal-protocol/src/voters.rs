//! The numbered set of voters, as control nodes speak of it.
use nanoserde::{DeBin, SerBin};

/// One voter: where it is reached and which disk it is. Those of a first start have disk 0.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Default)]
pub struct Member {
    pub addr: String,
    pub disk: u64,
}

/// A set of voters under its number; number 0 is none.
#[derive(SerBin, DeBin, Clone, PartialEq, Eq, Debug, Default)]
pub struct Voters {
    pub number: u64,
    pub members: Vec<Member>,
}

impl Voters {
    pub fn has(&self, addr: &str) -> bool {
        self.members.iter().any(|member| member.addr == addr)
    }

    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    pub fn addrs(&self) -> impl Iterator<Item = &str> {
        self.members.iter().map(|member| member.addr.as_str())
    }
}
