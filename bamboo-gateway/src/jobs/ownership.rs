//! Which shards this host owns, as the store's group deals them, and which hosts there are.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bamboo_coordination::HostInfo;

use crate::gateway::Gateway;
use crate::jobs::part::OwnedPart;
use crate::jobs::part::TOPIC;
use crate::jobs::part::serve_part;
use crate::store::Partition;
use crate::store::StoreReply;
use crate::store::StoreRequest;
use crate::task::OwnedTask;

/// Group that deals the shards.
const GROUP: &str = "bamboo-shards";
/// Membership without a further call. Shards of a lost host are dealt anew after it.
const MEMBERSHIP: Duration = Duration::from_millis(1600);
/// Interval of calls that keep the membership: some within it, since a new owner learns of its shards by them.
const JOIN_INTERVAL: Duration = Duration::from_millis(300);
/// Topic, after the prefix of keyed topics, in which hosts are listed.
const HOSTS_TOPIC: &str = "bamboo-hosts";
/// Interval of reading the list of hosts. Hosts learn of each other through their links much sooner.
const HOSTS_INTERVAL: Duration = Duration::from_secs(10);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time for appends that wait when a shard is dealt to another host.
const GIVE_UP_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for appends that wait when the host stops.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Interval of looking whether they are done.
const LEAVE_CHECK: Duration = Duration::from_millis(20);

fn member(gateway: &Gateway) -> String {
    format!("{}#{:x}", gateway.local.host, gateway.local.incarnation)
}

/// Owns shards as the store deals them, until the process stops.
pub(crate) async fn keep_shards(gateway: Rc<Gateway>) {
    let mut generation = 0;
    let membership = MEMBERSHIP.max(Duration::from_millis(
        gateway.settings.store.membership_min_ms,
    ));
    while !gateway.is_stopping() {
        let sent = gateway.clock.now();
        let request = StoreRequest::Join {
            group: GROUP.to_owned(),
            member: member(&gateway),
            topic: TOPIC.to_owned(),
            lifetime: membership,
            generation,
        };
        if let Ok(StoreReply::Joined {
            generation: joined,
            partitions,
        }) = gateway.store_call(&request).await
            && !gateway.is_stopping()
        {
            generation = joined;
            gateway.jobs.has_joined.set(true);
            gateway.jobs.member_until.set(sent + membership);
            let dealt: BTreeSet<Partition> = partitions.into_iter().collect();
            if give_up_partitions(&gateway, &dealt).await {
                // The next call tells the store that the shards are free.
                continue;
            }
            take_partitions(&gateway, generation, dealt);
        }
        expire_jobs(&gateway);
        actix_rt::time::sleep(JOIN_INTERVAL).await;
    }
}

/// Closes shards that are dealt to others, with their progress recorded. Returns whether there were any.
async fn give_up_partitions(gateway: &Gateway, dealt: &BTreeSet<Partition>) -> bool {
    let parts = &gateway.jobs.parts;
    let leaving: Vec<Rc<OwnedPart>> = parts
        .borrow()
        .values()
        .filter(|part| !dealt.contains(&part.partition) || part.is_lost())
        .cloned()
        .collect();
    let is_dealt_away = leaving.iter().any(|part| !part.is_lost());
    close_parts(gateway, &leaving, GIVE_UP_TIMEOUT).await;
    parts.borrow_mut().retain(|_, part| !part.is_lost());
    is_dealt_away
}

/// Stops items, waits for the appends that are left, and closes shards.
async fn close_parts(gateway: &Gateway, parts: &[Rc<OwnedPart>], timeout: Duration) {
    for part in parts {
        part.stop_items();
    }
    let until = gateway.clock.now() + timeout;
    let is_busy = |part: &Rc<OwnedPart>| !part.is_lost() && !part.is_idle();
    while parts.iter().any(is_busy) && gateway.clock.now() < until {
        actix_rt::time::sleep(LEAVE_CHECK).await;
    }
    for part in parts {
        log::info!(event = "shard_closed", partition = part.partition, epoch = part.epoch; "shard closed");
        part.close();
    }
}

