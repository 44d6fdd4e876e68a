//! A bounded queue before an appender.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::record::Record;

/// Counts of the lines of a queue.
#[derive(Debug, Default)]
pub struct LineCounts {
    waiting: AtomicUsize,
    dropped: AtomicU64,
    told: AtomicU64,
}

impl LineCounts {
    /// Lines that have not been written yet.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Acquire)
    }

    /// Lines that found no room.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Takes a place in the queue. Counts the line as dropped if there is none.
    fn enter(&self, lines_max: usize) -> bool {
        let entered = self
            .waiting
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |waiting| {
                (waiting < lines_max).then_some(waiting + 1)
            });
        if entered.is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        entered.is_ok()
    }

    /// Lines dropped since the last call.
    fn take_untold(&self) -> u64 {
        let dropped = self.dropped();
        dropped - self.told.swap(dropped, Ordering::Relaxed)
    }
}

/// Puts a queue of at most `lines_max` lines before an appender, which runs on a thread of its own. Appending never waits for it.
///
/// ```
/// use logforth::append::Stderr;
/// let (append, counts) = bamboo_diagnostics::queued(Stderr::default(), 100);
/// let logger = logforth::starter_log::builder().dispatch(|d| d.append(append)).build();
/// assert_eq!(counts.waiting(), 0);
/// # drop(logger);
/// ```
pub fn queued<A>(append: A, lines_max: usize) -> (impl Append, Arc<LineCounts>)
where
    A: Append,
{
    let counts = Arc::new(LineCounts::default());
    let writer = Writer {
        append,
        counts: Arc::clone(&counts),
    };
    let queue = Queue {
        // Bounded by the counts, so that nothing ever waits for room.
        append: AsyncBuilder::new("log").append(writer).build(),
        lines_max,
        counts: Arc::clone(&counts),
    };
    (queue, counts)
}

/// The end of the queue that takes lines.
#[derive(Debug)]
struct Queue<A> {
    append: A,
    lines_max: usize,
    counts: Arc<LineCounts>,
}

impl<A> Append for Queue<A>
where
    A: Append,
{
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        match self.counts.enter(self.lines_max) {
            true => self.append.append(record, diagnostics),
            false => Ok(()),
        }
    }

    fn flush(&self) -> Result<(), Error> {
        self.append.flush()
    }
}

/// The end of the queue that writes lines.
#[derive(Debug)]
struct Writer<A> {
    append: A,
    counts: Arc<LineCounts>,
}

impl<A> Append for Writer<A>
where
    A: Append,
{
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        let written = self.append.append(record, diagnostics);
        self.counts.waiting.fetch_sub(1, Ordering::AcqRel);
        let dropped = self.counts.take_untold();
        if dropped > 0 {
            log::warn!(
                event = "log_lines_dropped", dropped;
                "lines were dropped because the output of the log was not read in time"
            );
        }
        written
    }

    fn flush(&self) -> Result<(), Error> {
        self.append.flush()
    }
}
