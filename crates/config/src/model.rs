//! The fleet configuration that every VM holds in memory.
//!
//! Each section is behind an `Arc`, so that applying a change copies only the sections it modifies.

use compact_str::CompactString;
use plantainmill_core::{DomainName, KeyId, OrganisationId, RegionName, ServiceName, TargetId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Protocol that a service speaks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// An inference engine with the `OpenAI` HTTP API.
    Model,
    /// An HTTP service without a particular API.
    Plain,
}

/// Settings of a service. All its replicas share them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// Protocol that the service speaks.
    pub kind: ServiceKind,
    /// Whether the service can be called without a key.
    pub open: bool,
    /// Whether calls are safe to send more than once, which hedging requires.
    pub repeatable: bool,
    /// Whether a slow call may be hedged, that is, also sent to a second target.
    pub hedge: bool,
    /// Time limit for the complete response, in milliseconds.
    pub timeout_ms: u64,
    /// Minimum number of replicas that placement keeps.
    pub least_replicas: u32,
    /// Maximum number of replicas that placement loads; at least `least_replicas`.
    pub most_replicas: u32,
}

/// A target: one replica of a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetSpec {
    /// Service that the target is a replica of.
    pub service: ServiceName,
    /// Address of the HTTP interface; the port is not 0.
    pub address: SocketAddr,
    /// Failure domain that the target runs in.
    pub domain: DomainName,
    /// Region that the target runs in.
    pub region: RegionName,
    /// Maximum number of requests in flight.
    pub concurrency: u32,
    /// Whether the target refuses orders with an outdated fencing number.
    pub checks_fencing: bool,
    /// Whether the target is draining and receives no new work.
    pub leaving: bool,
}

/// Rate limit and scheduling weight of an organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct OrganisationSpec {
    /// Sustained requests per second, summed over all VMs.
    pub rate: f64,
    /// Requests admitted at once, summed over all VMs.
    pub burst: u32,
    /// Share of contended capacity, relative to the weights of other organisations.
    pub weight: u32,
}

/// A caller's key. Only a hash of the secret is stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeySpec {
    /// Organisation that the key authenticates.
    pub organisation: OrganisationId,
    /// SHA-256 of the secret, as 64 lower-case hexadecimal digits.
    pub hash: CompactString,
    /// Description of the purpose of the key, for operators.
    pub label: CompactString,
    /// Unix time in seconds after which the key is refused; `None` for a key that does not expire.
    pub expires_at: Option<u64>,
}

/// Settings of the whole fleet. An [`ExceptionSpec`] overrides one of them for one subject.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DefaultsSpec {
    /// How long a VM that cannot confirm its configuration still accepts keys, in seconds.
    pub key_recheck_limit_s: u64,
    /// Longest time that a request queues for a target, in milliseconds.
    pub queue_wait_ms: u64,
    /// Retries as a percentage of recent requests.
    pub retry_budget_percent: u32,
    /// Maximum attempts for a batch item that may crash its target.
    pub item_attempts: u32,
    /// Retention period of results, in seconds.
    pub result_retention_s: u64,
    /// Bandwidth budget of each VM on the link between regions, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Requests per second that each client address may send to routes without a key.
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

/// Overrides one default for one subject.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExceptionSpec {
    /// Organisation or service that the exception applies to.
    pub subject: Subject,
    /// Name of the overridden field of [`DefaultsSpec`].
    pub setting: CompactString,
    /// Overriding value, in the unit of the default.
    pub value: u64,
    /// Reason given by the operator; not empty.
    pub reason: String,
}

/// The complete configuration at one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FleetConfig {
    /// Version of the configuration; 0 before the first change, and increased by 1 by each change.
    pub version: u64,
    /// Services by name.
    pub services: Arc<BTreeMap<ServiceName, ServiceSpec>>,
    /// Targets by id.
    pub targets: Arc<BTreeMap<TargetId, TargetSpec>>,
    /// Organisations by id.
    pub organisations: Arc<BTreeMap<OrganisationId, OrganisationSpec>>,
    /// Keys by id.
    pub keys: Arc<BTreeMap<KeyId, KeySpec>>,
    /// Ids of the keys by the hash of their secret; an index derived from `keys`.
    #[serde(skip)]
    pub keys_by_hash: Arc<BTreeMap<CompactString, KeyId>>,
    /// Settings that apply where no exception overrides them.
    pub defaults: Arc<DefaultsSpec>,
    /// Exceptions by id.
    pub exceptions: Arc<BTreeMap<CompactString, ExceptionSpec>>,
}

impl FleetConfig {
    /// Targets of `service`, including those that are leaving.
    pub fn targets_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a TargetId, &'a TargetSpec)> {
        let targets = self.targets.iter();
        targets.filter(move |(_, target)| target.service == service)
    }

    /// How long a VM that cannot confirm its configuration still accepts the keys of `organisation`.
    #[must_use]
    pub fn key_recheck_limit(&self, organisation: &str) -> Duration {
        let exception = self.exceptions.values().find(|exception| {
            exception.setting == "key_recheck_limit_s"
                && matches!(&exception.subject, Subject::Organisation(id) if id == organisation)
        });
        let seconds = exception.map_or(self.defaults.key_recheck_limit_s, |found| found.value);
        Duration::from_secs(seconds)
    }

    /// Rebuilds the index `keys_by_hash`, which is not serialised, after decoding.
    pub fn rebuild_index(&mut self) {
        let keys = self.keys.iter();
        let index = keys.map(|(id, key)| (key.hash.clone(), id.clone()));
        self.keys_by_hash = Arc::new(index.collect());
    }
}
