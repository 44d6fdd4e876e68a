//! A bounded queue before an appender.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::kv::ValueView;
use logforth::record::Record;

/// Size of the lines that wait, on average at most.
const LINE_MEAN_BYTES: usize = 1 << 10;
/// Size of a value in a line that is no text.
const OTHER_VALUE_BYTES: usize = 16;

/// Counts the bytes of a text that is formatted.
struct ByteCounter(usize);

impl fmt::Write for ByteCounter {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0 += text.len();
        Ok(())
    }
}

fn formatted_bytes(text: fmt::Arguments<'_>) -> usize {
    let mut counter = ByteCounter(0);
    // Fails only if a value cannot be formatted, which then takes no room either.
    let _ = fmt::Write::write_fmt(&mut counter, text);
    counter.0
}

/// Approximate size of a line.
fn line_bytes(record: &Record<'_>) -> usize {
    let values = record.key_values().iter().map(|(_, value)| match value {
        ValueView::BorrowedStr(text) => text.len(),
        ValueView::StaticStr(text) => text.len(),
        ValueView::Bytes(bytes) => bytes.len(),
        ValueView::Debug(value) => formatted_bytes(format_args!("{value:?}")),
        ValueView::Display(value) => formatted_bytes(format_args!("{value}")),
        _ => OTHER_VALUE_BYTES,
    });
    formatted_bytes(record.payload()) + values.sum::<usize>()
}

/// Lines that have not been written yet.
#[derive(Debug, Default)]
struct WaitingLines {
    /// Sizes of the lines, in their order.
    sizes_bytes: VecDeque<usize>,
    sum_bytes: usize,
}

/// Counts of the lines of a queue.
#[derive(Debug, Default)]
pub struct LineCounts {
    waiting: Mutex<WaitingLines>,
    dropped: AtomicU64,
    told: AtomicU64,
}

impl LineCounts {
    /// Lines that have not been written yet.
    pub fn waiting(&self) -> usize {
        self.lock_waiting().sizes_bytes.len()
    }

    /// Lines that found no room.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Takes a place in the queue for a line of this size. Counts the line as dropped if there is none.
    fn enter(&self, lines_max: usize, line_bytes: usize) -> bool {
        let mut waiting = self.lock_waiting();
        let sum_bytes = waiting.sum_bytes + line_bytes;
        if waiting.sizes_bytes.len() >= lines_max || sum_bytes > lines_max * LINE_MEAN_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        waiting.sizes_bytes.push_back(line_bytes);
        waiting.sum_bytes = sum_bytes;
        true
    }

    /// Frees the place of the line that has waited longest.
    fn leave(&self) {
        let mut waiting = self.lock_waiting();
        waiting.sum_bytes -= waiting.sizes_bytes.pop_front().unwrap_or(0);
    }

    fn lock_waiting(&self) -> MutexGuard<'_, WaitingLines> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lines dropped since the last call.
    fn take_untold(&self) -> u64 {
        let dropped = self.dropped();
        dropped - self.told.swap(dropped, Ordering::Relaxed)
    }
}

/// Puts a queue of at most `lines_max` lines, of 1 KiB each on average, before an appender, which runs on a thread of its own. Appending
/// never waits for it.
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
        match self.counts.enter(self.lines_max, line_bytes(record)) {
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
        self.counts.leave();
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
