//! Reads of response bodies, which end when the sender falls silent.

use awc::ClientResponse;
use awc::error::PayloadError;
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt as _};
use std::time::Duration;
use tokio::time::timeout;

/// Limits of a response body.
#[derive(Clone, Copy, Debug)]
pub struct ContentLimits {
    /// Maximum time without any bytes. It does not depend on the size of the body: a large one over a slow link takes long.
    pub silence: Duration,
    /// Maximum size in bytes.
    pub bytes: usize,
}

/// Why a body was not received as a whole.
#[derive(Debug, thiserror::Error)]
pub enum ContentError {
    /// The connection stayed open without further bytes.
    #[error("the rest of the body did not come: silent for {0:?}")]
    Silent(Duration),
    /// The body is larger than the limit, in bytes.
    #[error("the body exceeds {0} bytes")]
    TooLarge(usize),
    /// The connection failed.
    #[error("the body was cut: {0}")]
    Cut(#[from] PayloadError),
}

/// Reads the whole body of a response.
///
/// The timeout of an `awc` request covers the head of its response only.
///
/// # Errors
///
/// Fails if the connection ends or falls silent before the end of the body, or the body is too large.
pub async fn read_content<S>(
    response: &mut ClientResponse<S>,
    limits: ContentLimits,
) -> Result<Bytes, ContentError>
where
    S: Stream<Item = Result<Bytes, PayloadError>>,
    ClientResponse<S>: Stream<Item = Result<Bytes, PayloadError>> + Unpin,
{
    let mut content = BytesMut::new();
    loop {
        let part = timeout(limits.silence, response.next()).await;
        let part = part.map_err(|_| ContentError::Silent(limits.silence))?;
        let Some(part) = part else {
            return Ok(content.freeze());
        };
        content.extend_from_slice(&part?);
        if content.len() > limits.bytes {
            return Err(ContentError::TooLarge(limits.bytes));
        }
    }
}
