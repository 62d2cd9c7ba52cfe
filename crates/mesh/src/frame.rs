//! Encoding and authentication of frames.

use crate::message::Channel;
use bytes::Bytes;
use compact_str::CompactString;
use hmac::{Hmac, KeyInit as _, Mac as _};
use plantainmill_core::{Incarnation, VmId};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Version of the frame format.
pub const FRAME_VERSION: u8 = 1;
/// Largest frame accepted, in bytes.
pub const FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Length of the HMAC-SHA-256 tag before the body, in bytes.
const TAG_BYTES: usize = 32;

/// One message between VMs. Field names are one letter on the wire: every VM sends several frames a second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeshFrame {
    /// Version of the format.
    #[serde(rename = "v")]
    pub version: u8,
    /// Sender.
    #[serde(rename = "f")]
    pub from: VmId,
    /// Receiver; a frame for another VM is dropped, so that a recorded frame cannot be replayed to a third VM.
    #[serde(rename = "t")]
    pub to: VmId,
    /// Incarnation of the sender.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Slice.
    #[serde(rename = "c")]
    pub channel: Channel,
    /// CBOR of the slice's message.
    #[serde(rename = "b")]
    pub body: Bytes,
}

/// Secrets of the fleet: the first signs, all verify. Two at once allow rotation without a cut.
#[derive(Clone)]
pub struct FleetSecret {
    secrets: Vec<CompactString>,
}

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// It is longer than the limit.
    #[error("the frame is too long")]
    TooLong,
    /// No secret gives its tag.
    #[error("the frame's tag does not match")]
    Foreign,
    /// It is not a frame.
    #[error("the frame is malformed")]
    Malformed,
    /// Its version is not supported.
    #[error("the frame's version is not supported")]
    Version,
}

impl FleetSecret {
    /// Secrets in order of preference. At least one is needed; an empty list verifies nothing.
    #[must_use]
    pub fn new(secrets: Vec<CompactString>) -> FleetSecret {
        FleetSecret { secrets }
    }

    /// Encodes and signs a frame.
    #[must_use]
    pub fn seal(&self, frame: &MeshFrame) -> Bytes {
        let mut content = Vec::with_capacity(TAG_BYTES + frame.body.len() + 96);
        content.resize(TAG_BYTES, 0);
        if ciborium::into_writer(frame, &mut content).is_err() {
            return Bytes::new();
        }
        let secret = self.secrets.first().map_or("", CompactString::as_str);
        let tag = new_mac(secret)
            .chain_update(&content[TAG_BYTES..])
            .finalize();
        content[..TAG_BYTES].copy_from_slice(&tag.into_bytes());
        Bytes::from(content)
    }

    /// Verifies and decodes a frame.
    ///
    /// # Errors
    ///
    /// Says why the frame has to be dropped.
    pub fn open(&self, content: &[u8]) -> Result<MeshFrame, FrameError> {
        if content.len() > FRAME_LIMIT_BYTES {
            return Err(FrameError::TooLong);
        }
        let (tag, body) = content
            .split_at_checked(TAG_BYTES)
            .ok_or(FrameError::Malformed)?;
        let known = self
            .secrets
            .iter()
            .any(|secret| new_mac(secret).chain_update(body).verify_slice(tag).is_ok());
        if !known {
            return Err(FrameError::Foreign);
        }
        let frame: MeshFrame = ciborium::from_reader(body).map_err(|_| FrameError::Malformed)?;
        if frame.version != FRAME_VERSION {
            return Err(FrameError::Version);
        }
        Ok(frame)
    }
}

/// HMAC accepts keys of any length, so this cannot fail.
fn new_mac(secret: &str) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length")
}
