//! Errors of requests and their exit codes.

use serde_json::Value;

/// Why a request did not succeed.
#[derive(Debug, Clone, PartialEq)]
pub enum ClientError {
    /// No complete, valid response arrived.
    Transport(String),
    /// The daemon responded with a status other than success.
    ErrorResponse {
        /// HTTP status.
        status: u16,
        /// JSON body of the response, or `null` if it has none.
        body: Value,
    },
}

impl ClientError {
    /// Returns the exit code of a command that fails with this error: 3 for a conflict, 4 for a refused request, 5 for
    /// an unknown resource, 6 for a failure that a retry may resolve.
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
            ClientError::Transport(reason) => write!(formatter, "no valid response: {reason}"),
            ClientError::ErrorResponse { status, body } => {
                let error = &body["error"];
                let code = error["code"].as_u64().unwrap_or(u64::from(*status));
                let name = error["name"].as_str().unwrap_or("http");
                let message = error["message"].as_str().unwrap_or("no message");
                write!(formatter, "{code} {name}: {message}")?;
                match error["retry_after_s"].as_u64() {
                    Some(seconds) => write!(formatter, " (retry after {seconds} s)"),
                    None => Ok(()),
                }
            }
        }
    }
}

impl std::error::Error for ClientError {}
