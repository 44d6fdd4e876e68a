//! Tasks that are aborted with their owner, and background tasks whose end is noticed.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// A spawned task that is aborted on drop.
#[derive(Debug)]
pub struct OwnedTask(JoinHandle<()>);

impl OwnedTask {
    pub(crate) fn spawn<F>(future: F) -> Self
    where
        F: Future<Output = ()> + 'static,
    {
        OwnedTask(actix_rt::spawn(future))
    }

    pub(crate) fn is_finished(&self) -> bool {
        self.0.is_finished()
    }
}

impl Drop for OwnedTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Runs a task to its end. A task that panics is logged and begun anew after a pause: the work of a task of its own would
/// otherwise stop with it, unnoticed.
///
/// ```
/// use std::cell::Cell;
/// use std::time::Duration;
/// actix_rt::System::new().block_on(async {
///     let runs = Cell::new(0);
///     bamboo_gateway::run_despite_panics("item", Duration::ZERO, || async {
///         runs.set(runs.get() + 1);
///         assert!(runs.get() > 2, "fails twice");
///     })
///     .await;
///     assert_eq!(runs.get(), 3);
/// });
/// ```
pub async fn run_despite_panics<F, Fut>(task: TaskName, pause: Duration, begin: F)
where
    F: Fn() -> Fut,
    Fut: Future<Output = ()>,
{
    while !ends_without_panic(task, begin()).await {
        actix_rt::time::sleep(pause).await;
    }
}

/// Runs a task, and logs a panic. Returns whether it ended by itself.
pub(crate) async fn ends_without_panic<F>(task: TaskName, future: F) -> bool
where
    F: Future<Output = ()>,
{
    // Cells that a panic leaves half changed are those of the task itself, which begins anew.
    let ended = AssertUnwindSafe(future).catch_unwind().await.is_ok();
    if !ended {
        log::error!(event = "task_failed", task; "a task panicked");
    }
    ended
}

/// Name of a background task.
pub type TaskName = &'static str;

/// Runs the background tasks without which a process must not go on. A panic ends only its task, and the process would
/// otherwise live on without, say, its heartbeats.
#[derive(Debug)]
pub struct Supervisor {
    tasks: Vec<OwnedTask>,
    ended: mpsc::UnboundedSender<TaskName>,
}

impl Supervisor {
    /// Creates a supervisor, and the receiver of the names of tasks that have ended.
    ///
    /// ```
    /// actix_rt::System::new().block_on(async {
    ///     let (mut supervisor, mut ended) = bamboo_gateway::Supervisor::new();
    ///     supervisor.spawn("heartbeats", std::future::pending());
    ///     supervisor.spawn("watch", async { panic!("unexpected record") });
    ///     assert_eq!(ended.recv().await, Some("watch"));
    /// });
    /// ```
    pub fn new() -> (Self, mpsc::UnboundedReceiver<TaskName>) {
        let (ended, receiver) = mpsc::unbounded_channel();
        let tasks = Vec::new();
        (Supervisor { tasks, ended }, receiver)
    }

    /// Spawns a task that is to run until the process ends. Its end is reported, be it by a panic or by its return.
    pub fn spawn<F>(&mut self, name: TaskName, future: F)
    where
        F: Future<Output = ()> + 'static,
    {
        let ended = self.ended.clone();
        let mut task = OwnedTask::spawn(future);
        self.tasks.push(OwnedTask::spawn(async move {
            if let Err(error) = (&mut task.0).await {
                log::error!(event = "task_failed", task = name; "a background task failed: {error}");
            }
            // The receiver is gone once the process ends.
            let _ = ended.send(name);
        }));
    }
}
