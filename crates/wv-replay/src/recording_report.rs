//! The report on a played recording: requests affected by drops, latencies per kind, and violated invariants.
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use wv_simulation::{Request, RequestKind, RequestOutcome, Workload};

/// Maximum number of affected requests in the text report; the JSON report lists all.
const MAX_WAITED_SHOWN: usize = 20;
/// Latency targets of the simulated fleet's routes.
const BROWSE_TARGET_US: u64 = 800_000;
const WORK_TARGET_US: u64 = 200_000;

/// A dropped node and the time of its takeover: `None` while pending, `u64::MAX` if it timed out.
#[derive(Clone, PartialEq, Debug)]
pub struct DropOutcome {
    pub node: String,
    pub dropped_us: u64,
    pub taken_over_us: Option<u64>,
    pub access_node: Option<usize>,
    /// Set if the node was the primary of the service.
    pub service: Option<String>,
}

pub struct ReportContext {
    pub nodes: Vec<String>,
    pub start_us: u64,
    pub drops: Vec<DropOutcome>,
    /// `browse:NAME,read:NAME,write:NAME,txn:NAME`.
    pub kind_names: String,
    pub browse_limit_us: Option<u64>,
}

pub struct RecordingReport {
    run: Workload,
    context: ReportContext,
    violations: Vec<String>,
    promotions: usize,
    unclear: usize,
}

struct LatencyStats {
    histogram: Histogram<u64>,
    /// Requests that were not served within the latency target.
    target_missed: u64,
    ends: BTreeMap<RequestOutcome, u64>,
}

fn outcome_text(end: RequestOutcome) -> &'static str {
    match end {
        RequestOutcome::Open => "open",
        RequestOutcome::Served => "served",
        RequestOutcome::Refused => "refused",
        RequestOutcome::Unclear => "unclear",
        RequestOutcome::Hung => "HUNG",
    }
}

impl RecordingReport {
    pub fn new(
        run: Workload,
        context: ReportContext,
        violations: Vec<String>,
        promotions: usize,
        unclear: usize,
    ) -> Self {
        RecordingReport { run, context, violations, promotions, unclear }
    }

    fn label(&self, req: &Request) -> String {
        let is_bounded = self.run.sessions[req.session].is_bounded;
        let key = match req.kind {
            _ if is_bounded => "browse",
            RequestKind::Read => "read",
            RequestKind::Write => "write",
            RequestKind::Txn { .. } => "txn",
        };
        let pairs = self.context.kind_names.split(',').filter_map(|pair| pair.split_once(':'));
        let named = pairs.into_iter().find(|(name, _)| *name == key).map(|(_, name)| name);
        named.unwrap_or(key).to_owned()
    }

