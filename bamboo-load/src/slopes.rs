//! Measures the cost per host, server, workspace, item, request and configuration change. Each is measured at three or
//! more sizes on the state machines alone, without I/O, and fitted by a line.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use bamboo_config::BackendServer;
use bamboo_config::Caller;
use bamboo_config::ConfigState;
use bamboo_config::KeyHash;
use bamboo_config::ModelVersion;
use bamboo_config::Resource;
use bamboo_config::ServerRole;
use bamboo_host::HostCore;
use bamboo_host::HostOptions;
use bamboo_host::Input;
use bamboo_host::Output;
use bamboo_jobs::ShardState;
use bamboo_jobs::write_snapshot;
use bamboo_log::ConfigChange;
use bamboo_log::EncodedEntry;
use bamboo_log::Entry;
use bamboo_log::ItemBody;
use bamboo_log::ItemOutcome;
use bamboo_log::ItemRunResult;
use bamboo_log::JobSpec;
use bamboo_log::ReadAnswer;
use bamboo_log::RecordBody;
use bamboo_log::StreamId;
use bamboo_log::UploadId;
use bamboo_member::HostEntry;
use bamboo_member::HostState;
use bamboo_route::ChoiceOptions;
use bamboo_route::OnlineEnd;
use bamboo_route::OnlineRequest;
use bamboo_route::RouteServer;
use bamboo_route::Router;
use bamboo_route::Target;
use bamboo_wire::EncodedFrame;
use bamboo_wire::Frame;
use bamboo_wire::PeerMessage;
use pico_args::Arguments;
use serde_json::json;

use crate::stats::fit;

/// Start of virtual time, as time since the Unix epoch.
const START_TIME: Duration = Duration::from_secs(1_000_000);
/// Duration of a measurement in virtual time.
const RUN_DURATION: Duration = Duration::from_secs(10);
/// Tick interval of the daemon.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum fleet size at which every host watches every other one.
const FULL_MESH_MAX: usize = 16;
/// Number of hosts that a host watches in a larger fleet.
const WATCHED_HOSTS: usize = 6;
/// Number of items of a chunk.
const ITEMS_PER_CHUNK: u32 = 1000;
/// Outcomes per group commit. Corresponds to 20 commits per second and 27 or more items per second and shard.
const OUTCOMES_PER_COMMIT: u32 = 25;

/// `bamboo-load slopes`.
///
/// # Errors
/// Fails if the memory usage of this process cannot be read, or if a snapshot cannot be encoded or replayed.
pub(crate) fn slopes(arguments: Arguments) -> anyhow::Result<ExitCode> {
    anyhow::ensure!(
        arguments.finish().is_empty(),
        "unknown arguments; see bamboo-load --help"
    );
    measure_per_host()?;
    measure_per_server()?;
    measure_per_workspace()?;
    measure_per_item()?;
    measure_per_request()?;
    print_message_sizes();
    Ok(ExitCode::SUCCESS)
}

fn measure_per_host() -> anyhow::Result<()> {
    println!(
        "== per host: one core with a varying number of hosts, 20 servers, {RUN_DURATION:?} of virtual time"
    );
    println!(
        "{:>8} {:>14} {:>14} {:>14} {:>12}",
        "hosts", "CPU ms/s", "sent bytes/s", "messages/s", "memory KB"
    );
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    for hosts in [12, 100, 400, 810] {
        let cost = measure_idle_core(hosts, 20)?;
        println!(
            "{hosts:>8} {:>14.3} {:>14.0} {:>14.1} {:>12}",
            cost.cpu_ms_per_s, cost.bytes_per_s, cost.messages_per_s, cost.memory_kb
        );
        cpu.push((hosts as f64, cost.cpu_ms_per_s));
        bytes.push((hosts as f64, cost.bytes_per_s));
    }
    println!(
        "fitted: {} CPU ms/s per host; {} bytes/s per host",
        fit(&cpu),
        fit(&bytes)
    );
    Ok(())
}

