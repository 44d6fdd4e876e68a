//! Startup and graceful shutdown of the gateway.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context;
use bamboo_coordination::ShutdownState;
use bamboo_coordination::ShutdownStep;
use bamboo_coordination::next_shutdown_step;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::gateway::Phase;
use crate::mesh::accept_peers;
use crate::settings::Settings;
use crate::task::OwnedTask;
use crate::traffic::serve_callers;
use crate::traffic::serve_metrics;
use crate::traffic::serve_readiness;
use crate::watch::fetch_servers_from_hosts;
use crate::watch::watch_config;
use crate::watch::watch_servers;

/// Interval between checks whether the shutdown is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the gateway until a graceful shutdown is complete.
///
/// # Errors
/// Fails if the process cannot listen on an address of the settings.
pub async fn run(settings: Settings, dialect: Dialect) -> anyhow::Result<()> {
    // Signal handlers are installed first: until then a signal ends the process without a graceful shutdown.
    let signals = Signals::install()?;
    let callers = listen(settings.caller_address, "callers").await?;
    let readiness = listen(settings.ready_address, "readiness").await?;
    let peers = listen(settings.peer_listen(), "hosts").await?;
    let metrics = listen(
        SocketAddr::new(settings.ip, settings.metrics_port),
        "metrics",
    )
    .await?;
    let (gateway, inputs) = Gateway::new(settings, dialect);
    log::info!(
        event = "start", host = gateway.settings.name.as_str(), run = gateway.local.incarnation;
        "gateway started"
    );
    let tasks = [
        OwnedTask::spawn(accept_peers(Rc::clone(&gateway), peers)),
        OwnedTask::spawn(serve_readiness(Rc::clone(&gateway), readiness)),
        OwnedTask::spawn(serve_metrics(Rc::clone(&gateway), metrics)),
        OwnedTask::spawn(watch_config(Rc::clone(&gateway))),
        OwnedTask::spawn(watch_servers(Rc::clone(&gateway))),
        OwnedTask::spawn(fetch_servers_from_hosts(Rc::clone(&gateway))),
        OwnedTask::spawn(Rc::clone(&gateway).join_hosts()),
        OwnedTask::spawn(Rc::clone(&gateway).probe_store()),
        OwnedTask::spawn(Rc::clone(&gateway).tick_forever()),
        OwnedTask::spawn(Rc::clone(&gateway).run_batch_grants()),
        OwnedTask::spawn(Rc::clone(&gateway).fetch_configs(inputs.config_fetches)),
        OwnedTask::spawn(Rc::clone(&gateway).handle_link_failures(inputs.link_failure_queue)),
        OwnedTask::spawn(crate::jobs::run_group_membership(Rc::clone(&gateway))),
        OwnedTask::spawn(crate::jobs::sync_host_list(Rc::clone(&gateway))),
        OwnedTask::spawn(serve_callers(Rc::clone(&gateway), callers)),
    ];
    shut_down_on_signal(&gateway, signals).await;
    drop(tasks);
    log::info!(event = "stop"; "gateway stopped");
    Ok(())
}

async fn listen(address: SocketAddr, purpose: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address} for {purpose}"))
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    fn install() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

async fn shut_down_on_signal(gateway: &Rc<Gateway>, mut signals: Signals) {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.reload.recv() => {
                // A running process never changes its addresses and limits; everything else comes from the store.
                log::info!(event = "reload"; "settings are not reloaded; changes take effect at the next start");
            }
        }
    }
    let started = gateway.clock.now();
    let grace = gateway.settings.stop_grace();
    log::info!(event = "stopping", grace_s = grace.as_secs_f64(); "graceful shutdown begins");
    gateway.begin_stop();
    let release = OwnedTask::spawn(crate::jobs::release_shards(Rc::clone(gateway)));
    loop {
        let state = ShutdownState {
            elapsed: gateway.clock.now().saturating_sub(started),
            grace,
            open_requests: gateway.open_requests(),
            is_released: release.is_finished(),
        };
        match next_shutdown_step(&state) {
            ShutdownStep::KeepOpen => {}
            ShutdownStep::Close => {
                gateway.phase.send_replace(Phase::Closing);
            }
            ShutdownStep::Exit => {
                if !state.is_released {
                    log::warn!(
                        event = "release_abandoned", elapsed_ms = state.elapsed.as_millis() as u64;
                        "the store did not record that this host leaves; its membership lapses"
                    );
                }
                return;
            }
        }
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
