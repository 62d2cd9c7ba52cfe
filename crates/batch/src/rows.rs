//! Table rows with their keys, and object names.

use crate::items::ItemSet;
use compact_str::{CompactString, format_compact};
use plantainmill_core::{Incarnation, JobId, OrganisationId, VmId};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::collections::BTreeMap;

/// Size of each piece of an uploaded file except the last, in bytes.
pub const PIECE_BYTES: usize = 1024 * 1024;

/// Row of a completely uploaded file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FileRow {
    /// Organisation that owns the file.
    pub organisation: OrganisationId,
    /// File name given by the client.
    pub filename: String,
    /// Purpose given by the client.
    pub purpose: String,
    /// Size of the file in bytes.
    pub bytes: u64,
    /// Completion of the upload in Unix seconds.
    pub created_at: u64,
    /// Time in Unix seconds after which the file may be deleted.
    pub expires_at: u64,
}

/// Stored state of a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Chunks may be claimed and committed.
    Running,
    /// All items are finished.
    Completed,
    /// Cancelled; its chunk rows no longer change.
    Cancelled,
}

/// Row of a job. It changes only when the job is cancelled or finished, because every chunk commit expects its
/// revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobRow {
    /// Organisation that owns the job.
    pub organisation: OrganisationId,
    /// Current state; only `Running` changes.
    pub state: JobState,
    /// Random part of the object names, so that concurrent attempts to create the job do not overwrite each other's
    /// objects.
    pub nonce: CompactString,
    /// Hash of the request body that created the job, to detect a reused idempotency key.
    pub body_hash: CompactString,
    /// Id of the input file.
    pub input_file_id: CompactString,
    /// Endpoint given at creation.
    pub endpoint: CompactString,
    /// Completion window given at creation, or the default one.
    pub completion_window: CompactString,
    /// Metadata given by the client.
    pub metadata: Map<String, Value>,
    /// Total number of items.
    pub items: u64,
    /// Total number of chunks.
    pub chunks: u32,
    /// Creation time in Unix seconds.
    pub created_at: u64,
    /// Due time in Unix seconds.
    pub due_at: u64,
    /// Time in Unix seconds at which the job was completed or cancelled; `None` while it runs.
    pub ended_at: Option<u64>,
    /// Finished items and charges when the job ended. For a cancelled job they may miss commits that raced the cancel.
    pub counts: ItemCounts,
}

/// Numbers of finished and of charged items.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ItemCounts {
    /// Items with a successful response.
    pub completed: u64,
    /// Items without one.
    pub failed: u64,
    /// Items charged to the organisation.
    pub charges: u64,
}

impl ItemCounts {
    /// Adds two counts field by field.
    #[must_use]
    pub fn plus(self, other: ItemCounts) -> ItemCounts {
        ItemCounts {
            completed: self.completed + other.completed,
            failed: self.failed + other.failed,
            charges: self.charges + other.charges,
        }
    }
}

/// A VM in one incarnation, as the holder of leases.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct HolderId {
    /// Id of the VM.
    pub vm: VmId,
    /// Incarnation of the VM; a restart ends the leases of earlier ones.
    pub incarnation: Incarnation,
}

/// Entry of a segment object, which holds the lines of completed items, then those of failed ones, each in item order.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct SegmentEntry {
    /// Name of the segment object.
    pub name: CompactString,
    /// Items with a successful response.
    pub completed: ItemSet,
    /// Items without one.
    pub failed: ItemSet,
    /// Bytes of the lines of completed items, at the start of the object.
    pub output_bytes: u64,
    /// Bytes of the lines of failed items, behind those.
    pub error_bytes: u64,
}

impl SegmentEntry {
    /// Items whose result is in the segment.
    #[must_use]
    pub fn items(&self) -> ItemSet {
        self.completed.union(self.failed)
    }
}

/// Row of a chunk; the first claim creates it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ChunkRow {
    /// Fencing epoch, incremented by every claim.
    pub epoch: u64,
    /// Incremented by every write; with epoch and holder it identifies a write whose response was lost.
    pub sequence: u64,
    /// Holder that last wrote the row.
    pub holder: HolderId,
    /// Whether the last writer still holds the chunk.
    pub held: bool,
    /// Whether all items are finished; the row then no longer changes.
    pub done: bool,
    /// Items of non-repeatable services whose start was recorded before they were sent.
    pub started: ItemSet,
    /// Number of failed attempts by item.
    pub attempts: BTreeMap<u16, u32>,
    /// Committed segments, oldest first.
    pub segments: Vec<SegmentEntry>,
    /// Items charged to the organisation.
    pub charges: u64,
}

