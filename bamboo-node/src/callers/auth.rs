//! Authentication of callers.

use actix_web::HttpRequest;
use bamboo_config::Caller;
use bamboo_result::ApiError;
use bamboo_result::Code;

use crate::config_table::ConfigTable;

/// Returns the bearer key in the `Authorization` header.
pub(crate) fn bearer_key(request: &HttpRequest) -> Option<&str> {
    request
        .headers()
        .get("authorization")?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

/// Returns the caller whose key the request carries.
///
/// # Errors
/// Fails if the key is missing or unknown.
pub(crate) fn authenticate(table: &ConfigTable, request: &HttpRequest) -> Result<Caller, ApiError> {
    let key = bearer_key(request).ok_or_else(|| {
        ApiError::new(
            Code::Unauthenticated,
            "the header 'Authorization: Bearer KEY' is missing",
        )
    })?;
    let caller = table.caller(key).cloned();
    caller.ok_or_else(|| ApiError::new(Code::Unauthenticated, "the bearer key is not known"))
}
