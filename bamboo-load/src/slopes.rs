//! Cost per host, server, workspace, item, request and change, at three or more sizes each, on the pure cores.

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

/// Start of virtual time since the Unix epoch.
const START: Duration = Duration::from_secs(1_000_000);
/// Virtual time that a core runs in a measurement.
const RUN: Duration = Duration::from_secs(10);
/// Interval of the daemon's ticks.
const TICK: Duration = Duration::from_millis(10);
/// Hosts up to which all watch each other.
const MESH_MAX: usize = 16;
/// Hosts that a host watches in larger fleets.
const WATCHED: usize = 6;
/// Items of one chunk.
const CHUNK_ITEMS: u32 = 1000;
/// Outcomes of one group commit, as at 20 groups a second and 27 items a second of one shard or more.
const GROUP_OUTCOMES: u32 = 25;

/// `bamboo-load slopes`.
///
/// # Errors
/// Fails if memory cannot be read.
pub(crate) fn slopes(arguments: Arguments) -> anyhow::Result<ExitCode> {
    anyhow::ensure!(
        arguments.finish().is_empty(),
        "unknown arguments; see --help"
    );
    per_host()?;
    per_server()?;
    per_workspace()?;
    per_item()?;
    per_request()?;
    message_sizes();
    Ok(ExitCode::SUCCESS)
}

