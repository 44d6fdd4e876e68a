//! Tasks that are aborted with their owner, and background tasks whose end is noticed.

use std::future::Future;

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
