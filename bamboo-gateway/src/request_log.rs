//! Bounds the log lines about requests. Each class of lines has a budget of its own, so that a failure among many successes
//! leaves a line.

use std::cell::Cell;
use std::time::Duration;

/// Maximum number of lines of a class per second.
const LINES_PER_S: u32 = 60;

/// What a line about a request tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LineClass {
    /// The request got the whole response of a server.
    Served,
    /// The request was rejected and did not run.
    Refused,
    /// The request did not carry the key of a workspace. Callers without a key must not use up the lines of others.
    Unauthenticated,
    /// The request was accepted and did not end whole.
    Failed,
    /// The caller left, or its connection failed.
    CallerLeft,
    /// A caller was turned away, or its connection closed, because a limit of the process was reached.
    TurnedAway,
    /// Anything else. The last class, by which the others are counted.
    Other,
}

/// Number of classes.
const CLASSES: usize = LineClass::Other as usize + 1;

impl LineClass {
    fn name(self) -> &'static str {
        match self {
            LineClass::Served => "served",
            LineClass::Refused => "refused",
            LineClass::Unauthenticated => "unauthenticated",
            LineClass::Failed => "failed",
            LineClass::CallerLeft => "caller_left",
            LineClass::TurnedAway => "turned_away",
            LineClass::Other => "other",
        }
    }
}

/// Counts the lines of all classes.
#[derive(Debug, Default)]
pub(crate) struct RequestLog {
    budgets: [LineBudget; CLASSES],
}

/// Counts the lines of a class.
#[derive(Debug, Default)]
struct LineBudget {
    second: Cell<u64>,
    written: Cell<u32>,
    suppressed: Cell<u64>,
}

impl RequestLog {
    /// Whether another line of a class may be written in this second. Suppressed lines are counted and reported later.
    pub(crate) fn may_write(&self, class: LineClass, now: Duration) -> bool {
        let budget = &self.budgets[class as usize];
        let second = now.as_secs();
        if budget.second.replace(second) != second {
            budget.written.set(0);
            self.report_suppressed(class);
        }
        if budget.written.get() >= LINES_PER_S {
            budget.suppressed.set(budget.suppressed.get() + 1);
            return false;
        }
        budget.written.set(budget.written.get() + 1);
        true
    }

    fn report_suppressed(&self, class: LineClass) {
        let dropped = self.budgets[class as usize].suppressed.replace(0);
        if dropped > 0 {
            log::warn!(
                event = "lines_dropped", dropped, class = class.name();
                "the rate limit suppressed log lines about requests"
            );
        }
    }
}
