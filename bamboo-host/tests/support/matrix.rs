//! The fault matrix: each fault is injected at each step of the protocols.

use std::time::Duration;

use bamboo_events::EventKind;
use bamboo_host::Input;
use bamboo_host::Output;
use bamboo_log::Entry;
use bamboo_log::RecordBody;

use super::check::all_jobs_ended;
use super::check::violations;
use super::clients::Client;
use super::clients::Operation;
use super::clients::call_violations;
use super::world::AppendFault;
use super::world::Simulation;

/// A step of a protocol, identified by a record that is appended or an event that is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Submit,
    Claim,
    HandOut,
    Commit,
    Cancel,
    Snapshot,
    CarryForward,
    ConfigChange,
    KeyedCall,
    KeyedEnd,
    PlannedStop,
}

/// A fault that is injected at a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    KilledBefore,
    KilledAfter,
    HostLostAfterAcknowledgement,
    AppendLate,
    AppendAnswerLost,
    AppendRefused,
    ReadsDelayed,
    ReadsTrimmed,
    FrozenPastLease,
    TwoOwners,
    ClientResends,
    OperatorsRace,
    KilledAndAnswerLost,
    FrozenAndAppendLate,
}

impl Step {
    pub const ALL: [Step; 11] = [
        Step::Submit,
        Step::Claim,
        Step::HandOut,
        Step::Commit,
        Step::Cancel,
        Step::Snapshot,
        Step::CarryForward,
        Step::ConfigChange,
        Step::KeyedCall,
        Step::KeyedEnd,
        Step::PlannedStop,
    ];

    /// Whether an output carries out this step.
    pub fn matches(self, output: &Output) -> bool {
        match output {
            Output::Append { bytes, .. } => {
                let entry = Entry::try_from(bytes.as_slice()).ok();
                entry.is_some_and(|entry| entry.bodies.iter().any(|body| self.matches_record(body)))
            }
            Output::Event {
                kind: EventKind::ItemHandedOut,
                ..
            } => self == Step::HandOut,
            _ => false,
        }
    }

    fn matches_record(self, body: &RecordBody) -> bool {
        match body {
            RecordBody::Submit(_) => self == Step::Submit,
            RecordBody::Claim => self == Step::Claim,
            RecordBody::Outcomes { .. } => self == Step::Commit,
            RecordBody::Cancel { .. } => self == Step::Cancel,
            RecordBody::Snapshot(_) => self == Step::Snapshot,
            RecordBody::CarriedOutcomes { .. } | RecordBody::CarriedChunk { .. } => {
                self == Step::CarryForward
            }
            RecordBody::Config(_) => self == Step::ConfigChange,
            RecordBody::KeyedCall(_) => self == Step::KeyedCall,
            RecordBody::KeyedCallEnd(_) => self == Step::KeyedEnd,
            RecordBody::Release { .. } => self == Step::PlannedStop,
            _ => false,
        }
    }
}

impl Fault {
    pub const ALL: [Fault; 14] = [
        Fault::KilledBefore,
        Fault::KilledAfter,
        Fault::HostLostAfterAcknowledgement,
        Fault::AppendLate,
        Fault::AppendAnswerLost,
        Fault::AppendRefused,
        Fault::ReadsDelayed,
        Fault::ReadsTrimmed,
        Fault::FrozenPastLease,
        Fault::TwoOwners,
        Fault::ClientResends,
        Fault::OperatorsRace,
        Fault::KilledAndAnswerLost,
        Fault::FrozenAndAppendLate,
    ];
}

/// A fault to be injected when its step is reached for the first time.
#[derive(Debug, Clone, Copy)]
pub struct PendingFault {
    pub step: Step,
    pub fault: Fault,
}

/// How long a fault lasts.
const FAULT_DURATION: Duration = Duration::from_secs(6);
/// How long a killed host stays down.
const DOWNTIME: Duration = Duration::from_secs(4);
/// Retention of the log in the matrix, short enough that records must be carried forward.
const LOG_RETENTION: Duration = Duration::from_secs(40);
/// Time limit of a cell.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(90);

/// Injects a fault before or after its step. `execute` performs the step.
pub fn inject_fault<F>(sim: &mut Simulation, host: &str, pending_fault: PendingFault, execute: F)
where
    F: FnOnce(&mut Simulation),
{
    let append_fault = |sim: &mut Simulation, fault| {
        sim.append_fault = fault;
        sim.append_fault_until = sim.now + FAULT_DURATION;
    };
    match pending_fault.fault {
        Fault::KilledBefore => sim.kill_for(host, DOWNTIME),
        Fault::KilledAfter => {
            execute(sim);
            sim.kill_for(host, DOWNTIME);
        }
        Fault::HostLostAfterAcknowledgement => {
            execute(sim);
            sim.kill_after_answer = Some(host.to_owned());
        }
        Fault::AppendLate => {
            append_fault(sim, AppendFault::Late);
            execute(sim);
        }
        Fault::AppendAnswerLost => {
            append_fault(sim, AppendFault::LoseAnswer);
            execute(sim);
        }
        Fault::AppendRefused => {
            append_fault(sim, AppendFault::Refuse);
            execute(sim);
        }
        Fault::ReadsDelayed => {
            sim.read_delay = Duration::from_secs(2);
            execute(sim);
        }
        Fault::ReadsTrimmed => {
            execute(sim);
            // Trims entries older than half of the retention and restarts another host, which must then recover from
            // streams without their first entries.
            sim.log
                .trim_before(sim.now.saturating_sub(sim.retention / 2));
            let other = sim.host_names().into_iter().find(|name| name != host);
            if let Some(other) = other {
                sim.kill_for(&other, DOWNTIME);
            }
        }
        Fault::FrozenPastLease => {
            execute(sim);
            sim.freeze(host, FAULT_DURATION);
        }
        Fault::TwoOwners => {
            execute(sim);
            sim.isolate(host, true);
        }
        Fault::ClientResends => {
            execute(sim);
            sim.must_resend = true;
        }
        Fault::OperatorsRace => {
            execute(sim);
            send_concurrent_changes(sim);
        }
        Fault::KilledAndAnswerLost => {
            append_fault(sim, AppendFault::LoseAnswer);
            execute(sim);
            sim.kill_for(host, DOWNTIME);
        }
        Fault::FrozenAndAppendLate => {
            append_fault(sim, AppendFault::Late);
            execute(sim);
            sim.freeze(host, FAULT_DURATION);
        }
    }
}

