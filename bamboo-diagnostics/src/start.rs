//! The log of a process.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

use logforth::append::Stderr;
use logforth::append::Stdout;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;
use logforth::record::Level;
use logforth::record::LevelFilter;

use crate::LineCounts;
use crate::queued;

/// Lines that wait to be written. One takes some 500 bytes.
const LINES_MAX: usize = 4096;
/// Time for the last lines before a process exits.
pub const LAST_LINES_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which it is checked whether all lines have been written.
const WRITTEN_POLL_INTERVAL: Duration = Duration::from_millis(2);

static COUNTS: OnceLock<Arc<LineCounts>> = OnceLock::new();

/// Where the lines go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

/// How a line looks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layout {
    /// A JSON object.
    Json,
    /// Plain text.
    Text,
}

/// What a log is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Where the lines go.
    pub output: Output,
    /// How they look.
    pub layout: Layout,
}

/// Starts the log of this process, which takes lines of the level `INFO` and above.
///
/// # Panics
/// Panics if the process has a logger already.
///
/// ```
/// use bamboo_diagnostics::*;
/// start(Options { output: Output::Stderr, layout: Layout::Json });
/// log::info!("a line");
/// assert!(wait_until_written(std::time::Duration::from_secs(5)));
/// assert_eq!(dropped_lines(), 0);
/// ```
pub fn start(options: Options) {
    let layout: Box<dyn logforth::Layout> = match options.layout {
        Layout::Json => Box::new(JsonLayout::default()),
        Layout::Text => Box::new(TextLayout::default().no_color()),
    };
    let counts = match options.output {
        Output::Stdout => apply(Stdout::default().with_layout(layout)),
        Output::Stderr => apply(Stderr::default().with_layout(layout)),
    };
    // Set once only, since a second logger has panicked above.
    let _ = COUNTS.set(counts);
}

fn apply<A>(append: A) -> Arc<LineCounts>
where
    A: logforth::Append,
{
    let (append, counts) = queued(append, LINES_MAX);
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(Level::Info))
                .append(append)
        })
        .apply();
    counts
}

/// Lines of this process that were dropped because its output was not read in time.
pub fn dropped_lines() -> u64 {
    COUNTS.get().map_or(0, |counts| counts.dropped())
}

/// Waits until all lines have been written, before the process exits. Returns whether they were within the timeout.
pub fn wait_until_written(timeout: Duration) -> bool {
    let until = Instant::now() + timeout;
    while COUNTS.get().is_some_and(|counts| counts.waiting() > 0) {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(WRITTEN_POLL_INTERVAL);
    }
    true
}
