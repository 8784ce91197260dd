//! An operator by seeded luck: what he does to a configuration, and what becomes of it on its way.

/// Seeded luck (xorshift).
pub struct Luck(pub u64);

impl Luck {
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as usize % bound.max(1)
    }

    pub fn is(&mut self, one_in: usize) -> bool {
        self.below(one_in) == 0
    }
}

fn route(at: usize, luck: &mut Luck) -> String {
    let host = if luck.is(12) { format!("h{}", luck.below(40)) } else { format!("h{at}") };
    let prefix = ["", ",\"pathPrefix\":\"/\"", ",\"pathPrefix\":\"/a\"", ", \"pathPrefix\" : \"/{b}\""][luck.below(4)];
    let kind = ["primary", "bounded_staleness", "other"][luck.below(3)];
    let expiry = if luck.is(150) { 0 } else { 100 + luck.below(900) };
    format!(
        "{{\"label\":\"r{at}\",\"host\":\"{host}\"{prefix},\"category\":\"{kind}\",\"expiryMs\":{expiry},\"destination\":\"s{}\"}}",
        luck.below(4)
    )
}

fn service(at: usize, luck: &mut Luck) -> String {
    format!("{{\"label\":\"s{at}\",\"maxConnections\":{},\"syncReplicas\":1}}", 10 + luck.below(3))
}

/// The operator's side: lists of texts, put together anew for each version.
pub struct Draft {
    version: usize,
    next: usize,
    pub routes: Vec<String>,
    services: Vec<String>,
    pub more: Vec<String>,
    is_turned: bool,
}

impl Draft {
    pub fn new(luck: &mut Luck) -> Draft {
        let routes = (0..30).map(|at| route(at, luck)).collect();
        let services = (0..5).map(|at| service(at, luck)).collect();
        Draft { version: 1, next: 30, routes, services, more: Vec::new(), is_turned: false }
    }

    pub fn text(&self, luck: &mut Luck) -> String {
        let gap = if luck.is(30) { ", \n" } else { "," };
        let (routes, services) = (self.routes.join(gap), self.services.join(gap));
        let lists = match self.is_turned {
            true => format!("\"services\":[{services}],\"routing\":[{routes}]"),
            false => format!("\"routing\":[{routes}],\"services\":[{services}]"),
        };
        let more: String = self.more.iter().map(|more| format!(",{more}")).collect();
        format!("{{\"issue\":{},{lists}{more}}}", self.version)
    }

    /// One to three things that an operator may do.
    pub fn edit(&mut self, luck: &mut Luck) {
        self.version += 1 + luck.below(3);
        for _ in 0..1 + luck.below(3) {
            let (at, count) = (luck.below(self.routes.len()), self.routes.len());
            match luck.below(12) {
                0..=2 => {
                    self.next += 1;
                    self.routes.insert(luck.below(count + 1), route(self.next, luck));
                }
                3 | 4 if count > 3 => {
                    self.routes.drain(at..(at + 1 + luck.below(8)).min(count - 1));
                }
                5 | 6 => self.routes[at] = route(at, luck),
                7 => {
                    let to = luck.below(count);
                    self.routes.swap(at, to);
                }
                8 => {
                    let at = luck.below(self.services.len());
                    self.services[at] = service(at, luck);
                }
                9 => self.is_turned = luck.is(2),
                10 => self.more = self.sections(luck),
                _ if luck.is(4) => self.routes.push(self.routes[at].clone()),
                _ => self.routes.rotate_left(at),
            }
        }
    }

    /// Sections in which entries may stand that are no routes.
    fn sections(&self, luck: &mut Luck) -> Vec<String> {
        let some = self.routes[luck.below(self.routes.len())].clone();
        let all = [
            "\"limits\":{\"headerBytes\":100,\"txnIdleMs\":3000}".to_owned(),
            format!("\"spare\":[{some},{}]", self.services[0]),
            format!("\"spare\":{some}"),
            format!("\"services\":[{}]", self.services.join(",")),
            format!("\"routing\":[{some}]"),
            format!("\"tenants\":[{some}]"),
            "\"tenants\":[{\"label\":\"t\",\"weight\":2,\"hosts\":[\"h3\"]}]".to_owned(),
            "\"partners\":[{\"label\":\"o\",\"portion\":2,\"nodes\":[\"a*\"]}]".to_owned(),
            "\"shards\":[\"s1\"]".to_owned(),
        ];
        all.into_iter().filter(|_| luck.is(7)).collect()
    }
}

/// What a hand, a cable or a fool makes of a text.
pub fn spoil(text: &str, luck: &mut Luck) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    for _ in 0..1 + luck.below(3) {
        let (at, to) = (luck.below(bytes.len()), luck.below(bytes.len()));
        let (from, until) = (at.min(to), (at.min(to) + 1 + luck.below(200)).min(bytes.len()));
        let marks: [&[u8]; 12] = [
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
        match luck.below(6) {
            0 => {
                bytes.remove(at);
            }
            1 => drop(bytes.splice(at..at, marks[luck.below(12)].iter().copied()).collect::<Vec<u8>>()),
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
