//! Incremental parsing. Entries whose text also occurs in the previous configuration are reused from it; in the text
//! that remains to be parsed, each run of them is replaced by one placeholder object that identifies the run.
//!
//! The result is the same as that of a full parse, and the text is accepted only if a full parse accepts it:
//! - Where an entry begins outside of a JSON string, an object replaces an object. Where it begins inside of a string,
//!   its first quote would end that string and leave its label unquoted, so the full text is not valid JSON; neither is
//!   the shortened text, whose placeholder key begins with a backslash.
//! - A run consists of entries with only a comma between them, and must be visited exactly once as an element of one of
//!   the two lists. There one element may stand for several, and no other section reads it.
//! - The placeholder key is written with an escape, and texts that contain a backslash are parsed in full, so that no
//!   input can contain a placeholder.
//!
//! In all other cases the text is parsed in full, and all errors are those of the full parse.
use crate::entry_spans::{EntryRef, EntrySpan, RawLists};
use crate::{host_index::HostIndex, Configuration, ConfigurationError, Reader, Route, Service, Services};
use std::cell::RefCell;
use std::rc::Rc;

/// Key of a placeholder object. Written with an escape, it cannot occur in a text that has none.
const PLACEHOLDER_KEY: &str = "\u{1}";

/// The entries reused from a previous configuration, in runs.
pub(crate) struct ReusedEntries<'a> {
    previous: Option<&'a Configuration>,
    /// The new text with placeholders in place of the runs.
    text: Vec<u8>,
    /// Offset of each reused entry in the new text, and its index in the previous configuration.
    matches: Vec<(u32, u32)>,
    /// Index ranges into `matches`.
    runs: Vec<(u32, u32)>,
    /// How often each run was visited in a list. The result is discarded unless every run was visited once.
    visits: RefCell<Vec<u32>>,
    /// Start of each segment copied into `text`, and its offset in the new text.
    segments: Vec<(u32, u32)>,
}

