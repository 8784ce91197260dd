//! What a replayed hour comes to: each request that was waiting, the times of each kind, and what was kept.
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use wv_simulation::{Request, RequestKind, RequestOutcome, Workload};

/// Shown of those that waited, worst first, in the text; all of them in the JSON.
const SHOWN: usize = 20;
/// The routes of the replay's fleet aim at this.
const AIM_BROWSE_US: u64 = 800_000;
const AIM_WORK_US: u64 = 200_000;

/// A node that was dropped, and when survivors had taken over (`u64::MAX` where they never had).
#[derive(Clone, PartialEq, Debug)]
pub struct Told {
    pub node: String,
    pub at_us: u64,
    pub taken_us: Option<u64>,
    pub access: Option<usize>,
    pub service: Option<String>,
}

pub struct Context {
    pub nodes: Vec<String>,
    pub start: u64,
    pub told: Vec<Told>,
    /// `browse:NAME,read:NAME,write:NAME,txn:NAME`.
    pub names: String,
    pub browse_us: Option<u64>,
}

pub struct Tally {
    hour: Workload,
    context: Context,
    broken: Vec<String>,
    promotions: usize,
    unsure: usize,
}

/// The times of one kind in one part of the hour.
struct Times {
    histogram: Histogram<u64>,
    outside: u64,
    ends: BTreeMap<RequestOutcome, u64>,
}

fn end_text(end: RequestOutcome) -> &'static str {
    match end {
        RequestOutcome::Open => "open",
        RequestOutcome::Served => "served",
        RequestOutcome::Refused => "refused",
        RequestOutcome::Unclear => "unclear",
        RequestOutcome::Hung => "HUNG",
    }
}

impl Tally {
    pub fn new(hour: Workload, context: Context, broken: Vec<String>, promotions: usize, unsure: usize) -> Tally {
        Tally { hour, context, broken, promotions, unsure }
    }

    fn name(&self, op: &Request) -> String {
        let is_bounded = self.hour.sessions[op.session].is_bounded;
        let key = match op.kind {
            _ if is_bounded => "browse",
            RequestKind::Read => "read",
            RequestKind::Write => "write",
            RequestKind::Txn { .. } => "txn",
        };
        let pairs = self.context.names.split(',').filter_map(|pair| pair.split_once(':'));
        let named = pairs.into_iter().find(|(name, _)| *name == key).map(|(_, name)| name);
        named.unwrap_or(key).to_owned()
    }

