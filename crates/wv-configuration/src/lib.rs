//! The operator's configuration: read whole, checked, and kept as sent.
mod cut;
mod entry;
mod hosts;
mod parts;
mod path;
mod plans;
mod renew;

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
    /// The beginning of paths that it is for; none where it is for all.
    pub prefix: Option<Box<str>>,
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

pub type Services = hashbrown::HashMap<String, Service, Fixed>;

/// One whole configuration under its version.
#[derive(Clone, Debug)]
pub struct Conf {
    pub version: u64,
    pub routes: Vec<std::rc::Rc<Route>>,
    pub services: std::rc::Rc<Services>,
    pub limits: Limits,
    /// Sections that may be absent; without them nothing is divided and nothing owned.
    pub tenants: Vec<Tenant>,
    pub partners: Vec<Partner>,
    /// The services that are shared among partners.
    pub shards: Vec<String>,
    /// The services that are to be split in time.
    pub plans: Vec<ShardPlan>,
    /// The labels of the services in their order.
    labels: std::rc::Rc<Vec<String>>,
    hosts: std::rc::Rc<hosts::Hosts>,
    /// The text that all this was read of, and where its routes and services stand in it.
    body: std::rc::Rc<[u8]>,
    entries: Vec<cut::Entry>,
    /// How many entries were read, rather than taken from an older configuration.
    pub fresh: usize,
}

impl Conf {
    /// Reads the whole text.
    pub fn parse(body: &[u8]) -> Result<Conf, ConfError> {
        let value: serde_json::Value = serde_json::from_slice(body)?;
        let mut conf = Conf::read(&value, &renew::Known::none())?;
        conf.entries = cut::entries(body, &conf);
        conf.body = body.into();
        Ok(conf)
    }

    /// Reads a value whose lists may hold, in place of entries that are known, what tells which they are.
    fn read(value: &serde_json::Value, known: &renew::Known<'_>) -> Result<Conf, ConfError> {
        let reader = Reader::new(value);
        let version = reader.whole("issue")?;
        let (service_list, route_list) = (reader.list("services")?, reader.list("routing")?);
        if known.count(&service_list) > ENTRIES_MAX || known.count(&route_list) > ENTRIES_MAX {
            return Err(ConfError::TooMany);
        }
        let shared = known.services(&service_list);
        let is_shared = shared.is_some();
        let (services, labels) = shared.map_or_else(|| entry::services(&service_list, known), Ok)?;
        let mut routes = Vec::new();
        let mut hosts = hosts::Entering::new(known.old());
        for entry in route_list {
            let run = known.run(&entry);
            let fresh = if run.is_none() { Some(std::rc::Rc::new(entry::route(&entry)?)) } else { None };
            // A route that stood there before names one of the same services.
            let is_checked = run.is_some() && is_shared;
            for route in run.into_iter().flatten().filter_map(|at| known.route(*at)).chain(fresh) {
                if !is_checked && !services.contains_key(&route.service) {
                    return Err(ConfError::UnknownService(route.label.clone(), route.service.clone()));
                }
                if !hosts.enter(&routes, &route) {
                    let prefix = route.prefix.as_deref().unwrap_or("/").to_owned();
                    return Err(ConfError::SamePlace(route.host.clone(), prefix));
                }
                routes.push(route);
            }
        }
        let hosts = hosts.end(&routes);
        let limits = Limits {
            line_bytes: (reader.whole_or("limits.headerBytes", 16_384)? as usize)
                .saturating_add(reader.whole_or("limits.bodyBytes", 262_144)? as usize)
                .clamp(1024, 1 << 20),
            setup_us: entry::ms_or(&reader, "limits.headerTimerMs", 3_000_000)?,
            txn_idle_us: entry::ms_or(&reader, "limits.txnIdleMs", 3_000_000)?,
        };
        let tenants = parts::tenants(&reader, |host| hosts.find(&routes, host).is_some())?;
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
        let (body, entries) = Default::default();
        let fresh = (routes.len() + labels.len()).saturating_sub(known.taken());
        Ok(Conf {
            version,
            routes,
            services,
            limits,
            tenants,
            partners,
            shards,
            plans,
            labels,
            hosts,
            body,
            entries,
            fresh,
        })
    }

    /// The text that this was read of.
    pub fn body(&self) -> &std::rc::Rc<[u8]> {
        &self.body
    }

    /// The route whose host is this database name.
    pub fn route(&self, database: &str) -> Option<&std::rc::Rc<Route>> {
        self.hosts.find(&self.routes, database).and_then(|at| self.routes.get(at))
    }
}
