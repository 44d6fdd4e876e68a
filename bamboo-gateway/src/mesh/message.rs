//! Messages between hosts.

use std::collections::BTreeSet;
use std::time::Duration;

use bamboo_coordination::ClusterMap;
use bamboo_coordination::ClusterMapChange;
use bamboo_coordination::Heartbeat;
use bamboo_coordination::HostInfo;
use bamboo_coordination::Probe;
use bamboo_coordination::ServerReports;
use bamboo_coordination::StreamKey;
use bamboo_fleet::Server;
use bamboo_quarantine::CrashReport;
use bamboo_quarantine::EarlyCrashReport;
use bamboo_quarantine::EarlySuspectReport;
use bamboo_quarantine::QuarantinedSuspect;
use bamboo_quarantine::SuspectId;
use bamboo_quarantine::SuspectReport;
use bamboo_slots::LimitReport;
use bamboo_slots::PackedReport;
use bamboo_slots::Permit;
use bamboo_slots::Rank;
use bamboo_slots::RunOutcome;
use bamboo_slots::SlotRequestId;
use bamboo_types::BackendServerId;
use bamboo_types::SoftwareVersion;
use bamboo_types::StreamOrigin;
use bamboo_types::WorkspaceId;
use serde::Deserialize;
use serde::Serialize;

use crate::dialect::JobCall;
use crate::gateway::ConfigRecord;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::StoreRequest;

/// A slot request, or a run that is already in progress. All times are relative to the sending of the message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SlotRequestInfo {
    /// Identifier of the request.
    pub id: SlotRequestId,
    /// Service whose engines can run the work.
    pub service: String,
    /// Whether this is an online request; otherwise it is a batch item.
    pub is_online: bool,
    /// Online: time until the latest start that is on time. Batch: time until the result is due. In milliseconds,
    /// negative once it has passed.
    pub due_in_ms: i64,
    /// Online: time until the request expires. Batch: expected run time that remains. In milliseconds.
    pub remaining_ms: u64,
    /// Servers whose slots must not be granted.
    pub excluded: Vec<BackendServerId>,
    /// Server that runs it already, if any.
    pub server: Option<BackendServerId>,
    /// Version of the software that the server must have, if any.
    pub version: Option<SoftwareVersion>,
}

/// Terms of a slot request, with times relative to the sending of the message.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TermsInfo {
    /// Workspace of the caller, if any.
    pub workspace: Option<WorkspaceId>,
    /// Rank among online requests.
    pub rank: Rank,
    /// Whether the request counts towards the rate of its workspace.
    pub is_counted: bool,
    /// Time until the caller leaves unless the response has begun, in milliseconds.
    pub begin_in_ms: Option<u64>,
}

/// A slot request with its terms.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SlotRequestOnTerms {
    /// The request.
    pub info: SlotRequestInfo,
    /// Its terms.
    pub terms: TermsInfo,
}

impl From<SlotRequestInfo> for SlotRequestOnTerms {
    /// A request of a host that names no terms.
    fn from(info: SlotRequestInfo) -> Self {
        SlotRequestOnTerms {
            info,
            terms: TermsInfo::default(),
        }
    }
}

