//! Shared plumbing: one `awc` client per thread and the mapping of its errors.

use crate::StoreError;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Limits of platform calls.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Time until the whole answer.
    pub timeout: Duration,
    /// Largest answer accepted, in bytes.
    pub answer_limit_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> ClientSettings {
        ClientSettings {
            timeout: Duration::from_secs(3),
            answer_limit_bytes: 512 * 1024 * 1024,
        }
    }
}

thread_local! {
    static CLIENT: awc::Client = awc::Client::builder()
        .disable_redirects()
        .timeout(Duration::from_secs(30))
        .finish();
}

/// The client of this thread.
pub(super) fn client() -> awc::Client {
    CLIENT.with(Clone::clone)
}

/// Sends `body` as JSON and reads a JSON answer.
pub(super) async fn post_json<B, A>(
    url: &str,
    body: &B,
    settings: ClientSettings,
) -> Result<A, StoreError>
where
    A: DeserializeOwned,
    B: Serialize,
{
    let sent = client().post(url).timeout(settings.timeout).send_json(body);
    read_json(sent.await, settings).await
}

/// Reads a JSON answer from `url`.
pub(super) async fn get_json<A: DeserializeOwned>(
    url: &str,
    settings: ClientSettings,
) -> Result<A, StoreError> {
    let sent = client().get(url).timeout(settings.timeout).send();
    read_json(sent.await, settings).await
}

/// Reads and decodes an answer.
async fn read_json<A, S>(
    sent: Result<awc::ClientResponse<S>, SendRequestError>,
    settings: ClientSettings,
) -> Result<A, StoreError>
where
    A: DeserializeOwned,
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let content = read_body(sent, settings).await?;
    serde_json::from_slice(&content).map_err(|error| StoreError::Malformed(error.to_string()))
}

/// Reads the whole body of a successful answer.
pub(super) async fn read_body<S>(
    sent: Result<awc::ClientResponse<S>, SendRequestError>,
    settings: ClientSettings,
) -> Result<Bytes, StoreError>
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut answer = sent.map_err(|error| classify_send_error(&error))?;
    let status = answer.status();
    let content = answer
        .body()
        .limit(settings.answer_limit_bytes)
        .await
        .map_err(|error| StoreError::Unknown(error.to_string()))?;
    if status.is_success() {
        Ok(content)
    } else {
        Err(status_error(status, &content))
    }
}

/// A 503 says that nothing was done; every other failure leaves the effect open.
fn status_error(status: StatusCode, content: &Bytes) -> StoreError {
    let text = String::from_utf8_lossy(content);
    let reason = format!("{status}: {text}");
    if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() {
        StoreError::Unavailable(reason)
    } else {
        StoreError::Unknown(reason)
    }
}

/// A call that found no connection had no effect; any other failure may have had one.
#[must_use]
pub fn classify_send_error(error: &SendRequestError) -> StoreError {
    let reason = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => StoreError::Unknown(reason),
        SendRequestError::Connect(_) | SendRequestError::Url(_) => StoreError::Unavailable(reason),
        _ => StoreError::Unknown(reason),
    }
}
