//! CBOR of what VMs tell each other and keep in rows.

use serde::Serialize;

/// Encodes `value`.
///
/// # Panics
///
/// Panics on a type that CBOR cannot hold. Writing to memory does not fail.
#[must_use]
pub fn encode_cbor(value: &impl Serialize) -> Vec<u8> {
    let mut content = Vec::new();
    ciborium::into_writer(value, &mut content).expect("the type can be written as CBOR");
    content
}
