//! Settings of a VM, read from a TOML file.

use compact_str::CompactString;
use plantainmill_core::{DomainName, RegionName, VmId};
use plantainmill_dispatch::limits::ColdBounds;
use plantainmill_proxy::relay::HedgeSettings;
use plantainmill_settings::reader::{SettingsSection, read_file};
use plantainmill_settings::{SettingsProblem, SettingsReader};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

/// Description of the address format in error messages.
const ADDRESS_FORMAT: &str = "an address such as 10.0.0.5:8080";
/// Valid processor shares, in percent of one core: up to a hundred cores.
const PROCESSOR_PERCENT_RANGE: RangeInclusive<f64> = 0.0..=10_000.0;
/// Accepted values of the key validity, in milliseconds: from less than one read of the document to one hour.
const KEY_VALIDITY_MS_RANGE: RangeInclusive<f64> = 1.0..=3_600_000.0;
/// Default key validity, in milliseconds: that of the platform's existing deployments.
const DEFAULT_KEY_VALIDITY_MS: f64 = 5_000.0;
/// Default stop timeout, in seconds: that of the platform's existing deployments.
const DEFAULT_STOP_TIMEOUT_SECONDS: f64 = 8.0;
/// Default result retention, in seconds: that of the platform's existing deployments.
const DEFAULT_RESULT_RETENTION_SECONDS: f64 = 120.0;
/// Valid values of bounds that are given in seconds: from a tenth of a second to more than a week.
const BOUND_SECONDS_RANGE: RangeInclusive<f64> = 0.1..=1e6;
/// Valid values of the evacuation bound, in milliseconds. Zero stands for a deployment without evacuations.
const EVACUATION_MS_RANGE: RangeInclusive<f64> = 0.0..=3_600_000.0;
/// Valid bounds for cold targets. A factor of zero stands for a deployment without them.
const COLD_BOUND_RANGE: RangeInclusive<f64> = 0.0..=1_000.0;

/// Valid shares of additional sends, in percent of all sends.
const HEDGE_PERCENT_RANGE: RangeInclusive<f64> = 0.0..=100.0;

/// Settings of a VM. Unknown fields are reported but do not prevent a start, so that a newer platform can add fields.
#[derive(Clone, Debug)]
pub struct EdgeSettings {
    /// Identity and location of the VM.
    pub vm: VmSettings,
    /// Region of each failure domain of the fleet.
    pub regions: HashMap<DomainName, RegionName>,
    /// Addresses on which the VM listens.
    pub listen: ListenSettings,
    /// Location of the platform's store.
    pub store: StoreSettings,
    /// Time bounds that are promised to callers.
    pub bounds: BoundSettings,
    /// Share of sends by which slow requests may be hedged; none unless the settings ask for it.
    pub hedging: HedgeSettings,
    /// Fields that this version does not know, for a warning in the log.
    pub unknown: Vec<SettingsProblem>,
}

/// Identity and location of a VM.
#[derive(Clone, Debug, PartialEq)]
pub struct VmSettings {
    /// Id of the VM, unique in the fleet.
    pub id: VmId,
    /// Failure domain in which the VM runs.
    pub domain: DomainName,
    /// Region of the failure domain.
    pub region: RegionName,
    /// Processor share of the VM in percent of one core. VMs with larger shares are preferred as readers of the store.
    pub processor_percent: f64,
}

/// Addresses on which the VM listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// HTTP requests of callers.
    pub callers: SocketAddr,
    /// Readiness probes of the balancer.
    pub readiness: SocketAddr,
    /// HTTP requests of other VMs (document, targets, store calls) and of operators (state, metrics).
    pub control: SocketAddr,
    /// Datagrams of other VMs, over UDP.
    pub peers: SocketAddr,
    /// Metrics only, for a collector. The control listener serves them as well.
    pub metrics: Option<SocketAddr>,
}

/// Location of the platform's store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreSettings {
    /// Address of the store's HTTP interface.
    pub address: SocketAddr,
}

/// Time bounds that are promised to callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundSettings {
    /// Largest age of the document at which it is used to verify keys. A withdrawn key is accepted no longer than this.
    pub key_validity: Duration,
    /// Time that a planned stop may take.
    pub stop_timeout: Duration,
    /// Retention of a job's results, counted from its submission.
    pub result_retention: Duration,
    /// Time within which an operator's request to evacuate a failure domain takes effect. Where it is absent, such
    /// requests are not read.
    pub evacuation: Option<Duration>,
    /// How far the requests at a cold target may exceed its rate within a second. Where it is absent, cold targets get as
    /// many requests as others.
    pub cold: Option<ColdBounds>,
}

impl BoundSettings {
    /// Largest age of the document, and of the evacuated failure domains where they are read, at which requests are
    /// served.
    #[must_use]
    pub fn document_validity(&self) -> Duration {
        let evacuation = self.evacuation.unwrap_or(Duration::MAX);
        self.key_validity.min(evacuation)
    }
}