fn measure_per_server() -> anyhow::Result<()> {
    println!("== per server: one of 12 hosts, with a varying number of servers");
    println!(
        "{:>8} {:>14} {:>14} {:>14} {:>12}",
        "servers", "CPU ms/s", "sent bytes/s", "messages/s", "memory KB"
    );
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    for servers in [20, 200, 1000] {
        let cost = measure_idle_core(12, servers)?;
        println!(
            "{servers:>8} {:>14.3} {:>14.0} {:>14.1} {:>12}",
            cost.cpu_ms_per_s, cost.bytes_per_s, cost.messages_per_s, cost.memory_kb
        );
        let owned = servers as f64 / 12.0;
        cpu.push((owned, cost.cpu_ms_per_s));
        bytes.push((owned, cost.bytes_per_s));
    }
    println!(
        "fitted: {} CPU ms/s per owned server; {} bytes/s per owned server",
        fit(&cpu),
        fit(&bytes)
    );
    Ok(())
}

struct CoreCost {
    cpu_ms_per_s: f64,
    bytes_per_s: f64,
    messages_per_s: f64,
    memory_kb: i64,
}

/// Runs one host core with idle peers, and measures its CPU time, its memory and the messages it sends.
fn measure_idle_core(hosts: usize, servers: usize) -> anyhow::Result<CoreCost> {
    let before_kb = memory_kb()?;
    let mut core = HostCore::new(HostOptions::new("host-0".into(), 1, 7));
    let entries: Vec<HostEntry> = (0..hosts).map(host_entry).collect();
    core.step(
        START_TIME,
        Input::HostList {
            hosts: entries,
            leaving_servers: Vec::new(),
        },
    );
    let config: Vec<(u64, Option<Entry>)> = (0..servers)
        .map(|index| {
            (
                index as u64,
                Some(config_entry(index as u64, &server(index))),
            )
        })
        .collect();
    let tail = servers as u64;
    core.step(START_TIME, Input::Tick);
    let answer = ReadAnswer {
        from: 0,
        entries: config,
        oldest: 0,
        tail,
    };
    core.step(
        START_TIME,
        Input::ReadAnswered {
            stream: StreamId::Config,
            answer,
        },
    );
    let mut cpu = Duration::ZERO;
    let (mut bytes, mut messages) = (0, 0);
    let mut now = START_TIME;
    let mut next_heartbeat = START_TIME;
    while now < START_TIME + RUN_DURATION {
        now += TICK_INTERVAL;
        let mut inputs = vec![Input::Tick];
        if now >= next_heartbeat {
            next_heartbeat += Duration::from_millis(500);
            // Only watched hosts send heartbeats to this one; in a small fleet all hosts are watched.
            let watched = if hosts <= FULL_MESH_MAX {
                hosts - 1
            } else {
                WATCHED_HOSTS
            };
            inputs.extend((1..=watched).map(|peer| Input::Frame(heartbeat(peer, tail))));
        }
        for input in inputs {
            let started_at = Instant::now();
            let outputs = core.step(now, input);
            cpu += started_at.elapsed();
            for output in outputs {
                if let Output::Send { messages: sent, .. } = output {
                    messages += sent.len();
                    let frame = Frame {
                        from: "host-0".into(),
                        incarnation: 1,
                        messages: sent,
                    };
                    bytes += EncodedFrame::from(&frame).bytes.len();
                }
            }
        }
    }
    let seconds = RUN_DURATION.as_secs_f64();
    Ok(CoreCost {
        cpu_ms_per_s: cpu.as_secs_f64() * 1000.0 / seconds,
        bytes_per_s: bytes as f64 / seconds,
        messages_per_s: messages as f64 / seconds,
        memory_kb: memory_kb()? - before_kb,
    })
}