/// A request that expects a reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Submits a job to the owner of its partition.
    Submit {
        /// Identifier of the job.
        job: String,
        /// `Host` header.
        host: String,
        /// Path of the caller's request.
        path: String,
        /// Body of the caller's request.
        body: Vec<u8>,
    },
    /// A call concerning a job, for the owner of its partition.
    Job(JobCall),
    /// Reserves queue capacity for tokens of a route at the coordinator.
    Reserve {
        /// Route.
        route: String,
        /// Tokens to reserve.
        tokens: u64,
        /// Limit on the route's waiting tokens, summed over all hosts.
        max_tokens: u64,
    },
    /// Relays a request to the store for a host that cannot reach it.
    Store(StoreRequest),
    /// Fetches the current configuration.
    Config,
    /// Fetches the directory of backend servers.
    Servers,
    /// Asks where a stream began.
    StreamOrigin {
        /// The stream.
        stream: StreamKey,
        /// Services at which it may have begun.
        services: Vec<String>,
    },
    /// Asks for the recent runs with these parts in their prompts. For hosts of protocol version 3 or later.
    RunHistories(Vec<SuspectId>),
    /// Asks the coordinator for a server that takes a request in time, of some that name limits. For hosts of protocol
    /// version 3 or later.
    Permit {
        /// The servers.
        servers: Vec<BackendServerId>,
        /// Time for which the request can wait.
        max_wait: Duration,
    },
    /// Has the coordinator weigh a crash under a run that had not begun. For hosts of protocol version 4 or later.
    WeighEarlyCrash(EarlyCrashReport),
    /// Has the coordinator weigh a crash. For hosts of protocol version 5 or later.
    WeighCrash(CrashReport),
    /// Asks for the recent sound runs with these suspects. For hosts of protocol version 5 or later.
    SoundRuns(Vec<SuspectId>),
    /// Submits a job of a workspace to the owner of its partition. For hosts of protocol version 8 or later, like the three
    /// after it.
    SubmitFor {
        /// Workspace of the caller.
        workspace: WorkspaceId,
        /// Identifier of the job.
        job: String,
        /// `Host` header.
        host: String,
        /// Path of the caller's request.
        path: String,
        /// Body of the caller's request.
        body: Vec<u8>,
    },
    /// A call of a workspace concerning a job, for the owner of its partition.
    JobFor {
        /// Workspace of the caller.
        workspace: WorkspaceId,
        /// The call.
        call: JobCall,
    },
    /// Asks the owner of its partition whether a job was accepted, for a workspace that submits it again.
    FindSubmittedFor {
        /// Workspace of the caller.
        workspace: WorkspaceId,
        /// Identifier of the job.
        job: String,
    },
    /// Reserves queue capacity for the tokens of a job at the coordinator.
    ReserveFor {
        /// Identifier of the job.
        job: String,
        /// Text of the queue.
        queue: String,
        /// Tokens to reserve.
        tokens: u64,
        /// Limit on the queue's waiting tokens, summed over all hosts.
        max_tokens: u64,
    },
    /// Asks the coordinator whether a request to a plain service is within the rate of its workspace. For hosts of protocol
    /// version 8 or later.
    CountRequest {
        /// Workspace of the caller.
        workspace: WorkspaceId,
    },
}

/// Reply to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerReply {
    /// HTTP response for the caller of a job submission or of a call concerning a job.
    Http {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// Number of the reservation; `None` if the limit would be exceeded.
    Reserved(Option<u64>),
    /// The coordinator knows too few partition owners to decide.
    Undecided,
    /// Response of the store.
    Store(Result<StoreReply, StoreError>),
    /// Current configuration; `None` if the host has none.
    Config(Option<ConfigRecord>),
    /// Directory of backend servers; `None` if the host does not know them.
    Servers(Option<Vec<Server>>),
    /// What the host knows of a stream.
    StreamOrigin {
        /// Where it began.
        origin: Option<StreamOrigin>,
        /// Versions that the servers of the services in question have, or recently had.
        versions: BTreeSet<SoftwareVersion>,
        /// Whether the host has followed the servers for long enough, and up to now, to name all such versions.
        remembers_versions: bool,
    },
    /// Recent runs with the parts in question.
    RunHistories(Vec<EarlySuspectReport>),
    /// Whether the request may be sent, and to which server.
    Permit(Permit),
    /// The crash has been weighed. A verdict was sent before.
    CrashWeighed,
    /// Recent sound runs with the suspects in question.
    SoundRuns(Vec<SuspectReport>),
    /// Whether a request is within the rate of its workspace.
    RateDecision {
        /// Time after which to retry; `None` if the request may run.
        retry_after: Option<Duration>,
    },
}

