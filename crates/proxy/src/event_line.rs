//! The lines of which server-sent events consist.

/// Line of a stream of server-sent events, as the HTML standard defines their fields.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EventLine<'a> {
    /// Ends an event.
    Blank,
    Comment,
    /// Value of a `data` field.
    Data(&'a [u8]),
    /// Value of an `id` field.
    Id(&'a [u8]),
    /// An `event` or a `retry` field.
    Other,
    /// No line of an event. Clients ignore such lines, but a target that sends one is faulty.
    Foreign,
}

impl EventLine<'_> {
    /// Classifies `line`, which has no line feed at its end.
    pub fn parse(line: &[u8]) -> EventLine<'_> {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            return EventLine::Blank;
        }
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.unwrap_or(line.len()));
        let value = value.strip_prefix(b":").unwrap_or(value);
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match name {
            b"" => EventLine::Comment,
            b"data" => EventLine::Data(value),
            b"id" => EventLine::Id(value),
            b"event" | b"retry" => EventLine::Other,
            _ => EventLine::Foreign,
        }
    }
}
