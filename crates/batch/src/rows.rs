//! Rows of the table and names of the objects.

use crate::items::ItemSet;
use compact_str::{CompactString, format_compact};
use plantainmill_core::{Incarnation, JobId, OrganisationId, VmId};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Size of each object of an uploaded file but the last, in bytes.
pub const PIECE_BYTES: usize = 1024 * 1024;

/// Row of an uploaded file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FileRow {
    /// Owner.
    pub organisation: OrganisationId,
    /// Name given by the client.
    pub filename: String,
    /// Purpose given by the client.
    pub purpose: String,
    /// Size in bytes.
    pub bytes: u64,
    /// Unix seconds.
    pub created_at: u64,
    /// Unix seconds after which the file may be deleted.
    pub expires_at: u64,
}

/// State of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Chunks may be claimed and committed.
    Running,
    /// All items are finished.
    Completed,
    /// Cancelled; no chunk row changes any more.
    Cancelled,
}

/// Row of a job. It changes only when the job is cancelled or finished, because every chunk commit expects its
/// revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRow {
    /// Owner.
    pub organisation: OrganisationId,
    /// State.
    pub state: JobState,
    /// Random part of the object names, so that racing creates never overwrite each other's objects.
    pub nonce: CompactString,
    /// Hash of the body that created the job.
    pub body_hash: CompactString,
    /// Input file.
    pub input_file_id: CompactString,
    /// Route given at creation.
    pub endpoint: CompactString,
    /// Window given at creation.
    pub completion_window: CompactString,
    /// Metadata of the client.
    pub metadata: Map<String, Value>,
    /// Items in all.
    pub items: u64,
    /// Chunks in all.
    pub chunks: u32,
    /// Unix seconds.
    pub created_at: u64,
    /// Unix seconds.
    pub due_at: u64,
    /// Unix seconds when it was completed or cancelled.
    pub ended_at: Option<u64>,
    /// Finished items when the job ended.
    pub counts: ItemCounts,
}

/// Finished items and charges.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ItemCounts {
    /// Items with an answer.
    pub completed: u64,
    /// Items that failed.
    pub failed: u64,
    /// Items charged to the organisation.
    pub charges: u64,
}

impl ItemCounts {
    /// Sums two counts.
    #[must_use]
    pub fn plus(self, other: ItemCounts) -> ItemCounts {
        ItemCounts {
            completed: self.completed + other.completed,
            failed: self.failed + other.failed,
            charges: self.charges + other.charges,
        }
    }
}

/// Start of a VM that holds a lease.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HolderId {
    /// VM.
    pub vm: VmId,
    /// Its start.
    pub incarnation: Incarnation,
}

/// One segment object: lines of completed items, then lines of failed ones, both in item order.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SegmentEntry {
    /// Name of the object.
    pub name: CompactString,
    /// Items with an answer.
    pub completed: ItemSet,
    /// Items that failed.
    pub failed: ItemSet,
    /// Bytes of the lines of completed items.
    pub output_bytes: u64,
    /// Bytes of the lines of failed items.
    pub error_bytes: u64,
}

impl SegmentEntry {
    /// Items that the segment finishes.
    #[must_use]
    pub fn items(&self) -> ItemSet {
        self.completed.union(self.failed)
    }
}

/// Row of a chunk. It is created by the first claim.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ChunkRow {
    /// Raised by every claim.
    pub epoch: u64,
    /// Raised by every write; with epoch and holder it identifies a write whose answer was lost.
    pub sequence: u64,
    /// Last writer.
    pub holder: HolderId,
    /// The last writer still holds the chunk.
    pub held: bool,
    /// All items are finished; the row changes no more.
    pub done: bool,
    /// Items of services that may not be repeated whose run was announced.
    pub started: ItemSet,
    /// Attempts that items have lost.
    pub attempts: BTreeMap<u16, u32>,
    /// Committed segments.
    pub segments: Vec<SegmentEntry>,
    /// Items charged.
    pub charges: u64,
}

impl ChunkRow {
    /// The row after a claim by `holder`.
    #[must_use]
    pub fn claimed(seen: Option<&ChunkRow>, holder: &HolderId) -> ChunkRow {
        let mut row = seen.cloned().unwrap_or_else(|| ChunkRow {
            epoch: 0,
            sequence: 0,
            holder: holder.clone(),
            held: true,
            done: false,
            started: ItemSet::default(),
            attempts: BTreeMap::new(),
            segments: Vec::new(),
            charges: 0,
        });
        row.epoch += 1;
        row.sequence += 1;
        row.holder = holder.clone();
        row.held = true;
        row
    }

