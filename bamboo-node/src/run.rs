//! Startup and graceful shutdown of the daemon.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use actix::Actor;
use actix_rt::Arbiter;
use actix_web::App;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::web;
use anyhow::Context;
use bamboo_config::Settings;
use bamboo_host::HostCore;
use bamboo_host::HostOptions;
use bamboo_host::Input;
use bamboo_types::millis;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;

use crate::Clock;
use crate::batch::run_batch_thread;
use crate::callers;
use crate::callers::AppState;
use crate::control::ControlActor;
use crate::io_thread::run_io_thread;
use crate::operators;
use crate::peers::accept_peers;
use crate::peers::nonblocking_listener;
use crate::shared::ControlHandle;
use crate::shared::Shared;

/// Interval at which a graceful shutdown checks for open requests.
const OPEN_REQUEST_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for connections to close once no request is open, seconds.
const SHUTDOWN_TIMEOUT_S: u64 = 5;

/// The sockets that a daemon listens on.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub caller: TcpListener,
    /// For operators.
    pub operator: TcpListener,
    /// For other hosts.
    pub peer: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// Fails if one of them cannot be bound.
    pub fn bind(settings: &Settings) -> anyhow::Result<Self> {
        Ok(Listeners {
            caller: bind(settings.caller_address, "callers")?,
            operator: bind(settings.operator_address, "operators")?,
            peer: bind(settings.peer_address, "peers")?,
        })
    }
}

fn bind(address: SocketAddr, audience: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).with_context(|| format!("cannot listen on {address} for {audience}"))
}

/// Runs the daemon until a graceful shutdown is complete. The calling thread becomes the control thread.
///
/// # Errors
/// Fails if an address of the settings cannot be bound.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    let listeners = Listeners::bind(&settings)?;
    run_with_listeners(settings, listeners).await
}

/// Runs the daemon on listeners that are already bound.
///
/// # Errors
/// Fails if a listener or a signal handler cannot be set up.
pub async fn run_with_listeners(settings: Settings, listeners: Listeners) -> anyhow::Result<()> {
    let clock = Clock::start();
    let incarnation = millis(clock.now());
    let shared = Shared::new(settings, clock, incarnation);
    let settings = &shared.settings;
    let (io_commands, io_command_receiver) = unbounded_channel();
    let (batch_commands, batch_command_receiver) = unbounded_channel();
    let (drain_sender, drain_complete) = oneshot::channel();
    let core = HostCore::new(HostOptions::from_settings(
        settings,
        incarnation,
        rand::random(),
    ));
    let address = ControlActor::new(
        core,
        Arc::clone(&shared),
        io_commands,
        batch_commands,
        drain_sender,
    )
    .start();
    let control = ControlHandle { address };

    let io_thread = Arbiter::new();
    let (io_shared, io_control) = (Arc::clone(&shared), control.clone());
    io_thread.spawn_fn(move || {
        actix_rt::spawn(run_io_thread(io_shared, io_control, io_command_receiver));
    });
    let batch_thread = Arbiter::new();
    let (batch_shared, batch_control) = (Arc::clone(&shared), control.clone());
    batch_thread.spawn_fn(move || {
        actix_rt::spawn(run_batch_thread(
            batch_shared,
            batch_control,
            batch_command_receiver,
        ));
    });
    let peer_listener = nonblocking_listener(listeners.peer)?;
    actix_rt::spawn(accept_peers(
        Arc::clone(&shared),
        control.clone(),
        peer_listener,
    ));

    let caller_server = serve_callers(&shared, &control, listeners.caller)?;
    let operator_server = serve_operators(&shared, &control, listeners.operator)?;
    log::info!(
        "host {} listens for callers on {}",
        settings.host,
        settings.caller_address
    );

    wait_for_stop(&control, drain_complete, settings.drain_max).await?;
    wait_for_open_requests(&shared).await;
    caller_server.stop(true).await;
    operator_server.stop(true).await;
    log::info!("host {} has stopped", settings.host);
    io_thread.stop();
    batch_thread.stop();
    Ok(())
}

fn serve_callers(
    shared: &Arc<Shared>,
    control: &ControlHandle,
    listener: TcpListener,
) -> anyhow::Result<ServerHandle> {
    let (shared, control) = (Arc::clone(shared), control.clone());
    let threads = shared.settings.traffic_threads;
    let body_max_bytes = shared.settings.body_max_bytes;
    let server = HttpServer::new(move || {
        let app = web::Data::new(AppState::new(Arc::clone(&shared), control.clone()));
        App::new()
            .app_data(app)
            .app_data(web::PayloadConfig::new(body_max_bytes))
            .configure(callers::configure)
    })
    .workers(threads)
    .disable_signals()
    .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
    .listen(listener)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

fn serve_operators(
    shared: &Arc<Shared>,
    control: &ControlHandle,
    listener: TcpListener,
) -> anyhow::Result<ServerHandle> {
    let (shared, control) = (Arc::clone(shared), control.clone());
    let server = HttpServer::new(move || {
        let app = web::Data::new(AppState::new(Arc::clone(&shared), control.clone()));
        App::new().app_data(app).configure(operators::configure)
    })
    .workers(1)
    .disable_signals()
    .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
    .listen(listener)?
    .run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}

/// Waits for SIGTERM, SIGINT or a drain requested by an operator, then until the core has released what it owns.
async fn wait_for_stop(
    control: &ControlHandle,
    mut drain_complete: oneshot::Receiver<()>,
    drain_max: Duration,
) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        _ = &mut drain_complete => return Ok(()),
    }
    log::info!("graceful shutdown started");
    control.tell(Input::Drain);
    if tokio::time::timeout(drain_max, drain_complete)
        .await
        .is_err()
    {
        log::warn!(
            "graceful shutdown exceeded {drain_max:?}; other hosts take over the rest once they detect the loss of this host"
        );
    }
    Ok(())
}

async fn wait_for_open_requests(shared: &Shared) {
    let deadline = Instant::now() + shared.settings.drain_max;
    while shared.open_request_count.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        actix_rt::time::sleep(OPEN_REQUEST_POLL_INTERVAL).await;
    }
}
