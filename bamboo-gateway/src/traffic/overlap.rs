//! Runs of one request that overlap: while a server is silent, the request is sent to another one, too.

use std::future::Future;
use std::pin::Pin;
use std::task::Poll;

/// Number of runs of a request at a time.
pub(super) const OPEN_RUNS_MAX: usize = 2;

/// Waits for the first of several futures to end, the earlier ones first if several have. Returns its index, too.
pub(super) async fn first_of<'a, F>(futures: impl Iterator<Item = &'a mut F>) -> (usize, F::Output)
where
    F: Future + Unpin + 'a,
{
    let mut futures: Vec<&mut F> = futures.collect();
    std::future::poll_fn(|context| {
        for (index, future) in futures.iter_mut().enumerate() {
            if let Poll::Ready(output) = Pin::new(&mut **future).poll(context) {
                return Poll::Ready((index, output));
            }
        }
        Poll::Pending
    })
    .await
}

/// Waits for a future, or for ever if there is none.
pub(super) async fn or_pending<F>(future: Option<F>) -> F::Output
where
    F: Future,
{
    match future {
        Some(future) => future.await,
        None => std::future::pending().await,
    }
}
