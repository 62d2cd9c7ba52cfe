//! Heads of answers that end early.

/// Where the head of an answer ends early.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeadCut {
    /// In the middle of the status line.
    InStatusLine,
    /// After the status line.
    StatusLine,
    /// In the middle of a header.
    InHeader,
    /// After the first header.
    Header,
    /// After the last header that says nothing of the length.
    BeforeLength,
    /// In the middle of the length, which then is that of a shorter body.
    InLength,
    /// After the last header, before the blank line.
    BeforeBlankLine,
    /// Before the last byte of the blank line.
    InBlankLine,
    /// After the last header, in a head whose lines end with a line feed only.
    LineFeeds,
    /// After a blank line that ends with a line feed only, in a head without a length.
    LineFeedEnd,
}

impl HeadCut {
    /// The bytes of `head` up to the cut. `head` ends with the header of the length and a blank line.
    pub(crate) fn cut(self, head: &str) -> String {
        let line_end = |from: usize| {
            head[from..]
                .find("\r\n")
                .map_or(head.len(), |end| from + end + 2)
        };
        let status_end = line_end(0);
        let headers_end = head.len() - 2;
        let length_start = head.rfind("content-length").unwrap_or(headers_end);
        let end = match self {
            HeadCut::InStatusLine => "HTTP/1.1 2".len(),
            HeadCut::StatusLine => status_end,
            HeadCut::InHeader => status_end + 4,
            HeadCut::Header => line_end(status_end),
            HeadCut::BeforeLength | HeadCut::LineFeedEnd => length_start,
            HeadCut::InLength => headers_end - 3,
            HeadCut::BeforeBlankLine | HeadCut::LineFeeds => headers_end,
            HeadCut::InBlankLine => headers_end + 1,
        };
        match self {
            HeadCut::LineFeeds => head[..end].replace('\r', ""),
            HeadCut::LineFeedEnd => head[..end].replace('\r', "") + "\n",
            _ => head[..end].to_owned(),
        }
    }
}