/// Changes one resource and cancels one job through all hosts at the same time.
fn send_concurrent_changes(sim: &mut Simulation) {
    let names: Vec<String> = sim
        .host_names()
        .into_iter()
        .filter(|name| sim.is_up(name))
        .collect();
    let job = bamboo_types::job_id("workspace", "cancelled");
    for (index, name) in names.iter().enumerate() {
        sim.propose(name, "raced", 0, index as u64);
        if sim.accepted.contains_key(&job) {
            sim.cancel(name, job);
        }
    }
}

/// Result of one cell.
#[derive(Debug)]
pub struct CellResult {
    pub is_reached: bool,
    pub violations: Vec<String>,
}

/// Runs the cell of a step and a fault with one seed.
pub fn run_cell(step: Step, fault: Fault, seed: u64) -> CellResult {
    let mut sim = Simulation::new(seed, 3, 2);
    sim.declare_plain_server();
    sim.set_retention(LOG_RETENTION);
    let pending_fault = Some(PendingFault { step, fault });
    if step == Step::Claim {
        sim.pending_fault = pending_fault;
    }
    sim.run(Duration::from_secs(4));
    sim.pending_fault = sim.pending_fault.or(if sim.injected_at.is_some() {
        None
    } else {
        pending_fault
    });
    let mut clients = clients(&sim);
    let mut drain_at = Some(sim.now + Duration::from_secs(3));
    let limit = sim.now + COMPLETION_TIMEOUT;
    let earliest_end = sim.now + LOG_RETENTION + Duration::from_secs(10);
    while sim.now < limit {
        sim.run(Duration::from_millis(250));
        advance(&mut sim, &mut clients);
        if drain_at.is_some_and(|at| sim.now >= at) && sim.is_up("h2") {
            drain_at = None;
            sim.send_input("h2", Input::Drain);
        }
        let is_over = sim.now >= earliest_end && clients.iter().all(|client| client.is_done);
        if is_over && all_jobs_ended(&sim) && sim.host_names().iter().all(|name| sim.is_up(name)) {
            break;
        }
    }
    sim.run(Duration::from_secs(4));
    let mut found = violations(&sim);
    found.extend(call_violations(&sim));
    let unfinished = clients.iter().filter(|client| !client.is_done);
    found.extend(unfinished.map(|client| format!("not done: {:?}", client.operation)));
    CellResult {
        is_reached: sim.injected_at.is_some(),
        violations: found,
    }
}

fn clients(sim: &Simulation) -> Vec<Client> {
    let key = |text: &str| text.to_owned();
    let operations = [
        (
            0,
            Operation::Job {
                key: key("kept"),
                item_count: 60,
            },
        ),
        (
            200,
            Operation::Job {
                key: key("cancelled"),
                item_count: 400,
            },
        ),
        (
            300,
            Operation::Change {
                name: key("model-a"),
                version: 1,
            },
        ),
        (400, Operation::Call { key: key("call-a") }),
        (
            1500,
            Operation::Cancel {
                key: key("cancelled"),
            },
        ),
        (
            1600,
            Operation::Change {
                name: key("model-a"),
                version: 2,
            },
        ),
        (1700, Operation::Call { key: key("call-b") }),
        (
            8000,
            Operation::Job {
                key: key("later"),
                item_count: 40,
            },
        ),
        (
            8100,
            Operation::Change {
                name: key("model-b"),
                version: 1,
            },
        ),
        (9000, Operation::Call { key: key("call-a") }),
    ];
    let client = |(index, (after_ms, operation)): (usize, (u64, Operation))| {
        Client::new(operation, sim.now + Duration::from_millis(after_ms), index)
    };
    operations.into_iter().enumerate().map(client).collect()
}

/// Advances all clients, ends faults whose time has passed and restarts drained hosts.
pub fn advance(sim: &mut Simulation, clients: &mut [Client]) {
    for client in clients.iter_mut() {
        client.advance(sim);
    }
    if std::mem::take(&mut sim.must_resend) {
        for client in clients.iter_mut() {
            client.resend(sim);
        }
    }
    if sim
        .injected_at
        .is_some_and(|at| sim.now >= at + FAULT_DURATION)
    {
        sim.read_delay = Duration::ZERO;
        sim.cut_links.clear();
    }
    for host in std::mem::take(&mut sim.drained) {
        sim.kill_for(&host, Duration::from_secs(1));
    }
}
