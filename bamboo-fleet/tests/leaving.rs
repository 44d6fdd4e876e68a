//! Servers that leave and come back as new processes under the same identifiers.

use std::time::Duration;

use bamboo_fleet::Directory;
use bamboo_fleet::LeavingChange;
use bamboo_fleet::LeavingReport;
use bamboo_fleet::Server;
use bamboo_fleet::ServerState;

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn server(started_at_ms: u64) -> Server {
    Server {
        id: "s1".to_owned(),
        service: "llm".to_owned(),
        address: "10.0.0.9:80".parse().unwrap(),
        data_centre: "a".to_owned(),
        slots: 8,
        state: ServerState::Ready,
        started_at_ms,
        version: String::new(),
    }
}

/// Guards against a server that is back and never used again, because a host that joins is told of its former process.
#[test]
fn other_hosts_are_not_told_that_a_server_leaves_which_has_started_anew() {
    let mut directory = Directory::default();
    directory.put(server(1), at(0));
    directory.mark_leaving("s1", at(1));
    directory.remove("s1", at(2));
    directory.put(server(2), at(20));
    assert_eq!(directory.ready("llm", at(20)).len(), 1);
    let mut other = Directory::default();
    other.put(server(2), at(20));
    for report in directory.leaving(at(21)) {
        // As hosts of earlier versions are told, and as others are.
        other.mark_leaving(&report.server, at(21));
        other.record_leaving(&report, at(21));
    }
    assert_eq!(
        other.ready("llm", at(21)).len(),
        1,
        "the new process is not used"
    );
}

/// Guards against a late copy of the statement of a former process that takes the new one out of use.
#[test]
fn a_late_statement_does_not_concern_another_process() {
    let mut directory = Directory::default();
    let report = |started_at_ms| LeavingReport {
        server: "s1".to_owned(),
        started_at_ms,
        said_ago_ms: 0,
    };
    directory.put(server(2), at(0));
    assert_eq!(
        directory.record_leaving(&report(1), at(1)),
        LeavingChange::Remembered
    );
    assert_eq!(directory.ready("llm", at(1)).len(), 1);
    assert!(directory.leaving(at(1)).is_empty());
    assert!(matches!(
        directory.record_leaving(&report(2), at(2)),
        LeavingChange::Updated(_)
    ));
    assert_eq!(
        directory.record_leaving(&report(2), at(3)),
        LeavingChange::Known
    );
    assert_eq!(directory.ready("llm", at(3)).len(), 0);
}

/// Guards against a server that is used although a host heard that it leaves before it read the entry.
#[test]
fn a_statement_that_comes_before_the_entry_counts() {
    let mut directory = Directory::default();
    let report = LeavingReport {
        server: "s1".to_owned(),
        started_at_ms: 1,
        said_ago_ms: 0,
    };
    directory.record_leaving(&report, at(0));
    assert_eq!(
        directory.leaving(at(1)).len(),
        1,
        "passed on to other hosts"
    );
    directory.put(server(1), at(2));
    assert_eq!(directory.ready("llm", at(2)).len(), 0);
    directory.expire(at(10_000));
    assert_eq!(directory.leaving(at(10_000)).len(), 1);
    directory.remove("s1", at(10_001));
    directory.expire(at(10_002));
    assert!(directory.leaving(at(10_002)).is_empty());
}
