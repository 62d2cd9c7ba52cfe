//! Reading and validating the lines of an input file.

use crate::rows::{FileRow, PIECE_BYTES, piece_name};
use crate::store::JobStore;
use bytes::{Buf as _, Bytes, BytesMut};
use plantainmill_core::{Problem, ResultCode};
use plantainmill_schema::openai::BatchLine;
use xxhash_rust::xxh3::xxh3_128;

/// Longest line of an input file, in bytes, without its line feed.
pub const LINE_LIMIT_BYTES: usize = 1024 * 1024;
/// Invalid lines that an error message lists; further ones are only counted.
pub const MAX_REPORTED_LINES: usize = 50;
/// Longest `custom_id`, in bytes.
const CUSTOM_ID_LIMIT_BYTES: usize = 512;
/// Bits of the filter for repeated ids. With 370,000 items and 4 probes, about one id in 300,000 is a false positive.
const FILTER_BITS: u128 = 1 << 25;
/// Probes per id. Each uses 32 bits of a 128-bit hash.
const FILTER_PROBES: u32 = 4;

/// URLs of items that call a model.
pub const MODEL_ROUTES: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// Reads a file line by line, one piece at a time.
pub struct LineReader<'a> {
    store: &'a JobStore,
    file: FilePieces,
    next_piece: u64,
    buffer: BytesMut,
    /// Number of the last line read, from 1.
    pub line: u64,
}

/// Id of a file and number of its pieces.
struct FilePieces {
    id: String,
    pieces: u64,
}

impl<'a> LineReader<'a> {
    /// Creates a reader at the start of the file.
    #[must_use]
    pub fn new(store: &'a JobStore, id: &str, file: &FileRow) -> LineReader<'a> {
        LineReader {
            store,
            file: FilePieces {
                id: id.to_owned(),
                pieces: file.bytes.div_ceil(PIECE_BYTES as u64),
            },
            next_piece: 0,
            buffer: BytesMut::new(),
            line: 0,
        }
    }

    /// Reads the next line that is not blank, without its line feed; `None` at the end of the file.
    ///
    /// # Errors
    ///
    /// `FileInvalid` if the line is longer than [`LINE_LIMIT_BYTES`], else the problem of the store.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Problem> {
        loop {
            let Some(line) = self.next_raw().await? else {
                return Ok(None);
            };
            self.line += 1;
            if !line.iter().all(u8::is_ascii_whitespace) {
                return Ok(Some(line));
            }
        }
    }

    async fn next_raw(&mut self) -> Result<Option<Bytes>, Problem> {
        let mut searched = 0;
        loop {
            let rest = &self.buffer[searched..];
            if let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(searched + end).freeze();
                self.buffer.advance(1);
                return Ok(Some(line));
            }
            searched = self.buffer.len();
            if searched > LINE_LIMIT_BYTES {
                return Err(self.too_long());
            }
            if self.next_piece == self.file.pieces {
                let rest = self.buffer.split().freeze();
                return Ok((!rest.is_empty()).then_some(rest));
            }
            let name = piece_name(&self.file.id, self.next_piece);
            let piece = self.store.get_object(&name).await?;
            self.buffer.extend_from_slice(&piece);
            self.next_piece += 1;
        }
    }

    fn too_long(&self) -> Problem {
        let reason = format!("the line is longer than {LINE_LIMIT_BYTES} bytes");
        let field = format!("line {}", self.line + 1);
        Problem::new(ResultCode::FileInvalid, reason).with_field(field)
    }
}

