//! Generates configurations, random edits and corrupted texts from a seed.

/// Pseudorandom number generator (xorshift).
pub struct Rng(pub u64);

impl Rng {
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as usize % bound.max(1)
    }

    pub fn one_in(&mut self, count: usize) -> bool {
        self.below(count) == 0
    }
}

fn route(at: usize, rng: &mut Rng) -> String {
    let host = if rng.one_in(12) { format!("h{}", rng.below(40)) } else { format!("h{at}") };
    let prefix = ["", ",\"pathPrefix\":\"/\"", ",\"pathPrefix\":\"/a\"", ", \"pathPrefix\" : \"/{b}\""][rng.below(4)];
    let category = ["primary", "bounded_staleness", "other"][rng.below(3)];
    let expiry = if rng.one_in(150) { 0 } else { 100 + rng.below(900) };
    format!(
        "{{\"label\":\"r{at}\",\"host\":\"{host}\"{prefix},\"category\":\"{category}\",\"expiryMs\":{expiry},\"destination\":\"s{}\"}}",
        rng.below(4)
    )
}

fn service(at: usize, rng: &mut Rng) -> String {
    format!("{{\"label\":\"s{at}\",\"maxConnections\":{},\"syncReplicas\":1}}", 10 + rng.below(3))
}

/// A configuration under edit: the texts of its entries, assembled anew for each version.
pub struct Draft {
    version: usize,
    last_route: usize,
    pub routes: Vec<String>,
    services: Vec<String>,
    pub extra_sections: Vec<String>,
    is_services_first: bool,
}

impl Draft {
    pub fn new(rng: &mut Rng) -> Draft {
        let routes = (0..30).map(|at| route(at, rng)).collect();
        let services = (0..5).map(|at| service(at, rng)).collect();
        Draft { version: 1, last_route: 30, routes, services, extra_sections: Vec::new(), is_services_first: false }
    }

    pub fn text(&self, rng: &mut Rng) -> String {
        let gap = if rng.one_in(30) { ", \n" } else { "," };
        let (routes, services) = (self.routes.join(gap), self.services.join(gap));
        let lists = match self.is_services_first {
            true => format!("\"services\":[{services}],\"routing\":[{routes}]"),
            false => format!("\"routing\":[{routes}],\"services\":[{services}]"),
        };
        let extra: String = self.extra_sections.iter().map(|section| format!(",{section}")).collect();
        format!("{{\"issue\":{},{lists}{extra}}}", self.version)
    }

    /// Applies one to three random edits.
    pub fn edit(&mut self, rng: &mut Rng) {
        self.version += 1 + rng.below(3);
        for _ in 0..1 + rng.below(3) {
            let (at, count) = (rng.below(self.routes.len()), self.routes.len());
            match rng.below(12) {
                0..=2 => {
                    self.last_route += 1;
                    self.routes.insert(rng.below(count + 1), route(self.last_route, rng));
                }
                3 | 4 if count > 3 => {
                    self.routes.drain(at..(at + 1 + rng.below(8)).min(count - 1));
                }
                5 | 6 => self.routes[at] = route(at, rng),
                7 => {
                    let to = rng.below(count);
                    self.routes.swap(at, to);
                }
                8 => {
                    let at = rng.below(self.services.len());
                    self.services[at] = service(at, rng);
                }
                9 => self.is_services_first = rng.one_in(2),
                10 => self.extra_sections = self.random_sections(rng),
                _ if rng.one_in(4) => self.routes.push(self.routes[at].clone()),
                _ => self.routes.rotate_left(at),
            }
        }
    }

    /// Sections that may contain route and service entries in unexpected places.
    fn random_sections(&self, rng: &mut Rng) -> Vec<String> {
        let entry = self.routes[rng.below(self.routes.len())].clone();
        let all = [
            "\"limits\":{\"headerBytes\":100,\"txnIdleMs\":3000}".to_owned(),
            format!("\"spare\":[{entry},{}]", self.services[0]),
            format!("\"spare\":{entry}"),
            format!("\"services\":[{}]", self.services.join(",")),
            format!("\"routing\":[{entry}]"),
            format!("\"tenants\":[{entry}]"),
            "\"tenants\":[{\"label\":\"t\",\"weight\":2,\"hosts\":[\"h3\"]}]".to_owned(),
            "\"partners\":[{\"label\":\"o\",\"portion\":2,\"nodes\":[\"a*\"]}]".to_owned(),
            "\"shards\":[\"s1\"]".to_owned(),
        ];
        all.into_iter().filter(|_| rng.one_in(7)).collect()
    }
}

/// Corrupts a text at random places.
pub fn corrupt(text: &str, rng: &mut Rng) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..1 + rng.below(3) {
        let (at, to) = (rng.below(bytes.len()), rng.below(bytes.len()));
        let (from, until) = (at.min(to), (at.min(to) + 1 + rng.below(200)).min(bytes.len()));
        let tokens: [&[u8]; 12] = [
            b"\"",
            b"{",
            b"}",
            b"[",
            b"]",
            b",",
            b"\\",
            b":",
            b"{\"\\u0001\":0}",
            b"{\"\\u0001\":1}",
            b"},{",
            b"\"{\"",
        ];
        match rng.below(6) {
            0 => {
                bytes.remove(at);
            }
            1 => drop(bytes.splice(at..at, tokens[rng.below(12)].iter().copied()).collect::<Vec<u8>>()),
            2 => drop(bytes.drain(from..until)),
            3 => bytes.truncate(at),
            4 => {
                let copied: Vec<u8> = bytes[from..until].to_vec();
                drop(bytes.splice(to..to, copied).collect::<Vec<u8>>());
            }
            _ => bytes.swap(at, to),
        }
        if bytes.is_empty() {
            bytes.push(b'{');
        }
    }
    bytes
}