impl ChunkRow {
    /// The row as a claim by `holder` writes it; `observed` is the existing row, if any.
    #[must_use]
    pub fn claimed(observed: Option<&ChunkRow>, holder: &HolderId) -> ChunkRow {
        let mut row = observed.cloned().unwrap_or_else(|| ChunkRow {
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

    /// Items whose result is committed.
    #[must_use]
    pub fn finished(&self) -> ItemSet {
        let segments = self.segments.iter();
        segments.fold(ItemSet::default(), |set, segment| {
            set.union(segment.items())
        })
    }

    /// Numbers of finished items and charges of the chunk.
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

    /// Whether both rows were written by the same write.
    #[must_use]
    pub fn same_write(&self, other: &ChunkRow) -> bool {
        self.epoch == other.epoch && self.sequence == other.sequence && self.holder == other.holder
    }
}

/// Row of a running job; the keys order these rows by due time.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OpenRow {
    /// Id of the job.
    pub job: JobId,
    /// Organisation that owns the job.
    pub organisation: OrganisationId,
    /// Total number of items.
    pub items: u64,
    /// Creation time in Unix seconds.
    pub created_at: u64,
    /// Due time in Unix seconds.
    pub due_at: u64,
}

/// Heartbeat row of a VM that holds chunks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRow {
    /// Incarnation of the VM.
    pub incarnation: Incarnation,
    /// Heartbeat counter, incremented by every write of the row.
    pub beat: u64,
    /// Time of the last write in Unix seconds; only used to delete old rows.
    pub written_at: u64,
}

/// Key of a [`FileRow`].
#[must_use]
pub fn file_key(file: &str) -> CompactString {
    format_compact!("file/{file}")
}

/// Object name of a piece, counted from 0, of an uploaded file.
#[must_use]
pub fn piece_name(file: &str, piece: u64) -> CompactString {
    format_compact!("file/{file}/{piece:06}")
}

/// Key of a [`JobRow`].
#[must_use]
pub fn job_key(job: &str) -> CompactString {
    format_compact!("job/{job}")
}

/// Key of a [`ChunkRow`].
#[must_use]
pub fn chunk_key(job: &str, chunk: u32) -> CompactString {
    format_compact!("chunk/{job}/{chunk:05}")
}

/// Exclusive upper bound of the keys that start with `prefix`, which ends in `/`; `0` is the next character after `/`.
#[must_use]
pub fn prefix_end(prefix: &str) -> CompactString {
    format_compact!("{}0", prefix.trim_end_matches('/'))
}

/// Key of an [`OpenRow`], in the order of due times.
#[must_use]
pub fn open_key(due_at: u64, job: &str) -> CompactString {
    format_compact!("open/{due_at:012}/{job}")
}

/// Key in an organisation's list of jobs. The time is inverted so that the newest job sorts first.
#[must_use]
pub fn listing_key(organisation: &str, created_at: u64, job: &str) -> CompactString {
    let inverted_time = 999_999_999_999_u64.saturating_sub(created_at);
    format_compact!("jobs/{organisation}/{inverted_time:012}/{job}")
}

/// Key in the log of cancelled jobs, in the order of time.
#[must_use]
pub fn cancel_key(cancelled_at: u64, job: &str) -> CompactString {
    format_compact!("cancel/{cancelled_at:012}/{job}")
}

/// Key of an expiry row, by which a sweep deletes `id` after `expires_at`.
#[must_use]
pub fn expiry_key(expires_at: u64, kind: &str, id: &str) -> CompactString {
    format_compact!("expire/{expires_at:012}/{kind}/{id}")
}

/// Key of a [`HolderRow`].
#[must_use]
pub fn holder_key(vm: &str) -> CompactString {
    format_compact!("holder/{vm}")
}

/// Name of the object with the input lines of a chunk.
#[must_use]
pub fn input_name(job: &str, nonce: &str, chunk: u32) -> CompactString {
    format_compact!("batch/{job}/{nonce}/input/{chunk:05}")
}

/// Name of a segment object. Epoch, sequence and VM make it unique, so that no holder overwrites another's segment.
#[must_use]
pub fn segment_name(job: &str, nonce: &str, chunk: u32, row: &ChunkRow) -> CompactString {
    let vm = &row.holder.vm;
    let (epoch, sequence) = (row.epoch, row.sequence);
    format_compact!("batch/{job}/{nonce}/result/{chunk:05}/{epoch}-{sequence}-{vm}")
}

/// Id of the output file of a job.
#[must_use]
pub fn output_file_id(job: &str) -> CompactString {
    format_compact!("file-{job}-output")
}

/// Id of the error file of a job.
#[must_use]
pub fn error_file_id(job: &str) -> CompactString {
    format_compact!("file-{job}-error")
}
