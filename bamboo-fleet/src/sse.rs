//! Decoder of server-sent events (SSE).

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub raw: Vec<u8>,
    /// The `id` field, if it is numeric.
    pub id: Option<u64>,
}

impl SseEvent {
    /// The `data` fields of the event, joined by line feeds; `None` if it has none.
    ///
    /// ```
    /// let mut decoder = bamboo_fleet::SseDecoder::default();
    /// let events = decoder.push(b"id: 1\ndata: a\ndata: b\n\n");
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
    raw.split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Incremental decoder, which buffers bytes until an event is complete.
#[derive(Debug, Default)]
pub struct SseDecoder {
    buffer: Vec<u8>,
}

impl SseDecoder {
    /// Adds bytes and returns the events that they complete.
    ///
    /// ```
    /// let mut decoder = bamboo_fleet::SseDecoder::default();
    /// assert!(decoder.push(b"id: 1\ndata: x").is_empty());
    /// assert_eq!(decoder.push(b"\n\n")[0].id, Some(1));
    /// assert!(!decoder.has_partial());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = find_event_end(&self.buffer) {
            let rest = self.buffer.split_off(end);
            let raw = std::mem::replace(&mut self.buffer, rest);
            let id = lines(&raw)
                .find_map(|line| field_value(line, b"id"))
                .and_then(|value| std::str::from_utf8(value).ok()?.trim().parse().ok());
            events.push(SseEvent { raw, id });
        }
        events
    }

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes and returns the bytes of an incomplete event.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }
}

fn find_event_end(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).position(|bytes| bytes == b"\n\n");
    let crlf = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(lf), Some(crlf)) if crlf < lf => Some(crlf + 4),
        (Some(lf), _) => Some(lf + 2),
        (None, Some(crlf)) => Some(crlf + 4),
        (None, None) => None,
    }
}
