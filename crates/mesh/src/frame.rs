//! Encoding and authentication of frames.

use crate::message::Channel;
use bytes::Bytes;
use compact_str::CompactString;
use hmac::{Hmac, KeyInit as _, Mac as _};
use plantainmill_core::{Incarnation, VmId};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Version of the frame format that this build sends and accepts.
pub const FRAME_VERSION: u8 = 1;
/// Size limit of an encoded frame, including the authentication tag, in bytes.
pub const FRAME_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Length of the HMAC-SHA-256 tag that precedes the encoded frame, in bytes.
const TAG_BYTES: usize = 32;

/// One message between VMs. Field names are one letter on the wire because every VM sends several frames per second.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MeshFrame {
    /// Format version, [`FRAME_VERSION`].
    #[serde(rename = "v")]
    pub version: u8,
    /// VM that sent the frame.
    #[serde(rename = "f")]
    pub from: VmId,
    /// VM that the frame is for. Other VMs drop it, so that a recorded frame cannot be replayed to a third VM.
    #[serde(rename = "t")]
    pub to: VmId,
    /// Incarnation of the sender; frames of earlier incarnations are dropped.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// Subsystem that the body belongs to.
    #[serde(rename = "c")]
    pub channel: Channel,
    /// CBOR encoding of the subsystem's message.
    #[serde(rename = "b")]
    pub body: Bytes,
}

/// Shared secrets of the fleet. The first one signs and all of them verify, so that secrets can be rotated without
/// interrupting traffic.
#[derive(Clone)]
pub struct FleetSecret {
    secrets: Vec<CompactString>,
}

/// Why received bytes are not a valid frame.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, thiserror::Error)]
pub enum FrameError {
    /// Longer than [`FRAME_LIMIT_BYTES`].
    #[error("frame exceeds the size limit")]
    TooLong,
    /// The authentication tag matches none of the secrets.
    #[error("frame authentication failed: the tag matches no fleet secret")]
    Foreign,
    /// Shorter than the tag, or not the CBOR encoding of a frame.
    #[error("malformed frame")]
    Malformed,
    /// The format version is not [`FRAME_VERSION`].
    #[error("unsupported frame version")]
    Version,
}

impl FleetSecret {
    /// Creates the set from secrets in order of preference. At least one is needed: with an empty list, every received
    /// frame fails authentication.
    #[must_use]
    pub fn new(secrets: Vec<CompactString>) -> FleetSecret {
        FleetSecret { secrets }
    }

    /// Encodes and signs a frame. The result is empty if the frame cannot be encoded.
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

    /// Checks the size and the tag of `content` and decodes the frame.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the frame must be dropped.
    pub fn open(&self, content: &[u8]) -> Result<MeshFrame, FrameError> {
        if content.len() > FRAME_LIMIT_BYTES {
            return Err(FrameError::TooLong);
        }
        let (tag, body) = content
            .split_at_checked(TAG_BYTES)
            .ok_or(FrameError::Malformed)?;
        let authentic = self
            .secrets
            .iter()
            .any(|secret| new_mac(secret).chain_update(body).verify_slice(tag).is_ok());
        if !authentic {
            return Err(FrameError::Foreign);
        }
        let frame: MeshFrame = ciborium::from_reader(body).map_err(|_| FrameError::Malformed)?;
        if frame.version != FRAME_VERSION {
            return Err(FrameError::Version);
        }
        Ok(frame)
    }
}

fn new_mac(secret: &str) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret.as_bytes()).expect("HMAC accepts keys of any length")
}
