//! Stored records of a job, and the tables, partitions and row keys that hold them.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use plantainmill_core::{Incarnation, ItemId, JobId, OrganisationId, PartId, VmId, encode_cbor};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of store partitions that jobs are spread over. A partition takes about 200 writes per second, so 16 of them
/// do not limit the throughput below that of the whole store.
pub const PARTITION_COUNT: u64 = 16;
/// Table of job heads; the row key is the job id.
pub const HEAD_TABLE: &str = "jobs";
/// Table of item and result rows, which have the job id as key prefix.
pub const ITEM_TABLE: &str = "job_items";

/// Returns the store partition that holds all rows of a job.
#[must_use]
pub fn partition_of(job: &str) -> CompactString {
    let hash = plantainmill_dispatch::rendezvous::key_of(job);
    format_compact!("{:02}", hash % PARTITION_COUNT)
}

pub(crate) fn all_partitions() -> impl Iterator<Item = CompactString> {
    (0..PARTITION_COUNT).map(|number| format_compact!("{number:02}"))
}

/// Key of the row that holds chunk `index` of the encoded items.
pub(crate) fn items_key(job: &str, index: usize) -> CompactString {
    format_compact!("{job}/i{index:04}")
}

/// Key of the row that holds chunk `index` of the encoded result at `position`.
pub(crate) fn result_key(job: &str, position: u64, index: usize) -> CompactString {
    format_compact!("{job}/r{position:08}.{index:02}")
}

/// Returns the key of a result row without its chunk number, which is the same for all rows of one result.
pub(crate) fn result_key_prefix(key: &str) -> &str {
    key.rsplit_once('.').map_or(key, |(position, _)| position)
}

/// Exclusive upper bound of the keys of a job's item and result rows.
pub(crate) fn job_keys_end(job: &str) -> CompactString {
    format_compact!("{job}/s")
}

/// The VM that runs a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobOwner {
    /// Id of the VM.
    pub vm: VmId,
    /// Incarnation of the VM; a restarted VM has another one and is another owner.
    pub incarnation: Incarnation,
}

/// Head record of a job. Every write that lists results replaces it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobHead {
    /// Organisation that the job belongs to.
    pub organisation: OrganisationId,
    /// Host name that the job was submitted to.
    pub host: CompactString,
    /// Name of the route that accepted the job.
    pub route: CompactString,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Time from acceptance until all results are due.
    pub completion: Duration,
    /// Time from acceptance after which unfinished items are given up.
    pub retention: Duration,
    /// Number of items in the job.
    pub total: u64,
    /// Sum of [`JobItem::tokens`] over the items that have no listed result.
    pub tokens_left: u64,
    /// Number of listed results, which is also the position of the next one.
    pub listed: u64,
    /// VM that runs the job. `None` after that VM released it at a graceful shutdown.
    pub owner: Option<JobOwner>,
    /// Whether the organisation ended the job before all its results were listed.
    pub ended: bool,
}

impl JobHead {
    /// Whether results may still be listed.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.ended && self.listed < self.total
    }
}

/// One request of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobItem {
    /// Id of the item, which is also the id of its request.
    pub id: ItemId,
    /// Path of the request.
    pub path: String,
    /// Headers of the request.
    pub headers: Vec<(CompactString, CompactString)>,
    /// Body of the request.
    pub body: Bytes,
    /// Parts of the prompt, in order.
    #[serde(default)]
    pub parts: Vec<PartId>,
    /// Prompt tokens plus the maximum number of output tokens.
    pub tokens: u64,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ItemState {
    /// The item has a complete response.
    Succeeded,
    /// The item cannot succeed, has used up its attempts, or was not finished in time.
    GivenUp,
}

/// A result of an item at a fixed position in the list of its job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedResult {
    /// Id of the item.
    pub item: ItemId,
    /// Final state of the item.
    pub state: ItemState,
    /// Data of all events of the response stream, separated by line feeds. Empty unless the item succeeded.
    pub output: String,
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    encode_cbor(value).into()
}

/// Decodes the value of a row. Logs a warning and returns `None` if it is malformed.
pub(crate) fn decode<T: for<'a> Deserialize<'a>>(content: &[u8]) -> Option<T> {
    match ciborium::from_reader(content) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::warn!(event = "row_malformed", %error, "a job row cannot be read");
            None
        }
    }
}

/// Whether `id` is valid as a job id, which becomes part of row keys.
pub(crate) fn is_job_id(id: &JobId) -> bool {
    plantainmill_core::id::is_valid_id(id)
}
