//! What all cases have in common: three services of three databases, the platform, the fleet, clients, the verdict.
use crate::fleet::{Fleet, ZONES};
use crate::load::Answers;
use crate::record::Record;
use crate::world::{State, World};
use std::net::TcpListener;
use std::time::{Duration, Instant};

pub const SERVICES: [&str; 3] = ["ledger", "ledger-2", "ledger-3"];
/// How long the processes may take until clients are served.
const START_TIMEOUT: Duration = Duration::from_secs(25);

pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

pub struct Day {
    pub world: World,
    pub fleet: Fleet,
    pub answers: Answers,
    port: u16,
}

/// The address of a database: each has one of its own.
fn address(port: u16, number: usize) -> String {
    format!("127.0.0.{}:{port}", 31 + number)
}

impl Day {
    /// Starts everything and puts the first configuration; `platform_delay` is how long the platform takes for a call.
    pub fn start(binary: &str, dir: &str, record: Record, platform_delay: Duration) -> Result<Day, String> {
        let world = World::new(record);
        let platform = TcpListener::bind("127.0.0.60:0").map_err(|error| error.to_string())?;
        let platform_address = platform.local_addr().map_err(|error| error.to_string())?.to_string();
        let port = platform.local_addr().map_or(0, |address| address.port());
        let fleet =
            Fleet::start(binary, std::path::Path::new(dir), &platform_address).ok_or("the fleet does not start")?;
        let shipping = world.clone();
        std::thread::spawn(move || shipping.replicate());
        let calls = world.clone();
        std::thread::spawn(move || crate::platform::serve(calls, platform, platform_delay));
        let mut day = Day { world, fleet, answers: Answers::default(), port };
        for (at, service) in SERVICES.iter().enumerate() {
            for copy in 0..3 {
                day.add_database(&format!("i-{at}{copy}c0ffee"), service, ZONES[copy], at * 3 + copy, copy == 0);
            }
        }
        day.configure()?;
        Ok(day)
    }

    /// Adds a database at the address with this number, and serves it.
    pub fn add_database(&mut self, id: &str, service: &str, zone: &str, number: usize, is_primary: bool) {
        let address = address(self.port, number);
        self.world.add(id, service, zone, address.clone(), is_primary);
        let (world, name) = (self.world.clone(), id.to_owned());
        std::thread::spawn(move || crate::wire::serve(world, name, address));
        let (world, name, controls) = (self.world.clone(), id.to_owned(), self.fleet.controls.clone());
        std::thread::spawn(move || crate::platform::beat(world, name, controls, number));
    }

    fn configure(&mut self) -> Result<(), String> {
        let routes: Vec<String> = SERVICES
            .iter()
            .map(|name| {
                format!(
                    "{{\"label\":\"r-{name}\",\"host\":\"{name}-db\",\"pathPrefix\":\"/\",\"category\":\"primary\",\
                     \"expiryMs\":1000,\"targetMs\":200,\"precedence\":1,\"destination\":\"{name}\",\"maxAttempts\":2}}"
                )
            })
            .collect();
        let services: Vec<String> = SERVICES
            .iter()
            .map(|name| {
                format!(
                    "{{\"label\":\"{name}\",\"probePath\":\"/health\",\"maxConnections\":84,\"protocol\":\"h1\",\
                     \"tls\":false,\"syncReplicas\":1}}"
                )
            })
            .collect();
        let body = format!(
            "{{\"issue\":1,\"routing\":[{}],\"services\":[{}],\"limits\":{{\"headerBytes\":16384,\"bodyBytes\":262144,\
             \"headerTimerMs\":3000,\"idleTimerMs\":15000,\"txnIdleMs\":3000}}}}",
            routes.join(","),
            services.join(",")
        );
        let until = Instant::now() + START_TIMEOUT;
        for at in 0.. {
            let control = &self.fleet.controls[at % self.fleet.controls.len()];
            if crate::http::call(control, "PUT", "/configuration", &body).is_some_and(|got| got.0 == 200) {
                break;
            }
            if Instant::now() > until {
                return Err("the configuration was not acknowledged".to_owned());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        while !self.fleet.is_ready() {
            if Instant::now() > until {
                return Err("the access nodes are not ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        self.world.record.tell("configuration acknowledged, access nodes ready");
        Ok(())
    }

    /// Starts this many writing clients for each service, and waits until each service has answered commits.
    pub fn start_clients(&self, count: usize) -> Result<(), String> {
        for (at, service) in SERVICES.iter().enumerate() {
            for number in 0..count {
                let (world, fronts, answers) = (self.world.clone(), self.fleet.fronts.clone(), self.answers.clone());
                let (host, number) = (format!("{service}-db"), at * count + number);
                std::thread::spawn(move || crate::load::write_things(world, fronts, host, number, answers));
            }
        }
        let until = Instant::now() + START_TIMEOUT;
        let is_served = |service: &&str| self.world.lock().committed.values().filter(|of| of == service).count() >= 20;
        while !SERVICES.iter().all(|service| is_served(&service)) {
            if Instant::now() > until {
                return Err("the clients are not served".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.world.record.tell("clients are served");
        Ok(())
    }

    pub fn wait(&self, wait: Duration) {
        std::thread::sleep(wait);
    }

    /// Waits until `is_so` holds for the state of the databases.
    pub fn wait_for(&self, wait: Duration, is_so: impl Fn(&State) -> bool) -> bool {
        let until = Instant::now() + wait;
        while Instant::now() < until {
            if is_so(&self.world.lock()) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// LOST: commits that clients were told of, and that were missing from the log of a database that was promoted.
    pub fn judge_lost(&self) -> Verdict {
        let answers = self.answers.lock().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
        let is_told =
            |id: &&String| answers.get(*id).is_some_and(|lines| lines.iter().any(|line| line.starts_with("COMPLETE ")));
        let told = answers.keys().filter(is_told).count();
        let promotions = self.world.lock().promotions.clone();
        let mut is_broken = false;
        self.world.record.tell(&format!("{} statements sent and answered, {told} of them as committed", answers.len()));
        for (id, lacking) in promotions {
            let lost: Vec<&String> = lacking.iter().filter(is_told).collect();
            is_broken |= !lost.is_empty();
            let first: Vec<&&String> = lost.iter().take(5).collect();
            self.world.record.tell(&format!(
                "promoted {id}: its log lacks {} commits that clients were told of {first:?}",
                lost.len()
            ));
        }
        if is_broken {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }

    /// UNASKED: statements that the databases ran and that no client sent so.
    pub fn judge_unasked(&self) -> Verdict {
        let state = self.world.lock();
        self.world.record.tell(&format!("{} statements sent, {} run", state.sent.len(), state.run.len()));
        let is_unasked = |(id, text): &&(String, String)| state.sent.get(id) != Some(text);
        let unasked: Vec<&(String, String)> = state.run.iter().filter(is_unasked).collect();
        for (id, text) in &unasked {
            let sent = state.sent.get(id).map(|sent| crate::wire::shown(sent));
            let sent = sent.map_or("nobody sent this id".to_owned(), |sent| format!("sent as {sent:?}"));
            self.world.record.tell(&format!("run: {id} {:?}; {sent}", crate::wire::shown(text)));
        }
        if unasked.is_empty() {
            Verdict::Held
        } else {
            Verdict::Broken
        }
    }

    /// Ends the clients and the stand-ins; the processes end when the fleet is dropped.
    pub fn end(&mut self) {
        self.world.lock().is_over = true;
        for name in self.fleet.ended() {
            self.world.record.tell(&format!("{name} has ended by itself"));
        }
        self.world.record.flush();
    }
}