/// A message between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// First message of a connection.
    Hello(HostInfo),
    /// Heartbeat to the coordinator.
    Heartbeat(Heartbeat),
    /// Liveness probe of a host that reports to another coordinator.
    Probe(Probe),
    /// Acknowledgement of a heartbeat or probe.
    HeartbeatAck {
        /// Cluster map of the coordinator; `None` if the host already has it or gets the changes.
        cluster_map: Option<ClusterMap>,
        /// Version of the sender's configuration.
        config_version: u64,
        /// Whether the sender is about to stop.
        is_leaving: bool,
        /// Whether the coordinator lacks slot requests that the heartbeat listed.
        wants_sync: bool,
        /// Whether the sender knows the backend servers.
        knows_servers: bool,
        /// Host that the sender considers the coordinator.
        coordinator: HostInfo,
    },
    /// All slot requests of a host, for a coordinator that lacks them. Replaces those that the coordinator has.
    Sync(Vec<SlotRequestInfo>),
    /// Request for a slot, or report of a run that began without a grant.
    RequestSlot(SlotRequestInfo),
    /// A slot request has ended.
    Release {
        /// Slot request.
        request: SlotRequestId,
        /// Server whose slot it held, if any.
        server: Option<BackendServerId>,
        /// How the run ended.
        outcome: RunOutcome,
    },
    /// A slot is granted.
    Grant {
        /// Slot request.
        request: SlotRequestId,
        /// Server whose slot is granted.
        server: BackendServerId,
    },
    /// The slot request is queued.
    Queued {
        /// Slot request.
        request: SlotRequestId,
    },
    /// A batch item must release its slot.
    Preempt {
        /// Slot request.
        request: SlotRequestId,
    },
    /// No slot will be free before the request expires.
    Refused {
        /// Slot request.
        request: SlotRequestId,
        /// Estimated time until a slot is free.
        retry_after: Duration,
    },
    /// No ready server has the version that the slot request requires.
    NoServer {
        /// Slot request.
        request: SlotRequestId,
    },
    /// A stream of the sender began, or goes on.
    StreamBegan {
        /// The stream.
        stream: StreamKey,
        /// Where it began.
        origin: StreamOrigin,
    },
    /// A request to the host, which expects a reply.
    Request {
        /// Number of the call.
        call: u64,
        /// The request.
        request: PeerRequest,
    },
    /// Reply to a request.
    Reply {
        /// Number of the call.
        call: u64,
        /// The reply.
        reply: PeerReply,
    },
    /// What changed in the coordinator's cluster map. For hosts of protocol version 2 or later.
    ClusterMapChange(ClusterMapChange),
    /// A server crashed under a run of the sender that had not begun. For hosts of protocol version 3 or later, like the two
    /// after it.
    EarlyCrashReport(EarlyCrashReport),
    /// The parts of prompts that the sender knows to crash servers.
    Quarantine(Vec<QuarantinedSuspect>),
    /// Digest of the quarantine of the sender, which has all entries of the receiver.
    QuarantineAck(u64),
    /// What servers said of the limits for their requests. For hosts of protocol version 3 or later.
    Limits(Vec<LimitReport>),
    /// Servers that said that they leave. For hosts of protocol version 3 or later.
    Leaving(Vec<BackendServerId>),
    /// A server crashed under a run of the sender. For hosts of protocol version 5 or later.
    CrashReport(CrashReport),
    /// Heartbeat to the coordinator, with what the sender believes of its slot requests. For hosts of protocol version 6 or later.
    HeartbeatWithRequests(Heartbeat, PackedReport),
    /// What servers said of themselves. For hosts of protocol version 7 or later, like the one after it.
    ServerReports {
        /// What they said.
        reports: ServerReports,
        /// Whether the sender wants to know what the receiver has beyond this.
        wants_reply: bool,
    },
    /// Digest of all that the sender knows of servers, with each heartbeat.
    ServerReportsDigest(u64),
    /// Like [`RequestSlot`](Self::RequestSlot), with terms. For hosts of protocol version 8 or later, like the one after it.
    RequestSlotOnTerms(SlotRequestOnTerms),
    /// Like [`Sync`](Self::Sync), with terms.
    SyncOnTerms(Vec<SlotRequestOnTerms>),
    /// The slot request is over the rate of its workspace. For hosts of protocol version 8 or later, like the two after it.
    RateExceeded {
        /// Slot request.
        request: SlotRequestId,
        /// Time after which to retry.
        retry_after: Duration,
    },
    /// Number of hosts while a workspace has a rate: with each acknowledgement of a heartbeat, and to a new coordinator.
    HostCount(u32),
    /// A request to a plain service runs for which the coordinator was asked in vain.
    UncountedRun {
        /// Workspace of the caller.
        workspace: WorkspaceId,
    },
}

