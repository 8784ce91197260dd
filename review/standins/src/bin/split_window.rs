//! Case 2: what is first written between the acknowledgement of a split's plan and the shard's first slot map is not
//! moved by the split. Exits with 1 if a read on a primary route lacked an acknowledged write, 0 if none did, 2 if the
//! case could not run.
use review_standins::client::{Caller, Ending};
use review_standins::fleet::Fleet;
use review_standins::record::Record;
use review_standins::{database, has_trouble, http, list_from_env, platform, registry, sleep_ms, wait_for};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

const CLIENTS: usize = 6;
const PAUSE_MS: u64 = 60;

/// What the clients know of each thing: when its only write was sent, and when that was acknowledged, if it was.
#[derive(Default)]
struct Things {
    sent: BTreeMap<String, u64>,
    acknowledged: BTreeMap<String, u64>,
}

struct Load {
    fleet: Arc<Fleet>,
    things: Mutex<Things>,
    rests: AtomicBool,
    next: AtomicU64,
}

impl Load {
    fn things(&self) -> MutexGuard<'_, Things> {
        self.things.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn caller(&self, number: usize) -> Caller<'_> {
        let fronts = list_from_env("FRONTS");
        Caller { record: &self.fleet.record, fronts, database: "shop", at: number, session: None }
    }

    /// Writes a new thing every now and then; each is written once, tried again only after a promise.
    fn write_on(self: &Arc<Load>, number: usize) {
        let load = self.clone();
        std::thread::spawn(move || {
            let mut caller = load.caller(number);
            loop {
                sleep_ms(PAUSE_MS);
                if load.rests.load(Ordering::Relaxed) {
                    continue;
                }
                // Names that stand in all slots alike.
                let number = load.next.fetch_add(1, Ordering::Relaxed) as u32;
                let thing = format!("p{:08x}", number.wrapping_mul(0x9e37_79b1));
                load.things().sent.insert(thing.clone(), load.fleet.record.ms());
                for try_number in 0..40 {
                    match caller.ask(&format!("{thing}.{try_number}"), &format!("WRITE {thing} data-of-{thing}")) {
                        Ending::Success { .. } => {
                            load.things().acknowledged.insert(thing.clone(), load.fleet.record.ms());
                            break;
                        }
                        Ending::Unclear => break,
                        Ending::Error(text) if text.starts_with("INDETERM") || text.starts_with("EXPIRED") => break,
                        Ending::Error(_) => sleep_ms(100),
                    }
                }
            }
        });
    }

    fn give_up(&self, text: &str) -> ! {
        self.fleet.record.tell(&format!("the case could not run: {text}"));
        self.fleet.record.flush();
        std::process::exit(2);
    }
}

fn configuration(issue: u32, plans: &str) -> String {
    let service = |label: &str| {
        format!("{{\"label\":\"{label}\",\"probePath\":\"/health\",\"maxConnections\":84,\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":1}}")
    };
    format!(
        "{{\"issue\":{issue},\"routing\":[{{\"label\":\"p\",\"host\":\"shop\",\"pathPrefix\":\"/\",\"category\":\"primary\",\"expiryMs\":800,\"targetMs\":150,\"precedence\":1,\"destination\":\"ledger\",\"maxAttempts\":2}}],\"services\":[{},{}]{plans},\"limits\":{{\"headerBytes\":16384,\"bodyBytes\":262144,\"headerTimerMs\":3000,\"idleTimerMs\":15000,\"txnIdleMs\":3000}}}}",
        service("ledger"),
        service("ledger-2")
    )
}

fn put(load: &Load, controls: &[String], path: &str, body: &str) {
    let answer = http::insist(controls, "PUT", path, body, 15_000);
    let status = answer.map_or(0, |answer| answer.status);
    load.fleet.record.tell(&format!("operator: PUT {path}, {} bytes: {status}", body.len()));
    if status != 200 {
        load.give_up("an order was not taken");
    }
}