    /// The phase of a request: before the first drop, during a takeover, or after it.
    fn phase(&self, req: &Request) -> &'static str {
        let Some(first) = self.context.drops.first() else { return "all" };
        let is_during = |drop: &DropOutcome| {
            let taken = drop.taken_over_us.unwrap_or(u64::MAX);
            req.at < taken && (req.at >= drop.dropped_us || req.done_us > drop.dropped_us)
        };
        match self.context.drops.iter().any(is_during) {
            true => "during",
            false if req.at < first.dropped_us => "before",
            false => "after",
        }
    }

    /// Requests that were pending at a drop or arrived during a takeover, worst first.
    fn waited(&self) -> Vec<&Request> {
        let mut affected: Vec<&Request> = self.run.requests.iter().filter(|req| self.phase(req) == "during").collect();
        affected.sort_by_key(|req| {
            (std::cmp::Reverse((req.outcome != RequestOutcome::Served, req.done_us.saturating_sub(req.at))), req.at)
        });
        affected
    }

    fn latency_stats(&self) -> BTreeMap<(String, &'static str), LatencyStats> {
        let mut all: BTreeMap<(String, &'static str), LatencyStats> = BTreeMap::new();
        for req in &self.run.requests {
            let empty = || LatencyStats {
                histogram: Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("fixed bounds that fit"),
                target_missed: 0,
                ends: BTreeMap::new(),
            };
            let stats = all.entry((self.label(req), self.phase(req))).or_insert_with(empty);
            let took = req.done_us.saturating_sub(req.at);
            *stats.ends.entry(req.outcome).or_default() += 1;
            let target_us = if self.run.sessions[req.session].is_bounded { BROWSE_TARGET_US } else { WORK_TARGET_US };
            stats.target_missed += u64::from(req.outcome != RequestOutcome::Served || took > target_us);
            stats.histogram.saturating_record(took.max(1));
        }
        all
    }

    fn count(&self, end: RequestOutcome) -> usize {
        self.run.requests.iter().filter(|req| req.outcome == end).count()
    }

    /// The highest 99th percentile latency of browse requests in any phase.
    fn browse_p99_us(&self) -> u64 {
        let stats = self.latency_stats();
        let browse =
            self.run.requests.iter().find(|req| self.run.sessions[req.session].is_bounded).map(|req| self.label(req));
        let browse_stats = stats.iter().filter(|((name, _), _)| Some(name) == browse.as_ref());
        browse_stats.map(|(_, stats)| stats.histogram.value_at_quantile(0.99)).max().unwrap_or(0)
    }

    pub fn violations(&self) -> Vec<String> {
        let mut violations: Vec<String> = self.violations.clone();
        let hung = self.count(RequestOutcome::Hung) + self.count(RequestOutcome::Open);
        if hung > 0 {
            violations.push(format!("HUNG: {hung} requests were not answered in their clients' time"));
        }
        let limit_us = self.context.browse_limit_us.unwrap_or(BROWSE_TARGET_US);
        if self.browse_p99_us() > limit_us {
            let (p99_ms, limit_ms) = (self.browse_p99_us() / 1000, limit_us / 1000);
            violations.push(format!("SLOW: browsing took {p99_ms} ms at the 99th, {limit_ms} are tolerated"));
        }
        violations
    }

    fn format_line(&self, req: &Request) -> String {
        let node = |at: Option<usize>| at.map_or("-", |at| self.context.nodes[at].as_str());
        format!(
            "{:>10.3}  {:<14} {:>7.1} ms  {:<8} {} tries, asked at {}, served by {}",
            (req.at - self.context.start_us) as f64 / 1e6,
            self.label(req),
            req.done_us.saturating_sub(req.at) as f64 / 1e3,
            outcome_text(req.outcome),
            req.attempts,
            node(req.contacted_node),
            node(req.served_node)
        )
    }

    pub fn to_text(&self) -> String {
        let mut out = String::new();
        for drop in &self.context.drops {
            let at = (drop.dropped_us - self.context.start_us) as f64 / 1e6;
            let taken = drop.taken_over_us.filter(|taken| *taken < u64::MAX);
            let taken =
                taken.map_or("never".to_owned(), |taken| format!("{} ms later", (taken - drop.dropped_us) / 1000));
            out.push_str(&format!("{at:>10.3}  {} dropped; survivors had taken over {taken}\n", drop.node));
        }
        let waited = self.waited();
        if !self.context.drops.is_empty() {
            let count = waited.len();
            out.push_str(&format!("\n{count} requests were waiting then or came in the takeover; the worst:\n"));
            waited.iter().take(MAX_WAITED_SHOWN).for_each(|req| out.push_str(&format!("{}\n", self.format_line(req))));
        }
        out.push_str(
            "\nkind            part       count   median     90th     99th      max ms  outside aim  \
            served refused unclear hung\n",
        );
        for ((name, phase), stats) in self.latency_stats() {
            let ms = |quantile| stats.histogram.value_at_quantile(quantile) as f64 / 1e3;
            let end = |end| stats.ends.get(&end).copied().unwrap_or(0);
            out.push_str(&format!(
                "{name:<15} {phase:<7} {:>8} {:>8.1} {:>8.1} {:>8.1} {:>8.1}     {:>8}  {:>7} {:>7} {:>7} {:>4}\n",
                stats.histogram.len(),
                ms(0.5),
                ms(0.9),
                ms(0.99),
                stats.histogram.max() as f64 / 1e3,
                stats.target_missed,
                end(RequestOutcome::Served),
                end(RequestOutcome::Refused),
                end(RequestOutcome::Unclear),
                end(RequestOutcome::Hung) + end(RequestOutcome::Open)
            ));
        }
        out.push_str(&format!(
            "\nserved {}, refused with nothing kept {}, unclear {}, hung {}; promotions {}\n",
            self.count(RequestOutcome::Served),
            self.count(RequestOutcome::Refused),
            self.unclear,
            self.count(RequestOutcome::Hung) + self.count(RequestOutcome::Open),
            self.promotions
        ));
        let violations = self.violations();
        match violations.is_empty() {
            true => out.push_str("nothing lost, nothing doubled, nothing hung, browsing within its bound\n"),
            false => violations.iter().for_each(|violation| out.push_str(&format!("BROKEN {violation}\n"))),
        }
        out
    }

    pub fn to_json(&self) -> String {
        let row = |req: &Request| {
            let node = |at: Option<usize>| at.map(|at| self.context.nodes[at].as_str());
            serde_json::json!({
                "at": (req.at - self.context.start_us) as f64 / 1e6, "kind": self.label(req), "part": self.phase(req),
                "ms": req.done_us.saturating_sub(req.at) as f64 / 1e3,
                "outcome": outcome_text(req.outcome).to_lowercase(), "tries": req.attempts,
                "askedAt": node(req.contacted_node), "servedBy": node(req.served_node),
            })
        };
        let drop_row = |drop: &DropOutcome| {
            let taken = drop.taken_over_us.filter(|taken| *taken < u64::MAX);
            serde_json::json!({ "node": drop.node, "at": (drop.dropped_us - self.context.start_us) as f64 / 1e6,
                "takenOverMs": taken.map(|taken| (taken - drop.dropped_us) / 1000) })
        };
        let drops: Vec<serde_json::Value> = self.context.drops.iter().map(drop_row).collect();
        let kinds: Vec<serde_json::Value> = self
            .latency_stats()
            .into_iter()
            .map(|((name, phase), stats)| {
                let ms = |quantile| stats.histogram.value_at_quantile(quantile) as f64 / 1e3;
                serde_json::json!({ "kind": name, "part": phase, "count": stats.histogram.len(), "median": ms(0.5),
                    "p90": ms(0.9), "p99": ms(0.99), "max": stats.histogram.max() as f64 / 1e3,
                    "outsideAim": stats.target_missed })
            })
            .collect();
        let waited: Vec<serde_json::Value> = self.waited().into_iter().map(row).collect();
        serde_json::json!({ "drops": drops, "waited": waited, "kinds": kinds,
            "served": self.count(RequestOutcome::Served), "refused": self.count(RequestOutcome::Refused),
            "unclear": self.unclear, "promotions": self.promotions,
            "hung": self.count(RequestOutcome::Hung) + self.count(RequestOutcome::Open), "faults": self.violations() })
        .to_string()
    }
}
