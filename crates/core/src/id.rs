//! Identifiers: short strings, set by operators or generated at random.

use compact_str::CompactString;
use std::fmt::{self, Display, Formatter};

/// Identifies one VM; set in its settings.
pub type VmId = CompactString;
/// Names a failure domain: VMs or targets that may fail together.
pub type DomainName = CompactString;
/// Names the region that a VM runs in.
pub type RegionName = CompactString;
/// Names a service: a model or a plain HTTP service that one or more targets provide.
pub type ServiceName = CompactString;
/// Identifies one target: a replica of a service.
pub type TargetId = CompactString;
/// Names a software version of the targets of a service. Versions have no order.
pub type VersionName = CompactString;
/// Identifies an organisation: the owner of keys, with a rate limit of its own.
pub type OrganisationId = CompactString;
/// Identifies a caller's API key. Unlike the key's secret it is public.
pub type KeyId = CompactString;
/// Identifies a batch job.
pub type JobId = CompactString;
/// Identifies an item of a batch job: the caller's `custom_id`.
pub type ItemId = CompactString;
/// Identifies a part of a prompt by the hash of its content, or of the id that stands for the content.
pub type PartId = u64;
/// Identifies a request by the hash of its content, so that a request that comes again is recognised at each VM.
pub type RequestHash = u64;
/// Distinguishes the starts of a VM at one address; a later start has a higher value.
///
/// It is the wall-clock time of the start in microseconds since the Unix epoch.
pub type Incarnation = u64;

/// Maximum length of an identifier set by operators, in bytes.
pub const ID_LIMIT_BYTES: usize = 64;

/// Returns whether `text` is a valid identifier: 1 to [`ID_LIMIT_BYTES`] characters of `a-z A-Z 0-9 . _ -`, the first
/// of which is a letter or digit.
#[must_use]
pub fn is_valid_id(text: &str) -> bool {
    let has_valid_start = text.starts_with(|first: char| first.is_ascii_alphanumeric());
    let all_allowed = text
        .chars()
        .all(|character| character.is_ascii_alphanumeric() || matches!(character, '.' | '_' | '-'));
    has_valid_start && all_allowed && text.len() <= ID_LIMIT_BYTES
}

/// Shows parts of a prompt in log lines, in hexadecimal and separated by commas.
pub struct PartList<'a>(pub &'a [PartId]);

impl Display for PartList<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{part:016x}")?;
        }
        Ok(())
    }
}
