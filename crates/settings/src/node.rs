//! Settings of one VM.

use crate::reader::{SettingsProblem, SettingsReader, SettingsSection, read_file};
use crate::secrets::{LineProblem, OperatorKey, parse_fleet_secrets, parse_operator_keys};
use compact_str::CompactString;
use plantainmill_core::id::is_valid_id;
use plantainmill_core::{DomainName, RegionName, VmId};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

/// Identity and location of the VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VmSettings {
    /// Identifier, unique in the fleet.
    pub id: VmId,
    /// Region that the VM runs in.
    pub region: RegionName,
    /// Failure domain that the VM runs in.
    pub domain: DomainName,
}

/// Addresses that the VM listens on. Port 0 binds a free port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Address for callers, which reach it through the platform's balancer.
    pub callers: SocketAddr,
    /// Address for operators and metrics.
    pub operators: SocketAddr,
    /// Address for mesh connections of other VMs.
    pub mesh: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// Base URL of the table service, VM list and weight store.
    pub table: String,
    /// Base URL of the object store.
    pub objects: String,
    /// Time limit for the complete response to a platform call.
    pub timeout: Duration,
}

/// Size, concurrency and time limits of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Largest body of an online request, in bytes.
    pub body_bytes: usize,
    /// Largest uploaded file, in bytes.
    pub file_bytes: usize,
    /// Maximum number of concurrent connections from callers, per worker thread.
    pub connections: usize,
    /// Number of threads that serve callers.
    pub workers: usize,
    /// Maximum number of loads from the weight store per minute in this VM's failure domain.
    pub domain_loads_per_minute: u64,
    /// Time between reporting not ready and refusing new requests, in which the balancer notices the stop.
    pub balancer_wait: Duration,
    /// Time limit for requests and batch items to finish in a graceful stop. Later requests are aborted.
    pub drain: Duration,
}

/// All settings of a VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Identity and location of the VM.
    pub vm: VmSettings,
    /// Addresses that the VM listens on.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Names of operators and the hashes of their keys.
    pub operator_keys: Vec<OperatorKey>,
    /// Secrets with which VMs authenticate each other, one or two. The first signs; all are accepted.
    pub fleet_secrets: Vec<CompactString>,
    /// Size, concurrency and time limits of the process.
    pub limits: LimitSettings,
}

const MIB: u64 = 1024 * 1024;
const DEFAULT_BODY_BYTES: u64 = 8 * MIB;
const DEFAULT_FILE_BYTES: u64 = 512 * MIB;
const DEFAULT_CONNECTIONS: u64 = 10_000;
const DEFAULT_WORKERS: u64 = 2;
const DEFAULT_DOMAIN_LOADS_PER_MINUTE: u64 = 12;
const DEFAULT_BALANCER_WAIT_MS: u64 = 5_000;
const DEFAULT_DRAIN_MS: u64 = 120_000;
const DEFAULT_TIMEOUT_MS: u64 = 3_000;
const HOUR_MS: u64 = 3_600_000;

impl NodeSettings {
    /// Reads and validates the settings file and the secret files that it names.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with file, line and field.
    pub fn load(path: &Path) -> Result<NodeSettings, Vec<SettingsProblem>> {
        let (file, text) = read_file(path)?;
        let directory = path.parent().unwrap_or(Path::new("."));
        NodeSettings::parse(&file, &text, directory)
    }

    /// Validates the settings in `text`. Paths of secret files are relative to `directory`; `file` is used in errors.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with file, line and field.
    pub fn parse(
        file: &str,
        text: &str,
        directory: &Path,
    ) -> Result<NodeSettings, Vec<SettingsProblem>> {
        let mut reader = SettingsReader::new(file, text);
        let vm = read_vm(&mut reader);
        let listen = read_listen(&mut reader);
        let platform = read_platform(&mut reader);
        let limits = read_limits(&mut reader);
        let mut secrets = reader.section("secrets");
        let operator_keys = read_secret_file(
            &mut reader,
            &mut secrets,
            "operator_keys_file",
            directory,
            parse_operator_keys,
        );
        let fleet_secrets = read_secret_file(
            &mut reader,
            &mut secrets,
            "fleet_secrets_file",
            directory,
            parse_fleet_secrets,
        );
        reader.end_section(&secrets);
        let problems = reader.finish();
        match listen {
            Some(listen) if problems.is_empty() => Ok(NodeSettings {
                vm,
                listen,
                platform,
                operator_keys,
                fleet_secrets,
                limits,
            }),
            _ => Err(problems),
        }
    }
}

fn read_vm(reader: &mut SettingsReader<'_>) -> VmSettings {
    let mut section = reader.section("vm");
    let settings = VmSettings {
        id: read_id(reader, &mut section, "id"),
        region: read_id(reader, &mut section, "region"),
        domain: read_id(reader, &mut section, "domain"),
    };
    reader.end_section(&section);
    settings
}

/// An identifier that is validated when it is parsed.
struct CheckedId(CompactString);

impl std::str::FromStr for CheckedId {
    type Err = ();

    fn from_str(text: &str) -> Result<CheckedId, ()> {
        if is_valid_id(text) {
            Ok(CheckedId(text.into()))
        } else {
            Err(())
        }
    }
}

fn read_id<'a>(
    reader: &mut SettingsReader<'a>,
    section: &mut SettingsSection<'a>,
    key: &str,
) -> CompactString {
    let expected = "an identifier (1 to 64 of a-z A-Z 0-9 . _ -)";
    let parsed: Option<CheckedId> = reader.parsed(section, key, expected);
    parsed.map_or_else(CompactString::default, |id| id.0)
}

