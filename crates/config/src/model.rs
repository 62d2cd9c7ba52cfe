//! The configuration of the fleet as every VM holds it.
//!
//! Each section is shared by `Arc`, so that a change copies only the section it touches.

use compact_str::CompactString;
use plantainmill_core::{DomainName, KeyId, OrganisationId, RegionName, ServiceName, TargetId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How a service is called.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A model engine with the `OpenAI` interface.
    Model,
    /// A plain HTTP service.
    Plain,
}

/// A service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// How it is called.
    pub kind: ServiceKind,
    /// Callable without a key.
    pub open: bool,
    /// Calls may be repeated.
    pub repeatable: bool,
    /// A slow call may be sent to a second target.
    pub hedge: bool,
    /// Time until the whole answer, in milliseconds.
    pub timeout_ms: u64,
    /// Fewest replicas that placement keeps.
    pub least_replicas: u32,
    /// Most replicas that placement loads.
    pub most_replicas: u32,
}

/// A target: one replica of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetSpec {
    /// Service it serves.
    pub service: ServiceName,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Most requests in flight.
    pub concurrency: u32,
    /// It refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// It gets no new work.
    pub leaving: bool,
}

/// An organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrganisationSpec {
    /// Requests per second over all VMs together.
    pub rate: f64,
    /// Requests that may come at once, over all VMs together.
    pub burst: u32,
    /// Share under contention, against other organisations.
    pub weight: u32,
}

/// A caller's key. The secret itself is never kept.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeySpec {
    /// Organisation the key belongs to.
    pub organisation: OrganisationId,
    /// SHA-256 of the secret, in hexadecimal.
    pub hash: CompactString,
    /// What the key is for.
    pub label: CompactString,
    /// Unix seconds after which it is refused.
    pub expires_at: Option<u64>,
}

/// Fleet-wide defaults.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DefaultsSpec {
    /// How long a cut-off VM accepts keys it cannot re-check, in seconds.
    pub key_recheck_limit_s: u64,
    /// Longest wait for a target, in milliseconds.
    pub queue_wait_ms: u64,
    /// Retries as a percentage of recent requests.
    pub retry_budget_percent: u32,
    /// Attempts of a batch item that may crash its target.
    pub item_attempts: u32,
    /// How long results are kept, in seconds.
    pub result_retention_s: u64,
    /// Budget over the link between regions per VM, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Rate per client address on open routes, per second.
    pub open_rate_per_s: u32,
}

impl Default for DefaultsSpec {
    fn default() -> DefaultsSpec {
        DefaultsSpec {
            key_recheck_limit_s: 900,
            queue_wait_ms: 2_000,
            retry_budget_percent: 20,
            item_attempts: 3,
            result_retention_s: 2_592_000,
            link_bytes_per_s: 250_000,
            open_rate_per_s: 50,
        }
    }
}

/// What an exception applies to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// One organisation.
    Organisation(OrganisationId),
    /// One service.
    Service(ServiceName),
}

/// A default replaced for one subject.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExceptionSpec {
    /// What it applies to.
    pub subject: Subject,
    /// Name of the default it replaces.
    pub setting: CompactString,
    /// Value in the default's unit.
    pub value: u64,
    /// Why it exists.
    pub reason: String,
}

/// The whole configuration at one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetConfig {
    /// Version of the fleet; every accepted change raises it by one.
    pub version: u64,
    /// Services by name.
    pub services: Arc<BTreeMap<ServiceName, ServiceSpec>>,
    /// Targets by id.
    pub targets: Arc<BTreeMap<TargetId, TargetSpec>>,
    /// Organisations by id.
    pub organisations: Arc<BTreeMap<OrganisationId, OrganisationSpec>>,
    /// Keys by id.
    pub keys: Arc<BTreeMap<KeyId, KeySpec>>,
    /// Keys by the hash of their secret; derived from `keys`.
    #[serde(skip)]
    pub keys_by_hash: Arc<BTreeMap<CompactString, KeyId>>,
    /// Fleet-wide defaults.
    pub defaults: Arc<DefaultsSpec>,
    /// Exceptions by id.
    pub exceptions: Arc<BTreeMap<CompactString, ExceptionSpec>>,
}

impl FleetConfig {
    /// Targets of `service`, leaving ones included.
    pub fn targets_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a TargetId, &'a TargetSpec)> {
        let targets = self.targets.iter();
        targets.filter(move |(_, target)| target.service == service)
    }

    /// How long a cut-off VM accepts the keys of `organisation` without re-checking them.
    #[must_use]
    pub fn key_recheck_limit(&self, organisation: &str) -> Duration {
        let exception = self.exceptions.values().find(|exception| {
            exception.setting == "key_recheck_limit_s"
                && matches!(&exception.subject, Subject::Organisation(id) if id == organisation)
        });
        let seconds = exception.map_or(self.defaults.key_recheck_limit_s, |found| found.value);
        Duration::from_secs(seconds)
    }

    /// Rebuilds what is derived from the sections, after decoding.
    pub fn rebuild_index(&mut self) {
        let keys = self.keys.iter();
        let index = keys.map(|(id, key)| (key.hash.clone(), id.clone()));
        self.keys_by_hash = Arc::new(index.collect());
    }
}
