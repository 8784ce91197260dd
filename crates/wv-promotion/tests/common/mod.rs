//! A service whose primary `p` is leaving, with the replicas `c` and `d`; this node is the duty holder.
use wv_promotion::{Database, Effect, PromotionCoordinator, ServiceView};
use wv_wire_protocol::LogPosition;

pub const S: u64 = 1_000_000;

/// Applies a call to the coordinator and returns its effects.
pub fn with_leaving_primary(
    coordinator: &mut PromotionCoordinator,
    now: u64,
    is_leader_closed_to_new_work: bool,
    apply: impl FnOnce(&mut PromotionCoordinator, &ServiceView<'_>),
) -> Vec<Effect> {
    let database =
        |id: &str, is_draining| Database { id: id.to_owned(), is_draining, refused_for_us: None, departed: None };
    let view = ServiceView {
        now,
        is_duty_holder: true,
        leader: Some("p"),
        sync_replicas: 1,
        databases: &[database("p", true), database("c", false), database("d", false)],
        is_switchover_requested: false,
        is_leader_suspected: false,
        is_leader_closed_to_new_work,
        has_leader_stepped_down: false,
        is_leader_down: false,
        term: 3,
        fenced_position: Some((S, LogPosition { term: 3, number: 8 })),
    };
    apply(coordinator, &view);
    coordinator.take_effects()
}
