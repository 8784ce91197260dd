//! The optional sections of a configuration: tenants with their weights, partners with their portions.
use crate::{ConfError, PathError, Reader};

/// No section holds more entries, and no entry more names.
pub const PARTS_MAX: usize = 64;
const NAMES_MAX: usize = 1024;
const WEIGHT_MAX: u64 = 1_000_000;

/// One who shares the nodes: known by the route's host, and by the word after it where hosts are shared.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Tenant {
    pub label: String,
    pub weight: u64,
    pub hosts: Vec<String>,
    /// Exact words, or prefixes that end in `*`; none means anyone at these hosts.
    pub users: Vec<String>,
}

/// An operator that carries an agreed portion of the shards on its own nodes.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Partner {
    pub label: String,
    pub portion: u64,
    /// Names of access nodes, or prefixes that end in `*`.
    pub nodes: Vec<String>,
}

/// Whether `word` is meant by `pattern`: the same word, or the beginning that stands before a `*`.
pub fn is_meant(pattern: &str, word: &str) -> bool {
    pattern.strip_suffix('*').map_or(pattern == word, |start| word.starts_with(start))
}

fn weight(reader: &Reader<'_>, path: &str) -> Result<u64, ConfError> {
    let found = reader.whole(path)?;
    if (1..=WEIGHT_MAX).contains(&found) {
        Ok(found)
    } else {
        Err(ConfError::Path(PathError::Kind(reader.name(path), "a whole number of 1 to 1000000")))
    }
}

fn names(reader: &Reader<'_>, path: &str) -> Result<Vec<String>, ConfError> {
    let list = if reader.has(path) { reader.list(path)? } else { Vec::new() };
    if list.len() > NAMES_MAX {
        return Err(ConfError::TooManyOf(reader.name(path), NAMES_MAX));
    }
    list.iter()
        .map(|entry| match entry.itself()? {
            "" | "*" => Err(ConfError::Path(PathError::Kind(reader.name(path), "a list of names or beginnings"))),
            name => Ok(name.to_owned()),
        })
        .collect()
}

pub(crate) fn entries<'a>(reader: &Reader<'a>, path: &str) -> Result<Vec<Reader<'a>>, ConfError> {
    let list = if reader.has(path) { reader.list(path)? } else { Vec::new() };
    (list.len() <= PARTS_MAX).then_some(list).ok_or_else(|| ConfError::TooManyOf(path.to_owned(), PARTS_MAX))
}

/// Two patterns that one word could be meant by.
fn overlap(one: &str, other: &str) -> bool {
    match (one.strip_suffix('*'), other.strip_suffix('*')) {
        (Some(one), Some(other)) => one.starts_with(other) || other.starts_with(one),
        _ => is_meant(one, other) || is_meant(other, one),
    }
}

pub(crate) fn tenants(reader: &Reader<'_>, has_host: impl Fn(&str) -> bool) -> Result<Vec<Tenant>, ConfError> {
    let mut tenants: Vec<Tenant> = Vec::new();
    for entry in entries(reader, "tenants")? {
        let tenant = Tenant {
            label: entry.text("label")?.to_owned(),
            weight: weight(&entry, "weight")?,
            hosts: names(&entry, "hosts")?,
            users: names(&entry, "users")?,
        };
        if tenant.hosts.is_empty() {
            return Err(ConfError::Path(PathError::Missing(entry.name("hosts"))));
        }
        if let Some(host) = tenant.hosts.iter().find(|host| !has_host(host)) {
            return Err(ConfError::UnknownName(entry.name("hosts"), host.clone()));
        }
        if tenants.iter().any(|held| held.label == tenant.label) || tenant.label == "default" {
            return Err(ConfError::SameLabel(entry.name("label"), tenant.label));
        }
        for held in &tenants {
            let shared = held.hosts.iter().find(|host| tenant.hosts.contains(host));
            let is_clear = !held.users.is_empty()
                && !tenant.users.is_empty()
                && !held.users.iter().any(|one| tenant.users.iter().any(|other| overlap(one, other)));
            if let Some(host) = shared.filter(|_| !is_clear) {
                return Err(ConfError::TwoPlaces(entry.name("hosts"), host.clone(), held.label.clone()));
            }
        }
        tenants.push(tenant);
    }
    Ok(tenants)
}

pub(crate) fn partners(reader: &Reader<'_>) -> Result<Vec<Partner>, ConfError> {
    let mut partners: Vec<Partner> = Vec::new();
    for entry in entries(reader, "partners")? {
        let partner = Partner {
            label: entry.text("label")?.to_owned(),
            portion: weight(&entry, "portion")?,
            nodes: names(&entry, "nodes")?,
        };
        if partner.nodes.is_empty() {
            return Err(ConfError::Path(PathError::Missing(entry.name("nodes"))));
        }
        if partners.iter().any(|held| held.label == partner.label) {
            return Err(ConfError::SameLabel(entry.name("label"), partner.label));
        }
        for held in &partners {
            let both = partner.nodes.iter().find(|node| held.nodes.iter().any(|other| overlap(node, other)));
            if let Some(node) = both {
                return Err(ConfError::TwoPlaces(entry.name("nodes"), node.clone(), held.label.clone()));
            }
        }
        partners.push(partner);
    }
    Ok(partners)
}

pub(crate) fn shards(reader: &Reader<'_>, has_service: impl Fn(&str) -> bool) -> Result<Vec<String>, ConfError> {
    let shards = names(reader, "shards")?;
    for (at, shard) in shards.iter().enumerate() {
        if !has_service(shard) {
            return Err(ConfError::UnknownName(reader.name("shards"), shard.clone()));
        }
        if shards[..at].contains(shard) {
            return Err(ConfError::SameLabel(reader.name("shards"), shard.clone()));
        }
    }
    Ok(shards)
}
