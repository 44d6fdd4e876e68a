//! Job shards that this host owns or is about to own.

use bamboo_events::EventKind;
use bamboo_jobs::Assignment;
use bamboo_jobs::Demand;
use bamboo_jobs::DemandStep;
use bamboo_jobs::Holder;
use bamboo_jobs::JobState;
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
use bamboo_types::Now;
use bamboo_types::Offset;
use bamboo_types::ShardId;
use bamboo_types::format_job_id;
use bamboo_types::millis;
use bamboo_wire::AssignedItem;
use bamboo_wire::PeerMessage;

use crate::HostCore;
use crate::Output;
use crate::asks::shard_name;

/// Records that wait for the log, from which on nothing more is copied forward.
const CARRY_BACKLOG_MAX: usize = 32;

impl HostCore {
    /// Whether this host owns a shard, as far as it has read.
    pub(crate) fn owns(&self, shard: ShardId) -> bool {
        self.shards
            .get(usize::from(shard))
            .is_some_and(|role| role.owned.is_some())
    }

    /// Whether this host owns a shard and its fold is whole.
    pub(crate) fn owns_currently(&self, shard: ShardId) -> bool {
        self.shards
            .get(usize::from(shard))
            .is_some_and(|role| role.owned.is_some() && role.stream.is_complete())
    }

    pub(crate) fn tick_shards(&mut self, now: Now) {
        for shard in 0..self.options.shard_count {
            self.step_claim(now, shard);
            self.tick_owned(now, shard);
            self.next_read(now, shard);
        }
    }

