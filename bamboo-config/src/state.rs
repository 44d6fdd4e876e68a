//! State machine that applies the configuration stream.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use bamboo_log::ConfigChange;
use bamboo_log::Deduplicator;
use bamboo_log::Entry;
use bamboo_log::RecordBody;
use bamboo_log::Writer;
use bamboo_types::Offset;
use serde::Deserialize;
use serde::Serialize;

use crate::Resource;
use crate::ResourceKind;
use crate::parse_resource;

/// Number of recent changes, applied or not, that are kept for watchers.
const HISTORY_MAX: usize = 1024;

/// A resource with its revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredResource {
    /// The resource.
    pub resource: Resource,
    /// Revision assigned by its last change.
    pub revision: u64,
}

/// Outcome of a configuration change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum ChangeOutcome {
    /// The change was applied.
    Applied {
        /// The new revision.
        revision: u64,
    },
    /// The change was based on a revision that is no longer current.
    Conflict {
        /// Current revision, 0 if the resource does not exist.
        current_revision: u64,
        /// Current resource, if it exists.
        current: Option<Resource>,
    },
    /// The resource failed validation.
    Refused {
        /// Validation errors, as text.
        faults: Vec<String>,
    },
}

/// A change read from the log, with its outcome, as reported to watchers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoggedChange {
    /// Log offset of the change.
    pub offset: Offset,
    /// Kind of the resource.
    pub kind: String,
    /// Name of the resource.
    pub name: String,
    /// Outcome of the change.
    pub outcome: ChangeOutcome,
}

/// The resources that result from applying the configuration stream up to an offset. Clones share the resources.
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    resources: BTreeMap<(ResourceKind, String), Arc<StoredResource>>,
    next_revision: u64,
    next_offset: Offset,
    deduplicator: Deduplicator,
    history: VecDeque<LoggedChange>,
}

/// Serialized state without the change history. The writers are a list because JSON object keys must be strings.
#[derive(Serialize, Deserialize)]
struct ConfigSnapshot {
    next_revision: u64,
    next_offset: Offset,
    writers: Vec<(Writer, u64)>,
    resources: Vec<Arc<StoredResource>>,
}

impl ConfigState {
    /// Applies one log entry and returns the sequence number and outcome of each change in it.
    ///
    /// An entry at an offset that is already applied is ignored, so the state never moves backwards. Records that
    /// a retried append stored twice are skipped.
    ///
    /// ```
    /// use bamboo_config::{ChangeOutcome, ConfigState};
    /// use bamboo_log::{RecordBody, ConfigChange, Entry};
    /// let json = r#"{"kind":"model","name":"narrador","versions":["1"]}"#.to_string();
    /// let change = ConfigChange { kind: "model".into(), name: "narrador".into(), based_on: 0, resource_json: Some(json) };
    /// let entry = Entry { host: "h1".into(), incarnation: 1, at_ms: 0, first_sequence: 1, bodies: vec![RecordBody::Config(change)] };
    /// let mut state = ConfigState::default();
    /// assert!(matches!(state.apply(0, &entry)[0].1, ChangeOutcome::Applied { revision: 1 }));
    /// ```
    pub fn apply(&mut self, offset: Offset, entry: &Entry) -> Vec<(u64, ChangeOutcome)> {
        if offset < self.next_offset {
            return Vec::new();
        }
        self.next_offset = offset + 1;
        let writer = Writer {
            host: entry.host.clone(),
            incarnation: entry.incarnation,
        };
        let mut outcomes = Vec::new();
        for (index, body) in entry.bodies.iter().enumerate() {
            let RecordBody::Config(change) = body else {
                continue;
            };
            let sequence = entry.first_sequence + index as u64;
            if !self.deduplicator.insert(&writer, sequence) {
                continue;
            }
            let outcome = self.apply_change(change);
            self.record_history(offset, change, &outcome);
            outcomes.push((sequence, outcome));
        }
        outcomes
    }

    /// Looks up a resource by kind and name.
    pub fn get(&self, kind: ResourceKind, name: &str) -> Option<&StoredResource> {
        self.resources
            .get(&(kind, name.to_owned()))
            .map(Arc::as_ref)
    }

