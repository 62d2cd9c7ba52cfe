//! Rendezvous hashing: every VM derives the same order of names for a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of `name` for `key`; the name with the highest score is selected.
#[must_use]
pub fn score(name: &str, key: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Hash of a text, for use as a key. It is the same on all VMs and builds.
#[must_use]
pub fn key_of(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// The name with the highest score for `key`; the greater name if scores are equal.
pub fn owner_of<'a>(names: impl Iterator<Item = &'a str>, key: u64) -> Option<&'a str> {
    names.max_by_key(|name| (score(name, key), *name))
}
