//! The hunt: many days of the nemesis, drawn and played, and the first that breaks a rule made short.
use wv_simulation::nemesis::{check, generate, run, shrink, Finding, History, Schedule};

/// So many days, from this seed on, by so many threads.
#[derive(Clone, Copy, Debug)]
pub struct Hunt {
    pub days: u64,
    pub seed: u64,
    pub jobs: u64,
}

/// A seed whose day broke a rule, and the first of what it broke.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Caught {
    pub seed: u64,
    pub finding: Finding,
}

/// Plays the day of each seed; `tell` hears the seed and what came of it, in no order where there are several threads.
/// Returns the seeds that broke a rule, lowest first.
pub fn hunt(hunt: &Hunt, tell: impl Fn(u64, Option<&Finding>) + Sync) -> Vec<Caught> {
    let jobs = hunt.jobs.max(1);
    let part = |job: u64| -> Vec<Caught> {
        let seeds = (hunt.seed..hunt.seed.saturating_add(hunt.days)).filter(|seed| seed % jobs == job);
        let caught = seeds.filter_map(|seed| {
            let day = generate(seed);
            let finding = check(&run(&day), day.fault_bound).into_iter().next();
            tell(seed, finding.as_ref());
            finding.map(|finding| Caught { seed, finding })
        });
        caught.collect()
    };
    let mut all: Vec<Caught> = std::thread::scope(|scope| {
        let parts: Vec<_> = (0..jobs).map(|job| scope.spawn(move || part(job))).collect();
        parts.into_iter().flat_map(|part| part.join().unwrap_or_default()).collect()
    });
    all.sort_by_key(|caught| caught.seed);
    all
}

/// The day of a seed made as short as it still breaks the same rule, as the text of a file: none if it breaks none.
pub fn shortest(seed: u64, tell: impl FnMut(&Schedule)) -> Option<String> {
    let (day, finding) = shrink(&generate(seed), tell)?;
    Some(format!("# {}: {}\n{day}", finding.check, finding.text.replace('\n', " ")))
}

/// A nemesis day played from its file: the course and what was broken, as text or as JSON.
pub struct Played {
    pub history: History,
    pub findings: Vec<Finding>,
}

impl Played {
    pub fn of(day: &Schedule) -> Played {
        let history = run(day);
        let findings = check(&history, day.fault_bound);
        Played { history, findings }
    }

    pub fn text(&self) -> String {
        let mut out = String::new();
        for (at, text) in &self.history.timeline {
            out.push_str(&format!("{:>10.3}  {text}\n", *at as f64 / 1e6));
        }
        for answer in &self.history.responses {
            let order = &self.history.updates[answer.update];
            let valid = if order.is_valid { "order" } else { "invalid order" };
            let (sent, heard) = (answer.sent_us as f64 / 1e6, answer.received_us as f64 / 1e6);
            let (number, status) = (order.version, answer.status);
            out.push_str(&format!(
                "{heard:>10.3}  {valid} {number} (content {}), sent at {sent:.3}, is answered with {status} by {}\n",
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

    pub fn json(&self) -> String {
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
