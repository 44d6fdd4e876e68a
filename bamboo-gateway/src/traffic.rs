//! Serves callers' requests by forwarding them to backend servers.

mod accept;
mod buffered_body;
mod engine_run;
mod head_limit;
mod load_balancer;
mod overlap;
mod plain;
mod plain_send;
mod pool;
mod request;
mod response;
mod run_trial;
mod serve;
mod slot_search;
mod stream;
mod stream_runs;
mod take_up;

pub(crate) use accept::serve_callers;
pub(crate) use accept::serve_metrics;
pub(crate) use accept::serve_readiness;
pub(crate) use engine_run::EngineRequest;
pub(crate) use engine_run::OpenError;
pub(crate) use engine_run::ResponseWait;
pub(crate) use engine_run::StreamRead;
pub(crate) use engine_run::open_stream;
pub(crate) use load_balancer::LoadBalancer;
pub(crate) use pool::Connection;
pub(crate) use pool::ServerPool;
pub(crate) use request::CallerRequest;
pub(crate) use request::shared_part_suspects;
pub(crate) use response::run_outcome;
pub(crate) use run_trial::BrokenRun;
pub(crate) use run_trial::format_suspects;
