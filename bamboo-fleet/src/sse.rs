//! Decoder of server-sent events (SSE).

use memchr::memchr;
use memchr::memchr_iter;
use thiserror::Error;

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub raw: Vec<u8>,
    /// The `id` field, if it is numeric.
    pub id: Option<u64>,
}

impl SseEvent {
    fn from_raw(raw: Vec<u8>) -> Self {
        let id = lines(&raw)
            .find_map(|line| field_value(line, b"id"))
            .and_then(|value| std::str::from_utf8(value).ok()?.trim().parse().ok());
        SseEvent { raw, id }
    }

    /// Whether the event has a `data` field. Comments and other fields alone show only that the server is connected.
    ///
    /// ```
    /// let mut decoder = bamboo_fleet::SseDecoder::default();
    /// let events = decoder.push(b": ping\n\ndata: a\n\n").unwrap();
    /// assert_eq!((events[0].has_data(), events[1].has_data()), (false, true));
    /// ```
    pub fn has_data(&self) -> bool {
        lines(&self.raw).any(|line| field_value(line, b"data").is_some())
    }

    /// Whether the event consists of comments only.
    ///
    /// ```
    /// let mut decoder = bamboo_fleet::SseDecoder::default();
    /// let events = decoder.push(b": ping\n\nerror\n\n").unwrap();
    /// assert_eq!((events[0].is_comment(), events[1].is_comment()), (true, false));
    /// ```
    pub fn is_comment(&self) -> bool {
        lines(&self.raw).all(|line| line.is_empty() || line.starts_with(b":"))
    }

    /// The `data` fields of the event, joined by line feeds; `None` if it has none.
    ///
    /// ```
    /// let mut decoder = bamboo_fleet::SseDecoder::default();
    /// let events = decoder.push(b"id: 1\ndata: a\ndata: b\n\n").unwrap();
    /// assert_eq!(events[0].data().unwrap(), b"a\nb");
    /// ```
    pub fn data(&self) -> Option<Vec<u8>> {
        let mut data: Option<Vec<u8>> = None;
        for line in lines(&self.raw) {
            let Some(value) = field_value(line, b"data") else {
                continue;
            };
            match &mut data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => data = Some(value.to_vec()),
            }
        }
        data
    }
}

fn lines(raw: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = Some(raw);
    std::iter::from_fn(move || {
        let current = rest?;
        let (line, after) = match memchr(b'\n', current) {
            Some(end) => (&current[..end], Some(&current[end + 1..])),
            None => (current, None),
        };
        rest = after;
        Some(line.strip_suffix(b"\r").unwrap_or(line))
    })
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Default bound for the size of one event in bytes. Events carry a few tokens each.
pub const EVENT_MAX_BYTES: usize = 256 << 10;

/// An event exceeds the size limit of its decoder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an event is larger than {limit_bytes} bytes")]
pub struct EventTooLarge {
    /// Limit in bytes.
    pub limit_bytes: usize,
}

/// Incremental decoder, which buffers bytes until an event is complete. It examines each byte once and buffers at most
/// its size limit beside the bytes of one push.
#[derive(Debug)]
pub struct SseDecoder {
    buffer: Vec<u8>,
    /// Length of the prefix of `buffer` in which no event ends.
    searched_len: usize,
    event_max_bytes: usize,
}

impl Default for SseDecoder {
    fn default() -> Self {
        SseDecoder::new(EVENT_MAX_BYTES)
    }
}

impl SseDecoder {
    /// Creates a decoder that rejects events of more than `event_max_bytes`.
    ///
    /// ```
    /// let mut decoder = bamboo_fleet::SseDecoder::new(8);
    /// assert!(decoder.push(b"data: a\n\n").is_err());
    /// ```
    pub fn new(event_max_bytes: usize) -> Self {
        SseDecoder {
            buffer: Vec::new(),
            searched_len: 0,
            event_max_bytes,
        }
    }

    /// Adds bytes and returns the events that they complete.
    ///
    /// # Errors
    /// Fails if an event exceeds the size limit. The buffered bytes are discarded then.
    ///
    /// ```
    /// let mut decoder = bamboo_fleet::SseDecoder::default();
    /// assert!(decoder.push(b"id: 1\ndata: x").unwrap().is_empty());
    /// assert_eq!(decoder.push(b"\n\n").unwrap()[0].id, Some(1));
    /// assert!(!decoder.has_partial());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<SseEvent>, EventTooLarge> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = find_event_end(&self.buffer, start, self.searched_len) {
            self.check_size(end - start)?;
            events.push(SseEvent::from_raw(self.buffer[start..end].to_vec()));
            start = end;
            self.searched_len = end;
        }
        self.buffer.drain(..start);
        self.check_size(self.buffer.len())?;
        self.searched_len = self.buffer.len();
        Ok(events)
    }

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Number of buffered bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    fn check_size(&mut self, event_bytes: usize) -> Result<(), EventTooLarge> {
        if event_bytes <= self.event_max_bytes {
            return Ok(());
        }
        self.buffer = Vec::new();
        self.searched_len = 0;
        Err(EventTooLarge {
            limit_bytes: self.event_max_bytes,
        })
    }
}

/// Position after the blank line that ends the event which begins at `start`. No event ends before `searched_len`.
fn find_event_end(buffer: &[u8], start: usize, searched_len: usize) -> Option<usize> {
    let searched_len = searched_len.max(start);
    memchr_iter(b'\n', &buffer[searched_len..])
        .map(|index| searched_len + index + 1)
        .find(|end| is_event_end(&buffer[start..*end]))
}

fn is_event_end(event: &[u8]) -> bool {
    event.ends_with(b"\n\n") || event.ends_with(b"\r\n\r\n")
}
