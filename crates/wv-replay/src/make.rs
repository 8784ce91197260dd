//! Busy hours made up for the two kinds of users, named as generated.
use crate::hour::{Entry, Hour, HourError, Noted};
use wv_simulation::{RequestKind, Rng};

/// What to make.
#[derive(Clone, Debug)]
pub struct Recipe {
    pub users: String,
    pub nodes: usize,
    pub services: usize,
    pub sessions: usize,
    pub seconds: u64,
    /// Requests a second at the middle of the wave.
    pub per_s: f64,
    pub seed: u64,
}

struct Users {
    kinds: &'static str,
    deadlines: &'static str,
    browse: &'static str,
    work: &'static str,
    /// Of a hundred requests of those who work: single writes, transactions.
    writes: u64,
    txns: u64,
}

const USERS: [(&str, Users); 2] = [
    (
        "couriers",
        Users {
            kinds: "browse:lookup,read:check,write:scan,txn:scan-batch",
            deadlines: "3000,1000",
            browse: "parcel-lookup",
            work: "scan-post",
            writes: 20,
            txns: 40,
        },
    ),
    (
        "cadastre",
        Users {
            kinds: "browse:map-view,read:check,write:clerk-write,txn:transfer",
            deadlines: "5000,1200",
            browse: "map-browse",
            work: "parcel-mutation",
            writes: 35,
            txns: 40,
        },
    ),
];

/// An hour of `recipe`: sessions stay for long, requests come in a wave whose top is at two thirds.
pub fn make(recipe: &Recipe) -> Result<Hour, HourError> {
    let users = USERS.iter().find(|(name, _)| *name == recipe.users).map(|(_, users)| users);
    let unknown = || HourError::Setting(format!("--generate {}: expected couriers or cadastre", recipe.users));
    let users = users.ok_or_else(unknown)?;
    let mut luck = Rng::new(recipe.seed);
    let mut events: Vec<Noted> = Vec::new();
    let end = recipe.seconds * 1_000_000;
    let mut sessions: Vec<(String, bool, u64, u64)> = Vec::new();
    for at in 0..recipe.sessions {
        let is_bounded = at % 3 == 0;
        let service = format!("s{}", luck.below(recipe.services as u64));
        let client = format!("n{}/{:08x}", at % recipe.nodes, (at as u64).wrapping_mul(0x9e37_79b9) as u32);
        // Most are there all the time, some come and go.
        let (from, until) = match luck.below(10) {
            0 => (luck.below(end / 2), end / 2 + luck.below(end / 2)),
            _ => (luck.below(500_000), end),
        };
        let host = format!("{}.{service}", if is_bounded { users.browse } else { users.work });
        let entry = Entry::Open { host, is_bounded, service };
        events.push(Noted { at_us: from, client: client.clone(), entry });
        if until < end {
            events.push(Noted { at_us: until, client: client.clone(), entry: Entry::Close });
        }
        sessions.push((client, is_bounded, from, until));
    }
    let mut at = 500_000.0;
    while (at as u64) < end {
        let turn = at / end as f64;
        let wave = 1.0 + 0.5 * (std::f64::consts::TAU * (turn - 5.0 / 12.0)).sin();
        let gap = -((luck.below(1_000_000) as f64 + 1.0) / 1_000_001.0).ln() / (recipe.per_s * wave).max(0.01);
        at += gap * 1e6;
        let (client, is_bounded, from, until) = &sessions[luck.below(sessions.len() as u64) as usize];
        let at_us = at as u64;
        if at_us <= *from || at_us >= *until {
            continue;
        }
        let kind = match luck.below(100) {
            draw if *is_bounded && draw < 10 => RequestKind::Txn { statements: 2, writes: false },
            _ if *is_bounded => RequestKind::Read,
            draw if draw < users.writes => RequestKind::Write,
            draw if draw < users.writes + users.txns => {
                RequestKind::Txn { statements: 2 + luck.below(4) as u8, writes: luck.below(10) < 8 }
            }
            _ => RequestKind::Read,
        };
        events.push(Noted { at_us, client: client.clone(), entry: Entry::Ask(kind) });
    }
    events.sort_by_key(|noted| noted.at_us);
    let nodes = (0..recipe.nodes).map(|at| format!("n{at}")).collect::<Vec<String>>().join(",");
    let head = [
        ("generated", recipe.users.clone()),
        ("nodes", nodes),
        ("kinds", users.kinds.to_owned()),
        ("deadlines", users.deadlines.to_owned()),
        ("seed", recipe.seed.to_string()),
    ];
    Ok(Hour { head: head.into_iter().map(|(name, value)| (name.to_owned(), value)).collect(), events })
}
