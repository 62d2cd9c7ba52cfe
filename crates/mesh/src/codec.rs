//! CBOR encoding of the messages that subsystems send in frame bodies.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message as CBOR. If serialization fails, the result is empty and the receiver cannot decode it.
#[must_use]
pub fn encode_body<T: Serialize + ?Sized>(message: &T) -> Bytes {
    let mut content = Vec::new();
    if ciborium::into_writer(message, &mut content).is_err() {
        content.clear();
    }
    Bytes::from(content)
}

/// Decodes a CBOR message. Returns `None` if `content` is malformed.
#[must_use]
pub fn decode_body<T: DeserializeOwned>(content: &[u8]) -> Option<T> {
    ciborium::from_reader(content).ok()
}