/// Parses and validates one line.
///
/// # Errors
///
/// The reason why the line is invalid.
pub fn check_line(line: &[u8]) -> Result<BatchLine, String> {
    if line.len() > LINE_LIMIT_BYTES {
        return Err(format!("longer than {LINE_LIMIT_BYTES} bytes"));
    }
    let parsed: BatchLine = serde_json::from_slice(line).map_err(|error| error.to_string())?;
    if parsed.custom_id.is_empty() || parsed.custom_id.len() > CUSTOM_ID_LIMIT_BYTES {
        return Err(format!(
            "custom_id must have 1 to {CUSTOM_ID_LIMIT_BYTES} bytes"
        ));
    }
    if parsed.method != "POST" {
        return Err("method must be POST".to_owned());
    }
    let Some(route) = ItemRoute::parse(&parsed.url) else {
        return Err("url must be a model route or /services/{service}/{path}".to_owned());
    };
    if route == ItemRoute::Model
        && !parsed
            .body
            .get("model")
            .is_some_and(serde_json::Value::is_string)
    {
        return Err("body.model is missing or not a string".to_owned());
    }
    Ok(parsed)
}

/// Destination of an item.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ItemRoute<'a> {
    /// One of [`MODEL_ROUTES`]; `body.model` names the service.
    Model,
    /// A plain service, called by `/services/{service}/{path}`.
    Service {
        /// Id of the service.
        service: &'a str,
        /// Path and query to call at the target, with the leading slash.
        path: &'a str,
    },
}

impl<'a> ItemRoute<'a> {
    /// Parses the `url` of an item or the `endpoint` of a batch; `None` if it is neither form.
    #[must_use]
    pub fn parse(url: &'a str) -> Option<ItemRoute<'a>> {
        if MODEL_ROUTES.contains(&url) {
            return Some(ItemRoute::Model);
        }
        let rest = url.strip_prefix("/services/")?;
        let split = rest.find('/')?;
        let (service, path) = rest.split_at(split);
        let valid = plantainmill_core::id::is_valid_id(service)
            && path.bytes().all(|byte| byte.is_ascii_graphic());
        valid.then_some(ItemRoute::Service { service, path })
    }
}

/// Invalid lines of a file: the reasons for the first ones found, and the total count.
#[derive(Debug, Default)]
pub struct InvalidLines {
    reported: Vec<(u64, String)>,
    count: u64,
}

impl InvalidLines {
    /// Records line `line` as invalid; only the first [`MAX_REPORTED_LINES`] reasons are kept.
    pub fn add(&mut self, line: u64, reason: String) {
        self.count += 1;
        if self.reported.len() < MAX_REPORTED_LINES {
            self.reported.push((line, reason));
        }
    }

    /// The `FileInvalid` problem, if any line was invalid.
    #[must_use]
    pub fn problem(mut self) -> Option<Problem> {
        if self.count == 0 {
            return None;
        }
        self.reported.sort_by_key(|(line, _)| *line);
        let reported = self.reported.iter();
        let reported: Vec<_> = reported
            .map(|(line, reason)| format!("line {line}: {reason}"))
            .collect();
        let first = self.reported.first().map_or(0, |(line, _)| *line);
        let reason = format!("{} invalid lines: {}", self.count, reported.join("; "));
        let problem = Problem::new(ResultCode::FileInvalid, reason);
        Some(problem.with_field(format!("line {first}")))
    }
}

/// A Bloom filter of fixed size that detects ids which may be repeated.
pub struct IdFilter {
    words: Vec<u64>,
}

impl Default for IdFilter {
    fn default() -> IdFilter {
        let words = usize::try_from(FILTER_BITS / 64).unwrap_or(0);
        IdFilter {
            words: vec![0; words],
        }
    }
}

impl IdFilter {
    /// Adds an id. Returns true if it may have been added before, false if it certainly was not.
    pub fn insert(&mut self, id: &str) -> bool {
        let hash = xxh3_128(id.as_bytes());
        let mut seen = true;
        for probe in 0..FILTER_PROBES {
            let bit = (hash >> (probe * 32)) % FILTER_BITS;
            let word = usize::try_from(bit / 64).unwrap_or(0);
            let mask = 1_u64 << (bit % 64);
            seen &= self.words[word] & mask != 0;
            self.words[word] |= mask;
        }
        seen
    }
}
