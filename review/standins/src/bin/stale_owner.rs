//! Case 3: an access node hands work to the owner of a shard, which goes by an older configuration than the node that
//! took the work from the client. Exits with 1 if the machine went back, 0 if it did not, 2 if the case could not run.
use review_standins::client::{Caller, Ending};
use review_standins::fleet::Fleet;
use review_standins::record::Record;
use review_standins::{database, has_trouble, http, list_from_env, platform, registry, sleep_ms, wait_for};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

const WRITERS: usize = 4;
/// `downgradeSlackMs`.
const SLACK_MS: u64 = 250;
/// How long the machine stands still.
const FREEZE_MS: u64 = 3_500;

/// When each statement was sent to the first machine, and each thing whose only write was acknowledged.
#[derive(Default)]
struct Sent {
    at_ms: BTreeMap<String, u64>,
    acknowledged: BTreeMap<String, String>,
}

struct Load {
    fleet: Arc<Fleet>,
    sent: Mutex<Sent>,
    stop: AtomicBool,
    next: AtomicU64,
}

impl Load {
    fn sent(&self) -> MutexGuard<'_, Sent> {
        self.sent.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// All clients are at the front of the first machine.
    fn caller(&self, database: &'static str) -> Caller<'_> {
        let fronts = list_from_env("FRONTS").into_iter().take(1).collect();
        Caller { record: &self.fleet.record, fronts, database, at: 0, session: None }
    }

    fn ask(&self, caller: &mut Caller<'_>, id: &str, text: &str) -> Ending {
        self.sent().at_ms.insert(id.to_owned(), self.fleet.record.ms());
        caller.ask(id, text)
    }

    fn work(self: &Arc<Load>, database: &'static str) {
        let load = self.clone();
        std::thread::spawn(move || {
            let mut caller = load.caller(database);
            while !load.stop.load(Ordering::Relaxed) {
                let number = load.next.fetch_add(1, Ordering::Relaxed);
                let (id, thing) = (format!("t{number}"), format!("k{number}"));
                let text =
                    if database == "view" { "READ k1".to_owned() } else { format!("WRITE {thing} data-of-{thing}") };
                match load.ask(&mut caller, &id, &text) {
                    Ending::Success { .. } if database == "shop" => {
                        load.sent().acknowledged.insert(thing, id);
                    }
                    Ending::Success { .. } => {}
                    _ => sleep_ms(50),
                }
                sleep_ms(20);
            }
        });
    }

    fn give_up(&self, text: &str) -> ! {
        self.fleet.record.tell(&format!("the case could not run: {text}"));
        self.fleet.record.flush();
        signal("CONT");
        std::process::exit(2);
    }
}

fn configuration(issue: u32, destination: &str) -> String {
    let service = |label: &str| {
        format!("{{\"label\":\"{label}\",\"probePath\":\"/health\",\"maxConnections\":84,\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":1}}")
    };
    format!(
        "{{\"issue\":{issue},\"routing\":[{{\"label\":\"p\",\"host\":\"shop\",\"pathPrefix\":\"/\",\"category\":\"primary\",\"expiryMs\":800,\"targetMs\":150,\"precedence\":1,\"destination\":\"{destination}\",\"maxAttempts\":2}},{{\"label\":\"b\",\"host\":\"view\",\"pathPrefix\":\"/\",\"category\":\"bounded_staleness\",\"maxStalenessMs\":1500,\"expiryMs\":2000,\"targetMs\":500,\"precedence\":2,\"destination\":\"{destination}\",\"maxAttempts\":2}}],\"services\":[{},{}],\"partners\":[{{\"label\":\"courier\",\"portion\":1,\"nodes\":[\"m3\"]}}],\"limits\":{{\"headerBytes\":16384,\"bodyBytes\":262144,\"headerTimerMs\":3000,\"idleTimerMs\":15000,\"txnIdleMs\":3000}}}}",
        service("ledger"),
        service("parcels")
    )
}

/// Sends a signal to both processes of the second machine.
fn signal(name: &str) {
    for process in ["PID_control1", "PID_access1"] {
        let pid = std::env::var(process).unwrap_or_default();
        let _ = std::process::Command::new("sh").args(["-c", &format!("kill -{name} {pid}")]).status();
    }
}

fn put(load: &Load, controls: &[String], body: &str) {
    let answer = http::insist(controls, "PUT", "/configuration", body, 10_000);
    let status = answer.map_or(0, |answer| answer.status);
    load.fleet.record.tell(&format!("operator: PUT /configuration: {status}"));
    if status != 200 {
        load.give_up("an order was not taken");
    }
}

fn owns_all(controls: &[String]) -> bool {
    let answer = http::call(&controls[0], "GET", "/shards", "");
    answer.is_ok_and(|answer| answer.body.matches("\"owner\":\"m3\"").count() == 2)
}

