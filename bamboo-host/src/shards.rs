//! Job shards that this host owns or follows in order to claim them.

use bamboo_events::EventKind;
use bamboo_jobs::Assignment;
use bamboo_jobs::Demand;
use bamboo_jobs::DemandStep;
use bamboo_jobs::JobState;
use bamboo_jobs::ServerOwner;
use bamboo_jobs::ShardEvent;
use bamboo_jobs::carry_entry;
use bamboo_jobs::write_snapshot;
use bamboo_log::Entry;
use bamboo_log::ItemOutcome;
use bamboo_log::NextRead;
use bamboo_log::ReadAnswer;
use bamboo_log::ReadOutcome;
use bamboo_log::RecordBody;
use bamboo_log::StreamId;
use bamboo_member::ClaimContext;
use bamboo_member::ClaimStep;
use bamboo_types::HostId;
use bamboo_types::ItemIndex;
use bamboo_types::JobId;
use bamboo_types::Offset;
use bamboo_types::ShardId;
use bamboo_types::Timestamp;
use bamboo_types::format_job_id;
use bamboo_types::millis;
use bamboo_wire::AssignedItem;
use bamboo_wire::PeerMessage;

use crate::HostCore;
use crate::Output;
use crate::shard_queries::shard_name;

/// Number of unconfirmed records of a stream at which copying entries forward is suspended.
const CARRY_BACKLOG_MAX: usize = 32;

impl HostCore {
    /// Whether this host owns a shard, as far as it has read the stream.
    pub(crate) fn owns(&self, shard: ShardId) -> bool {
        self.shards
            .get(usize::from(shard))
            .is_some_and(|role| role.owned_epoch.is_some())
    }

    /// Whether this host owns a shard and its replayed state is complete.
    pub(crate) fn can_serve_shard(&self, shard: ShardId) -> bool {
        self.shards
            .get(usize::from(shard))
            .is_some_and(|role| role.owned_epoch.is_some() && role.replay.is_complete())
    }

    pub(crate) fn tick_shards(&mut self, now: Timestamp) {
        for shard in 0..self.options.shard_count {
            self.step_claim(now, shard);
            self.tick_owned_shard(now, shard);
            self.next_read(now, shard);
        }
    }

    pub(crate) fn handle_shard_read(&mut self, now: Timestamp, shard: ShardId, answer: ReadAnswer) {
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let oldest = answer.oldest;
        let Some(reader) = role.reader.as_mut() else {
            return;
        };
        let entries = match reader.handle_answer(answer) {
            ReadOutcome::Nothing => Vec::new(),
            ReadOutcome::Entries(entries) => entries,
            ReadOutcome::Gap(entries) => {
                role.replay.skip_trimmed(oldest);
                entries
            }
        };
        for (offset, entry) in entries {
            let Some(role) = self.shards.get_mut(usize::from(shard)) else {
                return;
            };
            for event in role.replay.apply(offset, entry) {
                self.handle_shard_event(now, shard, event);
            }
        }
        self.answer_deferred_queries(now);
        self.dispatch_items(now, shard);
        self.next_read(now, shard);
    }

    pub(crate) fn handle_shard_read_failure(&mut self, now: Timestamp, shard: ShardId) {
        let random = self.random();
        if let Some(reader) = self
            .shards
            .get_mut(usize::from(shard))
            .and_then(|role| role.reader.as_mut())
        {
            reader.handle_failure(now, random);
        }
    }

    pub(crate) fn handle_demand(&mut self, now: Timestamp, shard: ShardId, demand: Demand) {
        if !self.can_serve_shard(shard) {
            self.redirect(&demand.host, shard);
            return;
        }
        let (host, server) = (demand.host.clone(), demand.server.clone());
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        if role.dispatcher.demand(now, demand) == DemandStep::ListHeldItems {
            self.send(&host, PeerMessage::HeldItemsRequest { shard, server });
        }
        self.dispatch_items(now, shard);
    }

    pub(crate) fn handle_held_items(
        &mut self,
        now: Timestamp,
        shard: ShardId,
        owner: &ServerOwner,
        items: &[(JobId, ItemIndex)],
    ) {
        if !self.can_serve_shard(shard) {
            return;
        }
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        // The server owner has not learned that these jobs ended, or the message to stop them was lost.
        for job in role
            .dispatcher
            .reconcile_held_items(now, role.replay.state(), owner, items)
        {
            self.send(&owner.host, PeerMessage::StopJob { shard, job });
        }
        self.dispatch_items(now, shard);
    }

    pub(crate) fn handle_returned_items(&mut self, shard: ShardId, items: &[(JobId, ItemIndex)]) {
        if let Some(role) = self.shards.get_mut(usize::from(shard)) {
            for (job, item) in items {
                role.dispatcher.requeue(*job, *item);
            }
        }
    }

