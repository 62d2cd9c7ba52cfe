//! Splits streams of server-sent events into complete events and validates them.
//!
//! Only complete events are passed on, so that an error event can follow at any point. The scan never revisits bytes,
//! so the cost stays linear even if a target sends one endless event.

use crate::event_line::EventLine;
use bytes::{Bytes, BytesMut};
use plantainmill_core::Problem;

/// Data of the event that terminates a model's stream.
const DONE: &[u8] = b"[DONE]";

/// Event that reports `problem` at the end of an incomplete stream.
#[must_use]
pub fn error_event(problem: &Problem) -> Bytes {
    Bytes::from(format!("data: {}\n\n", problem.to_json()))
}

/// Splits a model's stream into events and checks that each is JSON, that none follows `[DONE]`, and that all lines belong to
/// events or comments.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    /// Start of the current line in `buffer`.
    line_start: usize,
    /// Bytes before this offset have been scanned.
    scanned: usize,
    /// Data of the current event.
    data: Vec<u8>,
    done: bool,
}

impl EventReader {
    /// Whether the terminating `[DONE]` event was read.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Whether the terminating event was read and nothing incomplete follows it.
    #[must_use]
    pub fn is_at_end(&self) -> bool {
        self.done && self.buffer.is_empty()
    }

    /// Appends `chunk` and returns the events that are complete now; empty if there are none.
    ///
    /// # Errors
    ///
    /// Returns the reason if an event is malformed or follows the terminating event, or if a line is no field of an event.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Bytes, String> {
        self.buffer.extend_from_slice(chunk);
        let mut complete_end = 0;
        while let Some(end) = self.next_line_end() {
            let is_blank = self.take_line(end)?;
            if is_blank {
                self.end_event()?;
                complete_end = self.line_start;
            }
        }
        let events = self.buffer.split_to(complete_end);
        self.line_start -= complete_end;
        self.scanned -= complete_end;
        Ok(events.freeze())
    }

    /// Offset of the next line feed.
    fn next_line_end(&mut self) -> Option<usize> {
        let rest = &self.buffer[self.scanned..];
        let found = rest.iter().position(|byte| *byte == b'\n');
        let end = found.map(|offset| self.scanned + offset);
        self.scanned = end.map_or(self.buffer.len(), |end| end + 1);
        end
    }

    /// Consumes the line that ends at `end` and returns whether it is blank.
    fn take_line(&mut self, end: usize) -> Result<bool, String> {
        let line = &self.buffer[self.line_start..end];
        self.line_start = end + 1;
        match EventLine::parse(line) {
            EventLine::Blank => return Ok(true),
            EventLine::Foreign => return Err("a line is no field of an event".to_owned()),
            EventLine::Data(value) => {
                if !self.data.is_empty() {
                    self.data.push(b'\n');
                }
                self.data.extend_from_slice(value);
            }
            EventLine::Comment | EventLine::Id(_) | EventLine::Other => {}
        }
        Ok(false)
    }

    fn end_event(&mut self) -> Result<(), String> {
        let data = std::mem::take(&mut self.data);
        if data.is_empty() {
            return Ok(());
        }
        if self.done {
            return Err("an event came after the last one".to_owned());
        }
        if data == DONE {
            self.done = true;
            return Ok(());
        }
        let parsed = serde_json::from_slice::<serde::de::IgnoredAny>(&data);
        parsed.map(drop).map_err(|error| format!("event: {error}"))
    }
}
