//! Error returned to callers and operators.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Code;

/// A result code with a message and, if a retry may succeed, the time to wait before it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{} {}: {message}", code.number(), code.name())]
pub struct ApiError {
    /// The result code.
    pub code: Code,
    /// What went wrong, and where.
    pub message: String,
    /// Minimum delay before a retry.
    pub retry_after: Option<Duration>,
}

impl ApiError {
    /// Creates an error without a retry delay.
    ///
    /// ```
    /// use bamboo_result::{Code, ApiError};
    /// let error = ApiError::new(Code::UnknownModel, "no model 'x'");
    /// assert_eq!(error.to_string(), "2004 unknown_model: no model 'x'");
    /// ```
    pub fn new<M>(code: Code, message: M) -> Self
    where
        M: Into<String>,
    {
        ApiError {
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates an error that tells the client how long to wait before it retries.
    ///
    /// ```
    /// use bamboo_result::{Code, ApiError};
    /// let error = ApiError::with_retry_after(Code::Overloaded, "busy", std::time::Duration::from_secs(2));
    /// assert_eq!(error.retry_after_s(), Some(2));
    /// ```
    pub fn with_retry_after<M>(code: Code, message: M, after: Duration) -> Self
    where
        M: Into<String>,
    {
        ApiError {
            code,
            message: message.into(),
            retry_after: Some(after),
        }
    }

    /// Value of the `Retry-After` header: whole seconds, rounded up, at least 1.
    ///
    /// ```
    /// # use bamboo_result::{Code, ApiError};
    /// let error = ApiError::with_retry_after(Code::Overloaded, "busy", std::time::Duration::from_millis(1200));
    /// assert_eq!(error.retry_after_s(), Some(2));
    /// ```
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after
            .map(|after| after.as_millis().div_ceil(1000).max(1) as u64)
    }
}
