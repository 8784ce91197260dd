//! Stand-ins for the cases of the review, written after the users' pages: databases with a replicated log, the
//! platform, the operator's and the databases' calls, and clients.
pub mod client;
pub mod database;
pub mod fleet;
pub mod http;
pub mod platform;
pub mod record;
pub mod registry;
mod replication;
pub mod statements;

use std::time::Duration;

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Waits until `condition` holds, `limit_ms` at most; returns whether it does.
pub fn wait_for(limit_ms: u64, condition: impl Fn() -> bool) -> bool {
    for _ in 0..limit_ms.div_ceil(20) {
        if condition() {
            return true;
        }
        sleep_ms(20);
    }
    condition()
}

/// The comma separated list in the environment variable `name`.
pub fn list_from_env(name: &str) -> Vec<String> {
    let text = std::env::var(name).unwrap_or_default();
    text.split(',').filter(|part| !part.is_empty()).map(str::to_owned).collect()
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
