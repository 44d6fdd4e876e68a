//! A log whose output is not read for a while.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bamboo_diagnostics::queued;
use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::record::Record;

/// Lines that may wait.
const LINES_MAX: usize = 10;
/// Lines that are logged while nothing is read.
const LOGGED: usize = 30;

/// An output that takes nothing while its lines are locked.
#[derive(Debug, Clone, Default)]
struct LockedOutput(Arc<Mutex<Vec<String>>>);

impl Append for LockedOutput {
    fn append(&self, record: &Record<'_>, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.0.lock().unwrap().push(record.payload().to_string());
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Guards against a process that stands still, or drops lines silently, because its log is not read.
#[test]
fn a_log_that_is_not_read_stops_nothing_and_tells_what_it_dropped() {
    let output = LockedOutput::default();
    let (append, counts) = queued(output.clone(), LINES_MAX);
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .apply();
    let unread = output.0.lock().unwrap();
    for line in 0..LOGGED {
        log::info!("line {line}");
    }
    assert_eq!(counts.waiting(), LINES_MAX);
    assert_eq!(counts.dropped(), (LOGGED - LINES_MAX) as u64);
    drop(unread);
    let until = Instant::now() + Duration::from_secs(30);
    let told = || {
        let lines = output.0.lock().unwrap();
        lines.iter().any(|line| line.contains("were dropped"))
    };
    while !told() || counts.waiting() > 0 {
        assert!(Instant::now() < until, "{:?}", output.0.lock().unwrap());
        std::thread::sleep(Duration::from_millis(5));
    }
    let lines = output.0.lock().unwrap();
    let first: Vec<String> = (0..LINES_MAX).map(|line| format!("line {line}")).collect();
    assert_eq!(lines[..LINES_MAX], first);
}
