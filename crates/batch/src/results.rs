//! Output and error files: assembled from the segments, in the order of the input lines.

use crate::files::{to_object, unknown_file};
use crate::items::ItemSet;
use crate::lines::check_line;
use crate::outcome::{item_cancelled, problem_line};
use crate::rows::{ChunkRow, FileRow, JobRow, JobState, PIECE_BYTES, SegmentEntry, input_name};
use crate::store::{JobStore, row_invalid};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use futures_util::stream::{LocalBoxStream, StreamExt as _, try_unfold};
use plantainmill_core::{JobId, Problem};
use plantainmill_schema::openai::FileObject;
use std::collections::BTreeMap;
use std::ops::Range;
use std::rc::Rc;

/// Kind of result file of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResultKind {
    /// Lines of completed items.
    Output,
    /// Lines of failed items, and of cancelled ones once the job is cancelled.
    Error,
}

/// A file opened for reading, whose content is read in parts: pieces of an upload or chunks of results.
pub struct ContentSource {
    /// The `OpenAI` file object; if the size is not known, `bytes` counts committed lines only.
    pub object: FileObject,
    /// Size in bytes; `None` for the error file of a cancelled job, whose lines are partly generated.
    pub size: Option<u64>,
    store: JobStore,
    parts: Rc<ContentParts>,
}

enum ContentParts {
    Upload {
        id: CompactString,
        sizes: Vec<u64>,
    },
    Results {
        job: JobId,
        row: Box<JobRow>,
        kind: ResultKind,
        chunks: BTreeMap<u32, ChunkRow>,
    },
}

/// Splits the id of an output or error file into job and kind; `None` for the id of an upload.
#[must_use]
pub fn parse_result_id(id: &str) -> Option<(JobId, ResultKind)> {
    let rest = id.strip_prefix("file-")?;
    let output = rest
        .strip_suffix("-output")
        .map(|job| (job, ResultKind::Output));
    let error = || {
        rest.strip_suffix("-error")
            .map(|job| (job, ResultKind::Error))
    };
    let (job, kind) = output.or_else(error)?;
    Some((JobId::from(job), kind))
}

impl JobStore {
    /// Opens an uploaded file, or the output or error file of a job, for reading.
    ///
    /// # Errors
    ///
    /// `UnknownFile`, or the problem of the store.
    pub async fn open_content(
        &self,
        organisation: &str,
        id: &str,
    ) -> Result<ContentSource, Problem> {
        match parse_result_id(id) {
            Some((job, kind)) => self.open_results(organisation, id, job, kind).await,
            None => self.open_upload(organisation, id).await,
        }
    }

    async fn open_upload(&self, organisation: &str, id: &str) -> Result<ContentSource, Problem> {
        let row = self.read_file(organisation, id).await?;
        let piece = PIECE_BYTES as u64;
        let count = row.bytes.div_ceil(piece);
        let sizes = (0..count).map(|index| piece.min(row.bytes - index * piece));
        let parts = ContentParts::Upload {
            id: CompactString::from(id),
            sizes: sizes.collect(),
        };
        Ok(self.source(to_object(id, &row), Some(row.bytes), parts))
    }

    async fn open_results(
        &self,
        organisation: &str,
        id: &str,
        job: JobId,
        kind: ResultKind,
    ) -> Result<ContentSource, Problem> {
        let found = self.read_job(&job).await?;
        let row = found.map(|(_, row)| row);
        let row = row.filter(|row| row.organisation == organisation);
        let row = row.ok_or_else(|| unknown_file(id))?;
        let chunks = self.read_chunks(&job).await?.into_iter();
        let chunks: BTreeMap<_, _> = chunks.map(|(chunk, (_, row))| (chunk, row)).collect();
        let segments = chunks.values().flat_map(|row| &row.segments);
        let bytes = segments.map(|segment| kind_bytes(segment, kind)).sum();
        let size_known = kind == ResultKind::Output || row.state != JobState::Cancelled;
        let object = to_object(id, &result_row(&job, &row, kind, bytes));
        let parts = ContentParts::Results {
            job,
            row: Box::new(row),
            kind,
            chunks,
        };
        Ok(self.source(object, size_known.then_some(bytes), parts))
    }

    fn source(&self, object: FileObject, size: Option<u64>, parts: ContentParts) -> ContentSource {
        ContentSource {
            object,
            size,
            store: self.clone(),
            parts: Rc::new(parts),
        }
    }

    /// Result lines of one chunk in item order.
    async fn chunk_lines(
        &self,
        job: &str,
        row: &JobRow,
        chunk: u32,
        chunk_row: Option<&ChunkRow>,
        kind: ResultKind,
    ) -> Result<Bytes, Problem> {
        let mut lines = BTreeMap::new();
        for segment in chunk_row.iter().flat_map(|chunk_row| &chunk_row.segments) {
            if kind_bytes(segment, kind) > 0 {
                let content = self.get_object(&segment.name).await?;
                split_segment(segment, kind, &content, &mut lines)?;
            }
        }
        if kind == ResultKind::Error && row.state == JobState::Cancelled {
            self.add_cancelled(job, row, chunk, chunk_row, &mut lines)
                .await?;
        }
        let mut content = BytesMut::new();
        for line in lines.values() {
            content.extend_from_slice(line);
        }
        Ok(content.freeze())
    }