    /// Finished items.
    #[must_use]
    pub fn finished(&self) -> ItemSet {
        let segments = self.segments.iter();
        segments.fold(ItemSet::default(), |set, segment| {
            set.union(segment.items())
        })
    }

    /// Finished items and charges.
    #[must_use]
    pub fn counts(&self) -> ItemCounts {
        let sum = |count: fn(&SegmentEntry) -> usize| -> u64 {
            self.segments.iter().map(|each| count(each) as u64).sum()
        };
        ItemCounts {
            completed: sum(|segment| segment.completed.len()),
            failed: sum(|segment| segment.failed.len()),
            charges: self.charges,
        }
    }

    /// Whether both rows come from the same write.
    #[must_use]
    pub fn same_write(&self, other: &ChunkRow) -> bool {
        self.epoch == other.epoch && self.sequence == other.sequence && self.holder == other.holder
    }
}

/// Row of a job that is not finished, in the order of due times.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OpenRow {
    /// Job.
    pub job: JobId,
    /// Owner.
    pub organisation: OrganisationId,
    /// Items in all.
    pub items: u64,
    /// Unix seconds.
    pub created_at: u64,
    /// Unix seconds.
    pub due_at: u64,
}

/// Row of a VM that holds chunks. Every write of the VM raises `beat`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRow {
    /// Start of the VM.
    pub incarnation: Incarnation,
    /// Writes so far.
    pub beat: u64,
    /// Unix seconds of the last write, for the removal of old rows only.
    pub written_at: u64,
}

/// Key of a file row.
#[must_use]
pub fn file_key(file: &str) -> CompactString {
    format_compact!("file/{file}")
}

/// Name of a piece of an uploaded file.
#[must_use]
pub fn piece_name(file: &str, piece: u64) -> CompactString {
    format_compact!("file/{file}/{piece:06}")
}

/// Key of a job row.
#[must_use]
pub fn job_key(job: &str) -> CompactString {
    format_compact!("job/{job}")
}

/// Key of a chunk row.
#[must_use]
pub fn chunk_key(job: &str, chunk: u32) -> CompactString {
    format_compact!("chunk/{job}/{chunk:05}")
}

/// Bounds of the keys that start with `prefix`, which ends in `/`; `0` is the character after it.
#[must_use]
pub fn prefix_end(prefix: &str) -> CompactString {
    format_compact!("{}0", prefix.trim_end_matches('/'))
}

/// Key in the list of unfinished jobs.
#[must_use]
pub fn open_key(due_at: u64, job: &str) -> CompactString {
    format_compact!("open/{due_at:012}/{job}")
}

/// Key in an organisation's list of jobs, newest first.
#[must_use]
pub fn listing_key(organisation: &str, created_at: u64, job: &str) -> CompactString {
    let age = 999_999_999_999_u64.saturating_sub(created_at);
    format_compact!("jobs/{organisation}/{age:012}/{job}")
}

/// Key in the log of cancelled jobs.
#[must_use]
pub fn cancel_key(cancelled_at: u64, job: &str) -> CompactString {
    format_compact!("cancel/{cancelled_at:012}/{job}")
}

/// Key in the list of things to delete.
#[must_use]
pub fn expiry_key(expires_at: u64, kind: &str, id: &str) -> CompactString {
    format_compact!("expire/{expires_at:012}/{kind}/{id}")
}

/// Key of a holder row.
#[must_use]
pub fn holder_key(vm: &str) -> CompactString {
    format_compact!("holder/{vm}")
}

/// Name of a chunk's input object.
#[must_use]
pub fn input_name(job: &str, nonce: &str, chunk: u32) -> CompactString {
    format_compact!("batch/{job}/{nonce}/input/{chunk:05}")
}

/// Name of a segment object. Epoch and sequence make it unique, so a holder never overwrites another's segment.
#[must_use]
pub fn segment_name(job: &str, nonce: &str, chunk: u32, row: &ChunkRow) -> CompactString {
    let vm = &row.holder.vm;
    let (epoch, sequence) = (row.epoch, row.sequence);
    format_compact!("batch/{job}/{nonce}/result/{chunk:05}/{epoch}-{sequence}-{vm}")
}

/// Identifier of the file with the answers of a job.
#[must_use]
pub fn output_file_id(job: &str) -> CompactString {
    format_compact!("file-{job}-output")
}

/// Identifier of the file with the failures of a job.
#[must_use]
pub fn error_file_id(job: &str) -> CompactString {
    format_compact!("file-{job}-error")
}
