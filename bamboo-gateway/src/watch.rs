//! Watches the configuration and the directory entries of servers in the store.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use bamboo_fleet::DirectoryChange;
use bamboo_fleet::OutageGracePeriod;
use bamboo_fleet::Server;
use bamboo_relay::LONG_POLL_MAX;

use crate::gateway::ConfigRecord;
use crate::gateway::Gateway;
use crate::store::KeyedRecord;
use crate::store::ReadExtent;
use crate::topic_reader::TopicReader;
use crate::topic_reader::UpdateScope;

/// Long-poll time of reads of the server entries. Bounds how long a dead connection can hide the departure of a server, and
/// keeps the directory fresh, which counts from the begin of the last read.
const SERVERS_LONG_POLL: Duration = Duration::from_millis(1000);
/// Interval between reads of the server entries while they change, so that one read covers several changes.
const SERVERS_READ_INTERVAL: Duration = Duration::from_millis(600);
/// Pause before the directory of servers is fetched from another host.
const SERVERS_FETCH_PAUSE: Duration = Duration::from_millis(120);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Applies new configurations from the store until the process ends.
pub(crate) async fn watch_config(gateway: Rc<Gateway>) {
    // One record holds the whole configuration.
    let extent = ReadExtent::Backlog;
    let mut reader = TopicReader::new(gateway.dialect.config_topic, LONG_POLL_MAX, extent);
    loop {
        if let Some(record) = gateway.config_record() {
            reader.skip_past(record.offset);
        }
        match reader.read(&gateway).await {
            Ok(update) => {
                for record in update.records {
                    if record.key == gateway.dialect.config_key
                        && let Some(value) = record.value
                    {
                        let offset = record.offset;
                        gateway.apply_config(ConfigRecord { offset, value }, "store");
                    }
                }
                if update.scope != UpdateScope::Page && gateway.config().is_none() {
                    actix_rt::time::sleep(RETRY_PAUSE).await;
                }
            }
            Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Applies changes of the server entries in the store until the process ends.
pub(crate) async fn watch_servers(gateway: Rc<Gateway>) {
    let (topic, extent) = (gateway.dialect.servers_topic, ReadExtent::Tail);
    let mut reader = TopicReader::new(topic, SERVERS_LONG_POLL, extent);
    let mut grace_period = OutageGracePeriod::default();
    // Servers that the pages of the newest entries have not named so far, and when the first of these pages was requested.
    let mut unnamed = HashSet::new();
    let mut pages_began_at = Duration::ZERO;
    loop {
        let (started, began_at) = (gateway.clock.now(), gateway.clock.boot_time());
        let update =
            remove_expired_during(&gateway, &mut grace_period, reader.read(&gateway)).await;
        grace_period.record_store_read(update.is_ok(), gateway.clock.now());
        let scope = update.as_ref().ok().map(|update| update.scope);
        if let Ok(update) = update {
            if update.is_first_page {
                unnamed = gateway.directory.borrow().ids().into_iter().collect();
                pages_began_at = began_at;
            }
            for record in &update.records {
                unnamed.remove(&record.key);
            }
            apply_records(&gateway, &mut grace_period, update.records);
        }
        match (scope, reader.next_offset()) {
            (Some(UpdateScope::Page), _) => continue,
            (Some(UpdateScope::LastPage), Some(end)) => {
                for id in unnamed.drain() {
                    defer_or_remove(&gateway, &mut grace_period, &id, "missing");
                }
                gateway.newest_servers_read(pages_began_at, end).await;
            }
            (Some(UpdateScope::Changes), Some(end)) => gateway.server_changes_read(began_at, end),
            _ => {}
        }
        let elapsed = gateway.clock.now().saturating_sub(started);
        let pause = pause_reads(&gateway, SERVERS_READ_INTERVAL.saturating_sub(elapsed));
        remove_expired_during(&gateway, &mut grace_period, pause).await;
    }
}

/// Waits for a time, or until someone waits for the entries that the store has.
async fn pause_reads(gateway: &Gateway, time: Duration) {
    tokio::select! {
        () = actix_rt::time::sleep(time) => {}
        () = gateway.servers_behind.notified() => {}
    }
}

/// Removes servers that do not renew their entries in time, until a future completes.
async fn remove_expired_during<F>(
    gateway: &Gateway,
    grace_period: &mut OutageGracePeriod,
    future: F,
) -> F::Output
where
    F: Future,
{
    tokio::pin!(future);
    loop {
        tokio::select! {
            output = &mut future => return output,
            () = gateway.sleep_until(grace_period.removals_due_at()) => {
                for id in grace_period.take_expired(gateway.clock.now()) {
                    remove_server(gateway, &id, "lapsed");
                }
            }
        }
    }
}

/// Fetches the directory from other hosts until it is known, for a host that starts while the store does not respond.
pub(crate) async fn fetch_servers_from_hosts(gateway: Rc<Gateway>) {
    loop {
        actix_rt::time::sleep(SERVERS_FETCH_PAUSE).await;
        if gateway.has_read_servers() {
            return;
        }
        let asked_at = gateway.clock.boot_time();
        if let Some(servers) = gateway.fetch_servers().await
            && !gateway.has_read_servers()
        {
            log::info!(event = "servers_fetched", servers = servers.len(); "fetched the servers from another host");
            for server in servers {
                put_server(&gateway, server, "host");
            }
            gateway.servers_fetched(asked_at);
        }
    }
}

fn apply_records(
    gateway: &Gateway,
    grace_period: &mut OutageGracePeriod,
    records: Vec<KeyedRecord>,
) {
    for record in records {
        if record.value.is_none() {
            defer_or_remove(gateway, grace_period, &record.key, "dropped");
            continue;
        }
        grace_period.entry_renewed(&record.key);
        apply_record(gateway, record);
    }
}

fn defer_or_remove(
    gateway: &Gateway,
    grace_period: &mut OutageGracePeriod,
    id: &str,
    reason: &str,
) {
    if !grace_period.defer_removal(id, gateway.clock.now()) {
        remove_server(gateway, id, reason);
    }
}

fn apply_record(gateway: &Gateway, record: KeyedRecord) {
    let Some(value) = record.value else {
        return;
    };
    let server = match (gateway.dialect.decode_server)(&record.key, &value) {
        Ok(server) => server,
        Err(error) => {
            log::warn!(
                event = "server_unreadable", server = record.key.as_str(), offset = record.offset;
                "cannot parse the entry of a server; the server is removed: {error:#}"
            );
            remove_server(gateway, &record.key, "unreadable");
            return;
        }
    };
    put_server(gateway, server, "store");
}

/// Adds a server to the directory, and to the broker if it is a model engine.
fn put_server(gateway: &Gateway, server: Server, source: &str) {
    let now = gateway.clock.now();
    let change = gateway.directory.borrow_mut().put(server, now);
    match change {
        DirectoryChange::Updated(server) => {
            log::info!(
                event = "server", server = server.id.as_str(), service = server.service.as_str(),
                state:? = server.state, version = server.version.as_str(), source; "server updated"
            );
            gateway.put_engine(&server, false);
        }
        DirectoryChange::Restarted(server) => {
            log::info!(
                event = "server_restarted", server = server.id.as_str(), started_at_ms = server.started_at_ms;
                "server restarted"
            );
            gateway.load_balancer.borrow_mut().remove(&server.id);
            gateway.forget_limit(&server.id);
            gateway.put_engine(&server, true);
        }
        DirectoryChange::Removed(_) | DirectoryChange::Unchanged => {}
    }
}

fn remove_server(gateway: &Gateway, id: &str, reason: &str) {
    let now = gateway.clock.now();
    let change = gateway.directory.borrow_mut().remove(id, now);
    if let DirectoryChange::Removed(id) = change {
        log::info!(event = "server_removed", server = id.as_str(), reason; "server removed");
        gateway.load_balancer.borrow_mut().remove(&id);
        gateway.remove_engine(&id);
    }
}
