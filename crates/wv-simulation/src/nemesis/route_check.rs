//! Checks that no access node goes back to an earlier route.
use super::History;
use std::collections::BTreeMap;

/// How long after the effect of a version an access node may still go by an earlier one.
const DOWNGRADE_SLACK_US: u64 = 250_000;

/// The sightings of one incarnation of a node must be explained by versions that never decrease: each by the lowest
/// version that leads to the service, was sent by then, and is not below those seen earlier.
pub(super) fn route_went_back(history: &History) -> Option<String> {
    let mut versions: Vec<(u64, u64, &str)> = history
        .updates
        .iter()
        .filter_map(|update| Some((update.version, update.first_sent_us, update.probed_service.as_deref()?)))
        .collect();
    versions.sort_unstable();
    // When each node's lowest possible version was reached.
    let mut reached: BTreeMap<(&str, u64), Vec<(u64, u64)>> = BTreeMap::new();
    history.route_sightings.iter().find_map(|sighting| {
        let steps = reached.entry((sighting.node.as_str(), sighting.incarnation)).or_default();
        let is_binding = |step: &&(u64, u64)| step.0 + DOWNGRADE_SLACK_US < sighting.sent_us;
        let floor = steps.iter().filter(is_binding).map(|step| step.1).max().unwrap_or(0);
        let explanation = versions.iter().find(|(version, sent_us, service)| {
            *version >= floor && *sent_us <= sighting.received_us && *service == sighting.service
        });
        match explanation {
            None => Some(format!(
                "{} goes by version {floor} or a later one, but a read sent at {} was answered by {}",
                sighting.node, sighting.sent_us, sighting.service
            )),
            Some((version, ..)) => {
                if steps.last().is_none_or(|step| step.1 < *version) {
                    steps.push((sighting.received_us, *version));
                }
                None
            }
        }
    })
}
