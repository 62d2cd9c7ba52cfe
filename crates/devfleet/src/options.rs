//! What a fleet on loopback consists of, and what it prints once it is ready.

use compact_str::CompactString;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// What a fleet on loopback consists of.
#[derive(Clone, Debug)]
pub struct DevOptions {
    /// VMs; they alternate between two failure domains. With none, only platform and targets are started.
    pub vms: usize,
    /// Engines of the model `assistant`.
    pub engines: usize,
    /// Fleet configuration in TOML to apply on top of the built-in one.
    pub fleet_file: Option<String>,
    /// Time from not ready until new requests are refused at a stop.
    pub balancer_wait: Duration,
    /// Time that an engine takes per generated token at width one.
    pub decode_per_token: Duration,
}

impl Default for DevOptions {
    fn default() -> DevOptions {
        DevOptions {
            vms: 3,
            engines: 3,
            fleet_file: None,
            balancer_wait: Duration::from_millis(100),
            decode_per_token: Duration::from_millis(5),
        }
    }
}

/// How to call a fleet that is ready.
#[derive(Clone, Debug, Serialize)]
pub struct DevReady {
    /// Callers' URLs, one per VM.
    pub callers: Vec<String>,
    /// Operators' URLs, one per VM.
    pub operators: Vec<String>,
    /// One key per organisation.
    pub organisations: BTreeMap<CompactString, String>,
    /// Key of the operator `dev`.
    pub operator_key: String,
    /// Base URL of the platform.
    pub platform: String,
    /// URLs of the targets, by id. Each takes faults at `/faults` and lists its requests at `/recorded`.
    pub targets: BTreeMap<CompactString, String>,
    /// The built-in fleet configuration, for VMs that are started as processes of their own.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub fleet_file: String,
}
