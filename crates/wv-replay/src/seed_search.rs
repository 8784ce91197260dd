//! Random fault-injection search: plays nemesis schedules generated from seeds and minimizes one that fails.
use wv_simulation::nemesis::{check, generate, run, shrink, Finding, History, Schedule};

/// The range of seeds to try, and the number of threads.
#[derive(Clone, Copy, Debug)]
pub struct SeedSearch {
    pub count: u64,
    pub first_seed: u64,
    pub threads: u64,
}

/// A seed whose schedule violated an invariant, with the first violation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SeedFailure {
    pub seed: u64,
    pub finding: Finding,
}

/// Plays the schedule of each seed and calls `on_result` after each, in no particular order with several threads.
/// Returns the failures ordered by seed.
pub fn search_seeds(search: &SeedSearch, on_result: impl Fn(u64, Option<&Finding>) + Sync) -> Vec<SeedFailure> {
    let threads = search.threads.max(1);
    let run_thread = |thread: u64| -> Vec<SeedFailure> {
        let seeds =
            (search.first_seed..search.first_seed.saturating_add(search.count)).filter(|seed| seed % threads == thread);
        let failures = seeds.filter_map(|seed| {
            let schedule = generate(seed);
            let finding = check(&run(&schedule), schedule.fault_bound).into_iter().next();
            on_result(seed, finding.as_ref());
            finding.map(|finding| SeedFailure { seed, finding })
        });
        failures.collect()
    };
    let mut all: Vec<SeedFailure> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads).map(|thread| scope.spawn(move || run_thread(thread))).collect();
        handles.into_iter().flat_map(|handle| handle.join().unwrap_or_default()).collect()
    });
    all.sort_by_key(|failure| failure.seed);
    all
}

/// Minimizes the schedule of a seed while it still violates the same invariant, and returns it as file text. `None` if
/// the schedule violates none.
pub fn minimize_seed(seed: u64, on_step: impl FnMut(&Schedule)) -> Option<String> {
    let (schedule, finding) = shrink(&generate(seed), on_step)?;
    Some(format!("# {}: {}\n{schedule}", finding.check, finding.text.replace('\n', " ")))
}

/// The history and the violations of one nemesis schedule, reported as text or JSON.
pub struct NemesisRun {
    pub history: History,
    pub findings: Vec<Finding>,
}

impl NemesisRun {
    pub fn play(schedule: &Schedule) -> NemesisRun {
        let history = run(schedule);
        let findings = check(&history, schedule.fault_bound);
        NemesisRun { history, findings }
    }

    pub fn to_text(&self) -> String {
        let mut out = String::new();
        for (at, text) in &self.history.timeline {
            out.push_str(&format!("{:>10.3}  {text}\n", *at as f64 / 1e6));
        }
        for answer in &self.history.responses {
            let order = &self.history.updates[answer.update];
            let valid = if order.is_valid { "order" } else { "invalid order" };
            let (sent, received) = (answer.sent_us as f64 / 1e6, answer.received_us as f64 / 1e6);
            let (number, status) = (order.version, answer.status);
            out.push_str(&format!(
                "{received:>10.3}  {valid} {number} (content {}), sent at {sent:.3}, is answered with {status} by {}\n",
                answer.update, answer.control
            ));
        }
        let History { done, failed, .. } = self.history;
        out.push_str(&format!("\noperations done {done}, failed {failed}\n"));
        match self.findings.len() {
            0 => out.push_str("no rule broken\n"),
            _ => self
                .findings
                .iter()
                .for_each(|found| out.push_str(&format!("BROKEN {}: {}\n", found.check, found.text))),
        }
        out
    }

    pub fn to_json(&self) -> String {
        let line = |(at, text): &(u64, String)| serde_json::json!({"at_us": at, "text": text});
        let broken = |found: &Finding| serde_json::json!({"check": found.check, "text": found.text});
        serde_json::json!({
            "timeline": self.history.timeline.iter().map(line).collect::<Vec<_>>(),
            "done": self.history.done, "failed": self.history.failed,
            "broken": self.findings.iter().map(broken).collect::<Vec<_>>(),
        })
        .to_string()
    }
}