impl<'a> ReusedEntries<'a> {
    pub fn none() -> ReusedEntries<'a> {
        let (text, matches, runs, visits, segments) = Default::default();
        ReusedEntries { previous: None, text, matches, runs, visits, segments }
    }

    /// Matches the entries of `body` against those of `previous`; `None` if the text must be parsed in full.
    fn match_entries(previous: &'a Configuration, body: &[u8]) -> Option<ReusedEntries<'a>> {
        let piece = |index: usize| {
            let span: &EntrySpan = &previous.spans[index];
            &previous.body[span.offset as usize..(span.offset + span.len) as usize]
        };
        let mut matcher = wv_compression::PieceMatcher::new(previous.spans.len(), piece);
        let mut reused = ReusedEntries { previous: Some(previous), ..ReusedEntries::none() };
        let (mut start, mut is_run) = (0, false);
        let ends = memchr::memchr_iter(b'}', body).map(|end| end + 1);
        for end in ends.chain((!body.ends_with(b"}")).then_some(body.len())) {
            let part = &body[start..end];
            let (before, entry) = part.split_at(memchr::memrchr(b'{', part).unwrap_or(part.len()));
            let matched = matcher.find(entry);
            let unmatched = if matched.is_some() { before } else { part };
            let is_joined = matched.is_some() && is_run && before == b",";
            if !is_joined {
                if unmatched.contains(&b'\\') {
                    return None;
                }
                reused.segments.push((reused.text.len() as u32, start as u32));
                reused.text.extend_from_slice(unmatched);
            }
            if let Some(index) = matched {
                reused.push_match(index, start + before.len(), is_joined);
            }
            (is_run, start) = (matched.is_some(), end);
        }
        reused.visits = RefCell::new(vec![0; reused.runs.len()]);
        Some(reused)
    }

    fn push_match(&mut self, index: usize, offset: usize, is_joined: bool) {
        self.matches.push((offset as u32, index as u32));
        let count = self.matches.len() as u32;
        if let Some(run) = self.runs.last_mut().filter(|_| is_joined) {
            run.1 = count;
            return;
        }
        self.text.extend_from_slice(format!("{{\"\\u0001\":{}}}", self.runs.len()).as_bytes());
        self.runs.push((count - 1, count));
    }

    /// The number of reused entries.
    pub fn len(&self) -> usize {
        self.matches.len()
    }

    pub fn previous_routes(&self) -> Option<(&'a [Rc<Route>], &'a Rc<HostIndex>)> {
        self.previous.map(|previous| (&previous.routes[..], &previous.hosts))
    }

    fn run_index(&self, entry: &Reader<'_>) -> Option<usize> {
        let index = self.previous.and_then(|_| entry.value().as_object()?.get(PLACEHOLDER_KEY)?.as_u64())? as usize;
        (index < self.runs.len()).then_some(index)
    }

    fn run_matches(&self, run: usize) -> &[(u32, u32)] {
        let (from, to) = self.runs[run];
        &self.matches[from as usize..to as usize]
    }

    /// The number of entries in a list, including those of its runs.
    pub fn entry_count(&self, list: &[Reader<'_>]) -> usize {
        list.iter().map(|entry| self.run_index(entry).map_or(1, |run| self.run_matches(run).len())).sum()
    }

    /// The run that a list element stands for, marked as visited; `None` if the element is not a placeholder.
    pub fn visit_run(&self, entry: &Reader<'_>) -> Option<&[(u32, u32)]> {
        self.run_index(entry).map(|run| {
            self.visits.borrow_mut()[run] += 1;
            self.run_matches(run)
        })
    }

    fn entry_ref(&self, matched: &(u32, u32)) -> Option<(&'a Configuration, EntryRef)> {
        self.previous.map(|previous| (previous, previous.spans[matched.1 as usize].entry))
    }

    /// A reused route. `None` if the entry was not a route, which the entry count in `entry_spans` then detects.
    pub fn route(&self, matched: (u32, u32)) -> Option<Rc<Route>> {
        match self.entry_ref(&matched)? {
            (previous, EntryRef::Route(index)) => previous.routes.get(index as usize).cloned(),
            _ => None,
        }
    }

    pub fn service(&self, matched: (u32, u32)) -> Option<Service> {
        match self.entry_ref(&matched)? {
            (previous, EntryRef::Service(index)) => {
                previous.labels.get(index as usize).and_then(|label| previous.services.get(label)).cloned()
            }
            _ => None,
        }
    }

    /// The previous services, if the list consists of exactly these in the same order.
    pub fn unchanged_services(&self, list: &[Reader<'_>]) -> Option<(Rc<Services>, Rc<Vec<String>>)> {
        let [entry] = list else { return None };
        let (previous, run) = (self.previous?, self.run_index(entry)?);
        let is_in_order = |(index, matched): (usize, &(u32, u32))| {
            self.entry_ref(matched).is_some_and(|(_, entry)| entry == EntryRef::Service(index as u32))
        };
        let matches = self.run_matches(run);
        let is_same = matches.len() == previous.labels.len() && matches.iter().enumerate().all(is_in_order);
        is_same.then(|| {
            self.visits.borrow_mut()[run] += 1;
            (previous.services.clone(), previous.labels.clone())
        })
    }

    /// Converts an offset in `text` to one in the new text.
    fn source_offset(&self, offset: usize) -> u32 {
        let next = self.segments.partition_point(|(start, _)| *start as usize <= offset);
        let (start, source) = self.segments[next - 1];
        source + (offset as u32 - start)
    }

    /// The spans of all entries of the parsed configuration; `None` unless it is certain to equal a full parse.
    fn entry_spans(&self, configuration: &Configuration) -> Option<Vec<EntrySpan>> {
        let lists: RawLists<'_> = serde_json::from_slice(&self.text).ok()?;
        let (routes, route_count) = self.list_spans(&lists.routing, EntryRef::Route);
        let (services, service_count) = self.list_spans(&lists.services, EntryRef::Service);
        let is_complete =
            route_count as usize == configuration.routes.len() && service_count as usize == configuration.labels.len();
        let mut spans = [routes, services].concat();
        if !spans.is_sorted_by_key(|span| span.offset) {
            spans.sort_by_key(|span| span.offset);
        }
        (is_complete && self.visits.borrow().iter().all(|visits| *visits == 1)).then_some(spans)
    }

    fn list_spans(
        &self,
        list: &[&serde_json::value::RawValue],
        entry: impl Fn(u32) -> EntryRef,
    ) -> (Vec<EntrySpan>, u32) {
        let (mut spans, mut count) = (Vec::new(), 0);
        for raw in list {
            let text = raw.get();
            let run = text.strip_prefix("{\"\\u0001\":").and_then(|rest| rest.strip_suffix('}')?.parse().ok());
            match run {
                Some(run) => {
                    for (offset, index) in self.run_matches(run) {
                        let len = self.previous.map_or(0, |previous| previous.spans[*index as usize].len);
                        spans.push(EntrySpan { offset: *offset, len, entry: entry(count) });
                        count += 1;
                    }
                }
                None => {
                    let offset = self.source_offset(text.as_ptr() as usize - self.text.as_ptr() as usize);
                    spans.push(EntrySpan { offset, len: text.len() as u32, entry: entry(count) });
                    count += 1;
                }
            }
        }
        (spans, count)
    }
}

impl Configuration {
    /// Equivalent to `parse`, errors included, but reuses the entries that this configuration already contains.
    pub fn parse_incremental(&self, body: &[u8]) -> Result<Configuration, ConfigurationError> {
        let incremental = || {
            let reused = ReusedEntries::match_entries(self, body)?;
            let value: serde_json::Value = serde_json::from_slice(&reused.text).ok()?;
            let mut configuration = Configuration::from_value(&value, &reused).ok()?;
            configuration.spans = reused.entry_spans(&configuration)?;
            configuration.body = body.into();
            Some(configuration)
        };
        incremental().map_or_else(|| Configuration::parse(body), Ok)
    }
}
