//! Late results of runs that a host started in an earlier ownership term of a server. Run keys are reused in each
//! term, so without the term such a result would be counted for another item.

use std::time::Duration;

use bamboo_host::HostCore;
use bamboo_host::HostOptions;
use bamboo_host::Input;
use bamboo_host::ItemEnd;
use bamboo_host::Output;
use bamboo_host::RunRef;
use bamboo_log::ConfigChange;
use bamboo_log::Entry;
use bamboo_log::ItemRunResult;
use bamboo_log::Position;
use bamboo_log::ReadAnswer;
use bamboo_log::RecordBody;
use bamboo_log::StreamId;
use bamboo_member::HostEntry;
use bamboo_member::HostState;
use bamboo_wire::AssignedItem;
use bamboo_wire::Frame;
use bamboo_wire::PeerMessage;

const NOW: Duration = Duration::from_secs(1000);

fn apply_server_change(core: &mut HostCore, offset: u64, based_on: u64, is_declared: bool) {
    let json = r#"{"kind":"backend_server","name":"e0","data_centre":"d","address":"127.0.0.1:9",
        "role":{"engine":{"models":[{"model":"m","version":"1"}],"max_sequences":4}}}"#;
    let resource_json = is_declared.then(|| json.to_owned());
    let change = ConfigChange {
        kind: "backend_server".into(),
        name: "e0".into(),
        based_on,
        resource_json,
    };
    let bodies = vec![RecordBody::Config(change)];
    let entry = Entry {
        host: "x".into(),
        incarnation: 1,
        at_ms: 0,
        first_sequence: offset + 1,
        bodies,
    };
    core.step(NOW, Input::Tick);
    let answer = ReadAnswer {
        from: offset,
        entries: vec![(offset, Some(entry))],
        oldest: 0,
        tail: offset + 1,
    };
    core.step(
        NOW,
        Input::ReadAnswered {
            stream: StreamId::Config,
            answer,
        },
    );
    core.step(
        NOW,
        Input::OrphanedRunsCancelled {
            server: "e0".into(),
        },
    );
}

/// Sends an item to the core and returns the run that the core starts.
fn start(core: &mut HostCore, item: u32) -> RunRef {
    let assigned = AssignedItem {
        server: "e0".into(),
        job: 1,
        item,
        chunk: Position {
            offset: 0,
            index: 0,
        },
        index_in_chunk: 0,
        model: "m".into(),
        deadline_ms: 0,
        must_run_alone: false,
    };
    let messages = vec![PeerMessage::AssignedItems {
        shard: 0,
        epoch: 1,
        items: vec![assigned],
    }];
    let frame = Frame {
        from: "h1".into(),
        incarnation: 1,
        messages,
    };
    let outputs = core.step(NOW, Input::Frame(frame));
    let started = outputs.into_iter().find_map(|output| match output {
        Output::StartItem { run, .. } => Some(run),
        _ => None,
    });
    started.expect("the item starts")
}

#[test]
fn a_late_result_of_an_earlier_ownership_counts_for_no_other_item() {
    let mut core = HostCore::new(HostOptions::new("h0".into(), 1, 7));
    core.step(NOW, Input::Tick);
    apply_server_change(&mut core, 0, 0, true);
    let peer = HostEntry {
        host: "h1".into(),
        data_centre: "d".into(),
        peer_address: "h1".into(),
        state: HostState::Leaving,
    };
    core.step(
        NOW,
        Input::HostList {
            hosts: vec![peer],
            leaving_servers: Vec::new(),
        },
    );
    let early = start(&mut core, 1);
    apply_server_change(&mut core, 1, 1, false);
    apply_server_change(&mut core, 2, 0, true);
    let late = start(&mut core, 2);
    assert_eq!(
        early.key, late.key,
        "run keys are reused in each ownership term"
    );
    let run_result = ItemRunResult::Done {
        answer_json: "\"of item 1\"".into(),
    };
    let end = ItemEnd::Finished {
        custom_id: "i1".into(),
        run_result,
    };
    core.step(NOW, Input::ItemEnded { run: early, end });
    assert_eq!(
        core.status(NOW).unacknowledged_count,
        0,
        "the late result of item 1 was counted for item 2"
    );
}
