//! Versions of servers that left before this host started, from the records that the store still has of them.

use std::collections::HashSet;
use std::time::Duration;

use bamboo_fleet::Server;
use bamboo_types::BackendServerId;
use bamboo_types::Offset;

use crate::gateway::Gateway;
use crate::store::ReadExtent;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::StoreRequest;
use crate::topic_reader::parse_keyed_record;

/// What the records of the directory tell of the versions that servers have had.
enum VersionHistory {
    /// Entries of all servers that ever registered.
    Complete(Vec<Server>),
    /// Older records are no longer retained, or a server left without a readable entry.
    Partial,
}

impl Gateway {
    /// Whether the store's records of the directory name every version that a caller may return to. Its versions are
    /// remembered from then on. The records are read once.
    pub(super) async fn recall_versions(&self) -> bool {
        let mut recalled = self.versions_recalled.lock().await;
        if let Some(is_complete) = *recalled {
            return is_complete;
        }
        let servers = match self.read_version_history().await {
            Ok(VersionHistory::Complete(servers)) => Some(servers),
            Ok(VersionHistory::Partial) => None,
            Err(error) => {
                log::info!(event = "history_unread"; "cannot read which versions servers have had: {error}");
                return false;
            }
        };
        let is_complete = servers.is_some();
        let now = self.clock.now();
        for server in servers.unwrap_or_default() {
            self.directory
                .borrow_mut()
                .remember_version(server.service, server.version, now);
        }
        *recalled = Some(is_complete);
        is_complete
    }

    async fn read_version_history(&self) -> Result<VersionHistory, StoreError> {
        let mut registered: HashSet<BackendServerId> = HashSet::new();
        let mut entries = Vec::new();
        let mut from: Offset = 0;
        loop {
            let request = StoreRequest::Read {
                topic: self.dialect.servers_topic.to_owned(),
                partition: 0,
                from,
                wait: Duration::ZERO,
                extent: ReadExtent::Backlog,
            };
            let StoreReply::Records { records, end } = self.store_call(&request).await? else {
                return Ok(VersionHistory::Partial);
            };
            for (offset, record) in (from..).zip(&records) {
                let Some(record) = parse_keyed_record(record, offset) else {
                    return Ok(VersionHistory::Partial);
                };
                let Some(value) = record.value else {
                    if !registered.remove(&record.key) {
                        return Ok(VersionHistory::Partial);
                    }
                    continue;
                };
                let Ok(server) = (self.dialect.decode_server)(&record.key, &value) else {
                    return Ok(VersionHistory::Partial);
                };
                registered.insert(record.key);
                entries.push(server);
            }
            from += records.len() as Offset;
            if records.is_empty() || from >= end {
                return Ok(VersionHistory::Complete(entries));
            }
        }
    }
}
