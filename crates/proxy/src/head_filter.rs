//! Heads of answers that have no length.
//!
//! The body of such an answer ends with its connection (RFC 9112, section 6.3). `awc` takes it for empty if the answer
//! is HTTP/1.1, and reads it to the end if it is HTTP/1.0. So the version of such a head is lowered before `awc` sees it.

use bytes::{Buf as _, BytesMut};

/// Largest head that is held back, in bytes; far above what `awc` takes.
const HEAD_LIMIT: usize = 256 << 10;
/// Start of a status line, and the place of the digit in it that differs in HTTP/1.0.
const VERSION: &[u8] = b"HTTP/1.1 ";
const VERSION_DIGIT: usize = 7;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Holds back the head of an answer until it is whole.
#[derive(Debug, Default)]
pub(crate) enum HeadFilter {
    /// No answer is expected, or its body arrives.
    #[default]
    Passed,
    /// A request was sent. What has come of the answer, and where its last head starts.
    Expected { held: BytesMut, start: usize },
    /// The rest is passed on.
    Released(BytesMut),
}

impl HeadFilter {
    /// Takes what is written to the connection. A request starts the wait for a head.
    pub fn note_write(&mut self, written: &[u8]) {
        if matches!(self, HeadFilter::Passed) && starts_request(written) {
            *self = HeadFilter::Expected {
                held: BytesMut::new(),
                start: 0,
            };
        }
    }

    /// Whether what is read has to be given to [`HeadFilter::push`].
    pub fn is_expected(&self) -> bool {
        matches!(self, HeadFilter::Expected { .. })
    }

    /// Takes a part of the answer.
    pub fn push(&mut self, part: &[u8]) {
        let HeadFilter::Expected { held, start } = self else {
            return;
        };
        held.extend_from_slice(part);
        while let Some(length) = head_length(&held[*start..]) {
            let head = &mut held[*start..*start + length];
            if !is_interim(head) {
                if ends_with_connection(head) {
                    head[VERSION_DIGIT] = b'0';
                }
                return self.release();
            }
            *start += length;
        }
        let last = &held[*start..];
        let compared = last.len().min(VERSION.len());
        if last[..compared] != VERSION[..compared] || held.len() > HEAD_LIMIT {
            self.release();
        }
    }

    /// Passes on what is held, whole or not.
    pub fn release(&mut self) {
        if let HeadFilter::Expected { held, .. } = self {
            *self = HeadFilter::Released(std::mem::take(held));
        }
    }

    /// Gives up to `most` bytes of what is passed on; none when there are none.
    pub fn take(&mut self, most: usize) -> Option<BytesMut> {
        let HeadFilter::Released(held) = self else {
            return None;
        };
        let taken = held.split_to(most.min(held.len()));
        if !held.has_remaining() {
            *self = HeadFilter::Passed;
        }
        (!taken.is_empty()).then_some(taken)
    }
}

/// Whether `written` starts with the line of a request whose answer may have a body.
fn starts_request(written: &[u8]) -> bool {
    let line = written.split(|byte| *byte == b'\r').next();
    line.is_some_and(|line| line.ends_with(b" HTTP/1.1") && !line.starts_with(b"HEAD "))
}

/// Length of the head at the start of `content`, with its end.
fn head_length(content: &[u8]) -> Option<usize> {
    if !content.starts_with(VERSION) {
        return None;
    }
    let end = content
        .windows(HEAD_END.len())
        .position(|bytes| bytes == HEAD_END)?;
    Some(end + HEAD_END.len())
}

/// An answer that another one follows, such as 100 or 103.
fn is_interim(head: &[u8]) -> bool {
    head.get(VERSION.len()) == Some(&b'1')
}

fn ends_with_connection(head: &[u8]) -> bool {
    let status = head.get(VERSION.len()..VERSION.len() + 3);
    let has_body = !matches!(status, Some(b"204" | b"304"));
    let mut lines = head.split(|byte| *byte == b'\n').skip(1);
    let is_framed = lines.any(|line| {
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        name.eq_ignore_ascii_case(b"content-length")
            || name.eq_ignore_ascii_case(b"transfer-encoding")
    });
    has_body && !is_framed
}
