//! Revisions and conflicts of configuration changes in log order.

use bamboo_config::ChangeOutcome;
use bamboo_config::ConfigState;
use bamboo_config::ResourceKind;
use bamboo_log::ConfigChange;
use bamboo_log::Entry;
use bamboo_log::RecordBody;

fn entry(host: &str, sequence: u64, based_on: u64, versions: Option<&str>) -> Entry {
    let resource_json =
        versions.map(|list| format!(r#"{{"kind":"model","name":"m","versions":{list}}}"#));
    let change = ConfigChange {
        kind: "model".into(),
        name: "m".into(),
        based_on,
        resource_json,
    };
    let bodies = vec![RecordBody::Config(change)];
    Entry {
        host: host.into(),
        incarnation: 1,
        at_ms: 0,
        first_sequence: sequence,
        bodies,
    }
}

fn apply(state: &mut ConfigState, offset: u64, entry: &Entry) -> ChangeOutcome {
    state.apply(offset, entry).remove(0).1
}

#[test]
fn first_change_in_log_order_wins_and_the_second_conflicts() {
    let mut state = ConfigState::default();
    let first = apply(&mut state, 0, &entry("h1", 1, 0, Some(r#"["1"]"#)));
    assert_eq!(first, ChangeOutcome::Applied { revision: 1 });
    let second = apply(&mut state, 1, &entry("h2", 1, 0, Some(r#"["2"]"#)));
    assert!(matches!(
        second,
        ChangeOutcome::Conflict {
            current_revision: 1,
            current: Some(_)
        }
    ));
}

#[test]
fn duplicate_record_is_ignored() {
    let mut state = ConfigState::default();
    let change = entry("h1", 1, 0, Some(r#"["1"]"#));
    apply(&mut state, 0, &change);
    assert!(state.apply(1, &change).is_empty());
    assert!(state.apply(0, &change).is_empty());
}

#[test]
fn recreated_resource_gets_a_higher_revision() {
    let mut state = ConfigState::default();
    apply(&mut state, 0, &entry("h1", 1, 0, Some(r#"["1"]"#)));
    apply(&mut state, 1, &entry("h1", 2, 1, None));
    assert!(state.get(ResourceKind::Model, "m").is_none());
    let again = apply(&mut state, 2, &entry("h1", 3, 0, Some(r#"["1"]"#)));
    assert_eq!(again, ChangeOutcome::Applied { revision: 3 });
}

#[test]
fn snapshot_is_installed_only_if_it_is_newer() {
    let mut old = ConfigState::default();
    apply(&mut old, 0, &entry("h1", 1, 0, Some(r#"["1"]"#)));
    let snapshot = old.encode_snapshot().expect("a snapshot");
    let mut new = ConfigState::default();
    assert!(new.install_snapshot(&snapshot).expect("it decodes"));
    assert!(!new.install_snapshot(&snapshot).expect("it decodes"));
    apply(&mut new, 1, &entry("h1", 2, 1, Some(r#"["2"]"#)));
    assert!(!new.install_snapshot(&snapshot).expect("it decodes"));
    assert_eq!(new.next_offset(), 2);
}

#[test]
fn invalid_resource_is_refused_with_its_field() {
    let mut state = ConfigState::default();
    let ChangeOutcome::Refused { faults } = apply(&mut state, 0, &entry("h1", 1, 0, Some("[]")))
    else {
        panic!("not refused");
    };
    assert!(faults[0].starts_with("versions = "), "{faults:?}");
}
