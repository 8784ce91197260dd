//! The history of a run, as recorded by operators, nodes and databases.

/// A configuration update sent by an operator.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct ConfigurationUpdate {
    pub version: u64,
    pub body: Vec<u8>,
    pub is_valid: bool,
    pub first_sent_us: u64,
    /// The service that the routes of the probes lead to.
    pub probed_service: Option<String>,
}

/// The response to one request that sent an update; updates may be sent repeatedly.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct UpdateResponse {
    pub update: usize,
    pub control: String,
    pub sent_us: u64,
    pub received_us: u64,
    pub status: u16,
}

/// A read of the configuration that returned 200: its version and the update whose content matches.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct ConfigurationRead {
    pub control: String,
    pub sent_us: u64,
    pub received_us: u64,
    pub version: u64,
    pub update: Option<usize>,
}

/// A read of a probe: the access node that took it, and the service that answered.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct RouteSighting {
    pub node: String,
    pub incarnation: u64,
    pub sent_us: u64,
    pub received_us: u64,
    pub service: String,
}

/// The configuration version that an access node applies from a point in time on.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct VersionObservation {
    pub node: String,
    pub incarnation: u64,
    pub at_us: u64,
    pub version: u64,
}

/// A promotion call to the platform and its result.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct PlatformCall {
    pub at_us: u64,
    /// The index and the incarnation of the control node.
    pub holder: (usize, u64),
    pub service: String,
    pub instance_id: String,
    pub fencing_token: u64,
    pub status: Option<u16>,
}

/// A check that failed after the last fault had ended.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct RecoveryFailure {
    pub check: &'static str,
    pub text: String,
}

#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct History {
    pub updates: Vec<ConfigurationUpdate>,
    pub responses: Vec<UpdateResponse>,
    pub reads: Vec<ConfigurationRead>,
    pub observed_versions: Vec<VersionObservation>,
    /// In the order in which the answers arrived.
    pub route_sightings: Vec<RouteSighting>,
    pub platform_calls: Vec<PlatformCall>,
    pub recovery_failures: Vec<RecoveryFailure>,
    /// Violations found in the statements of clients.
    pub statement_violations: Vec<String>,
    /// Service, term and instance id of each primary observed.
    pub primaries: Vec<(String, u64, String)>,
    pub done: u32,
    pub failed: u32,
    /// Log lines with their virtual times in microseconds.
    pub timeline: Vec<(u64, String)>,
}

impl UpdateResponse {
    pub fn is_acknowledged(&self) -> bool {
        self.status / 100 == 2
    }

    /// Whether the update was rejected for good; 408 and 429 ask for a retry.
    pub fn is_rejection(&self) -> bool {
        self.status / 100 == 4 && !matches!(self.status, 408 | 429)
    }
}

impl History {
    /// The responses that acknowledge an update.
    pub fn acknowledgements(&self, update: usize) -> impl Iterator<Item = &UpdateResponse> {
        self.responses.iter().filter(move |response| response.update == update && response.is_acknowledged())
    }

    /// The highest version acknowledged before `at_us`.
    pub fn newest_acknowledged(&self, at_us: u64) -> u64 {
        let acknowledged =
            self.responses.iter().filter(|response| response.is_acknowledged() && response.received_us < at_us);
        acknowledged.map(|response| self.updates[response.update].version).max().unwrap_or(0)
    }

    /// A hash of the whole history: runs of one schedule must have equal digests.
    pub fn digest(&self) -> u64 {
        use std::hash::{BuildHasher, Hasher};
        let mut hasher = ahash::RandomState::with_seeds(1, 2, 3, 4).build_hasher();
        hasher.write(format!("{self:?}").as_bytes());
        hasher.finish()
    }
}
