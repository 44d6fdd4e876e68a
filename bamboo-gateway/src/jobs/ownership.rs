//! Shard ownership by membership in a group of the store, and discovery of the other hosts.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bamboo_coordination::HostInfo;
use bamboo_coordination::HostListStep;
use bamboo_coordination::HostListSync;
use bamboo_types::decode_bincode;

use crate::gateway::Gateway;
use crate::jobs::shard::JOBS_TOPIC;
use crate::jobs::shard::OwnedShard;
use crate::jobs::shard::serve_shard;
use crate::store::KeyedRecord;
use crate::store::Partition;
use crate::store::ReadExtent;
use crate::store::StoreReply;
use crate::store::StoreRequest;
use crate::task::OwnedTask;
use crate::task::ends_without_panic;
use crate::topic_reader::TopicReader;
use crate::topic_reader::encode_keyed_record;

/// Group whose members the store assigns the shards to.
const SHARD_OWNERS_GROUP: &str = "bamboo-shards";
/// Minimum time for which a membership lasts unless it is renewed. The shards of a lost host are reassigned after it
/// expires.
const MEMBERSHIP_LIFETIME_MIN: Duration = Duration::from_millis(1600);
/// Interval at which the membership is renewed. Much shorter than its lifetime, as a new owner learns of its shards
/// from the replies.
const MEMBERSHIP_RENEWAL_INTERVAL: Duration = Duration::from_millis(300);
/// Topic in which hosts are listed, without the prefix of keyed topics.
const HOSTS_TOPIC: &str = "bamboo-hosts";
/// Timeout of pending appends when a shard is assigned to another host.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of pending appends when the host shuts down.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(1200);
/// Interval of checking whether the pending appends are complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

fn member_id(gateway: &Gateway) -> String {
    format!("{}#{:x}", gateway.local.host, gateway.local.incarnation)
}

/// Renews the group membership, and opens and closes shards as the store assigns them, until the process stops.
pub(crate) async fn run_group_membership(gateway: Rc<Gateway>) {
    let mut generation = 0;
    let lifetime = MEMBERSHIP_LIFETIME_MIN.max(Duration::from_millis(
        gateway.settings.store.membership_min_ms,
    ));
    while !gateway.is_stopping() {
        let sent_at = gateway.clock.boot_time();
        let request = StoreRequest::Join {
            group: SHARD_OWNERS_GROUP.to_owned(),
            member: member_id(&gateway),
            topic: JOBS_TOPIC.to_owned(),
            lifetime,
            generation,
        };
        if let Ok(StoreReply::Joined {
            generation: new_generation,
            partitions,
        }) = gateway.store_call(&request).await
            && !gateway.is_stopping()
        {
            let has_changed = new_generation != generation;
            generation = new_generation;
            gateway.jobs.has_joined.set(true);
            gateway.jobs.membership_expires_at.set(sent_at + lifetime);
            let assigned: BTreeSet<Partition> = partitions.into_iter().collect();
            if has_changed {
                claim_kept_again(&gateway, generation, &assigned);
            }
            if release_unassigned(&gateway, &assigned).await {
                // The next call tells the store at once that the shards are released.
                continue;
            }
            open_assigned(&gateway, generation, assigned);
        }
        expire_jobs(&gateway);
        actix_rt::time::sleep(MEMBERSHIP_RENEWAL_INTERVAL).await;
    }
}

/// Claims the shards anew that remain assigned to this host. Since the last reply they may have been assigned to another
/// host and back, while this one was suspended or between two replies. The other host may have appended records, and does so
/// until it learns of the change, unless the new epoch fences it off.
fn claim_kept_again(gateway: &Gateway, generation: u64, assigned: &BTreeSet<Partition>) {
    let jobs = &gateway.jobs;
    for shard in jobs.shards.borrow().values() {
        if assigned.contains(&shard.partition) && !shard.is_lost() {
            shard.claim_again(jobs.next_epoch(generation));
        }
    }
}

/// Records the progress of shards that are assigned to other hosts and closes them, as well as lost ones. Returns
/// whether any shard was released that had not been lost.
async fn release_unassigned(gateway: &Gateway, assigned: &BTreeSet<Partition>) -> bool {
    let shards = &gateway.jobs.shards;
    let released: Vec<Rc<OwnedShard>> = shards
        .borrow()
        .values()
        .filter(|shard| !assigned.contains(&shard.partition) || shard.is_lost())
        .cloned()
        .collect();
    let has_released = released.iter().any(|shard| !shard.is_lost());
    close_shards(gateway, &released, RELEASE_TIMEOUT).await;
    shards.borrow_mut().retain(|_, shard| !shard.is_lost());
    has_released
}

