//! Background tasks that end although the process needs them.

use bamboo_gateway::Supervisor;

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
