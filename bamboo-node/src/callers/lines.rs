//! Incremental parser of a job's JSONL body. Lines are validated as they arrive, so that a job is never held in memory
//! as a whole.

use std::collections::HashSet;

use bamboo_log::ItemBody;
use bamboo_result::ApiError;
use bamboo_result::Code;
use bytes::BytesMut;
use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of items in one chunk.
const CHUNK_MAX_ITEMS: usize = 1000;
/// Maximum size of one chunk, bytes.
const CHUNK_MAX_BYTES: usize = 192 * 1024;
/// Maximum length of a line, bytes.
const LINE_MAX_BYTES: usize = 512 * 1024;
/// Maximum length of a `custom_id`, bytes.
const CUSTOM_ID_MAX_BYTES: usize = 256;
/// Maximum number of items in one job.
const ITEMS_MAX: u32 = 1_000_000;

#[derive(Deserialize)]
struct Line<'line> {
    custom_id: String,
    #[serde(borrow)]
    body: &'line RawValue,
}

#[derive(Deserialize)]
struct ModelOnly {
    model: String,
}

/// Parses lines and groups the items into chunks.
pub(crate) struct LineReader {
    buffer: BytesMut,
    line_number: u64,
    seen_custom_ids: HashSet<u64>,
    digest: Xxh3,
    model: Option<String>,
    chunk: Vec<ItemBody>,
    chunk_bytes: usize,
    item_count: u32,
}

impl LineReader {
    pub(crate) fn new() -> Self {
        LineReader {
            buffer: BytesMut::new(),
            line_number: 0,
            seen_custom_ids: HashSet::new(),
            digest: Xxh3::new(),
            model: None,
            chunk: Vec::new(),
            chunk_bytes: 0,
            item_count: 0,
        }
    }

    /// Parses the next bytes of the body and returns the chunks that are complete.
    ///
    /// # Errors
    /// Fails on an invalid line; the message names its number.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<Vec<Vec<ItemBody>>, ApiError> {
        self.buffer.extend_from_slice(bytes);
        let mut full = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line = self.buffer.split_to(end + 1);
            full.extend(self.push_line(&line[..end])?);
        }
        if self.buffer.len() > LINE_MAX_BYTES {
            return Err(self.invalid_line(&format!("is longer than {LINE_MAX_BYTES} bytes")));
        }
        Ok(full)
    }

    /// Parses the last line, which may lack a newline, and returns the remaining chunks: two if the item of that line did
    /// not fit into the chunk of the items before.
    ///
    /// # Errors
    /// Fails on an invalid line or a job without items.
    pub(crate) fn finish(&mut self) -> Result<Vec<Vec<ItemBody>>, ApiError> {
        let rest = self.buffer.split();
        let mut chunks: Vec<Vec<ItemBody>> = self.push_line(&rest)?.into_iter().collect();
        if self.item_count == 0 {
            return Err(ApiError::new(Code::BadItem, "the job has no items"));
        }
        if !self.chunk.is_empty() {
            chunks.push(self.take_chunk());
        }
        Ok(chunks)
    }

    /// Number of items parsed so far.
    pub(crate) fn item_count(&self) -> u32 {
        self.item_count
    }

    /// Digest of all non-empty lines.
    pub(crate) fn digest(&self) -> u128 {
        self.digest.digest128()
    }

    /// The model that all items share; `None` before the first item.
    pub(crate) fn model(&self) -> Option<&str> {
        self.model.as_deref()
    }

    fn push_line(&mut self, line: &[u8]) -> Result<Option<Vec<ItemBody>>, ApiError> {
        self.line_number += 1;
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(None);
        }
        if line.len() > LINE_MAX_BYTES {
            return Err(self.invalid_line(&format!("is longer than {LINE_MAX_BYTES} bytes")));
        }
        let item = self.parse_line(line)?;
        self.digest.update(line);
        self.digest.update(b"\n");
        let bytes = item.custom_id.len() + item.body_json.len();
        // If the item exceeds the limits of the current chunk, that chunk is returned and the item starts the next.
        let is_full =
            self.chunk.len() >= CHUNK_MAX_ITEMS || self.chunk_bytes + bytes > CHUNK_MAX_BYTES;
        let full = (is_full && !self.chunk.is_empty()).then(|| self.take_chunk());
        self.chunk.push(item);
        self.chunk_bytes += bytes;
        self.item_count += 1;
        if self.item_count > ITEMS_MAX {
            return Err(ApiError::new(
                Code::TooLarge,
                format!("the job has more than {ITEMS_MAX} items"),
            ));
        }
        Ok(full)
    }

    fn parse_line(&mut self, line: &[u8]) -> Result<ItemBody, ApiError> {
        let parsed: Line<'_> =
            serde_json::from_slice(line).map_err(|error| self.invalid_line(&error.to_string()))?;
        if parsed.custom_id.is_empty() || parsed.custom_id.len() > CUSTOM_ID_MAX_BYTES {
            return Err(self.invalid_line(&format!(
                "custom_id must be 1 to {CUSTOM_ID_MAX_BYTES} bytes"
            )));
        }
        let body: ModelOnly = serde_json::from_str(parsed.body.get())
            .map_err(|error| self.invalid_line(&format!("body: {error}")))?;
        match &self.model {
            None => self.model = Some(body.model),
            Some(model) if *model == body.model => {}
            Some(model) => {
                let reason = format!(
                    "body.model is '{}', the lines before have '{model}'",
                    body.model
                );
                return Err(self.invalid_line(&reason));
            }
        }
        if !self
            .seen_custom_ids
            .insert(xxh3_64(parsed.custom_id.as_bytes()))
        {
            return Err(
                self.invalid_line(&format!("custom_id '{}' stands twice", parsed.custom_id))
            );
        }
        Ok(ItemBody {
            custom_id: parsed.custom_id,
            body_json: parsed.body.get().to_owned(),
        })
    }

    fn take_chunk(&mut self) -> Vec<ItemBody> {
        self.chunk_bytes = 0;
        std::mem::take(&mut self.chunk)
    }

    fn invalid_line(&self, reason: &str) -> ApiError {
        ApiError::new(
            Code::BadItem,
            format!("line {}: {reason}", self.line_number),
        )
    }
}
