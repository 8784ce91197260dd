//! Divides an access node's capacity among tenants by weight, using start-time fair queueing.
//!
//! Tenants are charged for the time that their slots were actually held. Unused capacity goes to waiting tenants: an
//! idle tenant gains no credit, and a tenant that uses spare capacity incurs no debt.
mod queue;
mod scheduler;

pub use queue::{FairQueue, TenantUsage, ACTIVE_WINDOW_US};
pub use scheduler::FairScheduler;

use hashbrown::HashMap;

/// The tenant of sessions that no configured tenant matches.
pub const DEFAULT_TENANT: u16 = 0;

/// The configured tenants and their weights.
#[derive(Default)]
pub struct Tenants {
    /// Label and weight by tenant number, the default tenant first.
    entries: Vec<(String, u64)>,
    /// User patterns and their tenant, by host; an empty pattern list matches every user.
    hosts: HashMap<String, Vec<(Vec<String>, u16)>, ahash::RandomState>,
}

impl Tenants {
    /// Labels in `known` keep their number, so that usage counters carry over between configurations.
    pub fn new(tenants: &[wv_configuration::Tenant], known: &Tenants) -> Tenants {
        let mut entries = vec![("default".to_owned(), 1)];
        entries.extend(known.entries.iter().skip(1).map(|(label, _)| (label.clone(), 0)));
        let mut hosts: HashMap<String, Vec<(Vec<String>, u16)>, ahash::RandomState> = HashMap::default();
        for tenant in tenants {
            let index = entries.iter().position(|(label, _)| *label == tenant.label).unwrap_or_else(|| {
                entries.push((tenant.label.clone(), 0));
                entries.len() - 1
            });
            entries[index].1 = tenant.weight;
            for host in &tenant.hosts {
                hosts.entry(host.clone()).or_default().push((tenant.users.clone(), index as u16));
            }
        }
        Tenants { entries, hosts }
    }

    /// Whether no tenants are configured.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn label(&self, tenant: u16) -> &str {
        self.entries.get(tenant as usize).map_or("default", |(label, _)| label.as_str())
    }

    /// A tenant that was removed from the configuration has weight 1 until its requests have finished.
    pub fn weight(&self, tenant: u16) -> u64 {
        self.entries.get(tenant as usize).map_or(1, |(_, weight)| (*weight).max(1))
    }

    pub fn tenant_of(&self, host: &str, user: &str) -> u16 {
        let entries = self.hosts.get(host).map(Vec::as_slice).unwrap_or_default();
        let is_match = |patterns: &[String]| {
            patterns.is_empty() || patterns.iter().any(|pattern| wv_configuration::matches_pattern(pattern, user))
        };
        entries.iter().find(|(patterns, _)| is_match(patterns)).map_or(DEFAULT_TENANT, |(_, tenant)| *tenant)
    }
}
