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
use tokio::sync::mpsc;

use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::gateway::Phase;
use crate::mesh::accept_peers;
use crate::settings::Settings;
use crate::task::OwnedTask;
use crate::task::Supervisor;
use crate::task::TaskName;
use crate::task::run_despite_panics;
use crate::traffic::serve_callers;
use crate::traffic::serve_metrics;
use crate::traffic::serve_readiness;
use crate::watch::fetch_servers_from_hosts;
use crate::watch::watch_config;
use crate::watch::watch_servers;

/// Interval between checks whether the shutdown is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Pause before the renewal of the membership is begun anew after a panic.
const PANIC_PAUSE: Duration = Duration::from_millis(300);
/// Time for the messages to other hosts that the end of the last requests caused, such as the release of their slots.
const LAST_MESSAGES_PAUSE: Duration = Duration::from_millis(50);

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
        OwnedTask::spawn(fetch_servers_from_hosts(Rc::clone(&gateway))),
        OwnedTask::spawn(Rc::clone(&gateway).join_hosts()),
        OwnedTask::spawn(keep_membership(Rc::clone(&gateway))),
        OwnedTask::spawn(serve_callers(Rc::clone(&gateway), callers)),
    ];
    let (mut supervisor, ended) = Supervisor::new();
    supervisor.spawn("accept_peers", accept_peers(Rc::clone(&gateway), peers));
    supervisor.spawn(
        "serve_readiness",
        serve_readiness(Rc::clone(&gateway), readiness),
    );
    supervisor.spawn("serve_metrics", serve_metrics(Rc::clone(&gateway), metrics));
    supervisor.spawn("watch_config", watch_config(Rc::clone(&gateway)));
    supervisor.spawn("watch_servers", watch_servers(Rc::clone(&gateway)));
    supervisor.spawn("probe_store", Rc::clone(&gateway).probe_store());
    supervisor.spawn("probe_servers", Rc::clone(&gateway).probe_servers());
    supervisor.spawn("heartbeats", Rc::clone(&gateway).tick_forever());
    supervisor.spawn("due_grants", Rc::clone(&gateway).run_due_grants());
    supervisor.spawn("crash_inquiry", Rc::clone(&gateway).examine_suspects());
    supervisor.spawn("store_quarantine", Rc::clone(&gateway).store_quarantine());
    supervisor.spawn("follow_quarantine", Rc::clone(&gateway).follow_quarantine());
    supervisor.spawn(
        "fetch_configs",
        Rc::clone(&gateway).fetch_configs(inputs.config_fetches),
    );
    supervisor.spawn(
        "link_failures",
        Rc::clone(&gateway).handle_link_failures(inputs.link_failure_queue),
    );
    supervisor.spawn(
        "host_list",
        crate::jobs::sync_host_list(Rc::clone(&gateway)),
    );
    let stop = wait_for_stop(signals, ended).await;
    shut_down(&gateway).await;
    drop(supervisor);
    drop(tasks);
    log::info!(event = "stop"; "gateway stopped");
    match stop {
        StopCause::Signal => Ok(()),
        StopCause::TaskEnded(name) => anyhow::bail!("background task {name} ended"),
    }
}

/// Renews the membership of this host among the owners of shards until it stops.
async fn keep_membership(gateway: Rc<Gateway>) {
    let renew = || crate::jobs::run_group_membership(Rc::clone(&gateway));
    run_despite_panics("membership", PANIC_PAUSE, renew).await;
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

/// Why the process stops.
enum StopCause {
    /// A termination signal.
    Signal,
    /// A background task ended that the process needs. Once started anew, it derives its state from the store.
    TaskEnded(TaskName),
}

async fn wait_for_stop(
    mut signals: Signals,
    mut ended: mpsc::UnboundedReceiver<TaskName>,
) -> StopCause {
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return StopCause::Signal,
            _ = signals.interrupt.recv() => return StopCause::Signal,
            Some(name) = ended.recv() => return StopCause::TaskEnded(name),
            _ = signals.reload.recv() => {
                // A running process never changes its addresses and limits; everything else comes from the store.
                log::info!(event = "reload"; "settings are not reloaded; changes take effect at the next start");
            }
        }
    }
}

async fn shut_down(gateway: &Rc<Gateway>) {
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
            ShutdownStep::EndRequests => end_requests(gateway),
            ShutdownStep::Exit => {
                if !state.is_released {
                    log::warn!(
                        event = "release_abandoned", elapsed_ms = state.elapsed.as_millis() as u64;
                        "the store did not record that this host leaves; its membership lapses"
                    );
                }
                actix_rt::time::sleep(LAST_MESSAGES_PAUSE).await;
                return;
            }
        }
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

fn end_requests(gateway: &Gateway) {
    if !gateway.is_ending() {
        log::warn!(
            event = "requests_ended", open = gateway.open_requests();
            "requests are still open near the end of the grace period; they are answered and broken off"
        );
        gateway.phase.send_replace(Phase::Ending);
    }
}
