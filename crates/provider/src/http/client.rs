//! Shared by the platform clients: one `awc` client per thread and the mapping of its errors to [`StoreError`].

use super::content::{ContentLimits, read_content};
use crate::StoreError;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Limits of a platform call.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Maximum time until the head of the response, and without any bytes of its body.
    pub timeout: Duration,
    /// Maximum size of a response body, in bytes.
    pub response_limit_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> ClientSettings {
        ClientSettings {
            timeout: Duration::from_secs(3),
            response_limit_bytes: 512 * 1024 * 1024,
        }
    }
}

thread_local! {
    static CLIENT: awc::Client = awc::Client::builder()
        .disable_redirects()
        .timeout(Duration::from_secs(30))
        .finish();
}

pub(super) fn client() -> awc::Client {
    CLIENT.with(Clone::clone)
}

/// Sends `body` as JSON and decodes the JSON response.
pub(super) async fn post_json<B, R>(
    url: &str,
    body: &B,
    settings: ClientSettings,
) -> Result<R, StoreError>
where
    R: DeserializeOwned,
    B: Serialize,
{
    let send = client().post(url).timeout(settings.timeout).send_json(body);
    read_json(send.await, settings).await
}

/// Sends a GET request and decodes the JSON response.
pub(super) async fn get_json<R: DeserializeOwned>(
    url: &str,
    settings: ClientSettings,
) -> Result<R, StoreError> {
    let send = client().get(url).timeout(settings.timeout).send();
    read_json(send.await, settings).await
}

async fn read_json<R, S>(
    send_result: Result<awc::ClientResponse<S>, SendRequestError>,
    settings: ClientSettings,
) -> Result<R, StoreError>
where
    R: DeserializeOwned,
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let content = read_body(send_result, settings).await?;
    serde_json::from_slice(&content).map_err(|error| StoreError::Malformed(error.to_string()))
}

/// Reads the whole body of a response; a status other than 2xx is an error.
pub(super) async fn read_body<S>(
    send_result: Result<awc::ClientResponse<S>, SendRequestError>,
    settings: ClientSettings,
) -> Result<Bytes, StoreError>
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut response = send_result.map_err(|error| classify_send_error(&error))?;
    let status = response.status();
    let limits = ContentLimits {
        silence: settings.timeout,
        bytes: settings.response_limit_bytes,
    };
    let content = read_content(&mut response, limits)
        .await
        .map_err(|error| StoreError::Unknown(error.to_string()))?;
    if status.is_success() {
        Ok(content)
    } else {
        Err(classify_status(status, &content))
    }
}

/// Maps a failure status. A call that got a 503 or 4xx had no effect; with any other status it may have had one.
fn classify_status(status: StatusCode, content: &Bytes) -> StoreError {
    let text = String::from_utf8_lossy(content);
    let reason = format!("{status}: {text}");
    if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() {
        StoreError::Unavailable(reason)
    } else {
        StoreError::Unknown(reason)
    }
}

/// Maps a failed send. A call had no effect if the connection could not be opened; otherwise it may have had one.
#[must_use]
pub fn classify_send_error(error: &SendRequestError) -> StoreError {
    let reason = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => StoreError::Unknown(reason),
        SendRequestError::Connect(_) | SendRequestError::Url(_) => StoreError::Unavailable(reason),
        _ => StoreError::Unknown(reason),
    }
}
