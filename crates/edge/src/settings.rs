//! Settings of a VM, in TOML.

use anyhow::{Context as _, ensure};
use plantainmill_core::{DomainName, RegionName, VmId};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Settings of a VM. Unknown fields are ignored, so that a newer platform can add some.
#[derive(Clone, Debug, Deserialize)]
pub struct EdgeSettings {
    /// Who and where the VM is.
    pub vm: PlaceSettings,
    /// Region of each failure domain.
    pub regions: HashMap<DomainName, RegionName>,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Where the platform's store is.
    pub store: StoreSettings,
    /// Bounds that are promised to callers.
    pub bounds: BoundSettings,
}

/// Who and where a VM is.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct PlaceSettings {
    /// Id.
    pub id: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Part of a core that the VM has, in percent. VMs with more do more for the others.
    #[serde(default)]
    pub processor_percent: f64,
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct ListenSettings {
    /// Callers.
    pub callers: SocketAddr,
    /// The balancer's question whether the VM is ready.
    pub readiness: SocketAddr,
    /// Other VMs and operators: documents, state, metrics.
    pub control: SocketAddr,
    /// Reports of other VMs, over UDP.
    pub peers: SocketAddr,
}

/// Where the platform's store is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
pub struct StoreSettings {
    /// Address.
    pub address: SocketAddr,
}

/// Bounds that are promised to callers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct BoundSettings {
    /// Time in milliseconds after which a withdrawn key is not used any more.
    pub key_ms: u64,
    /// Time in seconds for a planned stop.
    pub stop_s: f64,
    /// Time in seconds after a job's submission for which its results are kept.
    pub results_s: f64,
}

impl BoundSettings {
    /// Age of the document up to which keys may be used.
    #[must_use]
    pub fn key_time(&self) -> Duration {
        Duration::from_millis(self.key_ms)
    }

    /// Time for a planned stop.
    #[must_use]
    pub fn stop_time(&self) -> Duration {
        Duration::from_secs_f64(self.stop_s)
    }

    /// Time for which results are kept.
    #[must_use]
    pub fn results_time(&self) -> Duration {
        Duration::from_secs_f64(self.results_s)
    }
}

impl EdgeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, the line or the field, and the reason.
    pub fn load(path: &Path) -> anyhow::Result<EdgeSettings> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        EdgeSettings::parse(&text).with_context(|| format!("in {}", path.display()))
    }

    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Names the line or the field, and the reason.
    pub fn parse(text: &str) -> anyhow::Result<EdgeSettings> {
        let settings: EdgeSettings = toml::from_str(text)?;
        ensure!(!settings.vm.id.is_empty(), "vm.id: must not be empty");
        let own = settings.regions.get(&settings.vm.domain);
        ensure!(
            own == Some(&settings.vm.region),
            "regions: the VM's domain {:?} must be in its region {:?}",
            settings.vm.domain,
            settings.vm.region
        );
        let bounds = &settings.bounds;
        ensure!(bounds.key_ms > 0, "bounds.key_ms: must be above zero");
        for (name, value) in [("stop_s", bounds.stop_s), ("results_s", bounds.results_s)] {
            let is_valid = value.is_finite() && (0.1..=1e6).contains(&value);
            ensure!(is_valid, "bounds.{name}: must be 0.1 to 1000000 seconds");
        }
        Ok(settings)
    }
}