    /// Before the first drop, from there until survivors had taken over, or after: and which drop it was.
    fn part(&self, op: &Request) -> &'static str {
        let Some(first) = self.context.told.first() else { return "all" };
        let is_during = |told: &Told| {
            let taken = told.taken_us.unwrap_or(u64::MAX);
            op.at < taken && (op.at >= told.at_us || op.done_us > told.at_us)
        };
        match self.context.told.iter().any(is_during) {
            true => "during",
            false if op.at < first.at_us => "before",
            false => "after",
        }
    }

    /// Those that were on a dropped node or came in the takeover, worst first.
    fn waited(&self) -> Vec<&Request> {
        let mut ops: Vec<&Request> = self.hour.requests.iter().filter(|op| self.part(op) == "during").collect();
        ops.sort_by_key(|op| {
            (std::cmp::Reverse((op.outcome != RequestOutcome::Served, op.done_us.saturating_sub(op.at))), op.at)
        });
        ops
    }

    fn times(&self) -> BTreeMap<(String, &'static str), Times> {
        let mut all: BTreeMap<(String, &'static str), Times> = BTreeMap::new();
        for op in &self.hour.requests {
            let fresh = || Times {
                histogram: Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("fixed bounds that fit"),
                outside: 0,
                ends: BTreeMap::new(),
            };
            let times = all.entry((self.name(op), self.part(op))).or_insert_with(fresh);
            let took = op.done_us.saturating_sub(op.at);
            *times.ends.entry(op.outcome).or_default() += 1;
            let aim = if self.hour.sessions[op.session].is_bounded { AIM_BROWSE_US } else { AIM_WORK_US };
            times.outside += u64::from(op.outcome != RequestOutcome::Served || took > aim);
            times.histogram.saturating_record(took.max(1));
        }
        all
    }

    fn count(&self, end: RequestOutcome) -> usize {
        self.hour.requests.iter().filter(|op| op.outcome == end).count()
    }

    /// The slowest but one in a hundred of browsing, over the whole hour and in the takeover.
    fn browse_99(&self) -> u64 {
        let times = self.times();
        let browse =
            self.hour.requests.iter().find(|op| self.hour.sessions[op.session].is_bounded).map(|op| self.name(op));
        let of = times.iter().filter(|((name, _), _)| Some(name) == browse.as_ref());
        of.map(|(_, times)| times.histogram.value_at_quantile(0.99)).max().unwrap_or(0)
    }

    /// What of the members' bounds did not hold.
    pub fn faults(&self) -> Vec<String> {
        let mut faults: Vec<String> = self.broken.clone();
        let hung = self.count(RequestOutcome::Hung) + self.count(RequestOutcome::Open);
        if hung > 0 {
            faults.push(format!("HUNG: {hung} requests were not answered in their clients' time"));
        }
        let bound = self.context.browse_us.unwrap_or(AIM_BROWSE_US);
        if self.browse_99() > bound {
            faults.push(format!(
                "SLOW: browsing took {} ms at the 99th, {} are tolerated",
                self.browse_99() / 1000,
                bound / 1000
            ));
        }
        faults
    }

    fn line(&self, op: &Request) -> String {
        let node = |at: Option<usize>| at.map_or("-", |at| self.context.nodes[at].as_str());
        format!(
            "{:>10.3}  {:<14} {:>7.1} ms  {:<8} {} tries, asked at {}, served by {}",
            (op.at - self.context.start) as f64 / 1e6,
            self.name(op),
            op.done_us.saturating_sub(op.at) as f64 / 1e3,
            end_text(op.outcome),
            op.attempts,
            node(op.asked_node),
            node(op.served_node)
        )
    }

    pub fn text(&self) -> String {
        let mut out = String::new();
        for told in &self.context.told {
            let at = (told.at_us - self.context.start) as f64 / 1e6;
            let taken = told
                .taken_us
                .filter(|taken| *taken < u64::MAX)
                .map_or("never".to_owned(), |taken| format!("{} ms later", (taken - told.at_us) / 1000));
            out.push_str(&format!("{at:>10.3}  {} dropped; survivors had taken over {taken}\n", told.node));
        }
        let waited = self.waited();
        if !self.context.told.is_empty() {
            out.push_str(&format!(
                "\n{} requests were waiting then or came in the takeover; the worst:\n",
                waited.len()
            ));
            waited.iter().take(SHOWN).for_each(|op| out.push_str(&format!("{}\n", self.line(op))));
        }
        out.push_str("\nkind            part       count   median     90th     99th      max ms  outside aim  served refused unclear hung\n");
        for ((name, part), times) in self.times() {
            let ms = |quantile| times.histogram.value_at_quantile(quantile) as f64 / 1e3;
            let end = |end| times.ends.get(&end).copied().unwrap_or(0);
            out.push_str(&format!(
                "{name:<15} {part:<7} {:>8} {:>8.1} {:>8.1} {:>8.1} {:>8.1}     {:>8}  {:>7} {:>7} {:>7} {:>4}\n",
                times.histogram.len(),
                ms(0.5),
                ms(0.9),
                ms(0.99),
                times.histogram.max() as f64 / 1e3,
                times.outside,
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
            self.unsure,
            self.count(RequestOutcome::Hung) + self.count(RequestOutcome::Open),
            self.promotions
        ));
        let faults = self.faults();
        match faults.is_empty() {
            true => out.push_str("nothing lost, nothing doubled, nothing hung, browsing within its bound\n"),
            false => faults.iter().for_each(|fault| out.push_str(&format!("BROKEN {fault}\n"))),
        }
        out
    }

    pub fn json(&self) -> String {
        let row = |op: &Request| {
            let node = |at: Option<usize>| at.map(|at| self.context.nodes[at].as_str());
            serde_json::json!({
                "at": (op.at - self.context.start) as f64 / 1e6, "kind": self.name(op), "part": self.part(op),
                "ms": op.done_us.saturating_sub(op.at) as f64 / 1e3, "outcome": end_text(op.outcome).to_lowercase(),
                "tries": op.attempts, "askedAt": node(op.asked_node), "servedBy": node(op.served_node),
            })
        };
        let drops: Vec<serde_json::Value> = self
            .context
            .told
            .iter()
            .map(|told| {
                let taken = told.taken_us.filter(|taken| *taken < u64::MAX);
                serde_json::json!({ "node": told.node, "at": (told.at_us - self.context.start) as f64 / 1e6,
                    "takenOverMs": taken.map(|taken| (taken - told.at_us) / 1000) })
            })
            .collect();
        let kinds: Vec<serde_json::Value> = self
            .times()
            .into_iter()
            .map(|((name, part), times)| {
                let ms = |quantile| times.histogram.value_at_quantile(quantile) as f64 / 1e3;
                serde_json::json!({ "kind": name, "part": part, "count": times.histogram.len(), "median": ms(0.5),
                    "p90": ms(0.9), "p99": ms(0.99), "max": times.histogram.max() as f64 / 1e3, "outsideAim": times.outside })
            })
            .collect();
        let waited: Vec<serde_json::Value> = self.waited().into_iter().map(row).collect();
        serde_json::json!({ "drops": drops, "waited": waited, "kinds": kinds,
            "served": self.count(RequestOutcome::Served), "refused": self.count(RequestOutcome::Refused),
            "unclear": self.unsure, "hung": self.count(RequestOutcome::Hung) + self.count(RequestOutcome::Open),
            "promotions": self.promotions, "faults": self.faults() })
        .to_string()
    }
}
