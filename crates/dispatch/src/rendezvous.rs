//! Rendezvous hash: each key orders the same names the same way on every VM.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of `name` for `key`; the highest score wins.
#[must_use]
pub fn score(name: &str, key: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

/// Hash of a text key.
#[must_use]
pub fn key_of(text: &str) -> u64 {
    xxh3_64_with_seed(text.as_bytes(), 0)
}

/// The name with the highest score for `key`; ties go to the greater name.
pub fn owner_of<'a>(names: impl Iterator<Item = &'a str>, key: u64) -> Option<&'a str> {
    names.max_by_key(|name| (score(name, key), *name))
}