    pub(crate) fn handle_outcomes(
        &mut self,
        now: Timestamp,
        from: &str,
        shard: ShardId,
        outcomes: Vec<ItemOutcome>,
    ) {
        if !self.can_serve_shard(shard) {
            self.redirect(from, shard);
            return;
        }
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let items = role.accept_outcomes(now, from, outcomes);
        if !items.is_empty() {
            self.send(from, PeerMessage::OutcomesAcknowledged { shard, items });
        }
    }

    fn step_claim(&mut self, now: Timestamp, shard: ShardId) {
        let is_rendezvous_owner = self.rendezvous_owner_of(shard) == Some(&self.options.host);
        let may_own = !self.members.is_draining() && self.is_accepting();
        let random = self.random();
        let members = &self.members;
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let context = ClaimContext {
            may_own,
            is_rendezvous_owner,
            is_at_tail: role.is_current(),
        };
        let step = role.claimant.step(
            now,
            context,
            |host, run| members.is_running(now, host, run),
            random,
        );
        match step {
            ClaimStep::Standby => self.enter_standby(shard),
            ClaimStep::Follow | ClaimStep::Recover => role.start_reading(),
            ClaimStep::Claim => {
                self.appender
                    .enqueue(now, StreamId::Shard(shard), RecordBody::Claim);
            }
            ClaimStep::AwaitClaim | ClaimStep::Own(_) => {}
            ClaimStep::Release(epoch) => self.release_shard(now, shard, epoch),
        }
    }

    fn enter_standby(&mut self, shard: ShardId) {
        if let Some(role) = self.shards.get_mut(usize::from(shard)) {
            role.stop_reading();
        }
    }

    /// Releases a shard that this host may no longer own, once all reported outcomes are committed.
    fn release_shard(&mut self, now: Timestamp, shard: ShardId, epoch: Offset) {
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        if role.is_committing() || role.has_sent_release {
            return;
        }
        role.has_sent_release = true;
        self.appender
            .enqueue(now, StreamId::Shard(shard), RecordBody::Release { epoch });
    }

    fn next_read(&mut self, now: Timestamp, shard: ShardId) {
        let reader = self
            .shards
            .get_mut(usize::from(shard))
            .and_then(|role| role.reader.as_mut());
        if let Some(NextRead::Read { stream, from }) = reader.map(|reader| reader.next(now)) {
            self.output(Output::Read { stream, from });
        }
    }

    fn tick_owned_shard(&mut self, now: Timestamp, shard: ShardId) {
        let members = &self.members;
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(epoch) = role.owned_epoch else {
            return;
        };
        role.dispatcher
            .requeue_items_of(|owner| !members.is_running(now, &owner.host, owner.incarnation));
        let silent = role.dispatcher.silent_owners(now);
        let stream = role.stream_id();
        if let Some(body) = role.next_commit(now) {
            self.appender.enqueue(now, stream, body);
        }
        for owner in silent {
            let server = owner.server;
            self.send(&owner.host, PeerMessage::HeldItemsRequest { shard, server });
        }
        self.expire_jobs(now, shard, epoch);
        self.write_shard_snapshot(now, shard);
        self.carry_forward(now, shard);
        self.dispatch_items(now, shard);
    }

    fn expire_jobs(&mut self, now: Timestamp, shard: ShardId, epoch: Offset) {
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        if !role.is_expiry_due(now) {
            return;
        }
        let stream = role.stream_id();
        for job in role.replay.state().expired(millis(now)) {
            self.appender
                .enqueue(now, stream, RecordBody::Expire { epoch, job });
        }
    }

    fn write_shard_snapshot(&mut self, now: Timestamp, shard: ShardId) {
        let interval_entries = self.options.snapshot_every_entries;
        let max_age = self.options.retention / 4;
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        if !role.is_snapshot_due(now, interval_entries, max_age) {
            return;
        }
        let stream = role.stream_id();
        if let Ok(parts) = write_snapshot(role.replay.state()) {
            for part in parts {
                self.appender.enqueue(now, stream, part);
            }
        }
    }

    fn carry_forward(&mut self, now: Timestamp, shard: ShardId) {
        let retention = self.options.retention;
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let stream = role.stream_id();
        // Behind a long backlog, copies stay unconfirmed until their retry is due, and would be made a second time.
        if self.appender.unconfirmed_of(stream) >= CARRY_BACKLOG_MAX {
            return;
        }
        for offset in role.next_carries(now, retention) {
            self.output(Output::ReadEntry { stream, offset });
        }
    }

    /// Appends the records of an entry that are still needed, so that the entry itself may be trimmed.
    pub(crate) fn handle_entry_read(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        offset: Offset,
        entry: Option<Entry>,
    ) {
        let StreamId::Shard(shard) = stream else {
            return;
        };
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let (Some(epoch), Some(entry)) = (role.owned_epoch, entry) else {
            return;
        };
        for copy in carry_entry(role.replay.state(), epoch, offset, &entry) {
            self.appender.enqueue(now, stream, copy);
        }
    }