fn measure_per_workspace() -> anyhow::Result<()> {
    println!(
        "== per workspace: configuration with a varying number of callers, one workspace each"
    );
    println!(
        "{:>8} {:>12} {:>14} {:>14} {:>16}",
        "callers", "memory KB", "snapshot KB", "snapshot ms", "change µs"
    );
    let mut memory = Vec::new();
    let mut changes = Vec::new();
    for callers in [1_000, 10_000, 42_000] {
        let before_kb = memory_kb()?;
        let mut state = ConfigState::default();
        for index in 0..callers {
            state.apply(index, &config_entry(index, &caller(index)));
        }
        let memory_kb = memory_kb()? - before_kb;
        let started_at = Instant::now();
        let snapshot = state
            .encode_snapshot()
            .context("cannot encode the snapshot")?;
        let snapshot_ms = started_at.elapsed().as_secs_f64() * 1000.0;
        let started_at = Instant::now();
        for index in callers..callers + 100 {
            state.apply(index, &config_entry(index, &caller(index)));
        }
        let change_us = started_at.elapsed().as_secs_f64() * 1e6 / 100.0;
        let before_copies_kb = self::memory_kb()?;
        let started_at = Instant::now();
        let copies: Vec<ConfigState> = (0..4).map(|_| state.clone()).collect();
        let copy_ms = started_at.elapsed().as_secs_f64() * 1000.0 / 4.0;
        let copy_kb = (self::memory_kb()? - before_copies_kb) / 4;
        drop(copies);
        println!("a copy of the state with {callers} callers: {copy_ms:.1} ms, {copy_kb} KB");
        println!(
            "{callers:>8} {memory_kb:>12} {:>14} {snapshot_ms:>14.1} {change_us:>16.1}",
            snapshot.len() / 1024
        );
        memory.push((callers as f64, memory_kb as f64 * 1024.0));
        changes.push((callers as f64, change_us));
    }
    println!(
        "fitted: {} bytes per caller; {} µs per change and caller",
        fit(&memory),
        fit(&changes)
    );
    Ok(())
}

fn measure_per_item() -> anyhow::Result<()> {
    println!(
        "== per item: one job with a varying number of items, all completed in groups of {OUTCOMES_PER_COMMIT}"
    );
    println!(
        "{:>8} {:>10} {:>10} {:>12} {:>12} {:>14} {:>14} {:>14}",
        "items",
        "open KB",
        "done KB",
        "snapshot KB",
        "appends",
        "log bytes/item",
        "apply ms",
        "recover ms"
    );
    let mut open = Vec::new();
    let mut done = Vec::new();
    let mut recovery = Vec::new();
    for items in [10_000, 100_000, 670_000] {
        let row = measure_job(items)?;
        println!(
            "{items:>8} {:>10} {:>10} {:>12} {:>12} {:>14.0} {:>14.1} {:>14.1}",
            row.open_kb,
            row.done_kb,
            row.snapshot_kb,
            row.appends,
            row.bytes_per_item,
            row.apply_ms,
            row.recover_ms
        );
        open.push((f64::from(items), row.open_kb as f64 * 1024.0));
        done.push((f64::from(items), row.snapshot_kb as f64 * 1024.0));
        recovery.push((f64::from(items), row.recover_ms));
    }
    println!(
        "fitted: {} bytes in memory per open item; {} bytes of snapshot per done item; {} ms of recovery per item",
        fit(&open),
        fit(&done),
        fit(&recovery)
    );
    Ok(())
}

struct JobCost {
    open_kb: i64,
    done_kb: i64,
    snapshot_kb: usize,
    appends: u64,
    bytes_per_item: f64,
    apply_ms: f64,
    recover_ms: f64,
}