    /// Adds lines for the items that had no result when the job was cancelled.
    async fn add_cancelled(
        &self,
        job: &str,
        row: &JobRow,
        chunk: u32,
        chunk_row: Option<&ChunkRow>,
        lines: &mut BTreeMap<usize, Bytes>,
    ) -> Result<(), Problem> {
        let finished = chunk_row.map(ChunkRow::finished).unwrap_or_default();
        if chunk_row.is_some_and(|chunk_row| chunk_row.done) {
            return Ok(());
        }
        let started = chunk_row
            .map(|chunk_row| chunk_row.started)
            .unwrap_or_default();
        let input = self.get_object(&input_name(job, &row.nonce, chunk)).await?;
        for (item, line) in input_lines(&input).enumerate() {
            if finished.contains(item) {
                continue;
            }
            let custom_id = check_line(line).map(|line| line.custom_id);
            let id = item_id(job, chunk, item);
            let problem = item_cancelled(started.contains(item));
            let result = problem_line(&id, &custom_id.unwrap_or_default(), &problem);
            lines.insert(item, result.line);
        }
        Ok(())
    }
}

/// Non-empty lines of a chunk's input object, without line feeds.
pub fn input_lines(content: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = content.split(|byte| *byte == b'\n');
    lines.filter(|line| !line.is_empty())
}

/// Id of an item's line in the output or error file.
#[must_use]
pub fn item_id(job: &str, chunk: u32, item: usize) -> String {
    format!("{job}-{chunk:05}-{item:03}")
}

fn kind_bytes(segment: &SegmentEntry, kind: ResultKind) -> u64 {
    match kind {
        ResultKind::Output => segment.output_bytes,
        ResultKind::Error => segment.error_bytes,
    }
}

/// Assigns the lines of the output or error half of a segment to their items.
fn split_segment(
    segment: &SegmentEntry,
    kind: ResultKind,
    content: &Bytes,
    lines: &mut BTreeMap<usize, Bytes>,
) -> Result<(), Problem> {
    let boundary = usize::try_from(segment.output_bytes).unwrap_or(usize::MAX);
    if content.len() as u64 != segment.output_bytes + segment.error_bytes {
        return Err(row_invalid(
            &segment.name,
            "the segment length differs from the chunk row",
        ));
    }
    let (half, items): (Bytes, ItemSet) = match kind {
        ResultKind::Output => (content.slice(..boundary), segment.completed),
        ResultKind::Error => (content.slice(boundary..), segment.failed),
    };
    let parts: Vec<_> = half.split_inclusive(|byte| *byte == b'\n').collect();
    if parts.len() != items.len() {
        return Err(row_invalid(
            &segment.name,
            "the number of lines in the segment differs from the chunk row",
        ));
    }
    let pairs = items.iter().zip(parts);
    lines.extend(pairs.map(|(item, line)| (item, half.slice_ref(line))));
    Ok(())
}

/// A file row that describes the output or error file of a job; it is not stored.
fn result_row(job: &str, row: &JobRow, kind: ResultKind, bytes: u64) -> FileRow {
    let suffix = match kind {
        ResultKind::Output => "output",
        ResultKind::Error => "error",
    };
    FileRow {
        organisation: row.organisation.clone(),
        filename: format!("{job}_{suffix}.jsonl"),
        purpose: "batch_output".to_owned(),
        bytes,
        created_at: row.created_at,
        expires_at: 0,
    }
}

impl ContentSource {
    fn part_count(&self) -> usize {
        match &*self.parts {
            ContentParts::Upload { sizes, .. } => sizes.len(),
            ContentParts::Results { row, .. } => usize::try_from(row.chunks).unwrap_or(0),
        }
    }

    /// Size of a part, if it is known without reading the part.
    fn part_size(&self, part: usize) -> Option<u64> {
        match &*self.parts {
            ContentParts::Upload { sizes, .. } => sizes.get(part).copied(),
            ContentParts::Results { kind, chunks, .. } => {
                self.size?;
                let chunk = u32::try_from(part).ok()?;
                let segments = chunks.get(&chunk).map(|row| row.segments.iter());
                let sizes = segments.into_iter().flatten();
                Some(sizes.map(|segment| kind_bytes(segment, *kind)).sum())
            }
        }
    }

    async fn read_part(&self, part: usize) -> Result<Bytes, Problem> {
        match &*self.parts {
            ContentParts::Upload { id, .. } => self.store.read_piece(id, part as u64).await,
            ContentParts::Results {
                job,
                row,
                kind,
                chunks,
            } => {
                let chunk = u32::try_from(part).unwrap_or(u32::MAX);
                let chunk_row = chunks.get(&chunk);
                self.store
                    .chunk_lines(job, row, chunk, chunk_row, *kind)
                    .await
            }
        }
    }

    /// Streams the bytes of `range`, read part by part. The stream ends early with an error if a read fails.
    #[must_use]
    pub fn stream(self, range: Range<u64>) -> LocalBoxStream<'static, Result<Bytes, Problem>> {
        let start = StreamState {
            source: self,
            part: 0,
            offset: 0,
            range,
        };
        try_unfold(start, StreamState::next).boxed_local()
    }
}

/// Position of a content stream.
struct StreamState {
    source: ContentSource,
    part: usize,
    /// Offset of `part` in the file, in bytes.
    offset: u64,
    range: Range<u64>,
}

impl StreamState {
    async fn next(mut self) -> Result<Option<(Bytes, StreamState)>, Problem> {
        while self.part < self.source.part_count() && self.offset < self.range.end {
            let part = self.part;
            let start = self.offset;
            self.part += 1;
            if let Some(size) = self.source.part_size(part)
                && (size == 0 || start + size <= self.range.start)
            {
                self.offset += size;
                continue;
            }
            let content = self.source.read_part(part).await?;
            self.offset += content.len() as u64;
            let from = self.range.start.saturating_sub(start);
            let until = (self.range.end - start).min(content.len() as u64);
            if from < until {
                let bounds = |bound: u64| usize::try_from(bound).unwrap_or(usize::MAX);
                let content = content.slice(bounds(from)..bounds(until));
                return Ok(Some((content, self)));
            }
        }
        Ok(None)
    }
}