    /// All resources of a kind, ordered by name.
    pub fn list(&self, kind: ResourceKind) -> impl Iterator<Item = &StoredResource> {
        self.resources
            .iter()
            .filter(move |((resource_kind, _), _)| *resource_kind == kind)
            .map(|(_, stored)| stored.as_ref())
    }

    /// Offset of the next entry to apply; all entries before it are applied.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Changes at or after an offset, with their outcomes. Only the most recent ones are retained.
    pub fn history_from(&self, offset: Offset) -> Vec<LoggedChange> {
        self.history
            .iter()
            .filter(|change| change.offset >= offset)
            .cloned()
            .collect()
    }

    /// Encodes the state, without the change history, as JSON.
    ///
    /// # Errors
    /// Fails if a resource cannot be serialized.
    pub fn encode_snapshot(&self) -> Result<Vec<u8>, serde_json::Error> {
        let snapshot = ConfigSnapshot {
            next_revision: self.next_revision,
            next_offset: self.next_offset,
            writers: self.deduplicator.clone().into_writers(),
            resources: self.resources.values().cloned().collect(),
        };
        serde_json::to_vec(&snapshot)
    }

    /// Replaces the state with an encoded snapshot if the snapshot covers more of the log. Returns whether it did.
    ///
    /// # Errors
    /// Fails if the snapshot cannot be decoded.
    pub fn install_snapshot(&mut self, bytes: &[u8]) -> Result<bool, serde_json::Error> {
        let snapshot: ConfigSnapshot = serde_json::from_slice(bytes)?;
        if snapshot.next_offset <= self.next_offset {
            return Ok(false);
        }
        let with_key = |stored: Arc<StoredResource>| {
            (
                (stored.resource.kind(), stored.resource.name().to_owned()),
                stored,
            )
        };
        self.resources = snapshot.resources.into_iter().map(with_key).collect();
        self.next_revision = snapshot.next_revision;
        self.next_offset = snapshot.next_offset;
        self.deduplicator = Deduplicator::from_writers(snapshot.writers);
        Ok(true)
    }

    fn apply_change(&mut self, change: &ConfigChange) -> ChangeOutcome {
        let Some(kind) = ResourceKind::parse(&change.kind) else {
            return ChangeOutcome::Refused {
                faults: vec![format!("kind = {}: no such kind", change.kind)],
            };
        };
        let key = (kind, change.name.clone());
        let current = self.resources.get(&key);
        let current_revision = current.map_or(0, |stored| stored.revision);
        if current_revision != change.based_on {
            return ChangeOutcome::Conflict {
                current_revision,
                current: current.map(|stored| stored.resource.clone()),
            };
        }
        let parsed = match &change.resource_json {
            None => None,
            Some(json) => match parse_resource_for_key(json, &key) {
                Ok(resource) => Some(resource),
                Err(errors) => return ChangeOutcome::Refused { faults: errors },
            },
        };
        self.next_revision += 1;
        let revision = self.next_revision;
        match parsed {
            Some(resource) => self
                .resources
                .insert(key, Arc::new(StoredResource { resource, revision })),
            None => self.resources.remove(&key),
        };
        ChangeOutcome::Applied { revision }
    }

    fn record_history(&mut self, offset: Offset, change: &ConfigChange, outcome: &ChangeOutcome) {
        if self.history.len() == HISTORY_MAX {
            self.history.pop_front();
        }
        self.history.push_back(LoggedChange {
            offset,
            kind: change.kind.clone(),
            name: change.name.clone(),
            outcome: outcome.clone(),
        });
    }
}

fn parse_resource_for_key(
    json: &str,
    key: &(ResourceKind, String),
) -> Result<Resource, Vec<String>> {
    let resource = parse_resource(json).map_err(|errors| {
        errors
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<String>>()
    })?;
    if (resource.kind(), resource.name()) != (key.0, key.1.as_str()) {
        return Err(vec![format!(
            "name = {}: the change is addressed to {} {}",
            resource.name(),
            key.0,
            key.1
        )]);
    }
    Ok(resource)
}
