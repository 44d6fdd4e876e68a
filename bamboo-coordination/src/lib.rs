//! Choice of the host that coordinates slots, and its view of the other hosts, and where streams began. Performs no I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

mod cluster_map;
mod coordinator;
mod host_list;
mod message;
mod reports;
mod run_times;
mod server_reports;
mod shutdown;
mod startup;
mod stream_origins;

pub use cluster_map::ClusterMap;
pub use cluster_map::ClusterMapChange;
pub use cluster_map::ClusterMapUpdate;
pub use coordinator::CoordinatorTracker;
pub use coordinator::HEARTBEAT_INTERVAL;
pub use coordinator::HintAction;
pub use host_list::HostListStep;
pub use host_list::HostListSync;
pub use message::Heartbeat;
pub use message::HostInfo;
pub use message::Partition;
pub use message::Probe;
pub use reports::Reports;
pub use reports::ReservationOutcome;
pub use run_times::RunTimes;
pub use server_reports::ServerReports;
pub use shutdown::Admission;
pub use shutdown::ArrivingRequest;
pub use shutdown::ShutdownState;
pub use shutdown::ShutdownStep;
pub use shutdown::admit_request;
pub use shutdown::last_run_start;
pub use shutdown::next_shutdown_step;
pub use shutdown::requests_end_at;
pub use startup::StartupStep;
pub use startup::next_startup_step;
pub use stream_origins::ORIGIN_HOLDERS;
pub use stream_origins::ORIGIN_HOSTS_ASKED;
pub use stream_origins::StreamKey;
pub use stream_origins::StreamOrigins;
pub use stream_origins::origin_hosts;
pub use stream_origins::stream_key;
