//! Incremental parsing must give the same result as a full parse.
mod edits;

use edits::{corrupt, Draft, Rng};
use googletest::prelude::*;
use wv_configuration::Configuration;

/// Everything observable of a parse result.
fn observable(result: &std::result::Result<Configuration, wv_configuration::ConfigurationError>) -> String {
    let configuration = match result {
        Ok(configuration) => configuration,
        Err(error) => return format!("rejected: {error}"),
    };
    let mut services: Vec<String> =
        configuration.services.iter().map(|(name, service)| format!("{name} {service:?}")).collect();
    services.sort();
    let hosts = (0..200)
        .map(|at| format!("h{at}"))
        .filter_map(|host| configuration.route(&host).map(|route| format!("{route:?}")));
    let fields = (
        &configuration.version,
        &configuration.routes,
        &configuration.limits,
        &configuration.tenants,
        &configuration.partners,
        &configuration.shards,
        &configuration.shard_plans,
    );
    format!("{fields:?} {services:?} {:?} {:?}", hosts.collect::<Vec<String>>(), configuration.body())
}

#[gtest]
fn given_random_edits_and_corrupted_texts_then_each_is_accepted_or_rejected_as_by_a_full_parse() {
    let (mut accepted, mut rejected, mut parsed, mut total) = (0, 0, 0, 0);
    for seed in 1..=40u64 {
        let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let mut draft = Draft::new(&mut rng);
        let mut current: Option<Configuration> = None;
        for step in 0..120 {
            draft.edit(&mut rng);
            let text = draft.text(&mut rng);
            let bytes = if rng.one_in(3) { corrupt(&text, &mut rng) } else { text.into_bytes() };
            let full = Configuration::parse(&bytes);
            let Some(old) = current.as_ref() else {
                current = full.ok();
                continue;
            };
            let incremental = old.parse_incremental(&bytes);
            let shown = String::from_utf8_lossy(&bytes);
            assert_eq!(observable(&incremental), observable(&full), "seed {seed}, step {step}: {shown}");
            match incremental {
                Ok(configuration) => {
                    accepted += 1;
                    parsed += configuration.parsed_entries;
                    total += configuration.routes.len() + configuration.services.len();
                    current = Some(configuration);
                }
                Err(_) => {
                    rejected += 1;
                    // Remove the causes of the rejection, so that later edits are accepted again.
                    draft.routes.retain(|text| !text.contains("\"expiryMs\":0"));
                    let mut hosts = std::collections::HashSet::new();
                    draft
                        .routes
                        .retain(|text| hosts.insert(text.split("\"host\":").nth(1).map(|rest| rest[..6].to_owned())));
                    draft.extra_sections.clear();
                }
            }
        }
    }
    // Both outcomes must be frequent and most entries reused, or the test would not exercise incremental parsing.
    expect_that!(accepted, gt(1500));
    expect_that!(rejected, gt(800));
    expect_that!(parsed * 2, lt(total), "{parsed} of {total} entries parsed");
}

#[gtest]
fn given_two_thousand_routes_then_a_change_parses_only_the_changed_entries() {
    let body = |version: usize, expiry: usize, routes: std::ops::Range<usize>| {
        let entry = |at: usize| {
            let expiry = if at == 700 { expiry } else { 800 };
            format!(
                "{{\"label\":\"r{at}\",\"host\":\"h{at}\",\"expiryMs\":{expiry},\"destination\":\"s{}\"}}",
                at % 120
            )
        };
        let routes: Vec<String> = routes.map(entry).collect();
        let services: Vec<String> = (0..120).map(|at| format!("{{\"label\":\"s{at}\"}}")).collect();
        format!("{{\"issue\":{version},\"routing\":[{}],\"services\":[{}]}}", routes.join(","), services.join(","))
    };
    let first = Configuration::parse(body(1, 800, 0..2000).as_bytes()).expect("a valid configuration");
    expect_that!(first.parsed_entries, eq(2120));
    let slower = first.parse_incremental(body(2, 900, 0..2000).as_bytes()).expect("one changed expiry");
    expect_that!(slower.parsed_entries, eq(1));
    let longer = slower.parse_incremental(body(3, 900, 0..2010).as_bytes()).expect("ten added routes");
    expect_that!(longer.parsed_entries, eq(10));
    let shorter = longer.parse_incremental(body(4, 900, 600..2010).as_bytes()).expect("removed routes");
    expect_that!(shorter.parsed_entries, le(3));
    let same = shorter.parse_incremental(body(5, 900, 600..2010).as_bytes()).expect("a new version only");
    expect_that!(same.parsed_entries, eq(0));
}

#[gtest]
fn given_known_entries_in_unexpected_places_then_the_result_is_that_of_a_full_parse() {
    let route = |at: usize, more: &str| {
        format!("{{\"label\":\"r{at}\",\"host\":\"h{at}\",\"expiryMs\":800,\"destination\":\"s\"{more}}}")
    };
    let (one, two, three) = (route(1, ",\"headerBytes\":9000"), route(2, ""), route(3, ""));
    let service = "{\"label\":\"s\"}";
    let old = format!("{{\"issue\":1,\"routing\":[{one},{two},{three}],\"services\":[{service}]}}");
    let old = Configuration::parse(old.as_bytes()).expect("a valid configuration");
    let (lists, forged) = (format!("\"routing\":[{three}],\"services\":[{service}]"), "{\"\\u0001\":0}");
    let texts = [
        // A known entry as the value of another section.
        format!("{{\"issue\":2,\"limits\":{one},{lists}}}"),
        // Two entries where one value is expected.
        format!("{{\"issue\":2,\"limits\":{one},{two},{lists}}}"),
        format!("{one},{two}"),
        // Entries within a string.
        format!("{{\"issue\":2,\"note\":\"a{two}b\",{lists}}}"),
        format!("{{\"issue\":2,\"note\":\"a,{two},{three}],{lists}}}"),
        // Entries of the other list.
        format!("{{\"issue\":2,\"routing\":[{service},{two}],\"services\":[{service}]}}"),
        format!("{{\"issue\":2,\"routing\":[{two}],\"services\":[{service},{two}]}}"),
        // Duplicate and nested lists.
        format!("{{\"issue\":2,\"routing\":[{one},{two}],{lists}}}"),
        format!("{{\"issue\":2,\"routing\":[[{one},{two}]],\"services\":[{service}]}}"),
        // Forged placeholders.
        format!("{{\"issue\":2,\"spare\":[{two}],\"routing\":[{forged}],\"services\":[{service}]}}"),
        format!("{{\"issue\":2,\"routing\":[{two},{forged}],\"services\":[{service}]}}"),
        format!("{{\"issue\":2,{lists},\"note\":\"a \\\" b\"}}"),
        format!("{{\"issue\":2,\"routing\":[{two},{two}],\"services\":[{service}]}}"),
        "{\"issue\":2,\"routing\":[],\"services\":[]}".to_owned(),
        String::new(),
    ];
    let mut accepted = 0;
    for text in texts {
        let (incremental, full) = (old.parse_incremental(text.as_bytes()), Configuration::parse(text.as_bytes()));
        expect_that!(observable(&incremental), eq(&observable(&full)), "{text}");
        accepted += usize::from(full.is_ok());
    }
    expect_that!(accepted, eq(5));
}
