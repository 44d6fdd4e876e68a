//! Batch routes of configurations that have been replaced.

use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::FleetConfig;
use bamboo_fleet::FormerBatchRoutes;
use bamboo_fleet::Route;
use bamboo_fleet::RouteKind;

const KEPT: Duration = Duration::from_secs(120);

fn config_with(kind: RouteKind, path_prefix: &str) -> FleetConfig {
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: path_prefix.into(),
        kind,
        timeout: None,
        target_latency: Duration::ZERO,
        priority: 0,
        attempts_max: 1,
        is_public: false,
        targets: Vec::new(),
    };
    FleetConfig {
        routes: vec![Rc::new(route)],
        ..FleetConfig::default()
    }
}

fn batch() -> RouteKind {
    RouteKind::Batch {
        completion_target: KEPT,
        retention: KEPT,
        waiting_max_tokens: 0,
    }
}

/// Guards against a host that forgets a batch route with the configuration that had it, so that a job accepted on it is turned
/// away when it is submitted again.
#[test]
fn batch_routes_are_remembered_for_as_long_as_results() {
    let mut former = FormerBatchRoutes::default();
    former.record_replaced(&config_with(batch(), "/jobs/"), Duration::ZERO, KEPT);
    assert!(former.matches("h", "/jobs/1"));
    assert!(!former.matches("h", "/other/1"));
    assert!(!former.matches("other", "/jobs/1"));
    assert!(former.has_host("h"));
    assert!(!former.has_host("other"));
    let without = FleetConfig::default();
    former.record_replaced(&without, KEPT, KEPT);
    assert!(former.matches("h", "/jobs/1"));
    former.record_replaced(&without, KEPT + Duration::from_secs(1), KEPT);
    assert!(!former.matches("h", "/jobs/1"));
}

/// Guards against lookups of jobs for requests on former routes of another kind.
#[test]
fn other_routes_are_not_remembered() {
    let mut former = FormerBatchRoutes::default();
    let online = config_with(RouteKind::Idempotent, "/online/");
    former.record_replaced(&online, Duration::ZERO, KEPT);
    assert!(!former.matches("h", "/online/1"));
    assert!(!former.has_host("h"));
}
