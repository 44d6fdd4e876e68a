//! Validation reports every error of a settings file, each with its line and field.

use std::time::Duration;

use bamboo_config::Settings;
use bamboo_config::SettingsError;
use bamboo_config::parse_settings;
use test_case::test_case;

const VALID: &str = include_str!("../../examples/quito/settings.toml");

fn settings_errors(text: &str) -> Vec<SettingsError> {
    parse_settings(text).expect_err("invalid settings")
}

fn valid_settings() -> Settings {
    parse_settings(VALID).expect("the example is valid")
}

#[test]
fn durations_are_parsed_with_their_units() {
    assert_eq!(valid_settings().lease, Duration::from_secs(10));
    assert_eq!(valid_settings().drain_max, Duration::from_secs(120));
}

#[test_case("lease = \"10s\"", "lease = 10", "timing.lease"; "a duration without a unit")]
#[test_case("heartbeat = \"500ms\"", "heartbeat = \"fast\"", "timing.heartbeat"; "an invalid duration")]
#[test_case("threads = 2", "threads = 0", "traffic.threads"; "a number out of range")]
#[test_case("threads = 2", "thread = 2", "traffic.thread"; "an unknown key")]
#[test_case("[traffic]", "[trafic]", "trafic"; "an unknown section")]
#[test_case("shard_count = 4", "shard_count = 400", "log_budget.shard_count"; "more shards than appends")]
#[test_case("lease = \"10s\"", "lease = \"1s\"", "timing.lease"; "a lease below the suspicion time")]
#[test_case("suspect_after = \"2s\"", "suspect_after = \"1s\"", "timing.suspect_after"; "suspicion below three heartbeats")]
#[test_case(":7001\"", ":7000\"", "listen.operator"; "an address used twice")]
#[test_case("json = true", "json = 1", "logging.json"; "a number for a boolean")]
fn error_names_line_and_field(valid: &str, invalid: &str, field: &str) {
    let text = VALID.replacen(valid, invalid, 1);
    let errors = settings_errors(&text);
    let error = errors
        .iter()
        .find(|error| error.field == field)
        .unwrap_or_else(|| panic!("{errors:?}"));
    let line = text.lines().nth(error.line - 1).expect("its line");
    let name = field.rsplit('.').next().expect("a name");
    assert!(line.contains(name), "line {} is {line:?}", error.line);
}

#[test]
fn all_errors_are_reported_together() {
    let text = VALID
        .replace("threads = 2", "threads = 0")
        .replace("lease = \"10s\"", "lease = 10")
        .replace("[keys]", "[key]");
    let fields: Vec<String> = settings_errors(&text)
        .into_iter()
        .map(|error| error.field)
        .collect();
    for field in [
        "traffic.threads",
        "timing.lease",
        "key",
        "keys.peer",
        "keys.operator_sha256",
    ] {
        assert!(
            fields.iter().any(|found| found == field),
            "{field} is not among {fields:?}"
        );
    }
}

#[test]
fn invalid_toml_is_one_error_with_its_line() {
    let errors = settings_errors("[host]\nid = \n");
    assert_eq!((errors.len(), errors[0].line), (1, 2));
}
