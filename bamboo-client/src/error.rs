//! Why a call failed, and the exit code that says so.

use serde_json::Value;

/// A call that did not succeed.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientError {
    /// No answer came.
    Transport(String),
    /// The daemon answered with an error.
    ErrorResponse {
        /// HTTP status.
        status: u16,
        /// The answer's JSON, or `null`.
        body: Value,
    },
}

impl ClientError {
    /// The exit code of a command that ends with this error.
    ///
    /// ```
    /// let error = bamboo_client::ClientError::Transport("refused".into());
    /// assert_eq!(error.exit_code(), 6);
    /// ```
    pub fn exit_code(&self) -> u8 {
        match self {
            ClientError::Transport(_) => 6,
            ClientError::ErrorResponse { status: 409, .. } => 3,
            ClientError::ErrorResponse { status: 404, .. } => 5,
            ClientError::ErrorResponse {
                status: 429 | 502..=504,
                ..
            } => 6,
            ClientError::ErrorResponse { .. } => 4,
        }
    }
}

impl std::fmt::Display for ClientError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ClientError::Transport(reason) => write!(formatter, "no answer: {reason}"),
            ClientError::ErrorResponse { status, body } => {
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

impl std::error::Error for ClientError {}
