//! Adapts the heads of responses without a length to the HTTP client.
//!
//! The body of such a response is delimited by the close of its connection (RFC 9112, section 6.3). `awc` treats it as
//! empty if the response is HTTP/1.1, and reads it to the end if it is HTTP/1.0. The filter therefore changes the
//! version of such a head to HTTP/1.0 before `awc` parses it.

use bytes::{Buf as _, BytesMut};

/// Maximum size of a buffered head, far above what `awc` accepts.
const MAX_HEAD_BYTES: usize = 256 << 10;
/// Start of a status line, and the offset of the digit that differs in HTTP/1.0.
const HTTP_1_1: &[u8] = b"HTTP/1.1 ";
const MINOR_VERSION_OFFSET: usize = 7;

/// Buffers the head of a response until it is complete.
#[derive(Debug, Default)]
pub(crate) enum HeadFilter {
    /// No response is expected, or its body is arriving.
    #[default]
    PassThrough,
    /// A request was sent. Holds the bytes of the response so far and the offset of its last head.
    Buffering { buffered: BytesMut, start: usize },
    /// Buffered bytes that are to be returned to the reader.
    Flushing(BytesMut),
}

impl HeadFilter {
    /// Observes bytes written to the connection and returns whether a request starts with them. A request whose response may
    /// have a body starts the buffering of the response's head.
    pub fn observe_write(&mut self, written: &[u8]) -> bool {
        let is_start = matches!(self, HeadFilter::PassThrough) && starts_request(written);
        if is_start && !written.starts_with(b"HEAD ") {
            *self = HeadFilter::Buffering {
                buffered: BytesMut::new(),
                start: 0,
            };
        }
        is_start
    }

    /// Whether bytes that are read must be passed to [`HeadFilter::push`].
    pub fn is_buffering(&self) -> bool {
        matches!(self, HeadFilter::Buffering { .. })
    }

    /// Appends a chunk of the response.
    pub fn push(&mut self, chunk: &[u8]) {
        let HeadFilter::Buffering { buffered, start } = self else {
            return;
        };
        buffered.extend_from_slice(chunk);
        while let Some(length) = head_length(&buffered[*start..]) {
            let head = &mut buffered[*start..*start + length];
            if !is_interim(head) {
                if is_close_delimited(head) {
                    head[MINOR_VERSION_OFFSET] = b'0';
                }
                return self.release();
            }
            *start += length;
        }
        let last = &buffered[*start..];
        let compared = last.len().min(HTTP_1_1.len());
        if last[..compared] != HTTP_1_1[..compared] || buffered.len() > MAX_HEAD_BYTES {
            self.release();
        }
    }

    /// Releases the buffered bytes to the reader, even if the head is incomplete.
    pub fn release(&mut self) {
        if let HeadFilter::Buffering { buffered, .. } = self {
            *self = HeadFilter::Flushing(std::mem::take(buffered));
        }
    }

    /// Takes up to `limit` released bytes; `None` if there are none.
    pub fn take(&mut self, limit: usize) -> Option<BytesMut> {
        let HeadFilter::Flushing(buffered) = self else {
            return None;
        };
        let taken = buffered.split_to(limit.min(buffered.len()));
        if !buffered.has_remaining() {
            *self = HeadFilter::PassThrough;
        }
        (!taken.is_empty()).then_some(taken)
    }
}

/// Whether `written` starts with a request line.
fn starts_request(written: &[u8]) -> bool {
    let line = written.split(|byte| *byte == b'\r').next();
    line.is_some_and(|line| line.ends_with(b" HTTP/1.1"))
}

/// Length of the head at the start of `content`, including its terminating blank line. As in `awc`, lines may end with a
/// line feed only.
fn head_length(content: &[u8]) -> Option<usize> {
    if !content.starts_with(HTTP_1_1) {
        return None;
    }
    let mut start = 0;
    for line in content.split_inclusive(|byte| *byte == b'\n') {
        start += line.len();
        if matches!(line, b"\n" | b"\r\n") {
            return Some(start);
        }
    }
    None
}

/// Whether the head is an interim response such as 100 or 103, which another head follows.
fn is_interim(head: &[u8]) -> bool {
    head.get(HTTP_1_1.len()) == Some(&b'1')
}

fn is_close_delimited(head: &[u8]) -> bool {
    let status = head.get(HTTP_1_1.len()..HTTP_1_1.len() + 3);
    let has_body = !matches!(status, Some(b"204" | b"304"));
    let mut lines = head.split(|byte| *byte == b'\n').skip(1);
    let is_framed = lines.any(|line| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        name.eq_ignore_ascii_case(b"content-length")
            || name.eq_ignore_ascii_case(b"transfer-encoding")
    });
    has_body && !is_framed
}
