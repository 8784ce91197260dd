//! The operator's configuration: read whole, checked, and kept as sent.
mod parts;
mod path;
mod plans;

pub use parts::{is_meant, Partner, Tenant, PARTS_MAX};
pub use path::{PathError, Reader};
pub use plans::ShardPlan;

/// Bounds on what a configuration may hold.
pub const BODY_MAX: usize = 1 << 20;
pub const ENTRIES_MAX: usize = 10_000;

#[derive(thiserror::Error, Debug)]
pub enum ConfError {
    #[error("not readable as JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Path(#[from] PathError),
    #[error("route {0} names the unknown service {1}")]
    UnknownService(String, String),
    #[error("two routes share host {0} and prefix {1}")]
    SamePlace(String, String),
    #[error("route {0} has an expiryMs of 0")]
    NoLimit(String),
    #[error("service {0} stands twice")]
    SameService(String),
    #[error("more than {ENTRIES_MAX} entries")]
    TooMany,
    #[error("{0} has more than {1} entries")]
    TooManyOf(String, usize),
    #[error("{0}: {1} is not known in this configuration")]
    UnknownName(String, String),
    #[error("{0}: {1} stands twice")]
    SameLabel(String, String),
    #[error("{0}: {1}")]
    Calendar(String, String),
    #[error("{0}: {1} belongs to {2} already")]
    TwoPlaces(String, String, String),
}

/// Hashes alike in every process, so that what is gone through in the order of a table goes alike too: a replay must
/// come out the same each time. Keys are the operator's and our own, never a client's.
#[derive(Clone)]
pub struct Fixed(ahash::RandomState);

impl Default for Fixed {
    fn default() -> Fixed {
        Fixed(ahash::RandomState::with_seeds(0x77, 0x69, 0x6e, 0x64))
    }
}

impl std::hash::BuildHasher for Fixed {
    type Hasher = ahash::AHasher;

    fn build_hasher(&self) -> ahash::AHasher {
        self.0.build_hasher()
    }
}

/// Which databases may run a route's reads.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Category {
    Primary,
    Bounded { stale_us: u64 },
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
}

#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Service {
    pub label: String,
    pub max_connections: u32,
    pub sync_replicas: u32,
}

#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Limits {
    pub line_bytes: usize,
    pub setup_us: u64,
    pub txn_idle_us: u64,
}

/// One whole configuration under its version.
#[derive(Clone, Debug)]
pub struct Conf {
    pub version: u64,
    pub routes: Vec<std::rc::Rc<Route>>,
    pub services: hashbrown::HashMap<String, Service, Fixed>,
    pub limits: Limits,
    /// Sections that may be absent; without them nothing is divided and nothing owned.
    pub tenants: Vec<Tenant>,
    pub partners: Vec<Partner>,
    /// The services that are shared among partners.
    pub shards: Vec<String>,
    /// The services that are to be split in time.
    pub plans: Vec<ShardPlan>,
    hosts: hashbrown::HashMap<String, usize, Fixed>,
}

fn ms(reader: &Reader<'_>, path: &str) -> Result<u64, PathError> {
    reader.number(path).map(|ms| (ms * 1000.0) as u64)
}

fn ms_or(reader: &Reader<'_>, path: &str, default: u64) -> Result<u64, PathError> {
    if reader.has(path) {
        ms(reader, path)
    } else {
        Ok(default)
    }
}