/// Stops the items of shards, waits up to `timeout` for pending appends, and closes the shards.
async fn close_shards(gateway: &Gateway, shards: &[Rc<OwnedShard>], timeout: Duration) {
    for shard in shards {
        shard.stop_items(&gateway.settings.store);
    }
    let deadline = gateway.clock.now() + timeout;
    let is_busy = |shard: &Rc<OwnedShard>| !shard.is_lost() && !shard.is_idle();
    while shards.iter().any(is_busy) && gateway.clock.now() < deadline {
        actix_rt::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    for shard in shards {
        log::info!(event = "shard_closed", partition = shard.partition, epoch = shard.epoch.get(); "shard closed");
        shard.close();
    }
}

fn open_assigned(gateway: &Rc<Gateway>, generation: u64, assigned: BTreeSet<Partition>) {
    let mut shards = gateway.jobs.shards.borrow_mut();
    let now = gateway.clock.now();
    for partition in assigned {
        if gateway.jobs.is_deferred(partition, now) {
            continue;
        }
        shards.entry(partition).or_insert_with(|| {
            let epoch = gateway.jobs.next_epoch(generation);
            let shard = OwnedShard::new(partition, epoch, gateway.jobs.memory.clone());
            let (gateway, served) = (Rc::clone(gateway), Rc::clone(&shard));
            shard.add_task(OwnedTask::spawn(async move {
                let served_shard = serve_shard(gateway, Rc::clone(&served));
                if !ends_without_panic("shard", served_shard).await {
                    // The next renewal of the membership opens it anew.
                    served.is_lost.set(true);
                }
            }));
            shard
        });
    }
}

fn expire_jobs(gateway: &Gateway) {
    let (now, kept) = (gateway.clock.now(), gateway.results_kept());
    for shard in gateway.jobs.shards.borrow().values() {
        if shard.is_open() {
            shard.state.borrow_mut().expire(now, kept);
        }
    }
}

/// Releases all shards at shutdown: waits for pending appends, leaves the group and removes this host from the list.
pub(crate) async fn release_shards(gateway: Rc<Gateway>) {
    let jobs = &gateway.jobs;
    let shards: Vec<Rc<OwnedShard>> = jobs.shards.borrow().values().cloned().collect();
    close_shards(&gateway, &shards, SHUTDOWN_TIMEOUT).await;
    jobs.shards.borrow_mut().clear();
    let request = StoreRequest::Leave {
        group: SHARD_OWNERS_GROUP.to_owned(),
        member: member_id(&gateway),
        generation: 0,
    };
    if let Err(error) = gateway.store_call(&request).await {
        log::warn!(event = "leave_failed"; "cannot leave the group of shard owners: {error}");
    }
    publish_host(&gateway, None).await;
}

/// Adds this host to the list of hosts, then reads the list periodically until the process stops.
pub(crate) async fn sync_host_list(gateway: Rc<Gateway>) {
    let Some(value) = encode_host(&gateway.local) else {
        return;
    };
    let mut sync = HostListSync::default();
    let mut reader = TopicReader::new(hosts_topic(&gateway), Duration::ZERO, ReadExtent::Tail);
    loop {
        let now = gateway.clock.now();
        let is_joining = gateway.coordination.borrow().is_joining(now);
        match sync.next_step(is_joining, now) {
            HostListStep::Read => {
                let add_all = |records: Vec<KeyedRecord>| {
                    for record in records {
                        add_listed_host(&gateway, record.value);
                    }
                };
                let read = reader.read_whole(&gateway, add_all).await;
                sync.record_read(read.is_ok(), gateway.clock.now());
                if read.is_ok() {
                    gateway.record_listed_hosts();
                    gateway.send_probes();
                }
            }
            HostListStep::Publish => {
                let is_ok = publish_host(&gateway, Some(&value)).await;
                sync.record_publication(is_ok, gateway.clock.now());
            }
            HostListStep::Wait(time) => actix_rt::time::sleep(time).await,
        }
    }
}

fn hosts_topic(gateway: &Gateway) -> String {
    format!("{}{HOSTS_TOPIC}", gateway.dialect.keyed_prefix)
}

fn encode_host(info: &HostInfo) -> Option<Vec<u8>> {
    match bincode::serde::encode_to_vec(info, bincode::config::standard()) {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            log::error!("cannot encode the list entry of this host: {error}");
            None
        }
    }
}

fn add_listed_host(gateway: &Gateway, value: Option<Vec<u8>>) {
    let Some(value) = value else { return };
    match decode_bincode::<HostInfo>(&value) {
        Ok(info) if info.host != gateway.local.host => {
            gateway.coordination.borrow_mut().add_host(&info);
        }
        Ok(_) => {}
        Err(error) => {
            log::warn!(event = "host_unreadable"; "cannot decode an entry of the list of hosts: {error}")
        }
    }
}

/// Writes the entry of this host to the list of hosts, or removes it if there is no value. Returns whether the store
/// accepted the change.
async fn publish_host(gateway: &Gateway, value: Option<&[u8]>) -> bool {
    let record = encode_keyed_record(&gateway.local.host, value.unwrap_or_default());
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
