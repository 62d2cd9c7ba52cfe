//! Splits a stream of server-sent events into complete events with their ids.

use crate::event_line::EventLine;
use awc::http::header::HeaderName;
use bytes::{Buf as _, Bytes, BytesMut};

/// Largest event in bytes, with the comments before it. An event of a model is some hundred bytes; all connections of a
/// small VM can have one of this size.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// One complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Raw bytes, including the comments before the event and the blank line that ends it.
    pub bytes: Bytes,
    /// Value of the `id` field.
    pub id: u64,
}

impl StreamEvent {
    /// Value of the `data` field; several data lines are joined by line feeds.
    #[must_use]
    pub fn data(&self) -> Vec<u8> {
        let lines = self.bytes.split(|byte| *byte == b'\n');
        let values = lines.filter_map(|line| match EventLine::parse(line) {
            EventLine::Data(value) => Some(value),
            _ => None,
        });
        let values: Vec<&[u8]> = values.collect();
        values.join(&b'\n')
    }
}

/// The lines since the last blank one.
#[derive(Clone, Copy, Debug, Default)]
struct EventBlock {
    has_lines: bool,
    has_data: bool,
    id: Option<u64>,
}

/// Splits a stream into complete events. The bytes of an incomplete event stay buffered.
///
/// Everything in the stream has to belong to a numbered event or to a comment. A stream with anything else comes from a
/// faulty target: its bytes must neither reach a caller nor become output.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Header that may stand as the first line of an event.
    event_header: Option<HeaderName>,
    buffer: BytesMut,
    /// Start of the current line in `buffer`.
    line_start: usize,
    /// Bytes before this offset have been scanned.
    scanned: usize,
    block: EventBlock,
}

impl EventSplitter {
    /// Creates a splitter for targets that repeat `event_header`, whose value is a number, as the first line of some events.
    #[must_use]
    pub fn with_header(event_header: Option<HeaderName>) -> EventSplitter {
        EventSplitter {
            event_header,
            ..EventSplitter::default()
        }
    }

    /// Appends `chunk` and returns the events that are complete now.
    ///
    /// # Errors
    ///
    /// Returns the reason if the stream has a line that is no field of an event, an event without one numeric id, or an
    /// event of more than 256 KiB. The stream has to be given up then; the events before the reason are not returned.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<StreamEvent>, String> {
        self.buffer.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(offset) = find_line_feed(&self.buffer[self.scanned..]) {
            let end = self.scanned + offset;
            self.scanned = end + 1;
            let is_blank = self.take_line(end)?;
            self.line_start = self.scanned;
            if is_blank {
                events.extend(self.end_block()?);
            }
        }
        self.scanned = self.buffer.len();
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(format!("an event exceeds {MAX_EVENT_BYTES} bytes"));
        }
        Ok(events)
    }

    /// Adds the line that ends at `end` to the current block, and returns whether it ends the block instead.
    fn take_line(&mut self, end: usize) -> Result<bool, String> {
        let line = &self.buffer[self.line_start..end];
        match EventLine::parse(line) {
            EventLine::Blank => return Ok(true),
            EventLine::Comment | EventLine::Other => {}
            EventLine::Data(_) => self.block.has_data = true,
            EventLine::Id(_) if self.block.id.is_some() => {
                return Err("an event has two ids".to_owned());
            }
            EventLine::Id(value) => {
                let id = std::str::from_utf8(value)
                    .ok()
                    .and_then(|id| id.parse().ok());
                self.block.id = Some(id.ok_or("the id of an event is not a number")?);
            }
            EventLine::Foreign if !self.block.has_lines && self.is_event_header(line) => {}
            EventLine::Foreign => return Err("a line is no field of an event".to_owned()),
        }
        self.block.has_lines = true;
        Ok(false)
    }

    fn is_event_header(&self, line: &[u8]) -> bool {
        let name = self.event_header.as_ref();
        let value = name.and_then(|name| line.strip_prefix(name.as_str().as_bytes()));
        let value = value.and_then(|value| value.strip_prefix(b":"));
        let value = value.and_then(|value| std::str::from_utf8(value).ok());
        value.is_some_and(|value| value.trim().parse::<u64>().is_ok())
    }

    /// Ends the current block. Returns its event, or `None` if it consists of comments.
    fn end_block(&mut self) -> Result<Option<StreamEvent>, String> {
        let block = std::mem::take(&mut self.block);
        let Some(id) = block.id else {
            if block.has_data {
                return Err("an event has no id".to_owned());
            }
            if !block.has_lines {
                // A further blank line after an event belongs to none.
                self.skip_blank_lines();
            }
            return Ok(None);
        };
        let bytes = self.buffer.split_to(self.scanned).freeze();
        self.scanned = 0;
        self.line_start = 0;
        Ok(Some(StreamEvent { bytes, id }))
    }

    fn skip_blank_lines(&mut self) {
        let is_blank = |byte: &u8| matches!(byte, b'\r' | b'\n');
        if self.buffer[..self.scanned].iter().all(is_blank) {
            self.buffer.advance(self.scanned);
            self.scanned = 0;
            self.line_start = 0;
        }
    }

    /// Takes the comments that no event follows, at the end of the stream.
    pub fn take_comments(&mut self) -> Bytes {
        self.scanned = 0;
        self.line_start = 0;
        self.buffer.split().freeze()
    }

    /// Whether the stream is at a boundary between two events.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        !self.block.has_lines && self.line_start == self.buffer.len()
    }
}

fn find_line_feed(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
}
