//! HTTP server of the platform: log service, host list and weight store, with an admin path for fault injection.

use std::net::TcpListener;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use bamboo_types::TokenBucket;
use serde::Deserialize;
use serde::Serialize;

use crate::LogOptions;
use crate::LogService;
use crate::faults::FaultAction;
use crate::faults::FaultInjector;
use crate::faults::Faults;

/// Maximum size of the entries in one read, in bytes.
const READ_MAX_BYTES: usize = 4 << 20;
/// Interval at which a long-polling read checks for new entries.
const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// Maximum rate of model weight downloads, per second.
const WEIGHT_LOADS_PER_S: f64 = 0.5;

/// A host in the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Host name.
    pub host: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Address at which peers connect to the host.
    pub peer_address: String,
    /// Whether the host is to leave the fleet.
    #[serde(default)]
    pub is_leaving: bool,
}

/// The hosts of the fleet and the backend servers that are to leave it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts.
    #[serde(default)]
    pub hosts: Vec<HostEntry>,
    /// Backend servers that are to leave the fleet.
    #[serde(default)]
    pub leaving_servers: Vec<String>,
}

/// Faults of each service of the platform.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct PlatformFaults {
    log: Faults,
    host_list: Faults,
    weight_store: Faults,
}

struct Platform {
    started_at: Instant,
    log: Mutex<LogService>,
    host_list_versions: Mutex<Vec<(Instant, HostList)>>,
    host_list_lag: Duration,
    weight_rate_limit: Mutex<TokenBucket>,
    log_faults: FaultInjector,
    host_list_faults: FaultInjector,
    weight_store_faults: FaultInjector,
}

#[derive(Deserialize)]
struct ReadQuery {
    from: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

/// Serves the platform until the process ends.
///
/// # Errors
/// Fails if the listener cannot be used.
pub async fn serve_platform(
    listener: TcpListener,
    options: LogOptions,
    host_list_lag: Duration,
) -> std::io::Result<()> {
    let platform = web::Data::new(Platform {
        started_at: Instant::now(),
        log: Mutex::new(LogService::new(options)),
        host_list_versions: Mutex::new(vec![(Instant::now(), HostList::default())]),
        host_list_lag,
        weight_rate_limit: Mutex::new(TokenBucket::new(WEIGHT_LOADS_PER_S, 2.0)),
        log_faults: FaultInjector::default(),
        host_list_faults: FaultInjector::default(),
        weight_store_faults: FaultInjector::default(),
    });
    HttpServer::new(move || {
        App::new()
            .app_data(platform.clone())
            .app_data(web::PayloadConfig::new(8 << 20))
            .route("/log/{stream}", web::post().to(append))
            .route("/log/{stream}", web::get().to(read))
            .route("/hosts", web::get().to(list_hosts))
            .route("/weights/{model}", web::get().to(load_weights))
            .route("/admin/hosts", web::put().to(set_hosts))
            .route("/admin/faults", web::put().to(set_faults))
            .route("/admin/log", web::get().to(log_totals))
    })
    .workers(2)
    .listen(listener)?
    .run()
    .await
}

async fn append(
    platform: web::Data<Platform>,
    stream: web::Path<String>,
    body: web::Bytes,
) -> HttpResponse {
    let action = platform.log_faults.next_action().await;
    if action == FaultAction::Reject {
        return unavailable();
    }
    let stored = {
        let mut log = lock(&platform.log);
        if !log.is_size_allowed(body.len()) {
            return HttpResponse::PayloadTooLarge().finish();
        }
        log.append(platform.started_at.elapsed(), &stream, body.to_vec())
    };
    match (stored, action) {
        (Ok(_), FaultAction::DropResponse) => HttpResponse::GatewayTimeout().finish(),
        (Ok(offset), _) => HttpResponse::Ok().json(Appended { offset }),
        (Err(wait), _) => HttpResponse::TooManyRequests()
            .insert_header(("retry-after-ms", (wait.as_millis() as u64 + 1).to_string()))
            .finish(),
    }
}

async fn read(
    platform: web::Data<Platform>,
    stream: web::Path<String>,
    query: web::Query<ReadQuery>,
) -> HttpResponse {
    if platform.log_faults.next_action().await == FaultAction::Reject {
        return unavailable();
    }
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let page = lock(&platform.log).read(
            platform.started_at.elapsed(),
            &stream,
            query.from,
            READ_MAX_BYTES,
        );
        if !page.entries.is_empty() || Instant::now() >= deadline {
            let faults = platform.log_faults.get();
            if faults.is_out {
                return unavailable();
            }
            return match bincode::serde::encode_to_vec(&page, bincode::config::standard()) {
                Ok(bytes) => HttpResponse::Ok().body(bytes),
                Err(_) => HttpResponse::InternalServerError().finish(),
            };
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

async fn list_hosts(platform: web::Data<Platform>) -> HttpResponse {
    if platform.host_list_faults.next_action().await == FaultAction::Reject {
        return unavailable();
    }
    let versions = lock(&platform.host_list_versions);
    let visible = versions
        .iter()
        .rev()
        .find(|(at, _)| at.elapsed() >= platform.host_list_lag);
    let list = visible
        .or(versions.first())
        .map(|(_, list)| list.clone())
        .unwrap_or_default();
    HttpResponse::Ok().json(list)
}

async fn load_weights(platform: web::Data<Platform>, model: web::Path<String>) -> HttpResponse {
    if platform.weight_store_faults.next_action().await == FaultAction::Reject {
        return unavailable();
    }
    let now = platform.started_at.elapsed();
    let is_allowed = lock(&platform.weight_rate_limit).try_take(now, 1.0);
    if is_allowed {
        HttpResponse::Ok().body(model.into_inner())
    } else {
        HttpResponse::TooManyRequests().finish()
    }
}

async fn set_hosts(platform: web::Data<Platform>, list: web::Json<HostList>) -> HttpResponse {
    let mut versions = lock(&platform.host_list_versions);
    let newest_visible = versions
        .iter()
        .rposition(|(at, _)| at.elapsed() >= platform.host_list_lag)
        .unwrap_or(0);
    versions.drain(..newest_visible);
    versions.push((Instant::now(), list.into_inner()));
    HttpResponse::NoContent().finish()
}

async fn set_faults(
    platform: web::Data<Platform>,
    faults: web::Json<PlatformFaults>,
) -> HttpResponse {
    let faults = faults.into_inner();
    platform.log_faults.set(faults.log);
    platform.host_list_faults.set(faults.host_list);
    platform.weight_store_faults.set(faults.weight_store);
    HttpResponse::NoContent().finish()
}

async fn log_totals(platform: web::Data<Platform>) -> HttpResponse {
    let (appends, bytes) = lock(&platform.log).totals();
    HttpResponse::Ok().json(serde_json::json!({ "appends": appends, "bytes": bytes }))
}

fn unavailable() -> HttpResponse {
    HttpResponse::ServiceUnavailable().finish()
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
