//! Reports about prompt parts that VMs exchange.
//!
//! Times are ages in milliseconds at the time of the report, because the clocks of VMs are not comparable. Receivers
//! may apply a report several times, late or in any order.

use plantainmill_core::{PartId, RequestHash};
use serde::{Deserialize, Serialize};

/// What is suspected or quarantined.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineKind {
    /// A part of prompts, under whichever request.
    #[default]
    Part,
    /// One request as a whole, whenever its caller sends it.
    Request,
    /// One item of a job. It is owed whatever happened under it, and so only waits between its attempts.
    Item,
}

/// Loss of a target under one part or request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LossEntry {
    /// Part of the prompt of the call that was lost, or the hash of the request.
    #[serde(rename = "p")]
    pub part: PartId,
    /// Whether it is a part or the request.
    #[serde(default, rename = "k")]
    pub kind: QuarantineKind,
    /// Hash of the request of the call.
    #[serde(default, rename = "r")]
    pub request: RequestHash,
    /// Hash of the service that the call was for.
    #[serde(rename = "s")]
    pub service: u64,
    /// Hash of the lost target.
    #[serde(rename = "t")]
    pub target: u64,
    /// Hash of the VM that lost the call.
    #[serde(rename = "v")]
    pub reporter: u64,
    /// Time since the call was sent, in milliseconds.
    #[serde(rename = "a")]
    pub sent_age_ms: u64,
    /// Time since its connection was lost, in milliseconds.
    #[serde(rename = "b")]
    pub lost_age_ms: u64,
}

/// A call with the part began an answer, or the request had a complete response.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SoundEntry {
    /// Part of the prompt of the call.
    #[serde(rename = "p")]
    pub part: PartId,
    /// Time since the call was sent, in milliseconds.
    #[serde(rename = "a")]
    pub sent_age_ms: u64,
}

/// A part or request in quarantine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantineEntry {
    /// Part whose requests are rejected, or the hash of the rejected request.
    #[serde(rename = "p")]
    pub part: PartId,
    /// Whether it is a part or a request.
    #[serde(default, rename = "k")]
    pub kind: QuarantineKind,
    /// Number of quarantines of the part before this one, each of which ended in another loss.
    #[serde(rename = "l")]
    pub level: u32,
    /// Time until the end of the quarantine, in milliseconds.
    #[serde(rename = "r")]
    pub remaining_ms: u64,
    /// Time since the last lost call was sent, in milliseconds.
    #[serde(rename = "a")]
    pub sent_age_ms: u64,
    /// Number of items with the part that cost a target in spite of the quarantine.
    #[serde(default, rename = "i")]
    pub lost_items: u32,
}

/// What a VM reports about prompt parts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartReport {
    /// Recent losses.
    #[serde(default, rename = "l")]
    pub losses: Vec<LossEntry>,
    /// Parts and requests that were suspected and are sound since.
    #[serde(default, rename = "s")]
    pub sound: Vec<SoundEntry>,
    /// Parts and requests in quarantine.
    #[serde(default, rename = "q")]
    pub quarantined: Vec<QuarantineEntry>,
}

impl PartReport {
    /// Whether there is nothing to report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.losses.is_empty() && self.sound.is_empty() && self.quarantined.is_empty()
    }
}
