//! Validates edits against the configuration they apply to.

use crate::change::{ConfigEdit, ResourceKind};
use crate::diff::edit_path;
use crate::model::{
    DefaultsSpec, ExceptionSpec, FleetConfig, KeySpec, OrganisationSpec, ServiceSpec, Subject,
    TargetSpec,
};
use crate::references::check_references;
use plantainmill_core::id::is_valid_id;
use plantainmill_core::{Problem, ResultCode};

/// Maximum number of edits in one change. A push of 256 edits to 350 VMs fits the send queues of the mesh.
pub const EDIT_LIMIT: usize = 256;
/// Maximum length of a label or a reason.
const TEXT_LIMIT_BYTES: usize = 1_000;
/// Maximum timeout of a service: one hour.
const TIMEOUT_LIMIT_MS: u64 = 3_600_000;
/// Maximum rate of an organisation, in requests per second; the fleet's peak is 2,900 requests per second.
const RATE_LIMIT: f64 = 1_000_000.0;
/// Maximum burst of an organisation, in requests.
const BURST_LIMIT: u32 = 1_000_000;
/// Maximum weight of an organisation. A deficit round robin visits every organisation in each round, so weights must
/// not differ too much.
const WEIGHT_LIMIT: u32 = 1_000;
/// Maximum number of requests in flight to one target.
const CONCURRENCY_LIMIT: u32 = 65_536;
/// Maximum number of replicas of one service; the whole fleet has 4,200.
const REPLICA_LIMIT: u32 = 100_000;
/// Number of hexadecimal digits of a SHA-256.
const HASH_LENGTH: usize = 64;

/// Range of valid values of a default and of the exceptions to it.
#[derive(Clone, Copy, Debug)]
pub struct SettingBounds {
    /// Name of the field in [`DefaultsSpec`].
    pub name: &'static str,
    /// Smallest valid value.
    pub minimum: u64,
    /// Largest valid value.
    pub maximum: u64,
}

const fn bounds(name: &'static str, minimum: u64, maximum: u64) -> SettingBounds {
    SettingBounds {
        name,
        minimum,
        maximum,
    }
}

/// Bounds of all defaults, in their own units.
pub const SETTING_BOUNDS: [SettingBounds; 7] = [
    bounds("item_attempts", 1, 100),
    bounds("key_recheck_limit_s", 1, 7 * 86_400),
    bounds("link_bytes_per_s", 0, 1_250_000_000),
    bounds("open_rate_per_s", 1, 1_000_000),
    bounds("queue_wait_ms", 0, 600_000),
    bounds("result_retention_s", 3_600, 10 * 365 * 86_400),
    bounds("retry_budget_percent", 0, 100),
];

/// Collects problems under the path of one resource.
pub(crate) struct ProblemList {
    path: String,
    problems: Vec<Problem>,
}

impl ProblemList {
    pub(crate) fn new(path: String) -> ProblemList {
        ProblemList {
            path,
            problems: Vec::new(),
        }
    }

    /// Adds a problem for `field`, or for the resource itself if `field` is empty, unless `valid`.
    pub(crate) fn require(&mut self, valid: bool, field: &str, reason: impl Into<String>) {
        if valid {
            return;
        }
        let path = if field.is_empty() {
            self.path.clone()
        } else {
            format!("{}.{field}", self.path)
        };
        let problem = Problem::new(ResultCode::ConfigInvalid, reason);
        self.problems.push(problem.with_field(path));
    }

    fn require_range(&mut self, value: u64, minimum: u64, maximum: u64, field: &str) {
        let reason = format!("must be {minimum} to {maximum}, is {value}");
        self.require((minimum..=maximum).contains(&value), field, reason);
    }

    fn require_text(&mut self, text: &str, field: &str) {
        let valid = !text.trim().is_empty() && text.len() <= TEXT_LIMIT_BYTES;
        let reason = format!("must be 1 to {TEXT_LIMIT_BYTES} bytes long and not blank");
        self.require(valid, field, reason);
    }

    fn require_id(&mut self, text: &str, field: &str) {
        let reason =
            "must be 1 to 64 characters of a-z A-Z 0-9 . _ -, starting with a letter or digit";
        self.require(is_valid_id(text), field, reason);
    }

    pub(crate) fn into_problems(self) -> Vec<Problem> {
        self.problems
    }
}

/// Validates `edits` on top of `config`. The result lists the problems of fields first, then those of references, each
/// in the order of the edits.
#[must_use]
pub fn validate_edits(config: &FleetConfig, edits: &[ConfigEdit]) -> Vec<Problem> {
    let mut list = ProblemList::new("edits".to_owned());
    list.require(!edits.is_empty(), "", "the change has no edits");
    let reason = format!(
        "the change may have at most {EDIT_LIMIT} edits, has {}",
        edits.len()
    );
    list.require(edits.len() <= EDIT_LIMIT, "", reason);
    let mut problems = list.into_problems();
    if !problems.is_empty() {
        return problems;
    }
    problems.extend(edits.iter().flat_map(validate_fields));
    problems.extend(check_references(config, edits));
    problems
}

/// Validates the fields of one edit without regard to other resources.
#[must_use]
pub fn validate_fields(edit: &ConfigEdit) -> Vec<Problem> {
    let mut list = ProblemList::new(edit_path(edit));
    match edit {
        ConfigEdit::PutException { id, spec } => {
            list.require_id(id, "");
            check_exception(&mut list, spec);
        }
        ConfigEdit::PutKey { id, spec } => {
            list.require_id(id, "");
            check_key(&mut list, spec);
        }
        ConfigEdit::PutOrganisation { id, spec } => {
            list.require_id(id, "");
            check_organisation(&mut list, spec);
        }
        ConfigEdit::PutService { id, spec } => {
            list.require_id(id, "");
            check_service(&mut list, spec);
        }
        ConfigEdit::PutTarget { id, spec } => {
            list.require_id(id, "");
            check_target(&mut list, spec);
        }
        ConfigEdit::PutDefaults { spec } => check_defaults(&mut list, spec),
        ConfigEdit::Delete { id, .. } => list.require_id(id, ""),
    }
    list.into_problems()
}

