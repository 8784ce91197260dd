//! A configuration read by what differs from another one. Entries whose texts stand in the old one are taken from it;
//! in the text that is left to be read, each run of them is one object that tells which they are.
//!
//! That such a text is read only if the whole would be, and as the same:
//! - Where an entry begins outside of a text, an object stands in the place of an object. Where it begins inside of one,
//!   its first quote would end that text and its label stand bare: neither the whole nor what is read here, whose name
//!   begins with a backslash, is JSON then.
//! - A run is entries with nothing but a comma between them, and each run must be met once as an entry of one of the two
//!   lists: there several entries are as good as one, and no other part of a configuration was to see them.
//! - Its name is written with an escape, and texts that have any are read whole: nobody else can have written it.
//!
//! Whatever does not come out so is read whole, and all errors are those of the whole.
use crate::cut::{self, Entry, Item};
use crate::{hosts::Hosts, Conf, ConfError, Reader, Route, Service, Services};
use std::cell::RefCell;
use std::rc::Rc;

/// The name in what stands for a run. Written with an escape, it stands in no text that has none.
const NAME: &str = "\u{1}";

/// What is taken from an old configuration: its entries by number, in runs.
pub(crate) struct Known<'a> {
    old: Option<&'a Conf>,
    text: Vec<u8>,
    /// Where each found entry stands in the new text, and which it is.
    found: Vec<(u32, u32)>,
    runs: Vec<(u32, u32)>,
    /// How often each run was met in a list. One that is met nowhere, or twice, makes the reading void.
    met: RefCell<Vec<u32>>,
    /// From which place of `text` on it says what stands from which place of the new text on.
    places: Vec<(u32, u32)>,
}

