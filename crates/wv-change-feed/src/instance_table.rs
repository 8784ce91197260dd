use wv_internal_protocol::Instance;

/// Number of ranges of hashed ids that anti-entropy compares by digest.
pub const DIGEST_RANGES: usize = 16;
/// New instances beyond this number are ignored; a fleet has only a few for each service.
const MAX_INSTANCES: usize = 20_000;

fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

fn digest_range(id: &str) -> usize {
    (fnv1a(id.as_bytes()) >> 32) as usize % DIGEST_RANGES
}

/// All database instances learned from heartbeats, each with its newest sequence.
#[derive(Default)]
pub struct InstanceTable {
    instances: std::collections::BTreeMap<String, Instance>,
    /// Instance ids by service.
    services: std::collections::BTreeMap<String, std::collections::BTreeSet<String>>,
    /// Instances that had already left at the last call of `prune_departed`.
    departed: std::collections::BTreeSet<String>,
}

impl InstanceTable {
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.instances.values()
    }

    /// The instances of one service.
    pub fn service_instances<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Instance> + 'a {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.instances.get(id)).filter(move |instance| instance.service == service)
    }

    fn insert(&mut self, instance: Instance) {
        if !self.services.get(&instance.service).is_some_and(|ids| ids.contains(&instance.id)) {
            self.services.entry(instance.service.clone()).or_default().insert(instance.id.clone());
        }
        self.instances.insert(instance.id.clone(), instance);
    }

    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.instances.get(id)
    }

    /// Merges an instance received by heartbeat or from a peer. Returns the entries that changed in more than their
    /// sequence and relative times.
    pub fn merge(&mut self, instance: Instance) -> Vec<Instance> {
        let is_new = !self.instances.contains_key(&instance.id);
        if is_new && self.instances.len() >= MAX_INSTANCES {
            return Vec::new();
        }
        let changed = match self.instances.get(&instance.id) {
            // A departed instance stays departed: a late heartbeat must not restore it.
            Some(known) if known.gone => return Vec::new(),
            Some(known) if instance.gone => {
                let mut departed = known.clone();
                departed.gone = true;
                departed.sequence = departed.sequence.max(instance.sequence);
                Some(departed)
            }
            Some(known) if instance.sequence <= known.sequence => None,
            Some(known) => {
                let mut aligned = instance.clone();
                (aligned.sequence, aligned.cold_left_us, aligned.leaving_age_us) =
                    (known.sequence, known.cold_left_us, known.leaving_age_us);
                let is_same = aligned == *known;
                self.insert(instance.clone());
                if is_same {
                    return Vec::new();
                }
                Some(instance)
            }
            // Remembered although it was unknown, so that an older message from another node does not add it.
            None if instance.gone => {
                self.insert(instance);
                return Vec::new();
            }
            None => Some(instance),
        };
        let Some(instance) = changed else { return Vec::new() };
        let mut updates = Vec::new();
        // An address belongs to one instance at a time: a new instance replaces the previous one.
        if is_new && !instance.gone {
            for other in self.instances.values_mut() {
                if other.address == instance.address && other.id != instance.id && !other.gone {
                    other.gone = true;
                    updates.push(other.clone());
                }
            }
        }
        self.insert(instance.clone());
        updates.push(instance);
        updates
    }

    /// One digest per range over the id, address, draining state and role of its instances.
    pub fn digests(&self) -> Vec<u64> {
        let mut digests = vec![0u64; DIGEST_RANGES];
        // Departed instances are excluded because nodes prune them at different times. A node that missed a departure
        // still has a different digest.
        for instance in self.instances.values().filter(|instance| !instance.gone) {
            let text = format!("{}|{}|{}|{}", instance.id, instance.address, instance.draining, instance.primary);
            digests[digest_range(&instance.id)] ^= fnv1a(text.as_bytes());
        }
        digests
    }

    pub fn range_instances(&self, range: usize) -> Vec<Instance> {
        self.instances.values().filter(|instance| digest_range(&instance.id) == range).cloned().collect()
    }

    /// Removes the instances that had already left at the previous call, except those in `retained`.
    pub fn prune_departed(&mut self, retained: &std::collections::BTreeSet<String>) {
        let departed = std::mem::take(&mut self.departed);
        self.instances.retain(|id, instance| !(instance.gone && departed.contains(id)) || retained.contains(id));
        let instances = &self.instances;
        self.services.retain(|_, ids| {
            ids.retain(|id| instances.contains_key(id));
            !ids.is_empty()
        });
        self.departed =
            self.instances.values().filter(|instance| instance.gone).map(|instance| instance.id.clone()).collect();
    }
}
