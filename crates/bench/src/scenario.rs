//! Scenarios in TOML and the endpoints of the fleet under test.

use anyhow::Context as _;
use compact_str::CompactString;
use serde::Deserialize;
use std::collections::BTreeMap;

/// What is offered to the fleet.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BenchScenario {
    /// Name, for reports.
    pub name: String,
    /// Seed of the arrival times.
    pub seed: u64,
    /// Length of each phase in seconds.
    pub phase_s: u64,
    /// Seconds at the start of each phase that are not measured.
    pub warmup_s: u64,
    /// Online traffic, by organisation.
    pub organisations: Vec<OnlineLoad>,
    /// Batch work of the second phase; without it there is one phase.
    pub batch: Option<BatchLoad>,
    /// Faults, in seconds from the start of the last phase.
    #[serde(default)]
    pub faults: Vec<TimedFault>,
}

/// Online traffic of one organisation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnlineLoad {
    /// Organisation.
    pub name: CompactString,
    /// Requests offered per second.
    pub offered_per_s: f64,
    /// Its configured rate, to tell wrongful refusals.
    pub rate_per_s: f64,
    /// Its configured burst.
    pub burst: f64,
    /// Model to call.
    pub model: CompactString,
    /// Words of the prompt.
    pub prompt_words: usize,
    /// Tokens of the answer.
    pub max_tokens: u32,
    /// Send all requests to the first VM instead of one after the other.
    #[serde(default)]
    pub one_vm: bool,
}

/// Batch work.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BatchLoad {
    /// Organisation that owns the jobs.
    pub organisation: CompactString,
    /// Model of the items.
    pub model: CompactString,
    /// Jobs.
    pub jobs: usize,
    /// Items per job.
    pub items: usize,
    /// Tokens per answer.
    pub max_tokens: u32,
    /// Items per second that the idle capacity could do, for the throughput's share.
    pub idle_items_per_s: Option<f64>,
}

/// A fault switched on at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimedFault {
    /// Seconds from the start of the last phase.
    pub at_s: f64,
    /// URL of a stand-in's fault interface.
    pub url: String,
    /// Body to post.
    pub body: serde_json::Value,
}

impl BenchScenario {
    /// Parses a scenario.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the text.
    pub fn parse(text: &str) -> anyhow::Result<BenchScenario> {
        let scenario: BenchScenario = toml::from_str(text).context("malformed scenario")?;
        anyhow::ensure!(
            scenario.warmup_s < scenario.phase_s,
            "warmup_s must be below phase_s"
        );
        anyhow::ensure!(
            !scenario.organisations.is_empty(),
            "a scenario needs an organisation"
        );
        Ok(scenario)
    }
}

/// Where the fleet under test is, as `plantainmill dev --json` prints it.
#[derive(Clone, Debug, Deserialize)]
pub struct BenchEndpoints {
    /// Callers' URLs of the VMs.
    pub callers: Vec<String>,
    /// Key of each organisation.
    pub organisations: BTreeMap<CompactString, String>,
}

impl BenchEndpoints {
    /// Key of `organisation`.
    ///
    /// # Errors
    ///
    /// Fails when the endpoints name no key for it.
    pub fn key(&self, organisation: &str) -> anyhow::Result<&str> {
        let key = self.organisations.get(organisation);
        key.map(String::as_str)
            .with_context(|| format!("no key for organisation {organisation}"))
    }
}
