//! Breadth-first search over all interleavings of a small model; for tests. States are real objects and are cloned;
//! what stands in a state is told by a hash, and a state that was seen is not gone into again.
use std::fmt::{Debug, Write};
use std::hash::Hasher;

/// A state of a model, and what may happen next in it.
pub trait Model: Clone {
    type Step: Clone + Debug;

    /// All that may happen now. A step that changes nothing costs a little and does no harm.
    fn steps(&self) -> Vec<Self::Step>;

    /// Lets it happen; an error is a broken promise, in words.
    fn take(&mut self, step: &Self::Step) -> Result<(), String>;

    /// Hashes all that later steps or checks depend on.
    fn digest(&self, hasher: &mut dyn Hasher);

    /// Looked at once in every state.
    fn check(&self) -> Result<(), String> {
        Ok(())
    }
}

/// The shortest way to a broken promise.
#[derive(Clone, Debug)]
pub struct Found<S> {
    pub steps: Vec<S>,
    pub fault: String,
}

/// What a search has seen.
#[derive(Clone, Debug)]
pub struct Seen<S> {
    pub states: usize,
    pub taken: usize,
    /// Steps on the longest of all shortest ways.
    pub depth: usize,
    /// Nothing was left out: neither depth nor number of states cut the search short.
    pub is_whole: bool,
    pub found: Option<Found<S>>,
}

impl<S: Debug> Seen<S> {
    /// One line for the log of the test.
    pub fn line(&self, name: &str) -> String {
        let bound = if self.is_whole { "whole" } else { "cut off" };
        let found = self.found.as_ref().map_or(String::new(), |found| {
            let steps: Vec<String> = found.steps.iter().map(|step| format!("{step:?}")).collect();
            format!("; {} after {} steps: {}", found.fault, steps.len(), steps.join(", "))
        });
        format!("{name}: {} states, {} steps taken, {} deep, {bound}{found}", self.states, self.taken, self.depth)
    }
}

/// How far a search goes.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    pub depth: usize,
    pub states: usize,
}

impl Bound {
    /// `depth` steps, or as many as `WV_MODEL_DEPTH` says; with that the number of states has no bound.
    pub fn of(depth: usize, states: usize) -> Bound {
        let deeper = std::env::var("WV_MODEL_DEPTH").ok().and_then(|word| word.parse().ok());
        deeper.map_or(Bound { depth, states }, |depth| Bound { depth, states: usize::MAX })
    }
}

/// Hashes what a value shows of itself, for types that have no hash.
pub fn hash_debug(value: &dyn Debug, hasher: &mut dyn Hasher) {
    struct Into<'a>(&'a mut dyn Hasher);
    impl Write for Into<'_> {
        fn write_str(&mut self, text: &str) -> std::fmt::Result {
            self.0.write(text.as_bytes());
            Ok(())
        }
    }
    // Writing into a hasher never fails.
    write!(Into(hasher), "{value:?};").unwrap_or_default();
}

/// The hash of one value, the same in each run.
pub fn hash_of(value: &dyn Debug) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    hash_debug(value, &mut hasher);
    hasher.finish()
}

/// Searches from `start`, level by level, so that what is found first is shortest.
pub fn search<M: Model>(start: M, bound: Bound) -> Seen<M::Step> {
    let digest = |state: &M| {
        let mut hasher = std::hash::DefaultHasher::new();
        state.digest(&mut hasher);
        hasher.finish()
    };
    let mut seen = Seen { states: 1, taken: 0, depth: 0, is_whole: true, found: None };
    // Each state by where it was come from and how; the start has neither.
    let mut ways: Vec<Option<(usize, M::Step)>> = vec![None];
    let mut known = std::collections::HashSet::from([digest(&start)]);
    let way = |ways: &[Option<(usize, M::Step)>], mut at: usize| {
        let mut steps = Vec::new();
        while let Some((from, step)) = &ways[at] {
            steps.push(step.clone());
            at = *from;
        }
        steps.reverse();
        steps
    };
    if let Err(fault) = start.check() {
        seen.found = Some(Found { steps: Vec::new(), fault });
        return seen;
    }
    let mut level = vec![(0usize, start)];
    while !level.is_empty() {
        if seen.depth >= bound.depth || seen.states >= bound.states {
            seen.is_whole = false;
            return seen;
        }
        let mut next = Vec::new();
        for (at, state) in level {
            for step in state.steps() {
                let mut after = state.clone();
                seen.taken += 1;
                let word = after.take(&step);
                if word.is_ok() && !known.insert(digest(&after)) {
                    continue;
                }
                ways.push(Some((at, step)));
                if let Err(fault) = word.and_then(|()| after.check()) {
                    seen.found = Some(Found { steps: way(&ways, ways.len() - 1), fault });
                    return seen;
                }
                seen.states += 1;
                if seen.states >= bound.states {
                    seen.is_whole = false;
                    return seen;
                }
                next.push((ways.len() - 1, after));
            }
        }
        seen.depth += usize::from(!next.is_empty());
        level = next;
    }
    seen
}

/// Plays `steps` one after the other: the first broken promise on the way, and where it ends.
pub fn play<M: Model>(start: &M, steps: &[M::Step]) -> (M, Result<(), String>) {
    let mut state = start.clone();
    let word = steps.iter().try_for_each(|step| state.take(step).and_then(|()| state.check()));
    (state, word)
}