fn measure_job(items: u32) -> anyhow::Result<JobCost> {
    let before_kb = memory_kb()?;
    let mut state = ShardState::default();
    let mut offset = 0;
    let mut bytes = 0;
    let mut append = |state: &mut ShardState, body: RecordBody, apply_time: &mut Duration| {
        let entry = entry(offset, vec![body]);
        bytes += EncodedEntry::from(&entry).bytes.len();
        let started_at = Instant::now();
        state.apply(offset, &entry);
        *apply_time += started_at.elapsed();
        offset += 1;
    };
    let mut apply_time = Duration::ZERO;
    append(&mut state, RecordBody::Claim, &mut apply_time);
    let upload = UploadId {
        incarnation: 1,
        number: 1,
    };
    let mut first_item = 0;
    while first_item < items {
        let count = ITEMS_PER_CHUNK.min(items - first_item);
        let body = RecordBody::Chunk {
            upload,
            first_item,
            items: (0..count).map(item_body).collect(),
        };
        append(&mut state, body, &mut apply_time);
        first_item += count;
    }
    append(
        &mut state,
        RecordBody::Submit(job_spec(items, upload)),
        &mut apply_time,
    );
    let open_kb = memory_kb()? - before_kb;
    let mut item = 0;
    while item < items {
        let count = OUTCOMES_PER_COMMIT.min(items - item);
        let outcomes = (item..item + count).map(item_outcome).collect();
        append(
            &mut state,
            RecordBody::Outcomes {
                epoch: 0,
                at_ms: 1,
                outcomes,
            },
            &mut apply_time,
        );
        item += count;
    }
    let done_kb = memory_kb()? - before_kb;
    let parts = write_snapshot(&state).context("cannot encode the snapshot")?;
    let snapshot_bytes: usize = parts
        .iter()
        .map(|part| {
            EncodedEntry::from(&entry(0, vec![part.clone()]))
                .bytes
                .len()
        })
        .sum();
    let started_at = Instant::now();
    let mut replay = bamboo_jobs::StreamReplay::default();
    replay.skip_trimmed(offset);
    for (index, part) in parts.into_iter().enumerate() {
        replay.apply(
            offset + index as u64,
            Some(entry(offset + index as u64, vec![part])),
        );
    }
    anyhow::ensure!(
        replay.is_complete(),
        "replaying the snapshot did not complete the state"
    );
    let recover_ms = started_at.elapsed().as_secs_f64() * 1000.0;
    Ok(JobCost {
        open_kb,
        done_kb,
        snapshot_kb: snapshot_bytes / 1024,
        appends: offset,
        bytes_per_item: bytes as f64 / f64::from(items),
        apply_ms: apply_time.as_secs_f64() * 1000.0,
        recover_ms,
    })
}

fn measure_per_request() -> anyhow::Result<()> {
    println!("== per online request: one router with a varying number of servers of the model");
    println!("{:>8} {:>16}", "servers", "route + end µs");
    let mut points = Vec::new();
    for servers in [20, 200, 2000, 6700] {
        let mut router = Router::new(ChoiceOptions::default());
        router.set_servers((0..servers).map(route_server).collect(), 12);
        let count = 2000;
        let started_at = Instant::now();
        for request in 0..count {
            let online = OnlineRequest {
                id: request,
                caller: "caller".into(),
                resource: "serving".into(),
                limits: None,
                target: Target::Model("model".into()),
                prefix: None,
                token_count: 1.0,
                deadline: START_TIME + RUN_DURATION,
                is_idempotent: true,
            };
            router.route(START_TIME, online, request as u64);
            router.attempt_ended(START_TIME, request, OnlineEnd::Whole, 0);
        }
        let request_us = started_at.elapsed().as_secs_f64() * 1e6 / count as f64;
        println!("{servers:>8} {request_us:>16.2}");
        points.push((f64::from(servers), request_us));
    }
    println!("fitted: {} µs per request and server", fit(&points));
    Ok(())
}

fn print_message_sizes() {
    println!("== encoded size of messages, each in its own frame");
    let item = bamboo_wire::AssignedItem {
        server: "narrador-10".into(),
        job: u128::MAX / 3,
        item: 300_000,
        chunk: bamboo_log::Position {
            offset: 1_000_000,
            index: 1,
        },
        index_in_chunk: 500,
        model: "narrador".into(),
        deadline_ms: 1_800_000_000_000,
        must_run_alone: false,
    };
    let messages = [
        (
            "heartbeat",
            PeerMessage::Heartbeat {
                is_draining: false,
                config_offset: 1_000_000,
            },
        ),
        (
            "online count",
            PeerMessage::OnlineCount {
                server: "narrador-10".into(),
                in_flight: 12,
            },
        ),
        (
            "demand",
            PeerMessage::Demand {
                shard: 3,
                server: "narrador-10".into(),
                models: vec!["narrador".into()],
                want_count: 16,
                held_count: 64,
            },
        ),
        (
            "one item",
            PeerMessage::AssignedItems {
                shard: 3,
                epoch: 1_000_000,
                items: vec![item],
            },
        ),
        (
            "one outcome of 500 bytes",
            PeerMessage::Outcomes {
                shard: 3,
                outcomes: vec![item_outcome(300_000)],
            },
        ),
        (
            "one settled",
            PeerMessage::OutcomesAcknowledged {
                shard: 3,
                items: vec![(u128::MAX / 3, 300_000)],
            },
        ),
    ];
    for (name, message) in messages {
        let frame = Frame {
            from: "quito-norte-host-1".into(),
            incarnation: 1_800_000_000_000,
            messages: vec![message],
        };
        let frame_bytes = EncodedFrame::from(&frame).bytes.len();
        let empty = Frame {
            messages: Vec::new(),
            ..frame
        };
        println!(
            "{name:<26} {:>5} bytes, {frame_bytes} with its frame",
            frame_bytes - EncodedFrame::from(&empty).bytes.len()
        );
    }
}

