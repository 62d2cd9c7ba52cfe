//! CBOR form of the message types that slices send in frames.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message. The result is empty, and dropped by its receiver, if the type has no CBOR form.
#[must_use]
pub fn encode_body<T: Serialize + ?Sized>(message: &T) -> Bytes {
    let mut content = Vec::new();
    if ciborium::into_writer(message, &mut content).is_err() {
        content.clear();
    }
    Bytes::from(content)
}

/// Decodes a message; `None` when it is malformed.
#[must_use]
pub fn decode_body<T: DeserializeOwned>(content: &[u8]) -> Option<T> {
    ciborium::from_reader(content).ok()
}