fn read_route(reader: &Reader<'_>) -> Result<(Route, String), ConfError> {
    let label = reader.text("label")?.to_owned();
    let expiry_us = ms(reader, "expiryMs")?;
    // A statement that may take no time could never be served: the operator meant something else.
    if expiry_us == 0 {
        return Err(ConfError::NoLimit(label));
    }
    // An unknown category is the strictest one, so that a newer word never weakens a promise.
    let category = match reader.text("category").unwrap_or("primary") {
        "bounded_staleness" => Category::Bounded { stale_us: ms_or(reader, "maxStalenessMs", 0)? },
        _ => Category::Primary,
    };
    let prefix = if reader.has("pathPrefix") { reader.text("pathPrefix")?.to_owned() } else { "/".to_owned() };
    let route = Route {
        host: reader.text("host")?.to_owned(),
        category,
        expiry_us,
        target_us: ms_or(reader, "targetMs", expiry_us)?.max(1000),
        precedence: reader.whole_or("precedence", 1)?.min(255) as u32,
        service: reader.text("destination")?.to_owned(),
        max_attempts: reader.whole_or("maxAttempts", 1)?.clamp(1, 16) as u32,
        label,
    };
    Ok((route, prefix))
}

fn read_service(reader: &Reader<'_>) -> Result<Service, ConfError> {
    Ok(Service {
        label: reader.text("label")?.to_owned(),
        max_connections: reader.whole_or("maxConnections", 64)?.clamp(1, 100_000) as u32,
        sync_replicas: reader.whole_or("syncReplicas", 0)?.min(1000) as u32,
    })
}

impl Conf {
    pub fn parse(body: &[u8]) -> Result<Conf, ConfError> {
        let value: serde_json::Value = serde_json::from_slice(body)?;
        let reader = Reader::new(&value);
        let version = reader.whole("issue")?;
        let mut services = hashbrown::HashMap::default();
        let (service_list, route_list) = (reader.list("services")?, reader.list("routing")?);
        if service_list.len() > ENTRIES_MAX || route_list.len() > ENTRIES_MAX {
            return Err(ConfError::TooMany);
        }
        for entry in service_list {
            let service = read_service(&entry)?;
            let label = service.label.clone();
            if services.insert(label.clone(), service).is_some() {
                return Err(ConfError::SameService(label));
            }
        }
        let mut places = hashbrown::HashSet::new();
        let (mut routes, mut hosts) = (Vec::new(), hashbrown::HashMap::default());
        for entry in route_list {
            let (route, prefix) = read_route(&entry)?;
            if !services.contains_key(&route.service) {
                return Err(ConfError::UnknownService(route.label, route.service));
            }
            if !places.insert((route.host.clone(), prefix.clone())) {
                return Err(ConfError::SamePlace(route.host, prefix));
            }
            // The wire has no paths: of several routes with one host the first one counts.
            hosts.entry(route.host.clone()).or_insert(routes.len());
            routes.push(std::rc::Rc::new(route));
        }
        let limits = Limits {
            line_bytes: (reader.whole_or("limits.headerBytes", 16_384)? as usize)
                .saturating_add(reader.whole_or("limits.bodyBytes", 262_144)? as usize)
                .clamp(1024, 1 << 20),
            setup_us: ms_or(&reader, "limits.headerTimerMs", 3_000_000)?,
            txn_idle_us: ms_or(&reader, "limits.txnIdleMs", 3_000_000)?,
        };
        let tenants = parts::tenants(&reader, |host| hosts.contains_key(host))?;
        let partners = parts::partners(&reader)?;
        let mut shards = parts::shards(&reader, |name| services.contains_key(name))?;
        // Where partners are named and no shards, all services are shared.
        if shards.is_empty() && !partners.is_empty() {
            shards = services.keys().cloned().collect();
        }
        shards.sort();
        let is_synced = |name: &str| services.get(name).map(|service: &Service| service.sync_replicas > 0);
        let routed = |name: &str| routes.iter().find(|route| route.service == name).map(|route| route.label.clone());
        let plans = plans::plans(&reader, is_synced, routed)?;
        Ok(Conf { version, routes, services, limits, tenants, partners, shards, plans, hosts })
    }

    /// The route whose host is this database name.
    pub fn route(&self, database: &str) -> Option<&std::rc::Rc<Route>> {
        self.hosts.get(database).and_then(|at| self.routes.get(*at))
    }
}
