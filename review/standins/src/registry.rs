//! What databases tell the control nodes: beats, and that they leave.
use crate::fleet::Fleet;
use crate::http;
use std::sync::Arc;

const BEAT_MS: u64 = 1200;

/// Sends the beats of one database while it runs and has not said DELETE. Changes are told at once.
pub fn send_beats(fleet: Arc<Fleet>, id: String, controls: Vec<String>) {
    std::thread::spawn(move || {
        let mut at = id.len();
        loop {
            let beat = fleet.next_beat(&id);
            if let Some(body) = beat {
                // No clear answer within a second: the next node is called.
                for _ in 0..controls.len() {
                    let node = &controls[at % controls.len()];
                    match http::call(node, "PUT", &format!("/instances/{id}"), &body) {
                        Ok(answer) if (200..300).contains(&answer.status) => break,
                        _ => at += 1,
                    }
                }
            }
            for _ in 0..BEAT_MS / 20 {
                if fleet.take_change(&id) {
                    break;
                }
                crate::sleep_ms(20);
            }
        }
    });
}

/// Says DELETE until it is acknowledged; returns whether it was within `limit_ms`.
pub fn say_delete(fleet: &Fleet, id: &str, controls: &[String], limit_ms: u64) -> bool {
    fleet.stop_beats(id);
    let answer = http::insist(controls, "DELETE", &format!("/instances/{id}"), "", limit_ms);
    let status = answer.map_or(0, |answer| answer.status);
    fleet.record.tell(&format!("{id} said DELETE: {status}"));
    (200..300).contains(&status)
}
