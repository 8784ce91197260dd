//! The optional `tenants`, `partners` and `shards` sections of a configuration.
use crate::{ConfigurationError, PathError, Reader};

/// Maximum number of entries in a section.
pub const MAX_SECTION_ENTRIES: usize = 64;
/// Maximum number of names in a list.
const MAX_NAMES: usize = 1024;
const MAX_WEIGHT: u64 = 1_000_000;

/// A tenant of the access nodes, identified by the host of a session and, where hosts are shared, by its user.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Tenant {
    pub label: String,
    pub weight: u64,
    pub hosts: Vec<String>,
    /// Exact names, or prefixes that end in `*`; if empty, all users of these hosts.
    pub users: Vec<String>,
}

/// An operating partner that serves an agreed portion of the shards on its own nodes.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Partner {
    pub label: String,
    pub portion: u64,
    /// Names of access nodes, or prefixes that end in `*`.
    pub nodes: Vec<String>,
}

/// Whether `name` equals `pattern`, or begins with the part of it before a final `*`.
pub fn matches_pattern(pattern: &str, name: &str) -> bool {
    pattern.strip_suffix('*').map_or(pattern == name, |prefix| name.starts_with(prefix))
}

fn parse_weight(reader: &Reader<'_>, path: &str) -> Result<u64, ConfigurationError> {
    let weight = reader.integer(path)?;
    if (1..=MAX_WEIGHT).contains(&weight) {
        Ok(weight)
    } else {
        Err(ConfigurationError::Path(PathError::InvalidValue(reader.full_path(path), "an integer from 1 to 1000000")))
    }
}

fn parse_names(reader: &Reader<'_>, path: &str) -> Result<Vec<String>, ConfigurationError> {
    let list = if reader.has(path) { reader.list(path)? } else { Vec::new() };
    if list.len() > MAX_NAMES {
        return Err(ConfigurationError::TooManySectionEntries(reader.full_path(path), MAX_NAMES));
    }
    list.iter()
        .map(|entry| match entry.as_str()? {
            "" | "*" => Err(ConfigurationError::Path(PathError::InvalidValue(
                reader.full_path(path),
                "a list of names or prefixes",
            ))),
            name => Ok(name.to_owned()),
        })
        .collect()
}

pub(crate) fn section_entries<'a>(reader: &Reader<'a>, path: &str) -> Result<Vec<Reader<'a>>, ConfigurationError> {
    let list = if reader.has(path) { reader.list(path)? } else { Vec::new() };
    (list.len() <= MAX_SECTION_ENTRIES)
        .then_some(list)
        .ok_or_else(|| ConfigurationError::TooManySectionEntries(path.to_owned(), MAX_SECTION_ENTRIES))
}

/// Whether any name matches both patterns.
fn patterns_overlap(one: &str, other: &str) -> bool {
    match (one.strip_suffix('*'), other.strip_suffix('*')) {
        (Some(one), Some(other)) => one.starts_with(other) || other.starts_with(one),
        _ => matches_pattern(one, other) || matches_pattern(other, one),
    }
}

pub(crate) fn parse_tenants(
    reader: &Reader<'_>,
    has_host: impl Fn(&str) -> bool,
) -> Result<Vec<Tenant>, ConfigurationError> {
    let mut tenants: Vec<Tenant> = Vec::new();
    for entry in section_entries(reader, "tenants")? {
        let tenant = Tenant {
            label: entry.string("label")?.to_owned(),
            weight: parse_weight(&entry, "weight")?,
            hosts: parse_names(&entry, "hosts")?,
            users: parse_names(&entry, "users")?,
        };
        if tenant.hosts.is_empty() {
            return Err(ConfigurationError::Path(PathError::Missing(entry.full_path("hosts"))));
        }
        if let Some(host) = tenant.hosts.iter().find(|host| !has_host(host)) {
            return Err(ConfigurationError::UnknownName(entry.full_path("hosts"), host.clone()));
        }
        if tenants.iter().any(|existing| existing.label == tenant.label) || tenant.label == "default" {
            return Err(ConfigurationError::DuplicateLabel(entry.full_path("label"), tenant.label));
        }
        for existing in &tenants {
            let shared = existing.hosts.iter().find(|host| tenant.hosts.contains(host));
            let is_disjoint = !existing.users.is_empty()
                && !tenant.users.is_empty()
                && !existing.users.iter().any(|one| tenant.users.iter().any(|other| patterns_overlap(one, other)));
            if let Some(host) = shared.filter(|_| !is_disjoint) {
                return Err(ConfigurationError::Conflict(
                    entry.full_path("hosts"),
                    host.clone(),
                    existing.label.clone(),
                ));
            }
        }
        tenants.push(tenant);
    }
    Ok(tenants)
}

pub(crate) fn parse_partners(reader: &Reader<'_>) -> Result<Vec<Partner>, ConfigurationError> {
    let mut partners: Vec<Partner> = Vec::new();
    for entry in section_entries(reader, "partners")? {
        let partner = Partner {
            label: entry.string("label")?.to_owned(),
            portion: parse_weight(&entry, "portion")?,
            nodes: parse_names(&entry, "nodes")?,
        };
        if partner.nodes.is_empty() {
            return Err(ConfigurationError::Path(PathError::Missing(entry.full_path("nodes"))));
        }
        if partners.iter().any(|existing| existing.label == partner.label) {
            return Err(ConfigurationError::DuplicateLabel(entry.full_path("label"), partner.label));
        }
        for existing in &partners {
            let both =
                partner.nodes.iter().find(|node| existing.nodes.iter().any(|other| patterns_overlap(node, other)));
            if let Some(node) = both {
                return Err(ConfigurationError::Conflict(
                    entry.full_path("nodes"),
                    node.clone(),
                    existing.label.clone(),
                ));
            }
        }
        partners.push(partner);
    }
    Ok(partners)
}

pub(crate) fn parse_shards(
    reader: &Reader<'_>,
    has_service: impl Fn(&str) -> bool,
) -> Result<Vec<String>, ConfigurationError> {
    let shards = parse_names(reader, "shards")?;
    for (index, shard) in shards.iter().enumerate() {
        if !has_service(shard) {
            return Err(ConfigurationError::UnknownName(reader.full_path("shards"), shard.clone()));
        }
        if shards[..index].contains(shard) {
            return Err(ConfigurationError::DuplicateLabel(reader.full_path("shards"), shard.clone()));
        }
    }
    Ok(shards)
}