/// Reads each acknowledged thing at each front; returns those that a read lacked.
fn missing(load: &Load) -> Vec<(String, u64)> {
    let acknowledged = load.things().acknowledged.clone();
    let (mut lacking, mut reads) = (BTreeMap::new(), 0);
    for front in 0..list_from_env("FRONTS").len() {
        let mut caller = load.caller(front);
        for (thing, at_ms) in &acknowledged {
            let rows = (0..40).find_map(|try_number| {
                match caller.ask(&format!("r{front}.{thing}.{try_number}"), &format!("READ {thing}")) {
                    Ending::Success { rows, .. } => Some(rows),
                    _ => {
                        sleep_ms(50);
                        None
                    }
                }
            });
            reads += 1;
            let Some(rows) = rows else { load.give_up("reads are not served") };
            if rows.first() != Some(&format!("data-of-{thing}")) {
                load.fleet.record.line(&format!("STALE: {thing}, acknowledged at {at_ms} ms, was read as {rows:?}"));
                lacking.insert(thing.clone(), *at_ms);
            }
        }
    }
    load.fleet.record.tell(&format!("{reads} reads of {} acknowledged things", acknowledged.len()));
    lacking.into_iter().collect()
}

fn main() {
    let Ok(record) = Record::create(&std::env::var("RECORD").unwrap_or_default()).map(Arc::new) else {
        std::process::exit(2)
    };
    let fleet = Fleet::new(record.clone());
    let (controls, places) = (list_from_env("CONTROLS"), list_from_env("DATABASES"));
    for (at, id) in ["a1", "a2", "a3", "b1", "b2", "b3"].iter().enumerate() {
        let service = if at < 3 { "ledger" } else { "ledger-2" };
        fleet.add(id, service, &places[at], at % 3 == 0, &[], 1);
        database::serve(&fleet, id);
        registry::send_beats(fleet.clone(), (*id).to_owned(), controls.clone());
    }
    fleet.replicate();
    let load =
        Load { fleet: fleet.clone(), things: Mutex::default(), rests: AtomicBool::new(false), next: AtomicU64::new(1) };
    let load = Arc::new(load);
    if platform::serve(&std::env::var("PLATFORM").unwrap_or_default(), &fleet).is_err() {
        load.give_up("the platform's address is taken");
    }
    put(&load, &controls, "/configuration", &configuration(1, ""));
    (0..CLIENTS).for_each(|number| load.write_on(number));
    if !wait_for(15_000, || load.things().acknowledged.len() > 100) {
        load.give_up("writes are not served");
    }
    // Without the disruption, nobody writes while the plan is taken.
    load.rests.store(!has_trouble(), Ordering::Relaxed);
    sleep_ms(1_000);
    let plan = ",\"shardPlans\":[{\"shard\":\"ledger\",\"upper\":\"ledger-2\",\"rowsMax\":100000,\"quiet\":\"* * 1-4 * * *\",\"baseRows\":100,\"auto\":false}]";
    put(&load, &controls, "/configuration", &configuration(2, plan));
    let planned_ms = record.ms();
    // All that may stand there by now is listed.
    let list: Vec<String> = load.things().sent.keys().cloned().collect();
    put(&load, &controls, "/things/ledger", &list.join("\n"));
    sleep_ms(5_000);
    load.rests.store(false, Ordering::Relaxed);
    sleep_ms(8_000);
    put(&load, &controls, "/splits/ledger", "");
    let is_moved = || {
        let answer = http::call(&controls[0], "GET", "/splits", "");
        answer.is_ok_and(|answer| answer.body.contains("\"moved\":[{") && answer.body.contains("\"phase\":\"resting\""))
    };
    let is_split = wait_for(60_000, is_moved);
    record.tell(&format!("the split is done: {is_split}"));
    sleep_ms(3_000);
    load.rests.store(true, Ordering::Relaxed);
    sleep_ms(4_500);
    if !is_split {
        load.give_up("the split did not come");
    }
    let lacking = missing(&load);
    let (first, last) = (lacking.iter().map(|(_, at)| at).min(), lacking.iter().map(|(_, at)| at).max());
    record.tell(&format!(
        "{} things are gone; the plan was acknowledged at {planned_ms} ms, their writes from {first:?} to {last:?} ms",
        lacking.len()
    ));
    record.flush();
    std::process::exit(i32::from(!lacking.is_empty()));
}