impl<'a> Known<'a> {
    pub fn none() -> Known<'a> {
        let (text, found, runs, met, places) = Default::default();
        Known { old: None, text, found, runs, met, places }
    }

    /// Finds what stands in `old`; `None` where that cannot be told.
    fn find(old: &'a Conf, body: &[u8]) -> Option<Known<'a>> {
        let piece = |at: usize| {
            let entry: &Entry = &old.entries[at];
            &old.body[entry.at as usize..(entry.at + entry.len) as usize]
        };
        let mut align = wv_compression::PieceMatcher::new(old.entries.len(), piece);
        let mut known = Known { old: Some(old), ..Known::none() };
        let (mut at, mut is_run) = (0, false);
        let ends = memchr::memchr_iter(b'}', body).map(|end| end + 1);
        for end in ends.chain((!body.ends_with(b"}")).then_some(body.len())) {
            let part = &body[at..end];
            let (before, entry) = part.split_at(memchr::memrchr(b'{', part).unwrap_or(part.len()));
            let place = align.find(entry);
            let fresh = if place.is_some() { before } else { part };
            let is_joined = place.is_some() && is_run && before == b",";
            if !is_joined {
                if fresh.contains(&b'\\') {
                    return None;
                }
                known.places.push((known.text.len() as u32, at as u32));
                known.text.extend_from_slice(fresh);
            }
            if let Some(place) = place {
                known.take(place, at + before.len(), is_joined);
            }
            (is_run, at) = (place.is_some(), end);
        }
        known.met = RefCell::new(vec![0; known.runs.len()]);
        Some(known)
    }

    fn take(&mut self, entry: usize, at: usize, is_joined: bool) {
        self.found.push((at as u32, entry as u32));
        let count = self.found.len() as u32;
        if let Some(run) = self.runs.last_mut().filter(|_| is_joined) {
            run.1 = count;
            return;
        }
        self.text.extend_from_slice(format!("{{\"\\u0001\":{}}}", self.runs.len()).as_bytes());
        self.runs.push((count - 1, count));
    }

    /// How many entries are taken over.
    pub fn taken(&self) -> usize {
        self.found.len()
    }

    pub fn old(&self) -> Option<(&'a [Rc<Route>], &'a Rc<Hosts>)> {
        self.old.map(|old| (&old.routes[..], &old.hosts))
    }

    fn number(&self, entry: &Reader<'_>) -> Option<usize> {
        let number = self.old.and_then(|_| entry.value().as_object()?.get(NAME)?.as_u64())? as usize;
        (number < self.runs.len()).then_some(number)
    }

    fn entries(&self, number: usize) -> &[(u32, u32)] {
        let (from, to) = self.runs[number];
        &self.found[from as usize..to as usize]
    }

    /// How many entries a list has.
    pub fn count(&self, list: &[Reader<'_>]) -> usize {
        list.iter().map(|entry| self.number(entry).map_or(1, |number| self.entries(number).len())).sum()
    }

    /// The entries that this one of a list stands for.
    pub fn run(&self, entry: &Reader<'_>) -> Option<&[(u32, u32)]> {
        self.number(entry).map(|number| {
            self.met.borrow_mut()[number] += 1;
            self.entries(number)
        })
    }

    fn item(&self, entry: &(u32, u32)) -> Option<(&'a Conf, Item)> {
        self.old.map(|old| (old, old.entries[entry.1 as usize].item))
    }

    /// A route that is taken over; one entry less is read where it was none, and that is noticed.
    pub fn route(&self, entry: (u32, u32)) -> Option<Rc<Route>> {
        match self.item(&entry)? {
            (old, Item::Route(at)) => old.routes.get(at as usize).cloned(),
            _ => None,
        }
    }

    pub fn service(&self, entry: (u32, u32)) -> Option<Service> {
        match self.item(&entry)? {
            (old, Item::Service(at)) => old.labels.get(at as usize).and_then(|label| old.services.get(label)).cloned(),
            _ => None,
        }
    }

    /// The old services, where the list holds all of them, in order, and nothing else.
    pub fn services(&self, list: &[Reader<'_>]) -> Option<(Rc<Services>, Rc<Vec<String>>)> {
        let [entry] = list else { return None };
        let (old, number) = (self.old?, self.number(entry)?);
        let is_next = |(at, entry): (usize, &(u32, u32))| {
            self.item(entry).is_some_and(|(_, item)| item == Item::Service(at as u32))
        };
        let entries = self.entries(number);
        let is_same = entries.len() == old.labels.len() && entries.iter().enumerate().all(is_next);
        is_same.then(|| {
            self.met.borrow_mut()[number] += 1;
            (old.services.clone(), old.labels.clone())
        })
    }

    /// The place in the new text of what stands at `at` in the text that was read.
    fn place(&self, at: usize) -> u32 {
        let behind = self.places.partition_point(|(from, _)| *from as usize <= at);
        let (from, place) = self.places[behind - 1];
        place + (at as u32 - from)
    }

    /// Where the entries of the configuration that was read stand; `None` where it is not sure that it is the whole.
    fn placed(&self, conf: &Conf) -> Option<Vec<Entry>> {
        let lists: cut::Lists<'_> = serde_json::from_slice(&self.text).ok()?;
        let (routes, routes_count) = self.listed(&lists.routing, Item::Route);
        let (services, services_count) = self.listed(&lists.services, Item::Service);
        let is_whole = routes_count as usize == conf.routes.len() && services_count as usize == conf.labels.len();
        let mut entries = [routes, services].concat();
        if !entries.is_sorted_by_key(|entry| entry.at) {
            entries.sort_by_key(|entry| entry.at);
        }
        (is_whole && self.met.borrow().iter().all(|met| *met == 1)).then_some(entries)
    }

    fn listed(&self, list: &[&serde_json::value::RawValue], item: impl Fn(u32) -> Item) -> (Vec<Entry>, u32) {
        let (mut entries, mut count) = (Vec::new(), 0);
        for raw in list {
            let text = raw.get();
            let number = text.strip_prefix("{\"\\u0001\":").and_then(|rest| rest.strip_suffix('}')?.parse().ok());
            match number {
                Some(number) => {
                    for (at, old) in self.entries(number) {
                        let len = self.old.map_or(0, |conf| conf.entries[*old as usize].len);
                        entries.push(Entry { at: *at, len, item: item(count) });
                        count += 1;
                    }
                }
                None => {
                    let at = text.as_ptr() as usize - self.text.as_ptr() as usize;
                    entries.push(Entry { at: self.place(at), len: text.len() as u32, item: item(count) });
                    count += 1;
                }
            }
        }
        (entries, count)
    }
}

impl Conf {
    /// The same as `parse`, errors included; what stands in this configuration too is not read again.
    pub fn renew(&self, body: &[u8]) -> Result<Conf, ConfError> {
        let renewed = || {
            let known = Known::find(self, body)?;
            let value: serde_json::Value = serde_json::from_slice(&known.text).ok()?;
            let mut conf = Conf::read(&value, &known).ok()?;
            conf.entries = known.placed(&conf)?;
            conf.body = body.into();
            Some(conf)
        };
        renewed().map_or_else(|| Conf::parse(body), Ok)
    }
}
