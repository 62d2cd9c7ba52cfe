//! Messages between the batch slices of VMs. All are hints: each is backed by polling.

use bytes::Bytes;
use plantainmill_core::JobId;
use plantainmill_mesh::{decode_body, encode_body};
use serde::{Deserialize, Serialize};

/// A message on the mesh channel `Batch`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BatchNotice {
    /// A job was accepted.
    Accepted {
        /// Job.
        job: JobId,
    },
    /// A job was cancelled; its items have to stop.
    Cancelled {
        /// Job.
        job: JobId,
    },
}

impl BatchNotice {
    /// CBOR of the message.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        encode_body(self)
    }

    /// Decodes a message.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<BatchNotice> {
        decode_body(content)
    }
}
