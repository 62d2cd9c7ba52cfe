//! Settings of a VM, in TOML.

use compact_str::CompactString;
use plantainmill_core::{DomainName, RegionName, VmId};
use plantainmill_settings::reader::{SettingsSection, read_file};
use plantainmill_settings::{SettingsProblem, SettingsReader};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

/// What an address looks like, for errors.
const ADDRESS: &str = "an address such as 10.0.0.5:8080";
/// Part of a core that a VM may have, in percent: up to a hundred cores.
const PROCESSOR_PERCENT: RangeInclusive<f64> = 0.0..=10_000.0;
/// Bound on withdrawn keys in milliseconds: from less than any read of the document takes to an hour.
const KEY_MILLIS: RangeInclusive<f64> = 1.0..=3_600_000.0;
/// Bound on withdrawn keys where the platform names none, in milliseconds: that of its deployments so far.
const KEY_DEFAULT_MS: f64 = 5_000.0;
/// Time for a planned stop where the platform names none, in seconds: that of its deployments so far.
const STOP_DEFAULT_S: f64 = 8.0;
/// Time for which results are kept where the platform names none, in seconds: that of its deployments so far.
const RESULTS_DEFAULT_S: f64 = 120.0;
/// Bounds in seconds: from a tenth to more than a week.
const BOUND_SECONDS: RangeInclusive<f64> = 0.1..=1e6;

/// Settings of a VM. Unknown fields are ignored, so that a newer platform can add some.
#[derive(Clone, Debug)]
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
    /// Fields that this version does not know.
    pub unknown: Vec<SettingsProblem>,
}

/// Who and where a VM is.
#[derive(Clone, Debug, PartialEq)]
pub struct PlaceSettings {
    /// Id.
    pub id: VmId,
    /// Failure domain.
    pub domain: DomainName,
    /// Region.
    pub region: RegionName,
    /// Part of a core that the VM has, in percent. VMs with more do more for the others.
    pub processor_percent: f64,
}

/// Addresses to listen on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Callers.
    pub callers: SocketAddr,
    /// The balancer's question whether the VM is ready.
    pub readiness: SocketAddr,
    /// Other VMs and operators: documents, state, metrics.
    pub control: SocketAddr,
    /// Reports of other VMs, over UDP.
    pub peers: SocketAddr,
    /// Metrics alone, for a collector. The control listener serves them as well.
    pub metrics: Option<SocketAddr>,
}

/// Where the platform's store is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreSettings {
    /// Address.
    pub address: SocketAddr,
}

/// Bounds that are promised to callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BoundSettings {
    /// Age of the document up to which keys may be used: a withdrawn key is not used longer than this.
    pub key_time: Duration,
    /// Time for a planned stop.
    pub stop_time: Duration,
    /// Time after a job's submission for which its results are kept.
    pub results_time: Duration,
}

impl EdgeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Gives every error, each with file, line and field.
    pub fn load(path: &Path) -> Result<EdgeSettings, Vec<SettingsProblem>> {
        let (file, text) = read_file(path)?;
        EdgeSettings::parse(&file, &text)
    }

    /// Checks settings given as text.
    ///
    /// # Errors
    ///
    /// Gives every error, each with file, line and field.
    pub fn parse(file: &str, text: &str) -> Result<EdgeSettings, Vec<SettingsProblem>> {
        let mut reader = SettingsReader::new(file, text);
        let vm = read_place(&mut reader);
        let regions = read_regions(&mut reader, &vm);
        let listen = read_listen(&mut reader);
        let mut section = reader.section("store");
        let address = reader.parsed(&mut section, "address", ADDRESS);
        reader.end_section(&section);
        let bounds = read_bounds(&mut reader);
        let (problems, unknown) = reader.finish_lenient();
        match (listen, address) {
            (Some(listen), Some(address)) if problems.is_empty() => Ok(EdgeSettings {
                vm,
                regions,
                listen,
                store: StoreSettings { address },
                bounds,
                unknown,
            }),
            _ => Err(problems),
        }
    }
}

fn read_place(reader: &mut SettingsReader<'_>) -> PlaceSettings {
    let mut section = reader.section("vm");
    let place = PlaceSettings {
        id: read_name(reader, &mut section, "id"),
        domain: read_name(reader, &mut section, "domain"),
        region: read_name(reader, &mut section, "region"),
        processor_percent: reader.decimal(
            &mut section,
            "processor_percent",
            &PROCESSOR_PERCENT,
            Some(0.0),
        ),
    };
    reader.end_section(&section);
    place
}

/// A text that is not empty.
struct FilledText(CompactString);

impl FromStr for FilledText {
    type Err = ();

    fn from_str(text: &str) -> Result<FilledText, ()> {
        if text.is_empty() {
            return Err(());
        }
        Ok(FilledText(text.into()))
    }
}

fn read_name<'a>(
    reader: &mut SettingsReader<'a>,
    section: &mut SettingsSection<'a>,
    key: &str,
) -> CompactString {
    let parsed: Option<FilledText> = reader.parsed(section, key, "a name");
    parsed.map_or_else(CompactString::default, |name| name.0)
}

fn read_regions(
    reader: &mut SettingsReader<'_>,
    place: &PlaceSettings,
) -> HashMap<DomainName, RegionName> {
    let mut section = reader.section("regions");
    let texts = reader.all_strings(&mut section).into_iter();
    let regions: HashMap<DomainName, RegionName> = texts
        .map(|(domain, region)| (domain.into(), region.into()))
        .collect();
    if regions.get(&place.domain) != Some(&place.region) {
        let reason = format!("must be {:?}, the region of this VM", place.region);
        reader.report(section.line(), section.field(&place.domain), reason);
    }
    regions
}

fn read_listen(reader: &mut SettingsReader<'_>) -> Option<ListenSettings> {
    let mut section = reader.section("listen");
    let callers = reader.parsed(&mut section, "callers", ADDRESS);
    let readiness = reader.parsed(&mut section, "readiness", ADDRESS);
    let control = reader.parsed(&mut section, "control", ADDRESS);
    let peers = reader.parsed(&mut section, "peers", ADDRESS);
    let metrics = reader.optional_parsed(&mut section, "metrics", ADDRESS);
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
    let key_ms = reader.decimal(&mut section, "key_ms", &KEY_MILLIS, Some(KEY_DEFAULT_MS));
    let bounds = BoundSettings {
        key_time: Duration::from_secs_f64(key_ms / 1_000.0),
        stop_time: read_seconds(reader, &mut section, "stop_s", STOP_DEFAULT_S),
        results_time: read_seconds(reader, &mut section, "results_s", RESULTS_DEFAULT_S),
    };
    reader.end_section(&section);
    bounds
}

fn read_seconds<'a>(
    reader: &mut SettingsReader<'a>,
    section: &mut SettingsSection<'a>,
    key: &str,
    default: f64,
) -> Duration {
    Duration::from_secs_f64(reader.decimal(section, key, &BOUND_SECONDS, Some(default)))
}
