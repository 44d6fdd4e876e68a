//! Batch items on servers that this host owns: received, started, stopped, ended and returned.

use bamboo_admit::AdmitStep;
use bamboo_admit::RunKey;
use bamboo_admit::WorkItem;
use bamboo_events::EventKind;
use bamboo_log::ItemOutcome;
use bamboo_types::BackendServerId;
use bamboo_types::JobId;
use bamboo_types::Offset;
use bamboo_types::ShardId;
use bamboo_types::Timestamp;
use bamboo_wire::AssignedItem;
use bamboo_wire::PeerMessage;

use crate::HostCore;
use crate::Output;
use crate::RunRef;
use crate::input::ItemEnd;
use crate::servers::UNACKNOWLEDGED_MAX;
use crate::servers::UnacknowledgedOutcome;
use crate::shards::item_subject;

impl HostCore {
    /// Starts and stops items as the server owner decides, unless earlier owners' runs are still being cancelled or too
    /// many outcomes are unacknowledged.
    pub(crate) fn advance_server(&mut self, now: Timestamp, server: &str) {
        let has_room = self.servers.unacknowledged_count() < UNACKNOWLEDGED_MAX;
        let Some(owned) = self.servers.owned.get_mut(server) else {
            return;
        };
        if !owned.has_cleared_orphans || !has_room {
            return;
        }
        let address = owned.address.clone();
        let mut steps = Vec::new();
        loop {
            match owned.owner.step(now) {
                AdmitStep::Idle => break,
                step => steps.push(step),
            }
        }
        for step in steps {
            self.apply_step(server, &address, step);
        }
    }

    pub(crate) fn handle_assigned_items(
        &mut self,
        now: Timestamp,
        from: &str,
        shard: ShardId,
        epoch: Offset,
        items: Vec<AssignedItem>,
    ) {
        // An owner that was paused may assign items before it reads that another host has taken over the shard.
        let newest = self.servers.shard_epochs.entry(shard).or_insert(epoch);
        if epoch < *newest {
            self.redirect(from, shard);
            return;
        }
        *newest = epoch;
        if self.is_resuming(now) {
            let items = items.iter().map(|item| (item.job, item.item)).collect();
            self.send(from, PeerMessage::ReturnedItems { shard, items });
            return;
        }
        let mut refused = Vec::new();
        for item in items {
            match self.servers.owned.get_mut(&item.server) {
                Some(owned) => {
                    owned.recent_shards.insert(shard, now);
                    owned.owner.enqueue(now, to_work_item(shard, from, item));
                }
                None => refused.push((item.job, item.item)),
            }
        }
        if !refused.is_empty() {
            self.send(
                from,
                PeerMessage::ReturnedItems {
                    shard,
                    items: refused,
                },
            );
        }
        let servers: Vec<BackendServerId> = self.servers.owned.keys().cloned().collect();
        for server in servers {
            self.advance_server(now, &server);
        }
    }

    pub(crate) fn handle_held_items_request(&mut self, from: &str, shard: ShardId, server: &str) {
        let items = self.servers.held_items_of(server, shard);
        self.send(
            from,
            PeerMessage::HeldItems {
                shard,
                server: server.to_owned(),
                items,
            },
        );
    }

    pub(crate) fn handle_stop_job(&mut self, shard: ShardId, job: JobId) {
        let servers: Vec<BackendServerId> = self.servers.owned.keys().cloned().collect();
        for server in servers {
            self.drop_items(&server, |item| item.shard == shard && item.job == job);
        }
        self.servers
            .unacknowledged
            .retain(|(outcome_shard, outcome_job, _), _| {
                (*outcome_shard, *outcome_job) != (shard, job)
            });
    }

    pub(crate) fn handle_first_token(&mut self, run: &RunRef) {
        if let Some(owned) = self.servers.server_of_run(run) {
            owned.owner.record_first_token(run.key);
        }
    }

    pub(crate) fn handle_item_end(&mut self, now: Timestamp, run: RunRef, end: ItemEnd) {
        let Some(owned) = self.servers.server_of_run(&run) else {
            return;
        };
        match end {
            ItemEnd::Stopped => {
                owned.owner.requeue_stopped(run.key);
                if let Some(item) = owned.owner.item(run.key) {
                    let subject = item_subject(item.job, item.item);
                    self.event(EventKind::ItemStopped, subject, run.server.clone());
                }
            }
            ItemEnd::Returned => {
                owned.owner.record_failure(now);
                if let Some(item) = owned.owner.remove(run.key) {
                    self.return_item(now, item);
                }
            }
            ItemEnd::Finished {
                custom_id,
                run_result,
            } => {
                if !run_result.is_final() {
                    owned.owner.record_failure(now);
                }
                if let Some(item) = owned.owner.remove(run.key) {
                    let subject = item_subject(item.job, item.item);
                    self.event(EventKind::ItemRan, subject, run.server.clone());
                    let server = run.server.clone();
                    let outcome = ItemOutcome {
                        job: item.job,
                        item: item.item,
                        custom_id,
                        server,
                        run_result,
                    };
                    let key = (item.shard, item.job, item.item);
                    self.servers.unacknowledged.insert(
                        key,
                        UnacknowledgedOutcome {
                            outcome,
                            reported_at: None,
                        },
                    );
                }
            }
        }
        self.advance_server(now, &run.server);
    }

