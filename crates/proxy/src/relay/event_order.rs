//! Reads the events of a response in order.

use super::events::{EventSplitter, StreamEvent};
use super::exchange::SendFailure;

/// Reads the events that `chunk` completes, which continue after `last_event`, and advances it.
///
/// # Errors
///
/// Fails if the stream is not valid. `last_event` is unchanged then.
pub fn read_events(
    splitter: &mut EventSplitter,
    chunk: &[u8],
    last_event: &mut Option<u64>,
) -> Result<Vec<StreamEvent>, SendFailure> {
    let invalid = |reason: String| SendFailure::invalid_stream(&reason);
    let events = splitter.push(chunk).map_err(invalid)?;
    check_order(&events, last_event).map_err(invalid)?;
    Ok(events)
}

/// Checks that `events` continue after `last_event` without gaps or duplicates, and advances it. The first event of a
/// stream has the id 1. On an error `last_event` is unchanged.
///
/// # Errors
///
/// Returns the reason if an event is missing or duplicated.
pub fn check_order(events: &[StreamEvent], last_event: &mut Option<u64>) -> Result<(), String> {
    let mut last_id = last_event.unwrap_or(0);
    for event in events {
        if event.id != last_id + 1 {
            return Err(format!("event {} came after event {last_id}", event.id));
        }
        last_id = event.id;
    }
    if !events.is_empty() {
        *last_event = Some(last_id);
    }
    Ok(())
}
