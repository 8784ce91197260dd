//! Stories of configurations read by what differs: always as if they had been read whole.
mod edits;

use edits::{spoil, Draft, Luck};
use googletest::prelude::*;
use wv_configuration::Conf;

/// All that can be seen of a reading.
fn seen(read: &std::result::Result<Conf, wv_configuration::ConfError>) -> String {
    let conf = match read {
        Ok(conf) => conf,
        Err(error) => return format!("refused: {error}"),
    };
    let mut services: Vec<String> = conf.services.iter().map(|(name, held)| format!("{name} {held:?}")).collect();
    services.sort();
    let hosts =
        (0..200).map(|at| format!("h{at}")).filter_map(|host| conf.route(&host).map(|route| format!("{route:?}")));
    let parts = (&conf.version, &conf.routes, &conf.limits, &conf.tenants, &conf.partners, &conf.shards, &conf.plans);
    format!("{parts:?} {services:?} {:?} {:?}", hosts.collect::<Vec<String>>(), conf.body())
}

#[gtest]
fn given_thousands_of_edits_and_spoilt_texts_then_each_is_read_or_refused_exactly_as_the_whole() {
    let (mut read, mut refused, mut fresh, mut all) = (0, 0, 0, 0);
    for seed in 1..=40u64 {
        let mut luck = Luck(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let mut draft = Draft::new(&mut luck);
        let mut held: Option<Conf> = None;
        for step in 0..120 {
            draft.edit(&mut luck);
            let text = draft.text(&mut luck);
            let bytes = if luck.is(3) { spoil(&text, &mut luck) } else { text.into_bytes() };
            let whole = Conf::parse(&bytes);
            let Some(old) = held.as_ref() else {
                held = whole.ok();
                continue;
            };
            let renewed = old.renew(&bytes);
            let shown = String::from_utf8_lossy(&bytes);
            assert_eq!(seen(&renewed), seen(&whole), "seed {seed}, step {step}: {shown}");
            match renewed {
                Ok(conf) => {
                    (read, fresh, all) = (read + 1, fresh + conf.fresh, all + conf.routes.len() + conf.services.len());
                    held = Some(conf);
                }
                Err(_) => {
                    refused += 1;
                    // Not to be stuck with what was refused.
                    draft.routes.retain(|text| !text.contains("\"expiryMs\":0"));
                    let mut hosts = std::collections::HashSet::new();
                    draft
                        .routes
                        .retain(|text| hosts.insert(text.split("\"host\":").nth(1).map(|rest| rest[..6].to_owned())));
                    draft.more.clear();
                }
            }
        }
    }
    // The course is worth something: both happen often, and most is taken over.
    expect_that!(read, gt(1500));
    expect_that!(refused, gt(800));
    expect_that!(fresh * 2, lt(all), "{fresh} of {all} entries read");
}

#[gtest]
fn given_two_thousand_routes_then_a_change_reads_the_entries_that_it_changes_and_no_others() {
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
    let first = Conf::parse(body(1, 800, 0..2000).as_bytes()).expect("a proper configuration");
    expect_that!(first.fresh, eq(2120));
    let slower = first.renew(body(2, 900, 0..2000).as_bytes()).expect("the same with a longer time");
    expect_that!(slower.fresh, eq(1));
    let longer = slower.renew(body(3, 900, 0..2010).as_bytes()).expect("ten routes more");
    expect_that!(longer.fresh, eq(10));
    let shorter = longer.renew(body(4, 900, 600..2010).as_bytes()).expect("many routes fewer");
    expect_that!(shorter.fresh, le(3));
    let same = shorter.renew(body(5, 900, 600..2010).as_bytes()).expect("a number more");
    expect_that!(same.fresh, eq(0));
}

#[gtest]
fn given_entries_where_none_belong_then_what_is_refused_or_read_is_what_stands_there() {
    let route = |at: usize, more: &str| {
        format!("{{\"label\":\"r{at}\",\"host\":\"h{at}\",\"expiryMs\":800,\"destination\":\"s\"{more}}}")
    };
    let (one, two, three) = (route(1, ",\"headerBytes\":9000"), route(2, ""), route(3, ""));
    let service = "{\"label\":\"s\"}";
    let old = format!("{{\"issue\":1,\"routing\":[{one},{two},{three}],\"services\":[{service}]}}");
    let old = Conf::parse(old.as_bytes()).expect("a proper configuration");
    let (lists, forged) = (format!("\"routing\":[{three}],\"services\":[{service}]"), "{\"\\u0001\":0}");
    let texts = [
        // Read by its place, not as the entry that it was.
        format!("{{\"issue\":2,\"limits\":{one},{lists}}}"),
        // Two where one value may stand.
        format!("{{\"issue\":2,\"limits\":{one},{two},{lists}}}"),
        format!("{one},{two}"),
        // A text that goes on, and one that ends in an entry.
        format!("{{\"issue\":2,\"note\":\"a{two}b\",{lists}}}"),
        format!("{{\"issue\":2,\"note\":\"a,{two},{three}],{lists}}}"),
        // Of the other list.
        format!("{{\"issue\":2,\"routing\":[{service},{two}],\"services\":[{service}]}}"),
        format!("{{\"issue\":2,\"routing\":[{two}],\"services\":[{service},{two}]}}"),
        // Lists that stand twice, or deeper.
        format!("{{\"issue\":2,\"routing\":[{one},{two}],{lists}}}"),
        format!("{{\"issue\":2,\"routing\":[[{one},{two}]],\"services\":[{service}]}}"),
        // What only this reader writes.
        format!("{{\"issue\":2,\"spare\":[{two}],\"routing\":[{forged}],\"services\":[{service}]}}"),
        format!("{{\"issue\":2,\"routing\":[{two},{forged}],\"services\":[{service}]}}"),
        format!("{{\"issue\":2,{lists},\"note\":\"a \\\" b\"}}"),
        format!("{{\"issue\":2,\"routing\":[{two},{two}],\"services\":[{service}]}}"),
        "{\"issue\":2,\"routing\":[],\"services\":[]}".to_owned(),
        String::new(),
    ];
    let mut read = 0;
    for text in texts {
        let (renewed, whole) = (old.renew(text.as_bytes()), Conf::parse(text.as_bytes()));
        expect_that!(seen(&renewed), eq(&seen(&whole)), "{text}");
        read += usize::from(whole.is_ok());
    }
    expect_that!(read, eq(5));
}
