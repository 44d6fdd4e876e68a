//! Parsing and validation of resources. Every error names the field, its value and the reason.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::BackendServer;
use crate::KeyHash;
use crate::Limits;
use crate::Resource;
use crate::ServerRole;
use crate::Serving;

/// Maximum length of a resource name, in bytes.
const NAME_MAX_BYTES: usize = 64;

/// A validation error of one field of a resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldError {
    /// Path of the field.
    pub field: String,
    /// The rejected value.
    pub value: String,
    /// Why the value is rejected.
    pub reason: String,
}

impl std::fmt::Display for FieldError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "{} = {}: {}",
            self.field, self.value, self.reason
        )
    }
}

/// Parses a resource from JSON and validates it.
///
/// # Errors
/// Returns all errors found. JSON that does not parse yields one error for the field `resource`.
///
/// ```
/// let errors = bamboo_config::parse_resource(r#"{"kind":"model","name":"m","versions":[]}"#).unwrap_err();
/// assert_eq!(errors[0].field, "versions");
/// ```
pub fn parse_resource(json: &str) -> Result<Resource, Vec<FieldError>> {
    let resource: Resource = serde_json::from_str(json)
        .map_err(|error| vec![field_error("resource", "", &error.to_string())])?;
    let errors = validate_resource(&resource);
    if errors.is_empty() {
        Ok(resource)
    } else {
        Err(errors)
    }
}

/// Validates a resource and returns all errors found.
pub fn validate_resource(resource: &Resource) -> Vec<FieldError> {
    let mut errors = Vec::new();
    check_name("name", resource.name(), &mut errors);
    match resource {
        Resource::Model(model) => {
            check_not_empty("versions", model.versions.len(), &mut errors);
            for (index, version) in model.versions.iter().enumerate() {
                if model.versions[..index].contains(version) {
                    errors.push(field_error(
                        &format!("versions[{index}]"),
                        version,
                        "stands twice",
                    ));
                }
            }
        }
        Resource::BackendServer(server) => check_server(server, &mut errors),
        Resource::PlainService(service) => {
            if service.timeout_ms == 0 {
                errors.push(field_error("timeout_ms", "0", "must be at least 1"));
            }
            for (index, path) in service.idempotent_paths.iter().enumerate() {
                if service.non_idempotent_paths.contains(path) {
                    let field = format!("idempotent_paths[{index}]");
                    errors.push(field_error(
                        &field,
                        path,
                        "also stands in non_idempotent_paths",
                    ));
                }
            }
        }
        Resource::Serving(serving) => check_serving(serving, &mut errors),
        Resource::Caller(caller) => {
            check_name("workspace", &caller.workspace, &mut errors);
            if KeyHash::parse(caller.key_sha256.as_str()).is_none() {
                errors.push(field_error(
                    "key_sha256",
                    caller.key_sha256.as_str(),
                    "must be 64 hexadecimal digits",
                ));
            }
        }
    }
    errors
}

fn check_server(server: &BackendServer, errors: &mut Vec<FieldError>) {
    check_name("data_centre", &server.data_centre, errors);
    if server.address.parse::<SocketAddr>().is_err() {
        errors.push(field_error("address", &server.address, "must be ip:port"));
    }
    match &server.role {
        ServerRole::Engine {
            models,
            max_sequences,
        } => {
            check_not_empty("role.engine.models", models.len(), errors);
            check_at_least_one("role.engine.max_sequences", *max_sequences, errors);
        }
        ServerRole::Plain {
            service,
            max_requests,
        } => {
            check_name("role.plain.service", service, errors);
            check_at_least_one("role.plain.max_requests", *max_requests, errors);
        }
    }
}

fn check_serving(serving: &Serving, errors: &mut Vec<FieldError>) {
    check_not_empty("models", serving.models.len(), errors);
    if !(0.0..=1.0).contains(&serving.batch_weight) {
        errors.push(field_error(
            "batch_weight",
            &serving.batch_weight.to_string(),
            "must be from 0 to 1",
        ));
    }
    if serving.first_token_target_ms == 0 {
        errors.push(field_error(
            "first_token_target_ms",
            "0",
            "must be at least 1",
        ));
    }
    check_limits("limits", &serving.limits, errors);
    for (caller, limits) in &serving.caller_limits {
        if !serving.callers.contains(caller) {
            errors.push(field_error(
                &format!("caller_limits.{caller}"),
                caller,
                "is not among callers",
            ));
        }
        check_limits(&format!("caller_limits.{caller}"), limits, errors);
    }
}

fn check_limits(field: &str, limits: &Limits, errors: &mut Vec<FieldError>) {
    for (name, value) in [
        ("requests_per_s", limits.requests_per_s),
        ("tokens_per_s", limits.tokens_per_s),
    ] {
        if !value.is_finite() || value <= 0.0 {
            errors.push(field_error(
                &format!("{field}.{name}"),
                &value.to_string(),
                "must be above 0",
            ));
        }
    }
    check_at_least_one(
        &format!("{field}.in_flight_max"),
        limits.in_flight_max,
        errors,
    );
}

fn check_name(field: &str, name: &str, errors: &mut Vec<FieldError>) {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > NAME_MAX_BYTES || !name.bytes().all(is_allowed) {
        errors.push(field_error(
            field,
            name,
            "must be 1 to 64 letters, digits, '-', '_' or '.'",
        ));
    }
}

fn check_not_empty(field: &str, count: usize, errors: &mut Vec<FieldError>) {
    if count == 0 {
        errors.push(field_error(field, "[]", "must not be empty"));
    }
}

fn check_at_least_one(field: &str, value: u32, errors: &mut Vec<FieldError>) {
    if value == 0 {
        errors.push(field_error(field, "0", "must be at least 1"));
    }
}

fn field_error(field: &str, value: &str, reason: &str) -> FieldError {
    FieldError {
        field: field.to_owned(),
        value: value.to_owned(),
        reason: reason.to_owned(),
    }
}
