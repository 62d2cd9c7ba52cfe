//! Identifiers. All are short text, given by operators or drawn at random.

use compact_str::CompactString;

/// Identifies one VM of the system, from its settings.
pub type VmId = CompactString;
/// Names a failure domain.
pub type DomainName = CompactString;
/// Names a region.
pub type RegionName = CompactString;
/// Names a service, such as a model or a plain HTTP service.
pub type ServiceName = CompactString;
/// Identifies one target: a replica of a service.
pub type TargetId = CompactString;
/// Identifies an organisation.
pub type OrganisationId = CompactString;
/// Identifies a caller key. It is public; the secret is not.
pub type KeyId = CompactString;
/// Identifies a batch job.
pub type JobId = CompactString;
/// Identifies an item of a batch job: the caller's `custom_id`.
pub type ItemId = CompactString;
/// Counts the starts of a VM at one address; a later start has a higher number.
///
/// It is the wall-clock time of the start in microseconds since the Unix epoch.
pub type Incarnation = u64;

/// Longest identifier accepted from operators, in bytes.
pub const ID_LIMIT_BYTES: usize = 64;

/// Says whether `text` may be an identifier: 1 to 64 of `a-z A-Z 0-9 . _ -`, starting with a letter or digit.
#[must_use]
pub fn is_valid_id(text: &str) -> bool {
    let starts_well = text.starts_with(|first: char| first.is_ascii_alphanumeric());
    let all_allowed = text
        .chars()
        .all(|each| each.is_ascii_alphanumeric() || matches!(each, '.' | '_' | '-'));
    starts_well && all_allowed && text.len() <= ID_LIMIT_BYTES
}
