//! Which failure domains have a pool of an organisation, and which VM of a domain holds it.

use plantainmill_core::{DomainName, OrganisationId, VmId};
use std::cmp::Reverse;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Smallest burst of one pool, in tokens. Smaller pools are full more often, and then lose tokens.
const MIN_POOL_BURST: f64 = 8.0;

/// Number of pools of an organisation with this burst, for `domains` failure domains: at least 1.
#[must_use]
pub fn pool_count(burst: f64, domains: usize) -> usize {
    let fits = |count: &usize| to_f64(*count) * MIN_POOL_BURST <= burst;
    (1..=domains).take_while(fits).last().unwrap_or(1)
}

/// Failure domains with a pool of `organisation`, in rendezvous order. All VMs with the same settings derive the same ones.
#[must_use]
pub fn pool_domains<'a>(
    organisation: &OrganisationId,
    burst: f64,
    domains: impl Iterator<Item = &'a DomainName>,
) -> Vec<DomainName> {
    let key = xxh3_64(organisation.as_bytes());
    let mut domains: Vec<&DomainName> = domains.collect();
    domains.sort_by_cached_key(|domain| Reverse((score(domain, key), (*domain).clone())));
    domains.truncate(pool_count(burst, domains.len()));
    domains.into_iter().cloned().collect()
}

/// VM that holds the pool of `organisation` in `domain`, of the domain's live VMs `members`.
pub fn holder_of<'a>(
    organisation: &OrganisationId,
    domain: &DomainName,
    members: impl Iterator<Item = &'a VmId>,
) -> Option<&'a VmId> {
    let key = xxh3_64_with_seed(organisation.as_bytes(), xxh3_64(domain.as_bytes()));
    members.max_by_key(|vm| (score(vm, key), *vm))
}

fn score(name: &str, key: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Converts a count; values above the range of `u32` count as its maximum.
pub(super) fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::from(u32::MAX), f64::from)
}