fn main() {
    let Ok(record) = Record::create(&std::env::var("RECORD").unwrap_or_default()).map(Arc::new) else {
        std::process::exit(2)
    };
    let fleet = Fleet::new(record.clone());
    let (controls, places) = (list_from_env("CONTROLS"), list_from_env("DATABASES"));
    for (at, id) in ["a1", "a2", "a3", "b1", "b2", "b3"].iter().enumerate() {
        let service = if at < 3 { "ledger" } else { "parcels" };
        fleet.add(id, service, &places[at], at % 3 == 0, &[], 1);
        database::serve(&fleet, id);
        registry::send_beats(fleet.clone(), (*id).to_owned(), controls.clone());
    }
    fleet.replicate();
    let (sent, stop, next) = (Mutex::default(), AtomicBool::new(false), AtomicU64::new(1));
    let load = Arc::new(Load { fleet: fleet.clone(), sent, stop, next });
    if platform::serve(&std::env::var("PLATFORM").unwrap_or_default(), &fleet).is_err() {
        load.give_up("the platform's address is taken");
    }
    put(&load, &controls, &configuration(1, "ledger"));
    if !wait_for(15_000, || owns_all(&controls)) {
        load.give_up("the shards have no owner");
    }
    record.tell("m3 owns both shards");
    (0..WRITERS).for_each(|_| load.work("shop"));
    load.work("view");
    sleep_ms(5_000);
    if load.sent().acknowledged.len() < 100 {
        load.give_up("writes are not served");
    }
    if has_trouble() {
        signal("STOP");
        record.tell("m1 stands still");
    }
    put(&load, &controls[..1], &configuration(2, "parcels"));
    let changed_ms = record.ms();
    sleep_ms(FREEZE_MS);
    signal("CONT");
    record.tell("m1 goes on");
    sleep_ms(3_000);
    load.stop.store(true, Ordering::Relaxed);
    sleep_ms(2_500);
    judge(&load, changed_ms);
}

/// What it means to clients, beside the verdict: how many of these things a read at the same front doesn't find.
fn tell_unread(load: &Load, things: &[String]) {
    let mut caller = load.caller("shop");
    let mut absent = 0;
    for (number, thing) in things.iter().enumerate() {
        let ending = caller.ask(&format!("r{number}"), &format!("READ {thing}"));
        absent += usize::from(matches!(ending, Ending::Success { rows, .. } if rows.is_empty()));
    }
    load.fleet.record.tell(&format!("reads at the same front do not find {absent} of these {} things", things.len()));
}

/// CONFIG: a machine goes back. The effect of the second version is the first statement that a database of the new
/// service ran for a client at the first machine.
fn judge(load: &Load, changed_ms: u64) -> ! {
    let sent = load.sent();
    let (effect_ms, back) = {
        let state = load.fleet.lock();
        let of_new = state.runs.iter().find(|run| run.service == "parcels" && sent.at_ms.contains_key(&run.id));
        let effect_ms = of_new.map_or(u64::MAX, |run| run.at_ms);
        let is_back = |id: &str| sent.at_ms.get(id).is_some_and(|at| *at > effect_ms.saturating_add(SLACK_MS));
        let back: Vec<(String, u64)> = state
            .runs
            .iter()
            .filter(|run| run.service == "ledger" && is_back(&run.id))
            .map(|run| (run.id.clone(), run.at_ms))
            .collect();
        (effect_ms, back)
    };
    let record = &load.fleet.record;
    if effect_ms == u64::MAX {
        drop(sent);
        load.give_up("the new version was never seen");
    }
    record.tell(&format!("the second version was acknowledged at {changed_ms} ms, its effect seen at {effect_ms} ms"));
    let written = back.iter().filter(|(id, _)| sent.acknowledged.values().any(|own| own == id)).count();
    for (id, at_ms) in &back {
        record.line(&format!("CONFIG: {id}, sent at {} ms, was run by ledger at {at_ms} ms", sent.at_ms[id]));
    }
    let things: Vec<String> = sent
        .acknowledged
        .iter()
        .filter(|(_, id)| back.iter().any(|(run, _)| run == *id))
        .map(|(thing, _)| thing.clone())
        .collect();
    let times: Vec<u64> = back.iter().map(|(id, _)| sent.at_ms[id] - effect_ms).collect();
    record.tell(&format!(
        "{} statements sent more than {SLACK_MS} ms after it were run by the old service, sent {:?} to {:?} ms after it; {written} of them are acknowledged writes",
        back.len(),
        times.iter().min(),
        times.iter().max()
    ));
    drop(sent);
    tell_unread(load, &things);
    record.flush();
    std::process::exit(i32::from(!back.is_empty()));
}