fn take_partitions(gateway: &Rc<Gateway>, generation: u64, dealt: BTreeSet<Partition>) {
    let mut parts = gateway.jobs.parts.borrow_mut();
    for partition in dealt {
        parts.entry(partition).or_insert_with(|| {
            let part = OwnedPart::new(partition, gateway.jobs.next_epoch(generation));
            let task = OwnedTask::spawn(serve_part(Rc::clone(gateway), Rc::clone(&part)));
            part.own_task(task);
            part
        });
    }
}

fn expire_jobs(gateway: &Gateway) {
    let keep_ms = gateway.results_kept_ms();
    let now_ms = gateway.clock.unix_ms();
    for part in gateway.jobs.parts.borrow().values() {
        if part.is_open() {
            part.shard.borrow_mut().expire(now_ms, keep_ms);
        }
    }
}

/// Hands the shards over: finishes appends, then leaves the group.
pub(crate) async fn leave_shards(gateway: &Rc<Gateway>) {
    let shards = &gateway.jobs;
    let parts: Vec<Rc<OwnedPart>> = shards.parts.borrow().values().cloned().collect();
    close_parts(gateway, &parts, LEAVE_TIMEOUT).await;
    shards.parts.borrow_mut().clear();
    let request = StoreRequest::Leave {
        group: GROUP.to_owned(),
        member: member(gateway),
        generation: 0,
    };
    if let Err(error) = gateway.store_call(&request).await {
        log::warn!(event = "leave_failed"; "the store does not know that this host leaves: {error}");
    }
    list_host(gateway, None).await;
}

/// Lists this host and learns of the others, until the process stops.
pub(crate) async fn keep_hosts(gateway: Rc<Gateway>) {
    let value = match serde_host(&gateway.local) {
        Some(value) => value,
        None => return,
    };
    while !list_host(&gateway, Some(&value)).await {
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
    loop {
        let request = StoreRequest::Newest {
            topic: hosts_topic(&gateway),
            after: None,
        };
        let pause = match gateway.store_call(&request).await {
            Ok(StoreReply::Newest { records, .. }) => {
                for record in records {
                    learn_host(&gateway, record.value);
                }
                HOSTS_INTERVAL
            }
            _ => RETRY_PAUSE,
        };
        actix_rt::time::sleep(pause).await;
    }
}

fn hosts_topic(gateway: &Gateway) -> String {
    format!("{}{HOSTS_TOPIC}", gateway.dialect.keyed_prefix)
}

fn serde_host(info: &HostInfo) -> Option<Vec<u8>> {
    match bincode::serde::encode_to_vec(info, bincode::config::standard()) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::error!("this host cannot be listed: {error}");
            None
        }
    }
}

fn learn_host(gateway: &Gateway, value: Option<Vec<u8>>) {
    let Some(value) = value else { return };
    let decoded: Result<(HostInfo, usize), _> =
        bincode::serde::decode_from_slice(&value, bincode::config::standard());
    match decoded {
        Ok((info, _)) if info.host != gateway.local.host => {
            gateway.coordination.borrow_mut().add_host(&info);
        }
        Ok(_) => {}
        Err(error) => {
            log::warn!(event = "host_unreadable"; "an entry of a host cannot be read: {error}")
        }
    }
}

/// Lists this host in the store, or takes it off the list. Returns whether the store did it.
async fn list_host(gateway: &Gateway, value: Option<&[u8]>) -> bool {
    let key = gateway.local.host.as_bytes();
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key);
    record.extend_from_slice(value.unwrap_or_default());
    let request = StoreRequest::Append {
        topic: hosts_topic(gateway),
        partition: 0,
        records: vec![record],
        fence: None,
    };
    matches!(
        gateway.store_call(&request).await,
        Ok(StoreReply::Appended { .. })
    )
}
