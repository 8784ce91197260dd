//! Byte ranges of the route and service entries in the text of a configuration.
use crate::Configuration;

/// The parsed route or service that an entry corresponds to, by index.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) enum EntryRef {
    Route(u32),
    Service(u32),
}

/// Byte range of an entry in the text.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntrySpan {
    pub offset: u32,
    pub len: u32,
    pub entry: EntryRef,
}

/// The two lists with unparsed entries.
#[derive(serde::Deserialize)]
pub(crate) struct RawLists<'a> {
    #[serde(borrow)]
    pub routing: Vec<&'a serde_json::value::RawValue>,
    #[serde(borrow)]
    pub services: Vec<&'a serde_json::value::RawValue>,
}

/// All entries of the text that `configuration` was parsed from, by offset.
pub(crate) fn entry_spans(body: &[u8], configuration: &Configuration) -> Vec<EntrySpan> {
    let Ok(lists) = serde_json::from_slice::<RawLists<'_>>(body) else { return Vec::new() };
    if lists.routing.len() != configuration.routes.len() || lists.services.len() != configuration.services.len() {
        return Vec::new();
    }
    let offset = |raw: &serde_json::value::RawValue| raw.get().as_ptr() as usize - body.as_ptr() as usize;
    let span = |raw: &serde_json::value::RawValue, entry| EntrySpan {
        offset: offset(raw) as u32,
        len: raw.get().len() as u32,
        entry,
    };
    let routes = lists.routing.iter().enumerate().map(|(index, raw)| span(raw, EntryRef::Route(index as u32)));
    let services = lists.services.iter().enumerate().map(|(index, raw)| span(raw, EntryRef::Service(index as u32)));
    let mut spans: Vec<EntrySpan> = routes.chain(services).collect();
    spans.sort_by_key(|span| span.offset);
    spans
}
