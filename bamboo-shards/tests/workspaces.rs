//! Jobs that belong to a workspace: their records, who may call them, and the queues of their tokens.

use std::rc::Rc;

use bamboo_shards::ItemRecord;
use bamboo_shards::JobAccess;
use bamboo_shards::JobCaller;
use bamboo_shards::JobRecord;
use bamboo_shards::Record;
use bamboo_shards::Shard;
use bamboo_types::QueueKey;
use test_case::test_case;

fn job(id: &str, workspace: Option<&str>) -> JobRecord {
    JobRecord {
        id: id.to_owned(),
        host: "h".to_owned(),
        route: "r".to_owned(),
        submitted_at_ms: 1,
        completion_target_ms: 2,
        retention_ms: 3,
        attempts_max: 4,
        items: vec![ItemRecord {
            id: "i".to_owned(),
            path: "/p".to_owned(),
            headers: Vec::new(),
            body: vec![5],
            tokens: 6,
        }],
        workspace: workspace.map(str::to_owned),
    }
}

fn accepted(id: &str, workspace: Option<&str>) -> Record {
    Record::Accepted(Rc::new(job(id, workspace)))
}

/// Bytes of the job "j" without workspace, as the former release writes them after the version.
const FORMER_BYTES: [u8; 20] = [
    0, 1, b'j', 1, b'h', 1, b'r', 1, 2, 3, 4, 1, 1, b'i', 2, b'/', b'p', 0, 1, 5,
];
/// The tokens of its item.
const FORMER_TOKENS: u8 = 6;

fn former_bytes(version: u8) -> Vec<u8> {
    let mut bytes = vec![version];
    bytes.extend(FORMER_BYTES);
    bytes.push(FORMER_TOKENS);
    bytes
}

/// Guards against records that hosts of the former release cannot read although they hold no workspace.
#[test]
fn a_job_without_workspace_is_written_as_by_the_former_release() {
    assert_eq!(accepted("j", None).to_bytes().unwrap(), former_bytes(2));
}

/// Guards against accepted jobs that a host of this release cannot read any more.
#[test_case(1)]
#[test_case(2)]
fn jobs_of_former_formats_have_no_workspace(version: u8) {
    let record = Record::try_from(former_bytes(version).as_slice()).unwrap();
    assert_eq!(record, accepted("j", None));
}

/// Guards against a workspace that is lost in the store, so that everybody could read the job after a restart, and against
/// a change of the stored format.
#[test]
fn the_workspace_of_a_job_is_stored() {
    let record = accepted("j", Some("w"));
    let bytes = record.to_bytes().unwrap();
    let mut expected = vec![3, 1, b'w'];
    expected.extend(&former_bytes(2)[1..]);
    assert_eq!(bytes, expected);
    assert_eq!(Record::try_from(bytes.as_slice()).unwrap(), record);
    assert!(Record::try_from(&bytes[..bytes.len() - 1]).is_err());
}

/// Guards against callers that reach the job of another workspace, and against jobs that nobody can reach any more.
#[test_case(Some("a"), JobCaller::Workspace("a".into()), Some(true), JobAccess::Granted; "its own workspace")]
#[test_case(Some("a"), JobCaller::Workspace("a".into()), None, JobAccess::Granted; "its own workspace without configuration")]
#[test_case(Some("a"), JobCaller::Workspace("b".into()), Some(true), JobAccess::Denied; "another workspace")]
#[test_case(Some("a"), JobCaller::Workspace("b".into()), Some(false), JobAccess::Denied; "another workspace under an older configuration")]
#[test_case(Some("a"), JobCaller::NoWorkspace, Some(true), JobAccess::Denied; "no workspace")]
#[test_case(Some("a"), JobCaller::NoWorkspace, None, JobAccess::Undecided; "no workspace and no configuration")]
#[test_case(Some("a"), JobCaller::NoWorkspace, Some(false), JobAccess::Granted; "workspaces were removed")]
#[test_case(Some("a"), JobCaller::Unidentified, Some(true), JobAccess::Undecided; "a host of the former release")]
#[test_case(None, JobCaller::Workspace("a".into()), Some(true), JobAccess::Granted; "a job without workspace")]
#[test_case(None, JobCaller::NoWorkspace, Some(true), JobAccess::Granted; "neither has a workspace")]
#[test_case(None, JobCaller::Unidentified, None, JobAccess::Granted; "a job without workspace and a host of the former release")]
fn access_is_decided_by_the_workspace(
    of_job: Option<&str>,
    caller: JobCaller,
    has_workspaces: Option<bool>,
    expected: JobAccess,
) {
    assert_eq!(job("j", of_job).access(&caller, has_workspaces), expected);
}

/// Guards against a workspace that takes the queue capacity of another one.
#[test]
fn waiting_tokens_are_counted_per_workspace() {
    let mut shard = Shard::default();
    for (id, workspace) in [
        ("1", Some("a")),
        ("2", Some("a")),
        ("3", Some("b")),
        ("4", None),
    ] {
        shard.apply(accepted(id, workspace));
    }
    let waiting = shard.waiting_tokens();
    let tokens = |workspace: Option<&str>| {
        let queue = QueueKey {
            route: "r".to_owned(),
            workspace: workspace.map(str::to_owned),
        };
        waiting[&queue]
    };
    assert_eq!(
        (tokens(Some("a")), tokens(Some("b")), tokens(None)),
        (12, 6, 6)
    );
}

/// Guards against queues that are taken for each other in messages between hosts.
#[test_case("r", Some("w"))]
#[test_case("r", Some(""))]
#[test_case("", Some("r"))]
#[test_case("a\u{1f}1\u{1f}b", Some("\u{1f}2\u{1f}"))]
#[test_case("\u{1f}", None)]
#[test_case("r", None)]
fn the_text_of_a_queue_names_it(route: &str, workspace: Option<&str>) {
    let queue = QueueKey {
        route: route.to_owned(),
        workspace: workspace.map(str::to_owned),
    };
    assert_eq!(QueueKey::from(String::from(&queue)), queue);
}
