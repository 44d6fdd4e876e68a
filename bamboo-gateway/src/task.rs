//! Tasks that are aborted with their owner.

use std::future::Future;

use tokio::task::JoinHandle;

/// A spawned task that is aborted on drop.
#[derive(Debug)]
pub(crate) struct OwnedTask(JoinHandle<()>);

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