    fn dispatch_items(&mut self, now: Timestamp, shard: ShardId) {
        let is_draining = self.members.is_draining();
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(epoch) = role
            .owned_epoch
            .filter(|_| !is_draining && role.replay.is_complete())
        else {
            return;
        };
        let assignments = role.dispatcher.assign(now, role.replay.state());
        for (host, items) in group_by_host(assignments) {
            for item in &items {
                let subject = item_subject(item.job, item.item);
                self.event(
                    EventKind::ItemHandedOut,
                    subject,
                    format!("{host} {}", item.server),
                );
            }
            self.send(
                &host,
                PeerMessage::AssignedItems {
                    shard,
                    epoch,
                    items,
                },
            );
        }
    }

    fn handle_shard_event(&mut self, now: Timestamp, shard: ShardId, event: ShardEvent) {
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        role.apply_claim_event(&event);
        match event {
            ShardEvent::Claimed { epoch, .. } => {
                self.servers.observe_epoch(shard, epoch);
                self.update_ownership(shard);
            }
            ShardEvent::Released { .. } => self.update_ownership(shard),
            ShardEvent::JobAccepted(job) => {
                self.event(EventKind::JobAccepted, format_job_id(job), String::new())
            }
            ShardEvent::ItemEnded { job, item, is_done } => {
                role.dispatcher.item_ended(now, job, item);
                let detail = if is_done { "done" } else { "failed" };
                self.acknowledge_outcome(shard, job, item, EventKind::ItemCommitted, detail);
            }
            ShardEvent::ItemRetried { job, item } => {
                role.dispatcher.requeue(job, item);
                self.acknowledge_outcome(shard, job, item, EventKind::ItemCommitted, "runs again");
            }
            ShardEvent::OutcomeIgnored { job, item } => {
                self.acknowledge_outcome(shard, job, item, EventKind::OutcomeIgnored, "");
            }
            ShardEvent::JobEnded { job, state } => self.stop_ended_job(shard, job, state),
            ShardEvent::JobDuplicate(_)
            | ShardEvent::JobIncomplete(_)
            | ShardEvent::JobExpired(_) => {}
        }
    }

    fn update_ownership(&mut self, shard: ShardId) {
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let epoch = role.claimant.epoch();
        if epoch == role.owned_epoch {
            return;
        }
        let was_owner = role.owned_epoch.is_some();
        match epoch {
            Some(epoch) => role.become_owner(epoch),
            None => role.lose_ownership(),
        }
        let rate = epoch.map(|_| self.options.shard_appends_per_s);
        self.appender
            .set_stream_budget(StreamId::Shard(shard), rate);
        match epoch {
            Some(epoch) => self.event(
                EventKind::ShardOwned,
                shard_name(shard),
                format!("epoch {epoch}"),
            ),
            None if was_owner => self.event(EventKind::ShardLost, shard_name(shard), String::new()),
            None => {}
        }
    }

    fn acknowledge_outcome(
        &mut self,
        shard: ShardId,
        job: JobId,
        item: ItemIndex,
        kind: EventKind,
        detail: &str,
    ) {
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let reporter = role.take_reporter(job, item);
        if role.owned_epoch.is_none() {
            return;
        }
        self.event(kind, item_subject(job, item), detail.to_owned());
        if let Some(reporter) = reporter {
            self.send(
                &reporter,
                PeerMessage::OutcomesAcknowledged {
                    shard,
                    items: vec![(job, item)],
                },
            );
        }
    }

    fn stop_ended_job(&mut self, shard: ShardId, job: JobId, state: JobState) {
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let owners = role.dispatcher.job_ended(job);
        if role.owned_epoch.is_some() {
            self.event(
                EventKind::JobEnded,
                format_job_id(job),
                format!("{state:?}"),
            );
        }
        let hosts: std::collections::BTreeSet<HostId> =
            owners.into_iter().map(|owner| owner.host).collect();
        for host in hosts {
            self.send(&host, PeerMessage::StopJob { shard, job });
        }
    }
}

/// Subject of events about an item.
pub(crate) fn item_subject(job: JobId, item: ItemIndex) -> String {
    format!("{}/{item}", format_job_id(job))
}

fn group_by_host(
    assignments: Vec<Assignment>,
) -> std::collections::BTreeMap<HostId, Vec<AssignedItem>> {
    let mut hosts: std::collections::BTreeMap<HostId, Vec<AssignedItem>> =
        std::collections::BTreeMap::new();
    for assignment in assignments {
        let item = AssignedItem {
            server: assignment.owner.server,
            job: assignment.job,
            item: assignment.item,
            chunk: assignment.chunk,
            index_in_chunk: assignment.index_in_chunk,
            model: assignment.model,
            deadline_ms: assignment.deadline_ms,
            must_run_alone: assignment.must_run_alone,
        };
        hosts.entry(assignment.owner.host).or_default().push(item);
    }
    hosts
}