fn check_service(list: &mut ProblemList, spec: &ServiceSpec) {
    list.require_range(spec.timeout_ms, 1, TIMEOUT_LIMIT_MS, "timeout_ms");
    let maximum = u64::from(REPLICA_LIMIT);
    list.require_range(u64::from(spec.most_replicas), 0, maximum, "most_replicas");
    let ordered = spec.least_replicas <= spec.most_replicas;
    list.require(ordered, "least_replicas", "must be at most most_replicas");
    let reason = "requires repeatable: a hedged call is sent more than once";
    list.require(spec.repeatable || !spec.hedge, "hedge", reason);
}

fn check_target(list: &mut ProblemList, spec: &TargetSpec) {
    list.require_id(&spec.service, "service");
    list.require_id(&spec.domain, "domain");
    list.require_id(&spec.region, "region");
    list.require(
        spec.address.port() != 0,
        "address",
        "must have a port other than 0",
    );
    let unspecified = spec.address.ip().is_unspecified();
    list.require(
        !unspecified,
        "address",
        "must not be the unspecified address",
    );
    let maximum = u64::from(CONCURRENCY_LIMIT);
    list.require_range(u64::from(spec.concurrency), 1, maximum, "concurrency");
}

fn check_organisation(list: &mut ProblemList, spec: &OrganisationSpec) {
    let valid = spec.rate.is_finite() && spec.rate > 0.0 && spec.rate <= RATE_LIMIT;
    let reason = format!("must be above 0 and at most {RATE_LIMIT}, is {}", spec.rate);
    list.require(valid, "rate", reason);
    list.require_range(u64::from(spec.burst), 1, u64::from(BURST_LIMIT), "burst");
    list.require_range(u64::from(spec.weight), 1, u64::from(WEIGHT_LIMIT), "weight");
}

fn check_key(list: &mut ProblemList, spec: &KeySpec) {
    list.require_id(&spec.organisation, "organisation");
    list.require_text(&spec.label, "label");
    let is_lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    let valid = spec.hash.len() == HASH_LENGTH && spec.hash.bytes().all(is_lower_hex);
    let reason = "must be a SHA-256 as 64 lower-case hexadecimal digits";
    list.require(valid, "hash", reason);
}

fn check_defaults(list: &mut ProblemList, spec: &DefaultsSpec) {
    for bounds in SETTING_BOUNDS {
        let value = default_value(spec, bounds.name).unwrap_or_default();
        list.require_range(value, bounds.minimum, bounds.maximum, bounds.name);
    }
}

/// Value of the default `name`; `None` if there is no such default.
#[must_use]
pub fn default_value(spec: &DefaultsSpec, name: &str) -> Option<u64> {
    match name {
        "item_attempts" => Some(u64::from(spec.item_attempts)),
        "key_recheck_limit_s" => Some(spec.key_recheck_limit_s),
        "link_bytes_per_s" => Some(spec.link_bytes_per_s),
        "open_rate_per_s" => Some(u64::from(spec.open_rate_per_s)),
        "queue_wait_ms" => Some(spec.queue_wait_ms),
        "result_retention_s" => Some(spec.result_retention_s),
        "retry_budget_percent" => Some(u64::from(spec.retry_budget_percent)),
        _ => None,
    }
}

fn check_exception(list: &mut ProblemList, spec: &ExceptionSpec) {
    list.require_text(&spec.reason, "reason");
    match &spec.subject {
        Subject::Organisation(id) | Subject::Service(id) => list.require_id(id, "subject"),
    }
    let found = SETTING_BOUNDS
        .iter()
        .find(|bounds| spec.setting == bounds.name);
    let Some(bounds) = found else {
        list.require(false, "setting", "must be the name of a default");
        return;
    };
    list.require_range(spec.value, bounds.minimum, bounds.maximum, "value");
}

/// Merges `problems` into one whose reason lists all of them and whose field and code are those of the first; `None` if
/// there are none.
#[must_use]
pub fn join_problems(problems: Vec<Problem>) -> Option<Problem> {
    let mut problems = problems.into_iter();
    let mut joined = problems.next()?;
    for problem in problems {
        let field = problem.field.as_deref().unwrap_or("edits");
        joined.reason = format!("{}; {field}: {}", joined.reason, problem.reason);
    }
    Some(joined)
}

impl ResourceKind {
    /// Name of the section in fleet files, edit paths and diffs.
    #[must_use]
    pub fn section(self) -> &'static str {
        match self {
            ResourceKind::Exception => "exceptions",
            ResourceKind::Key => "keys",
            ResourceKind::Organisation => "organisations",
            ResourceKind::Service => "services",
            ResourceKind::Target => "targets",
        }
    }
}

impl FleetConfig {
    /// Whether the section of `kind` has a resource `id`.
    #[must_use]
    pub fn contains(&self, kind: ResourceKind, id: &str) -> bool {
        match kind {
            ResourceKind::Exception => self.exceptions.contains_key(id),
            ResourceKind::Key => self.keys.contains_key(id),
            ResourceKind::Organisation => self.organisations.contains_key(id),
            ResourceKind::Service => self.services.contains_key(id),
            ResourceKind::Target => self.targets.contains_key(id),
        }
    }
}