fn read_listen(reader: &mut SettingsReader<'_>) -> Option<ListenSettings> {
    let mut section = reader.section("listen");
    let expected = "an address such as 10.0.0.5:8080";
    let callers = reader.parsed(&mut section, "callers", expected);
    let operators = reader.parsed(&mut section, "operators", expected);
    let mesh = reader.parsed(&mut section, "mesh", expected);
    reader.end_section(&section);
    Some(ListenSettings {
        callers: callers?,
        operators: operators?,
        mesh: mesh?,
    })
}

fn read_platform(reader: &mut SettingsReader<'_>) -> PlatformSettings {
    let mut section = reader.section("platform");
    let table = read_url(reader, &mut section, "table");
    let objects = read_url(reader, &mut section, "objects");
    let timeout = read_millis(reader, &mut section, "timeout_ms", DEFAULT_TIMEOUT_MS);
    reader.end_section(&section);
    PlatformSettings {
        table,
        objects,
        timeout,
    }
}

/// A base URL `http://IP:PORT` that is validated when it is parsed.
struct CheckedUrl(String);

impl std::str::FromStr for CheckedUrl {
    type Err = ();

    fn from_str(text: &str) -> Result<CheckedUrl, ()> {
        let host = text
            .strip_prefix("http://")
            .map(|rest| rest.trim_end_matches('/'));
        match host {
            Some(host) if host.parse::<SocketAddr>().is_ok() => Ok(CheckedUrl(text.to_owned())),
            _ => Err(()),
        }
    }
}

fn read_url<'a>(
    reader: &mut SettingsReader<'a>,
    section: &mut SettingsSection<'a>,
    key: &str,
) -> String {
    let parsed: Option<CheckedUrl> =
        reader.parsed(section, key, "a base URL such as http://10.0.0.9:7000");
    parsed.map_or_else(String::new, |url| url.0)
}

fn read_limits(reader: &mut SettingsReader<'_>) -> LimitSettings {
    let mut section = reader.section("limits");
    let body = reader.number(
        &mut section,
        "body_bytes",
        &(1..1024 * MIB),
        DEFAULT_BODY_BYTES,
    );
    let file = reader.number(
        &mut section,
        "file_bytes",
        &(1..64 * 1024 * MIB),
        DEFAULT_FILE_BYTES,
    );
    let connections = reader.number(
        &mut section,
        "connections",
        &(1..1_000_001),
        DEFAULT_CONNECTIONS,
    );
    let workers = reader.number(&mut section, "workers", &(1..65), DEFAULT_WORKERS);
    let domain_loads_per_minute = reader.number(
        &mut section,
        "domain_loads_per_minute",
        &(1..6_001),
        DEFAULT_DOMAIN_LOADS_PER_MINUTE,
    );
    let balancer_wait = read_millis(
        reader,
        &mut section,
        "balancer_wait_ms",
        DEFAULT_BALANCER_WAIT_MS,
    );
    let drain = read_millis(reader, &mut section, "drain_ms", DEFAULT_DRAIN_MS);
    reader.end_section(&section);
    LimitSettings {
        body_bytes: to_usize(body),
        file_bytes: to_usize(file),
        connections: to_usize(connections),
        workers: to_usize(workers),
        domain_loads_per_minute,
        balancer_wait,
        drain,
    }
}

fn read_millis<'a>(
    reader: &mut SettingsReader<'a>,
    section: &mut SettingsSection<'a>,
    key: &str,
    default: u64,
) -> Duration {
    Duration::from_millis(reader.number(section, key, &(0..HOUR_MS + 1), default))
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

/// Reads the secret file that the field `key` names. The reason of an error contains the path and line in that file.
fn read_secret_file<'a, T>(
    reader: &mut SettingsReader<'a>,
    section: &mut SettingsSection<'a>,
    key: &str,
    directory: &Path,
    parse: fn(&str) -> Result<Vec<T>, LineProblem>,
) -> Vec<T> {
    let name = reader.string(section, key);
    if name.is_empty() {
        return Vec::new();
    }
    let path = directory.join(&name);
    let parsed = std::fs::read_to_string(&path)
        .map_err(|error| LineProblem::new(1, format!("cannot be read: {error}")))
        .and_then(|text| parse(&text));
    parsed.unwrap_or_else(|problem| {
        let field = format!("secrets.{key}");
        let location = format!("{}:{}", path.display(), problem.line);
        reader.report(1, field, format!("{location}: {}", problem.reason));
        Vec::new()
    })
}

impl ListenSettings {
    /// Loopback addresses with port 0, so that each listener binds a free port.
    #[must_use]
    pub fn loopback() -> ListenSettings {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        ListenSettings {
            callers: address,
            operators: address,
            mesh: address,
        }
    }
}

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings {
            body_bytes: to_usize(DEFAULT_BODY_BYTES),
            file_bytes: to_usize(DEFAULT_FILE_BYTES),
            connections: to_usize(DEFAULT_CONNECTIONS),
            workers: to_usize(DEFAULT_WORKERS),
            domain_loads_per_minute: DEFAULT_DOMAIN_LOADS_PER_MINUTE,
            balancer_wait: Duration::from_millis(DEFAULT_BALANCER_WAIT_MS),
            drain: Duration::from_millis(DEFAULT_DRAIN_MS),
        }
    }
}
