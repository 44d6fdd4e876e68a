//! Table of result codes.

use serde::Deserialize;
use serde::Serialize;

/// Whether a request was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionStatus {
    /// The request was executed.
    #[serde(rename = "yes")]
    Executed,
    /// The request was not executed, so a retry cannot execute it twice.
    #[serde(rename = "no")]
    NotExecuted,
    /// The request may have been executed.
    #[serde(rename = "unknown")]
    Unknown,
}

macro_rules! codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $status:literal, $execution_status:ident, $text:literal;)+) => {
        /// A numbered result code. Numbers are never reused.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum Code { $($(#[doc = $doc])+ $name,)+ }

        impl Code {
            /// All codes, in the order of the table.
            pub const ALL: &'static [Code] = &[$(Code::$name,)+];

            /// Number of the code. It is stable across releases.
            ///
            /// ```
            /// assert_eq!(bamboo_result::Code::Ok.number(), 1000);
            /// ```
            pub fn number(self) -> u16 { match self { $(Code::$name => $number,)+ } }

            /// HTTP status with which the code is returned.
            ///
            /// ```
            /// assert_eq!(bamboo_result::Code::UnknownModel.http_status(), 404);
            /// ```
            pub fn http_status(self) -> u16 { match self { $(Code::$name => $status,)+ } }

            /// Whether a request that ends with this code was executed.
            ///
            /// ```
            /// assert_eq!(bamboo_result::Code::Overloaded.execution_status(), bamboo_result::ExecutionStatus::NotExecuted);
            /// ```
            pub fn execution_status(self) -> ExecutionStatus { match self { $(Code::$name => ExecutionStatus::$execution_status,)+ } }

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
    /// The request was executed and its response is complete.
    Ok = 1000, 200, Executed, "ok";
    /// The job or change was read back from the log and is accepted.
    Accepted = 1001, 202, Executed, "accepted";
    /// The body is not valid JSON or a required field is missing.
    BadRequest = 2000, 400, NotExecuted, "bad_request";
    /// The body is larger than the limit.
    TooLarge = 2001, 413, NotExecuted, "too_large";
    /// The bearer key is missing or unknown.
    Unauthenticated = 2002, 401, NotExecuted, "unauthenticated";
    /// The caller has no permission for this model, service or job.
    Forbidden = 2003, 403, NotExecuted, "forbidden";
    /// No model of this name is served to the caller.
    UnknownModel = 2004, 404, NotExecuted, "unknown_model";
    /// No job, service or resource of this name is visible to the caller.
    NotFound = 2005, 404, NotExecuted, "not_found";
    /// A line of the job's JSONL is invalid, or a custom id occurs twice.
    BadItem = 2006, 400, NotExecuted, "bad_item";
    /// The deadline is in the past or cannot be parsed.
    BadDeadline = 2007, 400, NotExecuted, "bad_deadline";
    /// The idempotency key was already used with different content.
    KeyReused = 2008, 409, NotExecuted, "key_reused";
    /// A resource failed validation: a field has an invalid value.
    BadResource = 2009, 422, NotExecuted, "bad_resource";
    /// Another change of the resource precedes this one in the log.
    Conflict = 2010, 409, NotExecuted, "conflict";
    /// The caller exceeded its own limit of requests or tokens.
    LimitReached = 3000, 429, NotExecuted, "limit_reached";
    /// No server can currently meet the deadline.
    Overloaded = 3001, 503, NotExecuted, "overloaded";
    /// No server of the model or service is available.
    NoServer = 3002, 503, NotExecuted, "no_server";
    /// The platform's log does not respond; nothing was accepted.
    LogUnavailable = 3003, 503, NotExecuted, "log_unavailable";
    /// The host is shutting down or not ready yet.
    NotReady = 3004, 503, NotExecuted, "not_ready";
    /// The job shard has no owner that responds; nothing was accepted.
    NoOwner = 3005, 503, NotExecuted, "no_owner";
    /// The deadline passed before the request was sent to a server.
    DeadlinePassed = 3006, 504, NotExecuted, "deadline_passed";
    /// The server rejected the request without executing it.
    ServerRefused = 3007, 503, NotExecuted, "server_refused";
    /// The request was sent to a server and its outcome is unknown.
    OutcomeUnknown = 4000, 502, Unknown, "outcome_unknown";
    /// The response ended before its end marker.
    AnswerCut = 4001, 502, Unknown, "answer_cut";
    /// The response carries the id of another request.
    AnswerCrossed = 4002, 502, Unknown, "answer_crossed";
    /// The append was sent but is not confirmed in the log yet; retry with the same idempotency key.
    AppendUnknown = 4003, 503, Unknown, "append_unknown";
    /// The deadline passed while a server was processing the request.
    DeadlineInFlight = 4004, 504, Unknown, "deadline_in_flight";
    /// The server executed the request and reported an internal failure.
    ServerError = 4005, 502, Executed, "server_error";
    /// The item failed permanently because of its own content.
    ItemFailed = 5000, 422, Executed, "item_failed";
    /// The item reached its maximum number of attempts.
    AttemptsUsedUp = 5001, 422, Unknown, "attempts_used_up";
    /// The item's job was cancelled before the item completed.
    Cancelled = 5002, 409, NotExecuted, "cancelled";
}