    pub(crate) fn shard_read(&mut self, now: Now, shard: ShardId, answer: ReadAnswer) {
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
                role.stream.skip_trimmed(oldest);
                entries
            }
        };
        for (offset, entry) in entries {
            let Some(role) = self.shards.get_mut(usize::from(shard)) else {
                return;
            };
            for event in role.stream.apply(offset, entry) {
                self.take_fold_event(now, shard, event);
            }
        }
        self.retry_waiting(now);
        self.hand_out(now, shard);
        self.next_read(now, shard);
    }

    pub(crate) fn shard_read_failed(&mut self, now: Now, shard: ShardId) {
        let random = self.random();
        if let Some(reader) = self
            .shards
            .get_mut(usize::from(shard))
            .and_then(|role| role.reader.as_mut())
        {
            reader.handle_failure(now, random);
        }
    }

    pub(crate) fn demand_heard(&mut self, now: Now, shard: ShardId, demand: Demand) {
        if !self.owns_currently(shard) {
            self.redirect(&demand.host, shard);
            return;
        }
        let (host, server) = (demand.host.clone(), demand.server.clone());
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        if role.hand_out.demand(now, demand) == DemandStep::ListHeldItems {
            self.send(&host, PeerMessage::HeldItemsRequest { shard, server });
        }
        self.hand_out(now, shard);
    }

    pub(crate) fn holding_heard(
        &mut self,
        now: Now,
        shard: ShardId,
        holder: &Holder,
        items: &[(JobId, ItemIndex)],
    ) {
        if !self.owns_currently(shard) {
            return;
        }
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        // The holder has not heard that these jobs ended, or the order to stop them was lost.
        for job in role
            .hand_out
            .reconcile_held_items(now, role.stream.state(), holder, items)
        {
            self.send(&holder.host, PeerMessage::StopJob { shard, job });
        }
        self.hand_out(now, shard);
    }

    pub(crate) fn return_heard(&mut self, shard: ShardId, items: &[(JobId, ItemIndex)]) {
        if let Some(role) = self.shards.get_mut(usize::from(shard)) {
            for (job, item) in items {
                role.hand_out.requeue(*job, *item);
            }
        }
    }

    pub(crate) fn outcomes_heard(
        &mut self,
        now: Now,
        from: &str,
        shard: ShardId,
        outcomes: Vec<ItemOutcome>,
    ) {
        if !self.owns_currently(shard) {
            self.redirect(from, shard);
            return;
        }
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let items = role.report(now, from, outcomes);
        if !items.is_empty() {
            self.send(from, PeerMessage::OutcomesAcknowledged { shard, items });
        }
    }

    fn step_claim(&mut self, now: Now, shard: ShardId) {
        let is_first = self.first_of(shard) == Some(&self.options.host);
        let may_own = !self.members.is_draining() && self.is_accepting();
        let random = self.random();
        let members = &self.members;
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let context = ClaimContext {
            may_own,
            is_rendezvous_owner: is_first,
            is_at_tail: role.is_current(),
        };
        let step = role.claimant.step(
            now,
            context,
            |host, run| members.is_running(now, host, run),
            random,
        );
        match step {
            ClaimStep::Standby => self.stand_down(shard),
            ClaimStep::Follow | ClaimStep::Recover => role.start_reading(),
            ClaimStep::Claim => {
                self.appender
                    .enqueue(now, StreamId::Shard(shard), RecordBody::Claim);
            }
            ClaimStep::AwaitClaim | ClaimStep::Own(_) => {}
            ClaimStep::Release(epoch) => self.release(now, shard, epoch),
        }
    }

    fn stand_down(&mut self, shard: ShardId) {
        if let Some(role) = self.shards.get_mut(usize::from(shard)) {
            role.stop_reading();
        }
    }

    /// A planned stop commits what it has before it gives the shard up.
    fn release(&mut self, now: Now, shard: ShardId, epoch: Offset) {
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        if role.is_committing() || role.is_release_sent {
            return;
        }
        role.is_release_sent = true;
        self.appender
            .enqueue(now, StreamId::Shard(shard), RecordBody::Release { epoch });
    }

    fn next_read(&mut self, now: Now, shard: ShardId) {
        let reader = self
            .shards
            .get_mut(usize::from(shard))
            .and_then(|role| role.reader.as_mut());
        if let Some(NextRead::Read { stream, from }) = reader.map(|reader| reader.next(now)) {
            self.output(Output::Read { stream, from });
        }
    }

    fn tick_owned(&mut self, now: Now, shard: ShardId) {
        let members = &self.members;
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(epoch) = role.owned else {
            return;
        };
        role.hand_out
            .requeue_items_of(|holder| !members.is_running(now, &holder.host, holder.incarnation));
        let silent = role.hand_out.silent_holders(now);
        let stream = role.stream_id();
        if let Some(body) = role.next_commit(now) {
            self.appender.enqueue(now, stream, body);
        }
        for holder in silent {
            let server = holder.server;
            self.send(
                &holder.host,
                PeerMessage::HeldItemsRequest { shard, server },
            );
        }
        self.expire(now, shard, epoch);
        self.write_snapshot(now, shard);
        self.carry_forward(now, shard);
        self.hand_out(now, shard);
    }

    fn expire(&mut self, now: Now, shard: ShardId, epoch: Offset) {
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        if !role.is_expiry_due(now) {
            return;
        }
        let stream = role.stream_id();
        for job in role.stream.state().expired(millis(now)) {
            self.appender
                .enqueue(now, stream, RecordBody::Expire { epoch, job });
        }
    }

    fn write_snapshot(&mut self, now: Now, shard: ShardId) {
        let every = self.options.snapshot_every_entries;
        let age_max = self.options.retention / 4;
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        if !role.is_snapshot_due(now, every, age_max) {
            return;
        }
        let stream = role.stream_id();
        if let Ok(parts) = write_snapshot(role.stream.state()) {
            for part in parts {
                self.appender.enqueue(now, stream, part);
            }
        }
    }

    fn carry_forward(&mut self, now: Now, shard: ShardId) {
        let retention = self.options.retention;
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let stream = role.stream_id();
        // Copies that wait for the log are not made a second time.
        if self.appender.unconfirmed_of(stream) >= CARRY_BACKLOG_MAX {
            return;
        }
        for offset in role.next_carries(now, retention) {
            self.output(Output::ReadEntry { stream, offset });
        }
    }

    /// An entry to copy forward has been read.
    pub(crate) fn entry_read(
        &mut self,
        now: Now,
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
        let (Some(epoch), Some(entry)) = (role.owned, entry) else {
            return;
        };
        for copy in carry_entry(role.stream.state(), epoch, offset, &entry) {
            self.appender.enqueue(now, stream, copy);
        }
    }

    fn hand_out(&mut self, now: Now, shard: ShardId) {
        let is_draining = self.members.is_draining();
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let Some(epoch) = role
            .owned
            .filter(|_| !is_draining && role.stream.is_complete())
        else {
            return;
        };
        let assignments = role.hand_out.assign(now, role.stream.state());
        for (host, items) in by_host(assignments) {
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

    fn take_fold_event(&mut self, now: Now, shard: ShardId, event: ShardEvent) {
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        role.note_claims(&event);
        match event {
            ShardEvent::Claimed { epoch, .. } => {
                self.servers.note_epoch(shard, epoch);
                self.update_ownership(shard);
            }
            ShardEvent::Released { .. } => self.update_ownership(shard),
            ShardEvent::JobAccepted(job) => {
                self.event(EventKind::JobAccepted, format_job_id(job), String::new())
            }
            ShardEvent::ItemEnded { job, item, is_done } => {
                role.hand_out.item_ended(now, job, item);
                let detail = if is_done { "done" } else { "failed" };
                self.settle(shard, job, item, EventKind::ItemCommitted, detail);
            }
            ShardEvent::ItemRetried { job, item } => {
                role.hand_out.requeue(job, item);
                self.settle(shard, job, item, EventKind::ItemCommitted, "runs again");
            }
            ShardEvent::OutcomeIgnored { job, item } => {
                self.settle(shard, job, item, EventKind::OutcomeIgnored, "");
            }
            ShardEvent::JobEnded { job, state } => self.job_ended(shard, job, state),
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
        if epoch == role.owned {
            return;
        }
        let had = role.owned.is_some();
        match epoch {
            Some(epoch) => role.become_owner(epoch),
            None => role.lose(),
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
            None if had => self.event(EventKind::ShardLost, shard_name(shard), String::new()),
            None => {}
        }
    }

    fn settle(
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
        let reporter = role.settled(job, item);
        if role.owned.is_none() {
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

    fn job_ended(&mut self, shard: ShardId, job: JobId, state: JobState) {
        let Some(role) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let holders = role.hand_out.job_ended(job);
        if role.owned.is_some() {
            self.event(
                EventKind::JobEnded,
                format_job_id(job),
                format!("{state:?}"),
            );
        }
        let hosts: std::collections::BTreeSet<HostId> =
            holders.into_iter().map(|holder| holder.host).collect();
        for host in hosts {
            self.send(&host, PeerMessage::StopJob { shard, job });
        }
    }
}

/// What events about an item are filed under.
pub(crate) fn item_subject(job: JobId, item: ItemIndex) -> String {
    format!("{}/{item}", format_job_id(job))
}

fn by_host(assignments: Vec<Assignment>) -> std::collections::BTreeMap<HostId, Vec<AssignedItem>> {
    let mut hosts: std::collections::BTreeMap<HostId, Vec<AssignedItem>> =
        std::collections::BTreeMap::new();
    for assignment in assignments {
        let item = AssignedItem {
            server: assignment.holder.server,
            job: assignment.job,
            item: assignment.item,
            chunk: assignment.chunk,
            index_in_chunk: assignment.index_in_chunk,
            model: assignment.model,
            deadline_ms: assignment.deadline_ms,
            must_run_alone: assignment.must_run_alone,
        };
        hosts.entry(assignment.holder.host).or_default().push(item);
    }
    hosts
}
