//! Secrets and random identifiers, drawn from the operating system.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use compact_str::{CompactString, format_compact};
use sha2::{Digest, Sha256};

/// Bytes of randomness in a caller's or operator's key.
const SECRET_BYTES: usize = 32;
/// Bytes of randomness in an identifier.
const ID_BYTES: usize = 12;

/// Draws a 256-bit secret from the operating system, as URL-safe text after `prefix`.
///
/// # Panics
///
/// Panics when the operating system gives no randomness; no key may be issued then.
#[must_use]
pub fn new_secret(prefix: &str) -> CompactString {
    let mut bytes = [0_u8; SECRET_BYTES];
    getrandom::fill(&mut bytes).expect("the operating system provides randomness");
    format_compact!("{prefix}{}", URL_SAFE_NO_PAD.encode(bytes))
}

/// Draws a 96-bit random identifier after `prefix`.
///
/// # Panics
///
/// Panics when the operating system gives no randomness.
#[must_use]
pub fn new_id(prefix: &str) -> CompactString {
    let mut bytes = [0_u8; ID_BYTES];
    getrandom::fill(&mut bytes).expect("the operating system provides randomness");
    format_compact!("{prefix}{}", to_hex(&bytes))
}

/// SHA-256 of `secret` as lower-case hexadecimal. Secrets hold 256 random bits, so a plain hash suffices.
#[must_use]
pub fn hash_secret(secret: &str) -> CompactString {
    hash_bytes(secret.as_bytes())
}

/// SHA-256 of `bytes` as lower-case hexadecimal.
#[must_use]
pub fn hash_bytes(bytes: &[u8]) -> CompactString {
    to_hex(&Sha256::digest(bytes))
}

/// Lower-case hexadecimal text of `bytes`.
fn to_hex(bytes: &[u8]) -> CompactString {
    bytes
        .iter()
        .map(|byte| format_compact!("{byte:02x}"))
        .collect()
}