impl PeerMessage {
    /// Size of what the message carries for callers or for the store; 0 for all other messages, which are small.
    pub(super) fn payload_bytes(&self) -> usize {
        let records_bytes = |records: &[Vec<u8>]| records.iter().map(Vec::len).sum();
        match self {
            PeerMessage::Request { request, .. } => match request {
                PeerRequest::Submit { body, .. } | PeerRequest::SubmitFor { body, .. } => {
                    body.len()
                }
                PeerRequest::Store(StoreRequest::Append { records, .. }) => records_bytes(records),
                _ => 0,
            },
            PeerMessage::Reply { reply, .. } => match reply {
                PeerReply::Http { body, .. } => body.len(),
                PeerReply::Store(Ok(StoreReply::Records { records, .. })) => records_bytes(records),
                _ => 0,
            },
            _ => 0,
        }
    }

    /// Kind of the message, for metrics.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Hello(_) => "hello",
            PeerMessage::Heartbeat(_) | PeerMessage::HeartbeatWithRequests(..) => "heartbeat",
            PeerMessage::Probe(_) => "probe",
            PeerMessage::HeartbeatAck {
                cluster_map: Some(_),
                ..
            } => "cluster_map",
            PeerMessage::HeartbeatAck { .. } => "heartbeat_ack",
            PeerMessage::ClusterMapChange(_) => "cluster_map_change",
            PeerMessage::Sync(_) | PeerMessage::SyncOnTerms(_) => "sync",
            PeerMessage::RequestSlot(_) | PeerMessage::RequestSlotOnTerms(_) => "request_slot",
            PeerMessage::Release { .. } => "release",
            PeerMessage::Grant { .. } => "grant",
            PeerMessage::Queued { .. }
            | PeerMessage::Preempt { .. }
            | PeerMessage::Refused { .. }
            | PeerMessage::NoServer { .. }
            | PeerMessage::RateExceeded { .. } => "other_decision",
            PeerMessage::HostCount(_) | PeerMessage::UncountedRun { .. } => "rates",
            PeerMessage::StreamBegan { .. } => "stream_began",
            PeerMessage::Limits(_) => "limits",
            PeerMessage::Leaving(_) => "leaving",
            PeerMessage::ServerReports { .. } | PeerMessage::ServerReportsDigest(_) => {
                "server_reports"
            }
            PeerMessage::EarlyCrashReport(_)
            | PeerMessage::CrashReport(_)
            | PeerMessage::Quarantine(_)
            | PeerMessage::QuarantineAck(_) => "quarantine",
            PeerMessage::Request { request, .. } => match request {
                PeerRequest::Store(_) => "store_request",
                PeerRequest::Submit { .. }
                | PeerRequest::SubmitFor { .. }
                | PeerRequest::Job(_)
                | PeerRequest::JobFor { .. }
                | PeerRequest::FindSubmittedFor { .. } => "job_request",
                _ => "other_request",
            },
            PeerMessage::Reply { reply, .. } => match reply {
                PeerReply::Store(_) => "store_reply",
                PeerReply::Http { .. } => "job_reply",
                PeerReply::Servers(_) | PeerReply::Config(_) => "directory_reply",
                _ => "other_reply",
            },
        }
    }
}
