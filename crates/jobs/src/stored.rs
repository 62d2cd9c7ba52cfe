//! What is kept of a job in the platform's rows.

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use plantainmill_core::{Incarnation, ItemId, JobId, OrganisationId, VmId, encode_cbor};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Parts that jobs are spread over. A part takes some 200 writes a second; 16 parts take more than the whole store.
pub const PART_COUNT: u64 = 16;
/// Table of the heads.
pub const HEAD_TABLE: &str = "jobs";
/// Table of items and results.
pub const ITEM_TABLE: &str = "job_items";

/// The part that all rows of a job are in.
#[must_use]
pub fn part_of(job: &str) -> CompactString {
    let hash = plantainmill_dispatch::rendezvous::key_of(job);
    format_compact!("{:02}", hash % PART_COUNT)
}

/// All parts.
pub(crate) fn all_parts() -> impl Iterator<Item = CompactString> {
    (0..PART_COUNT).map(|number| format_compact!("{number:02}"))
}

/// Key of the row with piece `index` of the items.
pub(crate) fn items_key(job: &str, index: usize) -> CompactString {
    format_compact!("{job}/i{index:04}")
}

/// Key of the row with piece `index` of the result at `position`.
pub(crate) fn result_key(job: &str, position: u64, index: usize) -> CompactString {
    format_compact!("{job}/r{position:08}.{index:02}")
}

/// The position in a result's key.
pub(crate) fn result_position(key: &str) -> &str {
    key.rsplit_once('.').map_or(key, |(position, _)| position)
}

/// Key that follows all results of a job.
pub(crate) fn results_end(job: &str) -> CompactString {
    format_compact!("{job}/s")
}

/// The VM that runs a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobOwner {
    /// VM.
    pub vm: VmId,
    /// Its start.
    pub incarnation: Incarnation,
}

/// State of a job. It changes with each listed result.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobHead {
    /// Organisation that the job belongs to.
    pub organisation: OrganisationId,
    /// Host that it was sent to.
    pub host: CompactString,
    /// Name of the route that took it.
    pub route: CompactString,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Time from then until all results are due.
    pub completion: Duration,
    /// Time from then after which items may be given up.
    pub retention: Duration,
    /// Items.
    pub total: u64,
    /// Tokens of the items that are not listed.
    pub tokens_left: u64,
    /// Results listed.
    pub listed: u64,
    /// VM that runs it; none after a planned stop.
    pub owner: Option<JobOwner>,
    /// Its organisation ended it.
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
    /// Tokens of the prompt and most tokens of the answer.
    pub tokens: u64,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ItemState {
    /// Its answer is whole.
    Succeeded,
    /// It cannot be done, or was given up.
    GivenUp,
}

/// A listed result.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedResult {
    /// Item.
    pub item: ItemId,
    /// How it ended.
    pub state: ItemState,
    /// Data of all events, separated by line feeds.
    pub output: String,
}

/// Encodes a row's value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Bytes {
    encode_cbor(value).into()
}

/// Decodes a row's value; none if it is malformed.
pub(crate) fn decode<T: for<'a> Deserialize<'a>>(content: &[u8]) -> Option<T> {
    match ciborium::from_reader(content) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::warn!(event = "row_malformed", %error, "a job row cannot be read");
            None
        }
    }
}

/// Whether a text may be a job's id: it becomes a part of row keys.
pub(crate) fn is_job_id(id: &JobId) -> bool {
    plantainmill_core::id::is_valid_id(id)
}
