//! An edge's capacity divided among tenants by weight: start-time fair queueing, charged with the time that a slot was
//! really held. What a tenant does not use goes to those waiting; nobody saves up, nobody owes.
mod fair;
mod tally;

pub use fair::Fair;
pub use tally::{Line, Tally, ACTIVE_US};

use hashbrown::HashMap;

/// The tenant of whoever is in no other.
pub const DEFAULT: u16 = 0;

/// Who the tenants are and what they weigh.
#[derive(Default)]
pub struct Tenants {
    /// Label and weight, the default tenant first.
    list: Vec<(String, u64)>,
    /// By host: whom its users belong to; no pattern means all of them.
    hosts: HashMap<String, Vec<(Vec<String>, u16)>, ahash::RandomState>,
}

impl Tenants {
    /// Labels that were known keep their number, so that what they use goes on being counted.
    pub fn new(tenants: &[wv_configuration::Tenant], known: &Tenants) -> Tenants {
        let mut list = vec![("default".to_owned(), 1)];
        list.extend(known.list.iter().skip(1).map(|(label, _)| (label.clone(), 0)));
        let mut hosts: HashMap<String, Vec<(Vec<String>, u16)>, ahash::RandomState> = HashMap::default();
        for tenant in tenants {
            let at = list.iter().position(|(label, _)| *label == tenant.label).unwrap_or_else(|| {
                list.push((tenant.label.clone(), 0));
                list.len() - 1
            });
            list[at].1 = tenant.weight;
            for host in &tenant.hosts {
                hosts.entry(host.clone()).or_default().push((tenant.users.clone(), at as u16));
            }
        }
        Tenants { list, hosts }
    }

    /// Whether there is anything to divide.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    pub fn len(&self) -> usize {
        self.list.len()
    }

    pub fn label(&self, tenant: u16) -> &str {
        self.list.get(tenant as usize).map_or("default", |(label, _)| label.as_str())
    }

    /// One that was taken out of the configuration weighs least until its asks have ended.
    pub fn weight(&self, tenant: u16) -> u64 {
        self.list.get(tenant as usize).map_or(1, |(_, weight)| (*weight).max(1))
    }

    pub fn find(&self, host: &str, who: &str) -> u16 {
        let entries = self.hosts.get(host).map(Vec::as_slice).unwrap_or_default();
        let is_its =
            |users: &[String]| users.is_empty() || users.iter().any(|user| wv_configuration::is_meant(user, who));
        entries.iter().find(|(users, _)| is_its(users)).map_or(DEFAULT, |(_, tenant)| *tenant)
    }
}
