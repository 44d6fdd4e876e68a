//! How long requests have taken lately.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of requests that are remembered.
const REMEMBERED_COUNT: usize = 32;

/// Run times of the latest requests of a route.
#[derive(Debug, Clone, Default)]
pub struct RunTimes {
    latest: VecDeque<Duration>,
}

impl RunTimes {
    /// Records how long a request took from its first run to the end of its response.
    ///
    /// ```
    /// use std::time::Duration;
    /// let mut run_times = bamboo_coordination::RunTimes::default();
    /// run_times.record(Duration::from_millis(300));
    /// run_times.record(Duration::from_millis(200));
    /// assert_eq!(run_times.longest(), Some(Duration::from_millis(300)));
    /// ```
    pub fn record(&mut self, run_time: Duration) {
        if self.latest.len() == REMEMBERED_COUNT {
            self.latest.pop_front();
        }
        self.latest.push_back(run_time);
    }

    /// Longest run time among the latest requests; `None` if there were none.
    ///
    /// ```
    /// assert_eq!(bamboo_coordination::RunTimes::default().longest(), None);
    /// ```
    pub fn longest(&self) -> Option<Duration> {
        self.latest.iter().max().copied()
    }
}
