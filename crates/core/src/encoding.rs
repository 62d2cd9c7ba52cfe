//! CBOR encoding of messages between VMs and of stored rows.

use serde::Serialize;

/// Encodes `value` as CBOR.
///
/// # Panics
///
/// Panics if CBOR cannot represent the type of `value`; writing to memory does not fail otherwise.
#[must_use]
pub fn encode_cbor(value: &impl Serialize) -> Vec<u8> {
    let mut content = Vec::new();
    ciborium::into_writer(value, &mut content).expect("the type can be written as CBOR");
    content
}
