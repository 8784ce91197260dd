//! The operator's configuration: parsed and validated as a whole, and kept together with its original text.
mod entries;
mod entry_spans;
mod host_index;
mod incremental;
mod reader;
mod sections;
mod shard_plans;

pub use reader::{PathError, Reader};
pub use sections::{matches_pattern, Partner, Tenant, MAX_SECTION_ENTRIES};
pub use shard_plans::ShardPlan;

/// Maximum length of a configuration.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum number of routes, and of services.
pub const MAX_ENTRIES: usize = 10_000;

#[derive(thiserror::Error, Debug)]
pub enum ConfigurationError {
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Path(#[from] PathError),
    #[error("route {0}: unknown service {1}")]
    UnknownService(String, String),
    #[error("duplicate route for host {0} and path prefix {1}")]
    DuplicateRoute(String, String),
    #[error("route {0}: expiryMs must be greater than 0")]
    ZeroExpiry(String),
    #[error("duplicate service {0}")]
    DuplicateService(String),
    #[error("more than {MAX_ENTRIES} entries")]
    TooManyEntries,
    #[error("{0} has more than {1} entries")]
    TooManySectionEntries(String, usize),
    #[error("{0}: {1} is not defined in this configuration")]
    UnknownName(String, String),
    #[error("{0}: {1} is defined twice")]
    DuplicateLabel(String, String),
    #[error("{0}: {1}")]
    Calendar(String, String),
    #[error("{0}: {1} is already used by {2}")]
    Conflict(String, String, String),
}

/// Hasher with fixed seeds, so that hash tables iterate in the same order in every process and replays are
/// deterministic. Not resistant to collision attacks: use it only for keys that clients cannot choose.
#[derive(Clone)]
pub struct DeterministicHasher(ahash::RandomState);

impl Default for DeterministicHasher {
    fn default() -> DeterministicHasher {
        DeterministicHasher(ahash::RandomState::with_seeds(0x77, 0x69, 0x6e, 0x64))
    }
}

impl std::hash::BuildHasher for DeterministicHasher {
    type Hasher = ahash::AHasher;

    fn build_hasher(&self) -> ahash::AHasher {
        self.0.build_hasher()
    }
}

/// The consistency that a route requires of its reads.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Category {
    /// Reads run on the primary only.
    Primary,
    /// Reads may run on replicas within the staleness bound.
    BoundedStaleness { max_staleness_us: u64 },
}

#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Route {
    pub label: String,
    pub host: String,
    pub category: Category,
    pub expiry_us: u64,
    pub target_us: u64,
    pub precedence: u32,
    pub service: String,
    pub max_attempts: u32,
    /// The prefix of the paths that it serves; `None` for all paths.
    pub path_prefix: Option<Box<str>>,
}

#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Service {
    pub label: String,
    pub max_connections: u32,
    pub sync_replicas: u32,
}

#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Limits {
    pub max_line_bytes: usize,
    pub setup_timeout_us: u64,
    pub txn_idle_timeout_us: u64,
}

pub type Services = hashbrown::HashMap<String, Service, DeterministicHasher>;

/// A validated configuration with its version.
#[derive(Clone, Debug)]
pub struct Configuration {
    pub version: u64,
    pub routes: Vec<std::rc::Rc<Route>>,
    pub services: std::rc::Rc<Services>,
    pub limits: Limits,
    /// Optional; if empty, capacity is not divided.
    pub tenants: Vec<Tenant>,
    /// Optional; if empty, shards have no owners.
    pub partners: Vec<Partner>,
    /// The services that are distributed among the partners, sorted.
    pub shards: Vec<String>,
    pub shard_plans: Vec<ShardPlan>,
    /// The labels of the services in list order.
    labels: std::rc::Rc<Vec<String>>,
    hosts: std::rc::Rc<host_index::HostIndex>,
    /// The original text, and the position of each route and service in it.
    body: std::rc::Rc<[u8]>,
    spans: Vec<entry_spans::EntrySpan>,
    /// Number of entries that were parsed rather than reused from the previous configuration.
    pub parsed_entries: usize,
}

