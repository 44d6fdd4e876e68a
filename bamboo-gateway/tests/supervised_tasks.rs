//! Background tasks that end although the process needs them.

use std::cell::Cell;
use std::time::Duration;

use bamboo_gateway::Supervisor;
use bamboo_gateway::run_despite_panics;

/// A process whose heartbeats or watches have ended would live on, and look ready to its callers.
#[actix_rt::test]
async fn the_end_of_a_task_is_reported_whether_it_panics_or_returns() {
    let (mut supervisor, mut ended) = Supervisor::new();
    supervisor.spawn("running", std::future::pending());
    supervisor.spawn("panicking", async {
        panic!("an unexpected record");
    });
    assert_eq!(ended.recv().await, Some("panicking"));
    supervisor.spawn("returning", async {});
    assert_eq!(ended.recv().await, Some("returning"));
    drop(supervisor);
    assert_eq!(
        ended.recv().await,
        None,
        "the running task ends with its owner"
    );
}

/// Guards against an accepted item that nothing works on because its task panicked.
#[actix_rt::test]
async fn a_task_that_panics_is_begun_anew() {
    let runs = Cell::new(0);
    run_despite_panics("item", Duration::ZERO, || async {
        runs.set(runs.get() + 1);
        tokio::task::yield_now().await;
        assert!(runs.get() > 3, "unexpected event");
    })
    .await;
    assert_eq!(runs.get(), 4);
}
