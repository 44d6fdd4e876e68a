//! Records of jobs in the store: where they are, and their contents that are not kept in memory.

use std::rc::Rc;

use bamboo_fleet::BufferReservation;
use bamboo_shards::FragmentAssembler;
use bamboo_shards::ItemResult;
use bamboo_shards::LoadedResults;
use bamboo_shards::Record;
use bamboo_shards::RecordError;
use bamboo_shards::RecordLocation;
use bamboo_shards::RecordTopic;
use bamboo_types::ItemIndex;
use bamboo_types::Offset;
use bytes::Bytes;

use crate::gateway::Gateway;
use crate::jobs::shard::JOBS_TOPIC;
use crate::jobs::shard::OwnedShard;
use crate::jobs::submitted::SUBMITTED_TOPIC;
use crate::request_log::LineClass;
use crate::store::StoreReply;
use crate::store::StoreRequest;
use crate::traffic::counted_bytes;

/// Copies of a record that exist while it is read: the response, its fragments, the assembled record and the decoded one.
const READ_COPIES: usize = 4;

/// Assembles records from the fragments of a topic, and tells where they are.
pub(super) struct RecordReader {
    topic: RecordTopic,
    assembler: FragmentAssembler,
    fragments: usize,
}

impl RecordReader {
    pub(super) fn new(topic: RecordTopic) -> Self {
        RecordReader {
            topic,
            assembler: FragmentAssembler::default(),
            fragments: 0,
        }
    }

    /// Adds the fragment at an offset. Returns the record that it completes, if any. After an error, reading goes on with the next
    /// record.
    pub(super) fn push(
        &mut self,
        offset: Offset,
        fragment: &[u8],
    ) -> Result<Option<(Record, RecordLocation)>, RecordError> {
        self.fragments += 1;
        let record = Record::from_fragment(&mut self.assembler, fragment);
        if matches!(record, Ok(None)) {
            return Ok(None);
        }
        let fragments = std::mem::take(&mut self.fragments);
        let location = RecordLocation {
            topic: self.topic,
            first: (offset + 1).saturating_sub(fragments as u64),
            fragments,
        };
        record.map(|record| Some((record?, location)))
    }
}

/// Why contents cannot be had now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ContentsError {
    /// There is no memory for them, or the store did not return them.
    Unavailable,
    /// The job or the item is not known any more.
    Unknown,
}

/// Reads a record of a shard from the store. It counts towards the memory of callers until the reservation is dropped.
async fn read_record(
    gateway: &Gateway,
    shard: &OwnedShard,
    location: RecordLocation,
) -> Result<(Record, BufferReservation), ContentsError> {
    let record_max_bytes = gateway.settings.store.record_max_bytes;
    let bytes = location.fragments.saturating_mul(record_max_bytes);
    let room = gateway
        .caller_bodies
        .reserve(bytes.saturating_mul(READ_COPIES))
        .ok_or(ContentsError::Unavailable)?;
    let _permit = gateway.jobs.begin_bulk_read().await;
    let topic = match location.topic {
        RecordTopic::Shard => JOBS_TOPIC,
        RecordTopic::Submitted => SUBMITTED_TOPIC,
    };
    let mut reader = RecordReader::new(location.topic);
    let mut from = location.first;
    let end = location.first + location.fragments as u64;
    while from < end {
        let left_bytes = (end - from) as usize * record_max_bytes;
        let request = StoreRequest::ReadPart {
            topic: topic.to_owned(),
            partition: shard.partition,
            from,
            max_kb: left_bytes.div_ceil(1024) + 1,
        };
        let records = match gateway.store_call(&request).await {
            Ok(StoreReply::Records { records, .. }) if !records.is_empty() => records,
            reply => {
                if gateway.may_log(LineClass::Other) {
                    log::warn!(
                        event = "contents_unread", partition = shard.partition, topic, from, reply:? = reply.map(|_| ());
                        "cannot read a record of a job again"
                    );
                }
                return Err(ContentsError::Unavailable);
            }
        };
        for fragment in records {
            match reader.push(from, &fragment) {
                Ok(Some((record, _))) => return Ok((record, room)),
                Ok(None) => from += 1,
                Err(error) => {
                    log::error!(
                        event = "record_unreadable", partition = shard.partition, offset = from;
                        "cannot read a record of a job again: {error}"
                    );
                    return Err(ContentsError::Unavailable);
                }
            }
        }
    }
    Err(ContentsError::Unavailable)
}

/// A copy of the body of an item, which counts towards the memory of callers until it is dropped.
///
/// # Errors
/// Fails if there is no memory for it, or if the store does not return it.
pub(super) async fn item_body(
    gateway: &Gateway,
    shard: &OwnedShard,
    job: &str,
    item: ItemIndex,
) -> Result<Bytes, ContentsError> {
    let index = item as usize;
    let location = {
        let state = shard.state.borrow();
        let found = state.job(job).ok_or(ContentsError::Unknown)?;
        match found.stored_bodies() {
            Some(location) => location,
            None => {
                let body = &found.record.items[index].body;
                let room = gateway.caller_bodies.reserve(body.len());
                let room = room.ok_or(ContentsError::Unavailable)?;
                return Ok(counted_bytes(body.clone(), room));
            }
        }
    };
    let (record, mut room) = read_record(gateway, shard, location).await?;
    let Record::Accepted(mut record) = record else {
        return Err(ContentsError::Unavailable);
    };
    shard.state.borrow_mut().keep_bodies(&record);
    let items = &mut Rc::make_mut(&mut record).items;
    let body = items.get_mut(index).ok_or(ContentsError::Unknown)?;
    let body = std::mem::take(&mut body.body);
    drop(record);
    room.shrink_to(body.capacity());
    Ok(counted_bytes(body, room))
}

/// Results of a job that were read from the store, and the memory that they take.
#[derive(Default)]
pub(super) struct LoadedPage {
    pub(super) results: LoadedResults,
    _rooms: Vec<BufferReservation>,
}

/// Reads results of a job that are not in memory, up to the first one for which there is no memory or that the store does not
/// return.
pub(super) async fn load_results(
    gateway: &Gateway,
    shard: &OwnedShard,
    locations: Vec<RecordLocation>,
) -> LoadedPage {
    let mut page = LoadedPage::default();
    for location in locations {
        let Ok((Record::Results { results, .. }, mut room)) =
            read_record(gateway, shard, location).await
        else {
            break;
        };
        let bytes = results.iter().map(|result| result.text.capacity()).sum();
        room.shrink_to(bytes);
        let results = results.into_iter().map(Rc::<ItemResult>::new);
        page.results
            .extend(results.map(|result| (result.item, result)));
        page._rooms.push(room);
    }
    page
}
