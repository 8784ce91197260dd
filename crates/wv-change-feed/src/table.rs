use wv_internal_protocol::Instance;

/// Repair compares the table in this many ranges of hashed ids.
pub const RANGES: usize = 16;
/// The table never holds more; a fleet has a few databases a service.
const INSTS_MAX: usize = 20_000;

fn fnv(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

fn range(id: &str) -> usize {
    (fnv(id.as_bytes()) >> 32) as usize % RANGES
}

/// All databases that beats have told of, newest sequence first.
#[derive(Default)]
pub struct Table {
    insts: std::collections::BTreeMap<String, Instance>,
    /// The ids of each service's databases: hundreds of services are gone through one by one.
    services: std::collections::BTreeMap<String, std::collections::BTreeSet<String>>,
    /// Those that had left at the last sweep.
    left: std::collections::BTreeSet<String>,
}

impl Table {
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.insts.values()
    }

    /// The databases of one service.
    pub fn of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Instance> + 'a {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter_map(|id| self.insts.get(id)).filter(move |inst| inst.service == service)
    }

    fn keep(&mut self, inst: Instance) {
        if !self.services.get(&inst.service).is_some_and(|ids| ids.contains(&inst.id)) {
            self.services.entry(inst.service.clone()).or_default().insert(inst.id.clone());
        }
        self.insts.insert(inst.id.clone(), inst);
    }

    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.insts.get(id)
    }

    /// Takes a beat or a copy from a peer. Returns the entries that changed in more than their sequence.
    pub fn offer(&mut self, inst: Instance) -> Vec<Instance> {
        let is_new = !self.insts.contains_key(&inst.id);
        if is_new && self.insts.len() >= INSTS_MAX {
            return Vec::new();
        }
        let changed = match self.insts.get(&inst.id) {
            // Who left stays gone: a late beat must not bring its place back.
            Some(held) if held.gone => return Vec::new(),
            Some(held) if inst.gone => {
                let mut gone = held.clone();
                gone.gone = true;
                gone.sequence = gone.sequence.max(inst.sequence);
                Some(gone)
            }
            Some(held) if inst.sequence <= held.sequence => None,
            Some(held) => {
                let mut same = inst.clone();
                (same.sequence, same.cold_left_us, same.leaving_age_us) =
                    (held.sequence, held.cold_left_us, held.leaving_age_us);
                let is_same = same == *held;
                self.keep(inst.clone());
                if is_same {
                    return Vec::new();
                }
                Some(inst)
            }
            // That one left which was never known is remembered, so that an older word of another node does not bring it in.
            None if inst.gone => {
                self.keep(inst);
                return Vec::new();
            }
            None => Some(inst),
        };
        let Some(inst) = changed else { return Vec::new() };
        let mut news = Vec::new();
        // A place belongs to one database at a time: the one first heard of later has taken it.
        if is_new && !inst.gone {
            for other in self.insts.values_mut() {
                if other.address == inst.address && other.id != inst.id && !other.gone {
                    other.gone = true;
                    news.push(other.clone());
                }
            }
        }
        self.keep(inst.clone());
        news.push(inst);
        news
    }

    /// One digest per range over what matters of each entry.
    pub fn digests(&self) -> Vec<u64> {
        let mut sums = vec![0u64; RANGES];
        // Those that left differ from node to node in when they are forgotten; a node that missed a leave still differs.
        for inst in self.insts.values().filter(|inst| !inst.gone) {
            let text = format!("{}|{}|{}|{}", inst.id, inst.address, inst.draining, inst.primary);
            sums[range(&inst.id)] ^= fnv(text.as_bytes());
        }
        sums
    }

    pub fn range(&self, wanted: usize) -> Vec<Instance> {
        self.insts.values().filter(|inst| range(&inst.id) == wanted).cloned().collect()
    }

    /// Drops the entries that had left already at the last call: nobody speaks of them any more. But for `needed`.
    pub fn forget(&mut self, needed: &std::collections::BTreeSet<String>) {
        let left = std::mem::take(&mut self.left);
        self.insts.retain(|id, inst| !(inst.gone && left.contains(id)) || needed.contains(id));
        let insts = &self.insts;
        self.services.retain(|_, ids| {
            ids.retain(|id| insts.contains_key(id));
            !ids.is_empty()
        });
        self.left = self.insts.values().filter(|inst| inst.gone).map(|inst| inst.id.clone()).collect();
    }
}
