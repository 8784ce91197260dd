//! Bodies of the configurations that simulated operators send.
use crate::Simulation;

/// What configurations have besides the routes and the service of every schedule.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub(super) struct Sections {
    /// The service that the routes of the probes lead to; none if the schedule has no probes.
    pub probed_service: Option<&'static str>,
    pub has_partners: bool,
    pub has_plan: bool,
}

pub(super) fn valid_body(version: u64, variant: u64, sections: &Sections) -> Vec<u8> {
    let text = String::from_utf8_lossy(&Simulation::configuration(version)).into_owned();
    let text = text.replace("\"targetMs\":800", &format!("\"targetMs\":{}", 800 + variant));
    let Some(probed_service) = sections.probed_service else { return text.into_bytes() };
    let mut value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    for service in ["t", "u"] {
        let service = serde_json::json!({"label": service, "maxConnections": 100, "syncReplicas": 1});
        value["services"].as_array_mut().into_iter().for_each(|services| services.push(service.clone()));
    }
    for (host, category) in [("v", "primary"), ("w", "bounded_staleness")] {
        let route = serde_json::json!({"label": host, "host": host, "pathPrefix": "/", "category": category,
            "expiryMs": 1000, "targetMs": 200, "precedence": 2, "destination": probed_service, "maxAttempts": 2,
            "maxStalenessMs": 1500});
        value["routing"].as_array_mut().into_iter().for_each(|routes| routes.push(route.clone()));
    }
    if sections.has_partners {
        value["partners"] = serde_json::json!([{"label": "all", "portion": 1, "nodes": ["a*"]}]);
    }
    if sections.has_plan {
        value["shardPlans"] = serde_json::json!([{"shard": "s", "upper": "t", "rowsMax": 1_000_000,
            "quiet": "* * 1-4 * * *", "rowsPerS": 2_000, "auto": false}]);
    }
    value.to_string().into_bytes()
}

/// Bodies that every node must reject, each for another reason.
pub(super) fn invalid_body(version: u64, variant: u64) -> Vec<u8> {
    let text = String::from_utf8_lossy(&Simulation::configuration(version)).into_owned();
    let text = match variant % 4 {
        0 => text.replace("\"expiryMs\":1000", "\"expiryMs\":0"),
        1 => text.replace("\"destination\":\"s\"", "\"destination\":\"nowhere\""),
        2 => text.replace("\"host\":\"b\"", "\"host\":\"p\""),
        _ => text[..text.len() / 2].to_owned(),
    };
    text.into_bytes()
}
