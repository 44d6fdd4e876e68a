//! HTTP API for callers.

mod auth;
mod jobs;
mod lines;
mod online;
mod probes;
mod services;

use std::sync::Arc;

use actix_web::web;
use awc::Client;
use bamboo_types::RequestId;

use crate::platform::PlatformClient;
use crate::reply::no_such_path;
use crate::shared::ControlHandle;
use crate::shared::Shared;

pub(crate) use self::jobs::cancel_job;
pub(crate) use self::jobs::get_job;
pub(crate) use self::jobs::job_json;
pub(crate) use self::jobs::list_jobs;
pub(crate) use self::jobs::respond_results;
pub(crate) use self::probes::metrics;
pub(crate) use self::probes::readyz;

/// State that the HTTP handlers of one worker thread use.
#[derive(Clone)]
pub(crate) struct AppState {
    pub(crate) shared: Arc<Shared>,
    pub(crate) control: ControlHandle,
    pub(crate) client: Client,
    pub(crate) single_use_client: Client,
    pub(crate) platform: PlatformClient,
}

impl AppState {
    pub(crate) fn new(shared: Arc<Shared>, control: ControlHandle) -> Self {
        let platform =
            PlatformClient::new(&shared.settings.log_url, &shared.settings.host_list_url);
        let timeout = shared.settings.request_timeout;
        // No keep-alive: if the server closes a pooled connection just as a call is sent, it is unknown whether the call
        // ran.
        let connector = awc::Connector::new().conn_keep_alive(std::time::Duration::ZERO);
        AppState {
            client: Client::builder().timeout(timeout).finish(),
            single_use_client: Client::builder()
                .connector(connector)
                .timeout(timeout)
                .finish(),
            platform,
            shared,
            control,
        }
    }
}

/// Returns a random request id.
pub(crate) fn new_request_id() -> RequestId {
    rand::random()
}

/// Registers the routes.
pub(crate) fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/v1/completions", web::post().to(online::complete))
        .route("/v1/chat/completions", web::post().to(online::complete))
        .route("/v1/models", web::get().to(online::list_models))
        .route("/v1/batches", web::post().to(jobs::submit))
        .route("/v1/batches", web::get().to(jobs::list))
        .route("/v1/batches/{job}", web::get().to(jobs::get))
        .route("/v1/batches/{job}/cancel", web::post().to(jobs::cancel))
        .route("/v1/batches/{job}/results", web::get().to(jobs::results))
        .route("/services/{name}/{path:.*}", web::to(services::call))
        .route("/healthz", web::get().to(probes::healthz))
        .route("/readyz", web::get().to(probes::readyz))
        .route("/metrics", web::get().to(probes::metrics))
        .default_service(web::to(no_such_path));
}