impl Configuration {
    /// Parses the whole text.
    pub fn parse(body: &[u8]) -> Result<Configuration, ConfigurationError> {
        let value: serde_json::Value = serde_json::from_slice(body)?;
        let mut configuration = Configuration::from_value(&value, &incremental::ReusedEntries::none())?;
        configuration.spans = entry_spans::entry_spans(body, &configuration);
        configuration.body = body.into();
        Ok(configuration)
    }

    /// Reads a value whose lists may contain placeholders for reused entries.
    fn from_value(
        value: &serde_json::Value,
        reused: &incremental::ReusedEntries<'_>,
    ) -> Result<Configuration, ConfigurationError> {
        let reader = Reader::new(value);
        let version = reader.integer("issue")?;
        let (service_list, route_list) = (reader.list("services")?, reader.list("routing")?);
        if reused.entry_count(&service_list) > MAX_ENTRIES || reused.entry_count(&route_list) > MAX_ENTRIES {
            return Err(ConfigurationError::TooManyEntries);
        }
        let unchanged = reused.unchanged_services(&service_list);
        let is_unchanged = unchanged.is_some();
        let (services, labels) = unchanged.map_or_else(|| entries::parse_services(&service_list, reused), Ok)?;
        let mut routes = Vec::new();
        let mut hosts = host_index::HostIndexBuilder::new(reused.previous_routes());
        for entry in route_list {
            let run = reused.visit_run(&entry);
            let parsed = if run.is_none() { Some(std::rc::Rc::new(entries::parse_route(&entry)?)) } else { None };
            // The service of a reused route was checked when the services are unchanged.
            let is_checked = run.is_some() && is_unchanged;
            for route in run.into_iter().flatten().filter_map(|matched| reused.route(*matched)).chain(parsed) {
                if !is_checked && !services.contains_key(&route.service) {
                    return Err(ConfigurationError::UnknownService(route.label.clone(), route.service.clone()));
                }
                if !hosts.insert(&routes, &route) {
                    let prefix = route.path_prefix.as_deref().unwrap_or("/").to_owned();
                    return Err(ConfigurationError::DuplicateRoute(route.host.clone(), prefix));
                }
                routes.push(route);
            }
        }
        let hosts = hosts.build(&routes);
        let limits = Limits {
            max_line_bytes: (reader.integer_or("limits.headerBytes", 16_384)? as usize)
                .saturating_add(reader.integer_or("limits.bodyBytes", 262_144)? as usize)
                .clamp(1024, 1 << 20),
            setup_timeout_us: entries::duration_us_or(&reader, "limits.headerTimerMs", 3_000_000)?,
            txn_idle_timeout_us: entries::duration_us_or(&reader, "limits.txnIdleMs", 3_000_000)?,
        };
        let tenants = sections::parse_tenants(&reader, |host| hosts.find(&routes, host).is_some())?;
        let partners = sections::parse_partners(&reader)?;
        let mut shards = sections::parse_shards(&reader, |name| services.contains_key(name))?;
        // If partners are configured without shards, all services are shards.
        if shards.is_empty() && !partners.is_empty() {
            shards = services.keys().cloned().collect();
        }
        shards.sort();
        let is_synced = |name: &str| services.get(name).map(|service: &Service| service.sync_replicas > 0);
        let routed_by = |name: &str| routes.iter().find(|route| route.service == name).map(|route| route.label.clone());
        let shard_plans = shard_plans::parse_plans(&reader, is_synced, routed_by)?;
        let (body, spans) = Default::default();
        let parsed_entries = (routes.len() + labels.len()).saturating_sub(reused.len());
        Ok(Configuration {
            version,
            routes,
            services,
            limits,
            tenants,
            partners,
            shards,
            shard_plans,
            labels,
            hosts,
            body,
            spans,
            parsed_entries,
        })
    }

    /// The original text.
    pub fn body(&self) -> &std::rc::Rc<[u8]> {
        &self.body
    }

    /// The route whose host is the given database name.
    pub fn route(&self, database: &str) -> Option<&std::rc::Rc<Route>> {
        self.hosts.find(&self.routes, database).and_then(|index| self.routes.get(index))
    }
}
