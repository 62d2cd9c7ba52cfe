//! Bytes in a stream of numbered events that belong to none of them.

/// A block of a line that is no field of an event.
pub const FOREIGN_LINE: &str = "q7#x0f q7#x0f q7#x0f\n\n";
/// A block with a field that has no number.
pub const UNNUMBERED_DATA: &str = "data: q7#x0f\n\n";
/// The head of another response.
pub const OTHER_HEAD: &str = "HTTP/1.1 200 OK\ncontent-length: 0\n\n";
/// A line that the lines of the next event follow.
pub const JOINED_LINE: &str = "q7#x0f q7#x0f\n";
/// The third event, cut by another line.
pub const CUT_FIELDS: &str = "id: 3\ndata: pie\nq7#x0f\n\n";
/// Further blank lines.
pub const BLANK_LINES: &str = "\n\n";
