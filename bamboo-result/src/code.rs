//! The table of codes.

use serde::Deserialize;
use serde::Serialize;

/// Whether a request reached a backend server's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request ran and its answer is whole.
    Yes,
    /// The request truly did not run.
    No,
    /// The request may have run.
    Unknown,
}

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $status:literal, $ran:ident, $text:literal;)+) => {
        /// A numbered result code. Numbers are never reused.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Code { $($(#[doc = $doc])+ $name,)+ }

        impl Code {
            /// Every code, in the order of the table.
            pub const ALL: &'static [Code] = &[$(Code::$name,)+];

            /// The stable number of the code.
            ///
            /// ```
            /// assert_eq!(bamboo_result::Code::Ok.number(), 1000);
            /// ```
            pub fn number(self) -> u16 { match self { $(Code::$name => $number,)+ } }

            /// The HTTP status that carries the code.
            ///
            /// ```
            /// assert_eq!(bamboo_result::Code::UnknownModel.http_status(), 404);
            /// ```
            pub fn http_status(self) -> u16 { match self { $(Code::$name => $status,)+ } }

            /// Whether a request that ends with this code ran.
            ///
            /// ```
            /// assert_eq!(bamboo_result::Code::Overloaded.ran(), bamboo_result::Ran::No);
            /// ```
            pub fn ran(self) -> Ran { match self { $(Code::$name => Ran::$ran,)+ } }

            /// The machine-readable name of the code.
            ///
            /// ```
            /// assert_eq!(bamboo_result::Code::Overloaded.name(), "overloaded");
            /// ```
            pub fn name(self) -> &'static str { match self { $(Code::$name => $text,)+ } }
        }
    };
}

codes! {
    /// The request ran and its answer is whole.
    Ok = 1000, 200, Yes, "ok";
    /// The job or change was read back from the log and is accepted.
    Accepted = 1001, 202, Yes, "accepted";
    /// The body is not valid JSON or lacks a field.
    BadRequest = 2000, 400, No, "bad_request";
    /// The body is larger than the limit.
    TooLarge = 2001, 413, No, "too_large";
    /// The bearer key is missing or unknown.
    Unauthenticated = 2002, 401, No, "unauthenticated";
    /// The caller may not reach this model, service or job.
    Forbidden = 2003, 403, No, "forbidden";
    /// No model of this name is carried for the caller.
    UnknownModel = 2004, 404, No, "unknown_model";
    /// No job, service or resource of this name is visible to the caller.
    NotFound = 2005, 404, No, "not_found";
    /// A line of the job's JSONL is broken, or a custom id stands twice.
    BadItem = 2006, 400, No, "bad_item";
    /// The deadline lies in the past or cannot be read.
    BadDeadline = 2007, 400, No, "bad_deadline";
    /// The key was used before with other content.
    KeyReused = 2008, 409, No, "key_reused";
    /// A resource is refused: a field has a value that cannot be.
    BadResource = 2009, 422, No, "bad_resource";
    /// Another change of the resource came first in the log.
    Conflict = 2010, 409, No, "conflict";
    /// The caller's own limit of requests or tokens is used up.
    LimitReached = 3000, 429, No, "limit_reached";
    /// No server can meet the deadline now.
    Overloaded = 3001, 503, No, "overloaded";
    /// No server of the model or service is usable.
    NoServer = 3002, 503, No, "no_server";
    /// The platform's log does not answer; nothing was accepted.
    LogUnavailable = 3003, 503, No, "log_unavailable";
    /// This host is stopping or not ready yet.
    NotReady = 3004, 503, No, "not_ready";
    /// The job shard has no owner that answers; nothing was accepted.
    NoOwner = 3005, 503, No, "no_owner";
    /// The deadline passed before the request was given to a server.
    DeadlinePassed = 3006, 504, No, "deadline_passed";
    /// The server refused the request before any work.
    ServerRefused = 3007, 503, No, "server_refused";
    /// The request was given to a server and its outcome is not known.
    OutcomeUnknown = 4000, 502, Unknown, "outcome_unknown";
    /// The answer ended before its end mark.
    AnswerCut = 4001, 502, Unknown, "answer_cut";
    /// The server answered with the identity of another request.
    AnswerCrossed = 4002, 502, Unknown, "answer_crossed";
    /// The append was sent and its place in the log is not known yet; resend with the same key.
    AppendUnknown = 4003, 503, Unknown, "append_unknown";
    /// The deadline passed while the request was at a server.
    DeadlineInFlight = 4004, 504, Unknown, "deadline_in_flight";
    /// The server ran the request and reported a failure of its own.
    ServerError = 4005, 502, Yes, "server_error";
    /// The item can never be done: its own content fails.
    ItemFailed = 5000, 422, Yes, "item_failed";
    /// The item used up its attempts.
    AttemptsUsedUp = 5001, 422, Unknown, "attempts_used_up";
    /// The item's job was cancelled before the item completed.
    Cancelled = 5002, 409, No, "cancelled";
}
