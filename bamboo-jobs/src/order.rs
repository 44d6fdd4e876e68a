//! Job priority: the job with the least slack until its deadline goes first.

use std::time::Duration;

use bamboo_types::Timestamp;
use bamboo_types::millis;

use crate::Job;

/// Weight of a new measurement in the exponential moving average of the rate.
const RATE_GAIN: f64 = 0.2;
/// Smallest interval over which completions are counted before the rate is updated.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Measured completion rate of one job.
#[derive(Debug, Clone, Default)]
pub struct JobRate {
    items_per_s: Option<f64>,
    window_started_at: Option<Timestamp>,
    window_count: u32,
}

impl JobRate {
    /// Counts an item that ended.
    pub fn record_completion(&mut self, now: Timestamp) {
        let started_at = *self.window_started_at.get_or_insert(now);
        self.window_count += 1;
        let elapsed = now.saturating_sub(started_at);
        if elapsed >= RATE_WINDOW {
            let measured = f64::from(self.window_count) / elapsed.as_secs_f64();
            let previous = self.items_per_s.unwrap_or(measured);
            self.items_per_s = Some(previous + RATE_GAIN * (measured - previous));
            self.window_started_at = Some(now);
            self.window_count = 0;
        }
    }

    /// Items per second, or `None` before the first measurement.
    ///
    /// ```
    /// assert_eq!(bamboo_jobs::JobRate::default().items_per_s(), None);
    /// ```
    pub fn items_per_s(&self) -> Option<f64> {
        self.items_per_s
    }
}

/// Slack of a job, in milliseconds: time until its deadline minus the time it still needs at its measured rate.
///
/// Negative if the job is predicted to be late. A job whose rate is not measured yet counts as needing no time.
pub fn slack(now: Timestamp, job: &Job, rate: &JobRate) -> i64 {
    let until_deadline = job.spec.deadline_ms as i64 - millis(now) as i64;
    let needed_ms = rate.items_per_s().map_or(0.0, |rate| {
        f64::from(job.remaining_count()) / rate.max(1e-3) * 1000.0
    });
    until_deadline.saturating_sub(needed_ms as i64)
}
