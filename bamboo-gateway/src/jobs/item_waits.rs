//! Waits of items for a slot or for their turn.

use std::future::Future;
use std::time::Duration;

use bamboo_shards::JobRecord;

use crate::gateway::Gateway;
use crate::request_log::LineClass;
use crate::traffic::EngineRequest;

/// Interval at which an item that waits checks whether it still needs what it waits for.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the log names an item that waits.
const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Returns once an item may not wait any longer, as what it waits for is of no use to it, or another item is to have its place.
pub(super) async fn wait_until_obsolete<F>(may_wait: F)
where
    F: Fn() -> bool,
{
    loop {
        actix_rt::time::sleep(WAIT_CHECK_INTERVAL).await;
        if !may_wait() {
            return;
        }
    }
}

/// Logs at intervals that an item waits: for its turn, or for a slot of a service. The coordinator's line `load` tells whether
/// it counts the item as queued or as running.
pub(super) async fn log_long_wait<F>(
    gateway: &Gateway,
    job: &JobRecord,
    request: &EngineRequest,
    waits_for: &str,
    future: F,
) -> F::Output
where
    F: Future,
{
    let started_at = gateway.clock.now();
    let mut future = std::pin::pin!(future);
    loop {
        let waited = match tokio::time::timeout(WAIT_LOG_INTERVAL, &mut future).await {
            Ok(output) => return output,
            Err(_) => gateway.clock.now().saturating_sub(started_at),
        };
        if gateway.may_log(LineClass::Other) {
            log::info!(
                event = "item_waits", job = job.id.as_str(), item = request.id.as_str(), waits_for,
                coordinator = gateway.coordination.borrow().coordinator().as_str(),
                waited_ms = waited.as_millis() as u64;
                "an item has been waiting for long"
            );
        }
    }
}
