//! Explicit-state model checker for tests: breadth-first search over all interleavings of a small model. States are
//! cloned objects; a state whose hash was already visited is not expanded again.
use std::fmt::{Debug, Write};
use std::hash::Hasher;

/// A state of a model and its transitions.
pub trait Model: Clone {
    type Step: Clone + Debug;

    /// The steps that are possible in this state. Steps that do not change the state are allowed.
    fn steps(&self) -> Vec<Self::Step>;

    /// Applies a step. An error describes a violated invariant.
    fn apply(&mut self, step: &Self::Step) -> Result<(), String>;

    /// Hashes everything that later steps and checks depend on.
    fn digest(&self, hasher: &mut dyn Hasher);

    /// Checks the invariants; called once for every state.
    fn check(&self) -> Result<(), String> {
        Ok(())
    }
}

/// A violated invariant and the shortest path to it.
#[derive(Clone, Debug)]
pub struct Violation<S> {
    pub steps: Vec<S>,
    pub fault: String,
}

/// The result of a search.
#[derive(Clone, Debug)]
pub struct SearchResult<S> {
    pub states: usize,
    pub steps_taken: usize,
    /// Length of the longest of the shortest paths to all states.
    pub depth: usize,
    /// Whether the search ended without reaching a limit.
    pub is_complete: bool,
    pub violation: Option<Violation<S>>,
}

impl<S: Debug> SearchResult<S> {
    /// One line for the test log.
    pub fn summary(&self, name: &str) -> String {
        let completeness = if self.is_complete { "complete" } else { "limit reached" };
        let violation = self.violation.as_ref().map_or(String::new(), |violation| {
            let steps: Vec<String> = violation.steps.iter().map(|step| format!("{step:?}")).collect();
            format!("; {} after {} steps: {}", violation.fault, steps.len(), steps.join(", "))
        });
        format!(
            "{name}: {} states, {} steps taken, depth {}, {completeness}{violation}",
            self.states, self.steps_taken, self.depth
        )
    }
}

/// Limits of a search.
#[derive(Clone, Copy, Debug)]
pub struct SearchLimits {
    pub depth: usize,
    pub states: usize,
}

impl SearchLimits {
    /// The given limits. If `WV_MODEL_DEPTH` is set, it replaces the depth and the number of states is unlimited.
    pub fn with_env_override(depth: usize, states: usize) -> SearchLimits {
        let depth_override = std::env::var("WV_MODEL_DEPTH").ok().and_then(|value| value.parse().ok());
        depth_override.map_or(SearchLimits { depth, states }, |depth| SearchLimits { depth, states: usize::MAX })
    }
}

/// Hashes the `Debug` output of a value, for types that do not implement `Hash`.
pub fn hash_debug(value: &dyn Debug, hasher: &mut dyn Hasher) {
    struct HashWriter<'a>(&'a mut dyn Hasher);
    impl Write for HashWriter<'_> {
        fn write_str(&mut self, text: &str) -> std::fmt::Result {
            self.0.write(text.as_bytes());
            Ok(())
        }
    }
    // Writing to a hasher cannot fail.
    write!(HashWriter(hasher), "{value:?};").unwrap_or_default();
}

/// The hash of the `Debug` output of a value. It is the same in every run.
pub fn hash_of(value: &dyn Debug) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    hash_debug(value, &mut hasher);
    hasher.finish()
}

/// Searches breadth-first from `start`, so that the first violation found has a shortest path.
pub fn search<M: Model>(start: M, limits: SearchLimits) -> SearchResult<M::Step> {
    let digest = |state: &M| {
        let mut hasher = std::hash::DefaultHasher::new();
        state.digest(&mut hasher);
        hasher.finish()
    };
    let mut result = SearchResult { states: 1, steps_taken: 0, depth: 0, is_complete: true, violation: None };
    // The predecessor of each state and the step from it; the start has none.
    let mut predecessors: Vec<Option<(usize, M::Step)>> = vec![None];
    let mut visited = std::collections::HashSet::from([digest(&start)]);
    let path_to = |predecessors: &[Option<(usize, M::Step)>], mut at: usize| {
        let mut steps = Vec::new();
        while let Some((from, step)) = &predecessors[at] {
            steps.push(step.clone());
            at = *from;
        }
        steps.reverse();
        steps
    };
    if let Err(fault) = start.check() {
        result.violation = Some(Violation { steps: Vec::new(), fault });
        return result;
    }
    let mut level = vec![(0usize, start)];
    while !level.is_empty() {
        if result.depth >= limits.depth || result.states >= limits.states {
            result.is_complete = false;
            return result;
        }
        let mut next = Vec::new();
        for (at, state) in level {
            for step in state.steps() {
                let mut after = state.clone();
                result.steps_taken += 1;
                let outcome = after.apply(&step);
                if outcome.is_ok() && !visited.insert(digest(&after)) {
                    continue;
                }
                predecessors.push(Some((at, step)));
                if let Err(fault) = outcome.and_then(|()| after.check()) {
                    result.violation = Some(Violation { steps: path_to(&predecessors, predecessors.len() - 1), fault });
                    return result;
                }
                result.states += 1;
                if result.states >= limits.states {
                    result.is_complete = false;
                    return result;
                }
                next.push((predecessors.len() - 1, after));
            }
        }
        result.depth += usize::from(!next.is_empty());
        level = next;
    }
    result
}

/// Applies `steps` in order. Returns the final state and the first violated invariant.
pub fn replay<M: Model>(start: &M, steps: &[M::Step]) -> (M, Result<(), String>) {
    let mut state = start.clone();
    let outcome = steps.iter().try_for_each(|step| state.apply(step).and_then(|()| state.check()));
    (state, outcome)
}