    pub(crate) fn handle_orphaned_runs_cancelled(&mut self, now: Timestamp, server: &str) {
        if let Some(owned) = self.servers.owned.get_mut(server) {
            owned.has_cleared_orphans = true;
        }
        self.advance_server(now, server);
    }

    /// Returns the waiting items of a server, which are not running, to their shards.
    pub(crate) fn return_waiting(&mut self, now: Timestamp, server: &str) {
        if let Some(owned) = self.servers.owned.get(server) {
            let waiting = owned.owner.waiting_where(|_| true);
            self.return_items(now, server, waiting);
        }
    }

    /// Returns the waiting items of all servers to their shards.
    pub(crate) fn return_all_waiting(&mut self, now: Timestamp) {
        let servers: Vec<BackendServerId> = self.servers.owned.keys().cloned().collect();
        for server in servers {
            self.return_waiting(now, &server);
        }
    }

    pub(crate) fn return_items(&mut self, now: Timestamp, server: &str, keys: Vec<RunKey>) {
        for key in keys {
            let item = self
                .servers
                .owned
                .get_mut(server)
                .and_then(|owned| owned.owner.remove(key));
            let run = self.servers.run_ref(server, key);
            self.output(Output::DropItem { run });
            if let Some(item) = item {
                self.return_item(now, item);
            }
        }
    }

    /// Returns waiting items while the server is in a failure backoff, so that other servers can run them.
    pub(crate) fn return_while_backing_off(&mut self, now: Timestamp, server: &str) {
        let is_backing_off = self
            .servers
            .owned
            .get(server)
            .is_some_and(|owned| owned.owner.is_backing_off(now));
        if is_backing_off {
            self.return_waiting(now, server);
        }
    }

    /// Returns waiting items whose shard owner no longer responds: their job may have been cancelled meanwhile.
    pub(crate) fn return_items_of_unresponsive_owners(&mut self, now: Timestamp, server: &str) {
        let Some(owned) = self.servers.owned.get(server) else {
            return;
        };
        let waiting = owned
            .owner
            .waiting_where(|item| !self.members.is_answering(now, &item.assigned_by));
        self.return_items(now, server, waiting);
    }

    fn drop_items<F>(&mut self, server: &str, matches: F)
    where
        F: Fn(&WorkItem) -> bool,
    {
        let Some(owned) = self.servers.owned.get_mut(server) else {
            return;
        };
        let keys = owned.owner.keys_where(matches);
        for key in &keys {
            owned.owner.remove(*key);
        }
        for key in keys {
            let run = self.servers.run_ref(server, key);
            self.output(Output::DropItem { run });
        }
    }

    fn return_item(&mut self, now: Timestamp, item: WorkItem) {
        if let Some(owner) = self.shard_owner(now, item.shard) {
            let items = vec![(item.job, item.item)];
            self.send(
                &owner,
                PeerMessage::ReturnedItems {
                    shard: item.shard,
                    items,
                },
            );
        }
    }

    fn apply_step(&mut self, server: &str, address: &str, step: AdmitStep) {
        match step {
            AdmitStep::Start(key) => {
                let item = self
                    .servers
                    .owned
                    .get(server)
                    .and_then(|owned| owned.owner.item(key))
                    .cloned();
                if let Some(item) = item {
                    let run = self.servers.run_ref(server, key);
                    self.event(
                        EventKind::ItemStarted,
                        item_subject(item.job, item.item),
                        server.to_owned(),
                    );
                    self.output(Output::StartItem {
                        run,
                        address: address.to_owned(),
                        item,
                    });
                }
            }
            AdmitStep::Stop(key) => {
                let run = self.servers.run_ref(server, key);
                self.output(Output::StopItem { run });
            }
            AdmitStep::Idle => {}
        }
    }
}

fn to_work_item(shard: ShardId, from: &str, item: AssignedItem) -> WorkItem {
    WorkItem {
        shard,
        assigned_by: from.to_owned(),
        job: item.job,
        item: item.item,
        chunk: item.chunk,
        index_in_chunk: item.index_in_chunk,
        model: item.model,
        deadline_ms: item.deadline_ms,
        must_run_alone: item.must_run_alone,
    }
}
