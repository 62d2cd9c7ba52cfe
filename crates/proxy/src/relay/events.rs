//! Splits a stream of server-sent events into complete events with their ids.

use bytes::{Bytes, BytesMut};

/// Largest event in bytes. An event of a model is some hundred bytes; all connections of a small VM can have one of this
/// size.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Raw bytes, including the blank line that ends the event.
    pub bytes: Bytes,
    /// Numeric value of the `id` field; `None` if it is missing or not a number.
    pub id: Option<u64>,
}

impl StreamEvent {
    /// Value of the `data` field; several data lines are joined by line feeds.
    #[must_use]
    pub fn data(&self) -> Vec<u8> {
        let lines = self.bytes.split(|byte| *byte == b'\n');
        let values = lines.filter_map(|line| field_value(line, b"data:"));
        let values: Vec<&[u8]> = values.collect();
        values.join(&b'\n')
    }
}

/// Splits a stream into complete events. The bytes of an incomplete event stay buffered.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Start of the current line in `buffer`.
    line_start: usize,
    /// Bytes before this offset have been scanned.
    scanned: usize,
    id: Option<u64>,
    has_fields: bool,
}

impl EventSplitter {
    /// Appends `chunk` and returns the events that are complete now.
    ///
    /// # Errors
    ///
    /// Returns the reason if the bytes of an incomplete event exceed 256 KiB.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<StreamEvent>, String> {
        self.buffer.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(offset) = find_line_feed(&self.buffer[self.scanned..]) {
            let end = self.scanned + offset;
            self.scanned = end + 1;
            let line = trim_return(&self.buffer[self.line_start..end]);
            if line.is_empty() {
                self.end_event(&mut events);
                continue;
            }
            self.has_fields = true;
            if let Some(value) = field_value(line, b"id:") {
                self.id = std::str::from_utf8(value)
                    .ok()
                    .and_then(|id| id.parse().ok());
            }
            self.line_start = self.scanned;
        }
        self.scanned = self.buffer.len();
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(format!("an event exceeds {MAX_EVENT_BYTES} bytes"));
        }
        Ok(events)
    }

    fn end_event(&mut self, events: &mut Vec<StreamEvent>) {
        let bytes = self.buffer.split_to(self.scanned).freeze();
        self.scanned = 0;
        self.line_start = 0;
        let id = self.id.take();
        if std::mem::take(&mut self.has_fields) {
            events.push(StreamEvent { bytes, id });
        }
    }

    /// Whether the stream is at a boundary between two events.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }
}

fn find_line_feed(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}

fn trim_return(line: &[u8]) -> &[u8] {
    line.strip_suffix(b"\r").unwrap_or(line)
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = trim_return(line).strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Checks that `events` continue after `last_event` without gaps or duplicates, and advances it. The first event of a
/// stream has the id 1. On an error `last_event` is unchanged.
///
/// # Errors
///
/// Returns the reason if an event is missing or duplicated.
pub fn check_order(events: &[StreamEvent], last_event: &mut Option<u64>) -> Result<(), String> {
    let mut last_id = *last_event;
    for id in events.iter().filter_map(|event| event.id) {
        let last = last_id.unwrap_or(0);
        if id != last + 1 {
            return Err(format!("event {id} came after event {last}"));
        }
        last_id = Some(id);
    }
    *last_event = last_id;
    Ok(())
}
