//! Messages between the batch services of VMs. They only reduce latency: polling finds what a lost message announced.

use bytes::Bytes;
use plantainmill_core::JobId;
use plantainmill_mesh::{decode_body, encode_body};
use serde::{Deserialize, Serialize};

/// A message on the mesh channel `Batch`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BatchNotice {
    /// A job was accepted; its chunks can be claimed.
    Accepted {
        /// Id of the job.
        job: JobId,
    },
    /// A job was cancelled; its running items must stop.
    Cancelled {
        /// Id of the job.
        job: JobId,
    },
}

impl BatchNotice {
    /// Encodes the message as CBOR.
    #[must_use]
    pub fn encode(&self) -> Bytes {
        encode_body(self)
    }

    /// Decodes a message; `None` if it is malformed.
    #[must_use]
    pub fn decode(content: &[u8]) -> Option<BatchNotice> {
        decode_body(content)
    }
}