fn host_entry(index: usize) -> HostEntry {
    HostEntry {
        host: format!("host-{index}"),
        data_centre: format!("dc-{}", index % 5),
        peer_address: "127.0.0.1:9".into(),
        state: HostState::Live,
    }
}

fn heartbeat(peer: usize, config_offset: u64) -> Frame {
    let messages = vec![PeerMessage::Heartbeat {
        is_draining: false,
        config_offset,
    }];
    Frame {
        from: format!("host-{peer}"),
        incarnation: 1,
        messages,
    }
}

fn server(index: usize) -> Resource {
    Resource::BackendServer(BackendServer {
        name: format!("server-{index}"),
        data_centre: format!("dc-{}", index % 5),
        address: "127.0.0.1:9".into(),
        role: ServerRole::Engine {
            models: vec![ModelVersion {
                model: format!("model-{}", index % 8),
                version: "1".into(),
            }],
            max_sequences: 64,
        },
        checks_fencing: true,
        is_draining: false,
    })
}

fn caller(index: u64) -> Resource {
    Resource::Caller(Caller {
        name: format!("caller-{index}"),
        workspace: format!("workspace-{index}"),
        key_sha256: KeyHash::of(&index.to_string()),
    })
}

fn config_entry(offset: u64, resource: &Resource) -> Entry {
    let change = ConfigChange {
        kind: resource.kind().name().to_owned(),
        name: resource.name().to_owned(),
        based_on: 0,
        resource_json: Some(json!(resource).to_string()),
    };
    entry(offset, vec![RecordBody::Config(change)])
}

fn entry(offset: u64, bodies: Vec<RecordBody>) -> Entry {
    Entry {
        host: "host-0".into(),
        incarnation: 1,
        at_ms: 0,
        first_sequence: offset + 1,
        bodies,
    }
}

fn item_body(index: u32) -> ItemBody {
    ItemBody {
        custom_id: format!("item-{index}"),
        body_json: "x".repeat(400),
    }
}

fn job_spec(items: u32, upload: UploadId) -> JobSpec {
    JobSpec {
        job: 7,
        workspace: "workspace".into(),
        caller: "caller".into(),
        key: "key".into(),
        digest: 1,
        serving: "serving".into(),
        model: "model".into(),
        upload,
        chunk_count: items.div_ceil(ITEMS_PER_CHUNK),
        item_count: items,
        created_ms: 0,
        deadline_ms: u64::MAX,
        result_lifetime_ms: 0,
    }
}

fn item_outcome(item: u32) -> ItemOutcome {
    ItemOutcome {
        job: 7,
        item,
        custom_id: format!("item-{item}"),
        server: "server-10".into(),
        run_result: ItemRunResult::Done {
            answer_json: "y".repeat(500),
        },
    }
}

fn route_server(index: u32) -> RouteServer {
    RouteServer {
        name: format!("server-{index}"),
        address: "127.0.0.1:9".into(),
        targets: vec![Target::Model("model".into())],
        capacity: 64,
        is_usable: true,
    }
}

/// Returns the resident memory of this process, in kilobytes.
fn memory_kb() -> anyhow::Result<i64> {
    let status =
        std::fs::read_to_string("/proc/self/status").context("cannot read /proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("VmRSS")?;
    Ok(line.trim().trim_end_matches(" kB").trim().parse()?)
}
