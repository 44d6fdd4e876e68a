//! Reads the compacted topics of the store: the newest record of each key in pages, then the records that are appended.

use std::time::Duration;

use bamboo_relay::PageStep;
use bamboo_relay::Pages;
use bamboo_relay::PollWatch;
use bamboo_types::Offset;

use crate::gateway::Gateway;
use crate::store::KeyedRecord;
use crate::store::ReadExtent;
use crate::store::StoreError;
use crate::store::StoreReply;
use crate::store::StoreRequest;

/// Incremental reader of a compacted topic.
pub(crate) struct TopicReader {
    topic: String,
    position: Position,
    wait: Duration,
    extent: ReadExtent,
    poll_watch: PollWatch,
    is_failing: bool,
}

/// What a reader reads next.
#[derive(Debug)]
enum Position {
    /// The first page of the newest records.
    Start,
    /// The page after this one.
    Page(PageCursor),
    /// Records from an offset on.
    Offset(Offset),
}

/// Where the pages of the newest records go on.
#[derive(Debug)]
struct PageCursor {
    /// End that the first page reported. The pages are not a consistent snapshot: records appended meanwhile are read again, from
    /// there on.
    end: Offset,
    after: String,
    pages: Pages,
}

/// Records of one read.
#[derive(Debug)]
pub(crate) struct TopicUpdate {
    /// The records.
    pub(crate) records: Vec<KeyedRecord>,
    /// What they are part of.
    pub(crate) scope: UpdateScope,
    /// Whether they are the first of the newest records.
    pub(crate) is_first_page: bool,
}

/// What the records of a read are part of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpdateScope {
    /// The newest records of all keys, of which more are read next.
    Page,
    /// The newest records of all keys, of which these are the last.
    LastPage,
    /// The newest records of some keys: the pages could not be followed to their end.
    CutPages,
    /// Records appended since the previous read.
    Changes,
}

impl TopicReader {
    /// Creates a reader that begins with the newest record of every key. `wait` is the time of a long poll for further
    /// records.
    pub(crate) fn new<T>(topic: T, wait: Duration, extent: ReadExtent) -> Self
    where
        T: Into<String>,
    {
        TopicReader {
            topic: topic.into(),
            position: Position::Start,
            wait,
            extent,
            poll_watch: PollWatch::default(),
            is_failing: false,
        }
    }

    /// Goes on after a record that this host has learned of in another way, unless it reads the newest records. All records before it
    /// are outdated.
    pub(crate) fn skip_past(&mut self, offset: Offset) {
        match self.position {
            Position::Page(_) => {}
            Position::Offset(next) if next > offset => {}
            Position::Start | Position::Offset(_) => self.position = Position::Offset(offset + 1),
        }
    }

    /// Offset of the next record, once the newest records have been read.
    pub(crate) fn next_offset(&self) -> Option<Offset> {
        match self.position {
            Position::Offset(next) => Some(next),
            Position::Start | Position::Page(_) => None,
        }
    }

    /// Reads a page of the newest records, or the records appended since. After a failed read of a page the pages begin anew.
    pub(crate) async fn read(&mut self, gateway: &Gateway) -> Result<TopicUpdate, StoreError> {
        let result = self.read_next(gateway).await;
        match &result {
            Ok(_) => self.is_failing = false,
            Err(error) => {
                if !std::mem::replace(&mut self.is_failing, true) {
                    log::info!(event = "topic_unread", topic = self.topic.as_str(); "cannot read a topic: {error}");
                }
            }
        }
        result
    }

    async fn read_next(&mut self, gateway: &Gateway) -> Result<TopicUpdate, StoreError> {
        if let Position::Offset(from) = self.position {
            match self.read_changes(gateway, from).await? {
                Some(update) => return Ok(update),
                // The offset is no longer retained.
                None => self.position = Position::Start,
            }
        }
        let cursor = match std::mem::replace(&mut self.position, Position::Start) {
            Position::Page(cursor) => Some(cursor),
            Position::Start | Position::Offset(_) => None,
        };
        self.read_page(gateway, cursor).await
    }

    /// Reads until the newest records are complete, or the records appended since. Passes on the records of each read.
    pub(crate) async fn read_whole<F>(
        &mut self,
        gateway: &Gateway,
        mut apply: F,
    ) -> Result<(), StoreError>
    where
        F: FnMut(Vec<KeyedRecord>),
    {
        loop {
            let update = self.read(gateway).await?;
            apply(update.records);
            if update.scope != UpdateScope::Page {
                return Ok(());
            }
        }
    }

    /// Reads the records from an offset on. Returns `None` if it is no longer retained.
    async fn read_changes(
        &mut self,
        gateway: &Gateway,
        from: Offset,
    ) -> Result<Option<TopicUpdate>, StoreError> {
        let request = StoreRequest::Read {
            topic: self.topic.clone(),
            partition: 0,
            from,
            wait: self.wait,
            extent: self.extent,
        };
        let reply = gateway.watched_read(&request, &mut self.poll_watch).await?;
        let StoreReply::Records { records, .. } = reply else {
            return Ok(None);
        };
        self.position = Position::Offset(from + records.len() as Offset);
        let keyed = records.iter().zip(from..).filter_map(|(record, offset)| {
            let record = parse_keyed_record(record, offset);
            if record.is_none() {
                log::warn!(
                    event = "record_unreadable", topic = self.topic.as_str(), offset;
                    "skipped a record without a valid key"
                );
            }
            record
        });
        Ok(Some(TopicUpdate {
            records: keyed.collect(),
            scope: UpdateScope::Changes,
            is_first_page: false,
        }))
    }

    /// Reads the page at a cursor, or the first one.
    async fn read_page(
        &mut self,
        gateway: &Gateway,
        cursor: Option<PageCursor>,
    ) -> Result<TopicUpdate, StoreError> {
        let is_first_page = cursor.is_none();
        let request = StoreRequest::Newest {
            topic: self.topic.clone(),
            after: cursor.as_ref().map(|cursor| cursor.after.clone()),
        };
        let reply = gateway.watched_read(&request, &mut self.poll_watch).await?;
        let StoreReply::Newest {
            records,
            has_more,
            end,
        } = reply
        else {
            return Err(StoreError::Unknown("unexpected answer".to_owned()));
        };
        let (end, mut pages) = match cursor {
            Some(cursor) => (cursor.end, cursor.pages),
            None => (end, Pages::default()),
        };
        let last_key = records.last().map(|record| record.key.as_str());
        let (position, scope) = match pages.step(has_more, last_key) {
            PageStep::Done => (Position::Offset(end), UpdateScope::LastPage),
            PageStep::ReadAfter(after) => (
                Position::Page(PageCursor { end, after, pages }),
                UpdateScope::Page,
            ),
            PageStep::Stuck => {
                log::warn!(
                    event = "pages_cut", topic = self.topic.as_str(), last_key;
                    "the pages of a topic do not advance; going on with the records that are appended"
                );
                (Position::Offset(end), UpdateScope::CutPages)
            }
        };
        self.position = position;
        Ok(TopicUpdate {
            records,
            scope,
            is_first_page,
        })
    }
}

/// Encodes a record of a compacted topic; without a value it deletes the key. The inverse of [`parse_keyed_record`].
pub(crate) fn encode_keyed_record(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    record
}

pub(crate) fn parse_keyed_record(record: &[u8], offset: Offset) -> Option<KeyedRecord> {
    let (length, rest) = record.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    Some(KeyedRecord {
        key: String::from_utf8(key.to_vec()).ok()?,
        value: (!value.is_empty()).then(|| value.to_vec()),
        offset,
    })
}
