//! Generates synthetic recordings for the built-in user profiles, marked as generated in their header.
use crate::recording::{RecordedAction, RecordedEvent, Recording, RecordingError};
use wv_simulation::{RequestKind, Rng};

#[derive(Clone, Debug)]
pub struct GeneratorOptions {
    /// Name of the user profile.
    pub profile: String,
    pub nodes: usize,
    pub services: usize,
    pub sessions: usize,
    pub seconds: u64,
    /// Mean request rate of the load curve.
    pub requests_per_s: f64,
    pub seed: u64,
}

struct UserProfile {
    kinds: &'static str,
    deadlines: &'static str,
    /// Host prefixes of sessions that use replicas and of sessions that use the primary.
    browse: &'static str,
    work: &'static str,
    /// Single writes among the requests of primary sessions, in percent.
    write_percent: u64,
    /// Transactions among the requests of primary sessions, in percent.
    transaction_percent: u64,
}

const PROFILES: [(&str, UserProfile); 2] = [
    (
        "couriers",
        UserProfile {
            kinds: "browse:lookup,read:check,write:scan,txn:scan-batch",
            deadlines: "3000,1000",
            browse: "parcel-lookup",
            work: "scan-post",
            write_percent: 20,
            transaction_percent: 40,
        },
    ),
    (
        "cadastre",
        UserProfile {
            kinds: "browse:map-view,read:check,write:clerk-write,txn:transfer",
            deadlines: "5000,1200",
            browse: "map-browse",
            work: "parcel-mutation",
            write_percent: 35,
            transaction_percent: 40,
        },
    ),
];

/// Generates a recording with long sessions and a sinusoidal request rate that peaks at two thirds of its duration.
pub fn generate_recording(options: &GeneratorOptions) -> Result<Recording, RecordingError> {
    let profile = PROFILES.iter().find(|(name, _)| *name == options.profile).map(|(_, profile)| profile);
    let unknown = || RecordingError::Invalid(format!("--generate {}: expected couriers or cadastre", options.profile));
    let profile = profile.ok_or_else(unknown)?;
    let mut rng = Rng::new(options.seed);
    let mut events: Vec<RecordedEvent> = Vec::new();
    let end = options.seconds * 1_000_000;
    let mut sessions: Vec<(String, bool, u64, u64)> = Vec::new();
    for at in 0..options.sessions {
        let is_bounded = at % 3 == 0;
        let service = format!("s{}", rng.below(options.services as u64));
        let client = format!("n{}/{:08x}", at % options.nodes, (at as u64).wrapping_mul(0x9e37_79b9) as u32);
        // One session in ten covers only part of the recording.
        let (from, until) = match rng.below(10) {
            0 => (rng.below(end / 2), end / 2 + rng.below(end / 2)),
            _ => (rng.below(500_000), end),
        };
        let host = format!("{}.{service}", if is_bounded { profile.browse } else { profile.work });
        let action = RecordedAction::Open { host, is_bounded, service };
        events.push(RecordedEvent { at_us: from, client: client.clone(), action });
        if until < end {
            events.push(RecordedEvent { at_us: until, client: client.clone(), action: RecordedAction::Close });
        }
        sessions.push((client, is_bounded, from, until));
    }
    let mut at = 500_000.0;
    while (at as u64) < end {
        let progress = at / end as f64;
        let rate_factor = 1.0 + 0.5 * (std::f64::consts::TAU * (progress - 5.0 / 12.0)).sin();
        let gap = -((rng.below(1_000_000) as f64 + 1.0) / 1_000_001.0).ln()
            / (options.requests_per_s * rate_factor).max(0.01);
        at += gap * 1e6;
        let (client, is_bounded, from, until) = &sessions[rng.below(sessions.len() as u64) as usize];
        let at_us = at as u64;
        if at_us <= *from || at_us >= *until {
            continue;
        }
        let kind = match rng.below(100) {
            draw if *is_bounded && draw < 10 => RequestKind::Txn { statements: 2, writes: false },
            _ if *is_bounded => RequestKind::Read,
            draw if draw < profile.write_percent => RequestKind::Write,
            draw if draw < profile.write_percent + profile.transaction_percent => {
                RequestKind::Txn { statements: 2 + rng.below(4) as u8, writes: rng.below(10) < 8 }
            }
            _ => RequestKind::Read,
        };
        events.push(RecordedEvent { at_us, client: client.clone(), action: RecordedAction::Request(kind) });
    }
    events.sort_by_key(|event| event.at_us);
    let nodes = (0..options.nodes).map(|at| format!("n{at}")).collect::<Vec<String>>().join(",");
    let header = [
        ("generated", options.profile.clone()),
        ("nodes", nodes),
        ("kinds", profile.kinds.to_owned()),
        ("deadlines", profile.deadlines.to_owned()),
        ("seed", options.seed.to_string()),
    ];
    Ok(Recording { header: header.into_iter().map(|(name, value)| (name.to_owned(), value)).collect(), events })
}
