//! Server-sent events: splitting a stream into whole events and checking them.
//!
//! Only whole events are passed on, so that an error event can follow at any time. The scan never returns to bytes
//! it has seen: a target that sends one endless event costs no more than its bytes.

use bytes::{Bytes, BytesMut};
use plantainmill_core::Problem;

/// Data of the last event of a model's stream.
const DONE: &[u8] = b"[DONE]";

/// The event that ends a stream that is not whole.
#[must_use]
pub fn error_event(problem: &Problem) -> Bytes {
    Bytes::from(format!("data: {}\n\n", problem.to_json()))
}

/// Splits a model's stream into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    /// Start of the line that is being read.
    line_start: usize,
    /// Bytes before it are scanned.
    scanned: usize,
    /// Data of the event that is being read.
    data: Vec<u8>,
    done: bool,
}

impl EventReader {
    /// Says whether the last event came.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Takes bytes and returns the whole events among those read so far, which may be none.
    ///
    /// # Errors
    ///
    /// Fails with the reason when an event is malformed or comes after the last one.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Bytes, String> {
        self.buffer.extend_from_slice(chunk);
        let mut whole = 0;
        while let Some(end) = self.next_line_end() {
            let is_blank = self.take_line(end);
            if is_blank {
                self.end_event()?;
                whole = self.line_start;
            }
        }
        let events = self.buffer.split_to(whole);
        self.line_start -= whole;
        self.scanned -= whole;
        Ok(events.freeze())
    }

    /// Position of the next line feed.
    fn next_line_end(&mut self) -> Option<usize> {
        let rest = &self.buffer[self.scanned..];
        let found = rest.iter().position(|byte| *byte == b'\n');
        let end = found.map(|offset| self.scanned + offset);
        self.scanned = end.map_or(self.buffer.len(), |end| end + 1);
        end
    }

    /// Takes the line that ends at `end` and says whether it is blank.
    fn take_line(&mut self, end: usize) -> bool {
        let line = &self.buffer[self.line_start..end];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        self.line_start = end + 1;
        if let Some(value) = line.strip_prefix(b"data:") {
            if !self.data.is_empty() {
                self.data.push(b'\n');
            }
            let value = value.strip_prefix(b" ").unwrap_or(value);
            self.data.extend_from_slice(value);
        }
        line.is_empty()
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