impl EdgeSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns every error, each with file, line and field.
    pub fn load(path: &Path) -> Result<EdgeSettings, Vec<SettingsProblem>> {
        let (file, text) = read_file(path)?;
        EdgeSettings::parse(&file, &text)
    }

    /// Parses and validates settings given as text. `file` is the name that errors show.
    ///
    /// # Errors
    ///
    /// Returns every error, each with file, line and field.
    pub fn parse(file: &str, text: &str) -> Result<EdgeSettings, Vec<SettingsProblem>> {
        let mut reader = SettingsReader::new(file, text);
        let vm = read_vm(&mut reader);
        let regions = read_regions(&mut reader, &vm);
        let listen = read_listen(&mut reader);
        let mut section = reader.section("store");
        let address = reader.parsed(&mut section, "address", ADDRESS_FORMAT);
        reader.end_section(&section);
        let bounds = read_bounds(&mut reader);
        let hedging = read_hedging(&mut reader);
        let (problems, unknown) = reader.finish_lenient();
        match (listen, address) {
            (Some(listen), Some(address)) if problems.is_empty() => Ok(EdgeSettings {
                vm,
                regions,
                listen,
                store: StoreSettings { address },
                bounds,
                hedging,
                unknown,
            }),
            _ => Err(problems),
        }
    }
}

fn read_vm(reader: &mut SettingsReader<'_>) -> VmSettings {
    let mut section = reader.section("vm");
    let vm = VmSettings {
        id: read_name(reader, &mut section, "id"),
        domain: read_name(reader, &mut section, "domain"),
        region: read_name(reader, &mut section, "region"),
        processor_percent: reader.decimal(
            &mut section,
            "processor_percent",
            &PROCESSOR_PERCENT_RANGE,
            Some(0.0),
        ),
    };
    reader.end_section(&section);
    vm
}

/// Text that is not empty.
struct NonEmptyText(CompactString);

impl FromStr for NonEmptyText {
    type Err = ();

    fn from_str(text: &str) -> Result<NonEmptyText, ()> {
        if text.is_empty() {
            return Err(());
        }
        Ok(NonEmptyText(text.into()))
    }
}

fn read_name<'a>(
    reader: &mut SettingsReader<'a>,
    section: &mut SettingsSection<'a>,
    key: &str,
) -> CompactString {
    let parsed: Option<NonEmptyText> = reader.parsed(section, key, "a name");
    parsed.map_or_else(CompactString::default, |name| name.0)
}

fn read_regions(
    reader: &mut SettingsReader<'_>,
    vm: &VmSettings,
) -> HashMap<DomainName, RegionName> {
    let mut section = reader.section("regions");
    let texts = reader.all_strings(&mut section).into_iter();
    let regions: HashMap<DomainName, RegionName> = texts
        .map(|(domain, region)| (domain.into(), region.into()))
        .collect();
    if regions.get(&vm.domain) != Some(&vm.region) {
        let reason = format!("must be {:?}, the region of this VM", vm.region);
        reader.report(section.line(), section.field(&vm.domain), reason);
    }
    regions
}

fn read_listen(reader: &mut SettingsReader<'_>) -> Option<ListenSettings> {
    let mut section = reader.section("listen");
    let callers = reader.parsed(&mut section, "callers", ADDRESS_FORMAT);
    let readiness = reader.parsed(&mut section, "readiness", ADDRESS_FORMAT);
    let control = reader.parsed(&mut section, "control", ADDRESS_FORMAT);
    let peers = reader.parsed(&mut section, "peers", ADDRESS_FORMAT);
    let metrics = reader.optional_parsed(&mut section, "metrics", ADDRESS_FORMAT);
    reader.end_section(&section);
    Some(ListenSettings {
        callers: callers?,
        readiness: readiness?,
        control: control?,
        peers: peers?,
        metrics,
    })
}

fn read_bounds(reader: &mut SettingsReader<'_>) -> BoundSettings {
    let mut section = reader.section("bounds");
    let key_ms = reader.decimal(
        &mut section,
        "key_ms",
        &KEY_VALIDITY_MS_RANGE,
        Some(DEFAULT_KEY_VALIDITY_MS),
    );
    let evacuate_ms = reader.decimal(&mut section, "evacuate_ms", &EVACUATION_MS_RANGE, Some(0.0));
    let excess = reader.decimal(&mut section, "cold_excess", &COLD_BOUND_RANGE, Some(0.0));
    let slack = reader.decimal(&mut section, "cold_slack", &COLD_BOUND_RANGE, Some(0.0));
    let bounds = BoundSettings {
        cold: (excess > 0.0).then_some(ColdBounds { excess, slack }),
        key_validity: Duration::from_secs_f64(key_ms / 1_000.0),
        stop_timeout: read_seconds(reader, &mut section, "stop_s", DEFAULT_STOP_TIMEOUT_SECONDS),
        result_retention: read_seconds(
            reader,
            &mut section,
            "results_s",
            DEFAULT_RESULT_RETENTION_SECONDS,
        ),
        evacuation: (evacuate_ms > 0.0).then(|| Duration::from_secs_f64(evacuate_ms / 1_000.0)),
    };
    reader.end_section(&section);
    bounds
}

fn read_hedging(reader: &mut SettingsReader<'_>) -> HedgeSettings {
    let mut section = reader.section("hedging");
    let percent = reader.decimal(&mut section, "percent", &HEDGE_PERCENT_RANGE, Some(0.0));
    reader.end_section(&section);
    let mut section = reader.section("hedging_routes");
    let routes = reader.all_decimals(&mut section, &HEDGE_PERCENT_RANGE);
    HedgeSettings {
        percent,
        routes: routes
            .into_iter()
            .map(|(route, percent)| (route.into(), percent))
            .collect(),
    }
}

fn read_seconds<'a>(
    reader: &mut SettingsReader<'a>,
    section: &mut SettingsSection<'a>,
    key: &str,
    default: f64,
) -> Duration {
    Duration::from_secs_f64(reader.decimal(section, key, &BOUND_SECONDS_RANGE, Some(default)))
}
