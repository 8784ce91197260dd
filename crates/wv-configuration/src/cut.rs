//! Where the routes and services of a configuration stand in its text.
use crate::Conf;

/// What an entry was read as: a route or a service, by its number.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum Item {
    Route(u32),
    Service(u32),
}

/// An entry's place in the text, in bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub at: u32,
    pub len: u32,
    pub item: Item,
}

/// The lists, cut and not read.
#[derive(serde::Deserialize)]
pub(crate) struct Lists<'a> {
    #[serde(borrow)]
    pub routing: Vec<&'a serde_json::value::RawValue>,
    #[serde(borrow)]
    pub services: Vec<&'a serde_json::value::RawValue>,
}

/// All entries of a text that was read as `conf`, in their order.
pub(crate) fn entries(body: &[u8], conf: &Conf) -> Vec<Entry> {
    let Ok(lists) = serde_json::from_slice::<Lists<'_>>(body) else { return Vec::new() };
    if lists.routing.len() != conf.routes.len() || lists.services.len() != conf.services.len() {
        return Vec::new();
    }
    let place = |raw: &serde_json::value::RawValue| raw.get().as_ptr() as usize - body.as_ptr() as usize;
    let entry =
        |raw: &serde_json::value::RawValue, item| Entry { at: place(raw) as u32, len: raw.get().len() as u32, item };
    let routes = lists.routing.iter().enumerate().map(|(at, raw)| entry(raw, Item::Route(at as u32)));
    let services = lists.services.iter().enumerate().map(|(at, raw)| entry(raw, Item::Service(at as u32)));
    let mut entries: Vec<Entry> = routes.chain(services).collect();
    entries.sort_by_key(|entry| entry.at);
    entries
}
