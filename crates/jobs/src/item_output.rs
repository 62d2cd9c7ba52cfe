//! The output of one item, as far as targets have sent it.

use plantainmill_proxy::relay::StreamEvent;

/// Largest output of an item in bytes, which one write to the store can list. A target that goes on beyond it has failed.
pub(crate) const MAX_OUTPUT_BYTES: usize = 512 << 10;

/// Why an event cannot be part of an output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EventRejection {
    /// The output would exceed [`MAX_OUTPUT_BYTES`].
    TooLarge,
    /// The data is no UTF-8, so that the text of a result cannot contain it.
    NoText,
}

/// Data of the events received so far, in order and separated by line feeds.
#[derive(Debug, Default)]
pub(crate) struct ItemOutput {
    text: String,
    last_event: Option<u64>,
    /// Length of `text` before the last event; `None` once that event has been discarded.
    last_start: Option<usize>,
}

impl ItemOutput {
    /// Last event in the output; `None` before the first one.
    pub fn last_event(&self) -> Option<u64> {
        self.last_event
    }

    /// Appends the event that follows the last one. A rejected event leaves the output as it is.
    pub fn append(&mut self, event: &StreamEvent) -> Result<(), EventRejection> {
        let data = String::from_utf8(event.data()).map_err(|_| EventRejection::NoText)?;
        let separator = if event.id > 1 { "\n" } else { "" };
        let start = self.text.len();
        if start + separator.len() + data.len() > MAX_OUTPUT_BYTES {
            return Err(EventRejection::TooLarge);
        }
        self.text.push_str(separator);
        self.text.push_str(&data);
        self.last_event = Some(event.id);
        self.last_start = Some(start);
        Ok(())
    }

    /// Discards the last event, so that a target has to send it again. Returns `false`, and changes nothing, if the event
    /// behind it was discarded before, or if no event would be left.
    pub fn discard_last_event(&mut self) -> bool {
        let previous = self.last_event.filter(|event| *event > 1);
        let (Some(event), Some(start)) = (previous, self.last_start) else {
            return false;
        };
        self.text.truncate(start);
        self.last_event = Some(event - 1);
        self.last_start = None;
        true
    }

    /// Discards all events.
    pub fn clear(&mut self) {
        *self = ItemOutput::default();
    }

    /// Takes the text of the output.
    pub fn take_text(&mut self) -> String {
        std::mem::take(self).text
    }
}