fn per_host() -> anyhow::Result<()> {
    println!("== per host: one core with so many peers, 20 servers, {RUN:?} of virtual time");
    println!(
        "{:>8} {:>14} {:>14} {:>14} {:>12}",
        "hosts", "CPU ms/s", "sent bytes/s", "messages/s", "memory KB"
    );
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    for hosts in [12, 100, 400, 810] {
        let cost = idle_core(hosts, 20)?;
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

fn per_server() -> anyhow::Result<()> {
    println!("== per server: one of 12 hosts, so many servers declared");
    println!(
        "{:>8} {:>14} {:>14} {:>14} {:>12}",
        "servers", "CPU ms/s", "sent bytes/s", "messages/s", "memory KB"
    );
    let mut cpu = Vec::new();
    let mut bytes = Vec::new();
    for servers in [20, 200, 1000] {
        let cost = idle_core(12, servers)?;
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

/// Runs one core with idle peers and counts what it spends and sends.
fn idle_core(hosts: usize, servers: usize) -> anyhow::Result<CoreCost> {
    let before_kb = memory_kb()?;
    let mut core = HostCore::new(HostOptions::new("host-0".into(), 1, 7));
    let entries: Vec<HostEntry> = (0..hosts).map(host_entry).collect();
    core.step(
        START,
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
    core.step(START, Input::Tick);
    let answer = ReadAnswer {
        from: 0,
        entries: config,
        oldest: 0,
        tail,
    };
    core.step(
        START,
        Input::ReadAnswered {
            stream: StreamId::Config,
            answer,
        },
    );
    let mut cpu = Duration::ZERO;
    let (mut bytes, mut messages) = (0, 0);
    let mut now = START;
    let mut next_beat = START;
    while now < START + RUN {
        now += TICK;
        let mut inputs = vec![Input::Tick];
        if now >= next_beat {
            next_beat += Duration::from_millis(500);
            // Only hosts that this one watches send it heartbeats; in a small fleet that is all of them.
            let watched = if hosts <= MESH_MAX {
                hosts - 1
            } else {
                WATCHED
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
    let seconds = RUN.as_secs_f64();
    Ok(CoreCost {
        cpu_ms_per_s: cpu.as_secs_f64() * 1000.0 / seconds,
        bytes_per_s: bytes as f64 / seconds,
        messages_per_s: messages as f64 / seconds,
        memory_kb: memory_kb()? - before_kb,
    })
}

fn per_workspace() -> anyhow::Result<()> {
    println!("== per workspace: configuration with so many callers, one workspace each");
    println!(
        "{:>8} {:>12} {:>14} {:>14} {:>16}",
        "callers", "memory KB", "image KB", "image ms", "change µs"
    );
    let mut memory = Vec::new();
    let mut changes = Vec::new();
    for callers in [1_000, 10_000, 42_000] {
        let before_kb = memory_kb()?;
        let mut fold = ConfigState::default();
        for index in 0..callers {
            fold.apply(index, &config_entry(index, &caller(index)));
        }
        let memory_kb = memory_kb()? - before_kb;
        let started_at = Instant::now();
        let image = fold.encode_snapshot().context("image")?;
        let image_ms = started_at.elapsed().as_secs_f64() * 1000.0;
        let started_at = Instant::now();
        for index in callers..callers + 100 {
            fold.apply(index, &config_entry(index, &caller(index)));
        }
        let change_us = started_at.elapsed().as_secs_f64() * 1e6 / 100.0;
        let before_copies_kb = self::memory_kb()?;
        let started_at = Instant::now();
        let copies: Vec<ConfigState> = (0..4).map(|_| fold.clone()).collect();
        let copy_ms = started_at.elapsed().as_secs_f64() * 1000.0 / 4.0;
        let copy_kb = (self::memory_kb()? - before_copies_kb) / 4;
        drop(copies);
        println!("a copy of the fold of {callers} callers: {copy_ms:.1} ms, {copy_kb} KB");
        println!(
            "{callers:>8} {memory_kb:>12} {:>14} {image_ms:>14.1} {change_us:>16.1}",
            image.len() / 1024
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

fn per_item() -> anyhow::Result<()> {
    println!(
        "== per item: one job of so many items in a shard, then all of them done in groups of {GROUP_OUTCOMES}"
    );
    println!(
        "{:>8} {:>10} {:>10} {:>12} {:>12} {:>14} {:>14} {:>14}",
        "items",
        "open KB",
        "done KB",
        "snapshot KB",
        "appends",
        "log bytes/item",
        "fold ms",
        "recover ms"
    );
    let mut open = Vec::new();
    let mut done = Vec::new();
    let mut recovery = Vec::new();
    for items in [10_000, 100_000, 670_000] {
        let row = one_job(items)?;
        println!(
            "{items:>8} {:>10} {:>10} {:>12} {:>12} {:>14.0} {:>14.1} {:>14.1}",
            row.open_kb,
            row.done_kb,
            row.snapshot_kb,
            row.appends,
            row.bytes_per_item,
            row.fold_ms,
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
    fold_ms: f64,
    recover_ms: f64,
}

fn one_job(items: u32) -> anyhow::Result<JobCost> {
    let before_kb = memory_kb()?;
    let mut fold = ShardState::default();
    let mut offset = 0;
    let mut bytes = 0;
    let mut append = |fold: &mut ShardState, body: RecordBody, spent: &mut Duration| {
        let entry = entry(offset, vec![body]);
        bytes += EncodedEntry::from(&entry).bytes.len();
        let started_at = Instant::now();
        fold.apply(offset, &entry);
        *spent += started_at.elapsed();
        offset += 1;
    };
    let mut spent = Duration::ZERO;
    append(&mut fold, RecordBody::Claim, &mut spent);
    let upload = UploadId {
        incarnation: 1,
        number: 1,
    };
    let mut first_item = 0;
    while first_item < items {
        let count = CHUNK_ITEMS.min(items - first_item);
        let body = RecordBody::Chunk {
            upload,
            first_item,
            items: (0..count).map(item_body).collect(),
        };
        append(&mut fold, body, &mut spent);
        first_item += count;
    }
    append(
        &mut fold,
        RecordBody::Submit(spec(items, upload)),
        &mut spent,
    );
    let open_kb = memory_kb()? - before_kb;
    let mut item = 0;
    while item < items {
        let count = GROUP_OUTCOMES.min(items - item);
        let outcomes = (item..item + count).map(outcome).collect();
        append(
            &mut fold,
            RecordBody::Outcomes {
                epoch: 0,
                at_ms: 1,
                outcomes,
            },
            &mut spent,
        );
        item += count;
    }
    let done_kb = memory_kb()? - before_kb;
    let parts = write_snapshot(&fold).context("snapshot")?;
    let snapshot_bytes: usize = parts
        .iter()
        .map(|part| {
            EncodedEntry::from(&entry(0, vec![part.clone()]))
                .bytes
                .len()
        })
        .sum();
    let started_at = Instant::now();
    let mut stream = bamboo_jobs::StreamReplay::default();
    stream.skip_trimmed(offset);
    for (index, part) in parts.into_iter().enumerate() {
        stream.apply(
            offset + index as u64,
            Some(entry(offset + index as u64, vec![part])),
        );
    }
    anyhow::ensure!(
        stream.is_complete(),
        "the snapshot did not bring the fold up"
    );
    let recover_ms = started_at.elapsed().as_secs_f64() * 1000.0;
    Ok(JobCost {
        open_kb,
        done_kb,
        snapshot_kb: snapshot_bytes / 1024,
        appends: offset,
        bytes_per_item: bytes as f64 / f64::from(items),
        fold_ms: spent.as_secs_f64() * 1000.0,
        recover_ms,
    })
}

fn per_request() -> anyhow::Result<()> {
    println!("== per online request: one router with so many servers of the model");
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
                deadline: START + RUN,
                is_idempotent: true,
            };
            router.route(START, online, request as u64);
            router.attempt_ended(START, request, OnlineEnd::Whole, 0);
        }
        let request_us = started_at.elapsed().as_secs_f64() * 1e6 / count as f64;
        println!("{servers:>8} {request_us:>16.2}");
        points.push((f64::from(servers), request_us));
    }
    println!("fitted: {} µs per request and server", fit(&points));
    Ok(())
}

fn message_sizes() {
    println!("== bytes of messages, encoded in a frame of their own");
    let item = bamboo_wire::AssignedItem {
        server: "narrador-10".into(),
        job: u128::MAX / 3,
        item: 300_000,
        chunk: bamboo_log::Position {
            offset: 1_000_000,
            slot: 1,
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
                outcomes: vec![outcome(300_000)],
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
        let whole = EncodedFrame::from(&frame).bytes.len();
        let empty = Frame {
            messages: Vec::new(),
            ..frame
        };
        println!(
            "{name:<26} {:>5} bytes, {whole} with its frame",
            whole - EncodedFrame::from(&empty).bytes.len()
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

fn spec(items: u32, upload: UploadId) -> JobSpec {
    JobSpec {
        job: 7,
        workspace: "workspace".into(),
        caller: "caller".into(),
        key: "key".into(),
        digest: 1,
        serving: "serving".into(),
        model: "model".into(),
        upload,
        chunk_count: items.div_ceil(CHUNK_ITEMS),
        item_count: items,
        created_ms: 0,
        deadline_ms: u64::MAX,
        result_lifetime_ms: 0,
    }
}

fn outcome(item: u32) -> ItemOutcome {
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

/// Resident memory of this process, kilobytes.
fn memory_kb() -> anyhow::Result<i64> {
    let status = std::fs::read_to_string("/proc/self/status").context("memory of this process")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("VmRSS")?;
    Ok(line.trim().trim_end_matches(" kB").trim().parse()?)
}
