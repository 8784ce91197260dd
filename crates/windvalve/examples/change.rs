//! Measures the time a small configuration change takes on a control node and an access node, by configuration size.
//! `cargo run --release -p windvalve --example change [ROUTES|ROUTES/SERVICES...]` prints one line of JSON for
//! each size. The default is 120 services.
use std::time::Instant;
use wv_internal_protocol::Message;

const CHANGES: u64 = 40;

/// A configuration with realistic entry sizes; `version` changes one timeout.
fn configuration(version: u64, (routes, services): (usize, usize)) -> Vec<u8> {
    let name = |at: usize| format!("{:07x}", (at as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 36);
    let route = |at: usize| {
        let expiry = 800 + u64::from(at as u64 == version % routes as u64) * version;
        // Large configurations need short entries to stay below the maximum body size.
        if routes > 5000 {
            return serde_json::json!({"label": name(at), "host": name(at), "expiryMs": expiry,
                "destination": format!("s{}", at % services)});
        }
        serde_json::json!({"label": format!("r-{}", name(at)), "host": format!("h{}", name(at)), "pathPrefix": "/",
            "category": "primary", "expiryMs": expiry, "targetMs": 150, "precedence": 1,
            "destination": format!("s{}", at % services), "maxAttempts": 2})
    };
    let service = |at: usize| serde_json::json!({"label": format!("s{at}"), "probePath": "/health", "syncReplicas": 1});
    let routes: Vec<serde_json::Value> = (0..routes).map(route).collect();
    let services: Vec<serde_json::Value> = (0..services).map(service).collect();
    let limits = serde_json::json!({"headerBytes": 16384, "bodyBytes": 262_144, "txnIdleMs": 3000});
    serde_json::json!({"issue": version, "routing": routes, "services": services, "limits": limits})
        .to_string()
        .into_bytes()
}

/// Duration of one call in microseconds.
fn time_us(call: impl FnOnce()) -> f64 {
    let start = Instant::now();
    call();
    start.elapsed().as_secs_f64() * 1e6
}

/// Minimum and median. The minimum is the least affected by other load on the machine.
fn min_and_median(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    (values[0].round(), values[values.len() / 2].round())
}

/// A control node that is the only voter.
fn single_control_node() -> wv_control::Core {
    let me = "10.0.0.1:80".to_owned();
    let start = wv_control::Start {
        address: me.clone(),
        node: "c".to_owned(),
        zone: "z".to_owned(),
        incarnation: 1,
        seeds: vec![me],
        is_initial_start: true,
        has_disk: true,
        tolerated_machines: 1,
        disk_id: 1,
        requester_id: 1,
    };
    let store = wv_consensus::Store::open(Box::new(wv_consensus::MemoryFiles::default())).expect("an empty store");
    let mut core = wv_control::Core::new(start, store).expect("a control node");
    core.tick(1);
    core
}

fn run((routes, services): (usize, usize)) -> serde_json::Value {
    let bodies: Vec<Vec<u8>> = (1..=CHANGES + 1).map(|version| configuration(version, (routes, services))).collect();
    let (mut control, mut access) = (single_control_node(), wv_access::Core::new("z", 6_000_000));
    let link = control.accept_link(2);
    let hello = Message::Hello {
        node: "a".to_owned(),
        control_address: String::new(),
        zone: "z".to_owned(),
        forwarding_address: String::new(),
        incarnation: 1,
    };
    control.handle_message(link, hello, 3);
    control.handle_message(link, Message::Subscribe { incarnation: 0, position: 0 }, 4);
    control.tick(200_000);
    let (mut put_times, mut apply_times, mut bytes, mut now) = (Vec::new(), Vec::new(), 0, 300_000);
    for (at, body) in bodies.iter().enumerate() {
        now += 1_000_000;
        let put_time = time_us(|| control.handle_call(at as u64 + (1 << 40), "PUT", "/configuration", Some(body), now));
        control.tick(now + 1);
        let sent = control.take_effects().into_iter().filter_map(|effect| match effect {
            wv_control::Effect::Send { message: msg @ (Message::Update { .. } | Message::Snapshot { .. }), .. } => {
                Some(msg)
            }
            _ => None,
        });
        for msg in sent {
            let mut frame = Vec::new();
            wv_internal_protocol::encode_frame(&mut frame, &msg);
            let apply_time = time_us(|| access.apply_feed_message(msg, now).expect("no gap"));
            if at > 0 {
                bytes += frame.len();
                apply_times.push(apply_time);
            }
        }
        if at > 0 {
            put_times.push(put_time);
        }
    }
    let applied = apply_times.len();
    let (control_us, control_median_us) = min_and_median(put_times);
    let (access_us, access_median_us) = min_and_median(apply_times);
    serde_json::json!({"routes": routes, "services": services, "body_bytes": bodies[1].len(), "changes": CHANGES,
        "told": applied, "control_us": control_us, "control_us_middle": control_median_us, "access_us": access_us,
        "access_us_middle": access_median_us, "bytes_a_change": bytes as u64 / CHANGES})
}

/// Parses `ROUTES` or `ROUTES/SERVICES`.
fn parse_size(arg: &str) -> Option<(usize, usize)> {
    let (routes, services) = arg.split_once('/').unwrap_or((arg, "120"));
    let number = |text: &str| text.parse().ok().filter(|number| (1..=10_000).contains(number));
    number(routes).zip(number(services))
}

fn main() {
    let parsed: Option<Vec<(usize, usize)>> = std::env::args().skip(1).map(|arg| parse_size(&arg)).collect();
    let Some(mut sizes) = parsed else {
        eprintln!("change: expected ROUTES or ROUTES/SERVICES, integers from 1 to 10000");
        std::process::exit(2);
    };
    if sizes.is_empty() {
        sizes = vec![(20, 120), (2000, 120), (10_000, 120)];
    }
    sizes.into_iter().for_each(|size| println!("{}", run(size)));
}
