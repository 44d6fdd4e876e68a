//! Why a call failed, and the exit code that says so.

use serde_json::Value;

/// A call that did not succeed.
#[derive(Debug, Clone, PartialEq)]
pub enum Failure {
    /// No answer came.
    Unreachable(String),
    /// The daemon answered with an error.
    Answered {
        /// HTTP status.
        status: u16,
        /// The answer's JSON, or `null`.
        body: Value,
    },
}

impl Failure {
    /// The exit code of a command that ends with this failure.
    ///
    /// ```
    /// let failure = bamboo_client::Failure::Unreachable("refused".into());
    /// assert_eq!(failure.exit_code(), 6);
    /// ```
    pub fn exit_code(&self) -> u8 {
        match self {
            Failure::Unreachable(_) => 6,
            Failure::Answered { status: 409, .. } => 3,
            Failure::Answered { status: 404, .. } => 5,
            Failure::Answered {
                status: 429 | 502..=504,
                ..
            } => 6,
            Failure::Answered { .. } => 4,
        }
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Unreachable(reason) => write!(formatter, "no answer: {reason}"),
            Failure::Answered { status, body } => {
                let error = &body["error"];
                let code = error["code"].as_u64().unwrap_or(u64::from(*status));
                let name = error["name"].as_str().unwrap_or("http");
                let message = error["message"].as_str().unwrap_or("no message");
                write!(formatter, "{code} {name}: {message}")?;
                match error["retry_after_s"].as_u64() {
                    Some(seconds) => write!(formatter, " (come back in {seconds} s)"),
                    None => Ok(()),
                }
            }
        }
    }
}

impl std::error::Error for Failure {}
