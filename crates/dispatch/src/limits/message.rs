//! Reports about the limits of targets that VMs exchange.

use plantainmill_core::TargetId;
use serde::{Deserialize, Serialize};

/// What a target said last about its limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitEntry {
    /// Target that named the limit, or named none any more.
    #[serde(rename = "t")]
    pub target: TargetId,
    /// Limit in requests a second; absent if the target has none.
    #[serde(rename = "r")]
    pub rate: Option<f64>,
    /// Hash of the VM that got the response.
    #[serde(rename = "v")]
    pub observer: u64,
    /// Uptime of that VM at the response, in milliseconds. It orders the observations of one VM only.
    #[serde(rename = "n")]
    pub observed_ms: u64,
    /// Time since the response, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// What a response of a target said about how long it stays cold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColdEntry {
    /// Target that gave the response.
    #[serde(rename = "t")]
    pub target: TargetId,
    /// How much longer the target stays cold, as of the response, in milliseconds; zero if it is warm.
    #[serde(rename = "c")]
    pub left_ms: u64,
    /// Hash of the VM that got the response.
    #[serde(rename = "v")]
    pub observer: u64,
    /// Uptime of that VM at the response, in milliseconds. It orders the observations of one VM only.
    #[serde(rename = "n")]
    pub observed_ms: u64,
    /// Time since the response, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// What a VM reports about the limits of targets.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// At most one entry of each target.
    #[serde(default, rename = "l")]
    pub entries: Vec<LimitEntry>,
    /// Targets that say how long they stay cold. Older releases ignore it.
    #[serde(default, rename = "c", skip_serializing_if = "Vec::is_empty")]
    pub cold: Vec<ColdEntry>,
}

impl LimitReport {
    /// Whether the report says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.cold.is_empty()
    }
}
