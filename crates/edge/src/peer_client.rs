//! HTTP client of the control listeners of other VMs.

use anyhow::anyhow;
use awc::ClientRequest;
use plantainmill_core::encode_cbor;
use plantainmill_provider::http::{ContentLimits, read_content};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum time until the response to a read begins.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time until the response to a call begins. It covers the peer's own store call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Limits of a response's body: a document with 100,000 organisations fits. Its transfer may take longer than new data takes to
/// come; an older document is better than none.
const CONTENT_LIMITS: ContentLimits = ContentLimits {
    silence: Duration::from_secs(1),
    bytes: 32 << 20,
};

/// Client of other VMs. Each call opens a new connection, because calls are rare and a pooled connection may have gone
/// dead unnoticed.
pub(crate) struct PeerClient {
    client: awc::Client,
}

impl PeerClient {
    pub fn new() -> PeerClient {
        PeerClient {
            client: awc::Client::builder().disable_redirects().finish(),
        }
    }

    /// Reads `path` from the peer whose control listener is at `control`.
    pub async fn read<T: DeserializeOwned>(
        &self,
        control: SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let request = self.client.get(format!("http://{control}{path}"));
        send_and_decode(request, Vec::new(), READ_TIMEOUT).await
    }

    /// Posts `call` to `path` of the peer whose control listener is at `control`.
    pub async fn call<T: DeserializeOwned>(
        &self,
        control: SocketAddr,
        path: &str,
        call: &impl Serialize,
    ) -> anyhow::Result<T> {
        let request = self.client.post(format!("http://{control}{path}"));
        send_and_decode(request, encode_cbor(call), CALL_TIMEOUT).await
    }
}

async fn send_and_decode<T: DeserializeOwned>(
    request: ClientRequest,
    body: Vec<u8>,
    limit: Duration,
) -> anyhow::Result<T> {
    let sent = timeout(limit, request.force_close().send_body(body)).await;
    let sent = sent.map_err(|_| anyhow!("no answer in time"))?;
    let mut response = sent.map_err(|error| anyhow!("{error}"))?;
    let content = read_content(&mut response, CONTENT_LIMITS).await?;
    Ok(ciborium::from_reader(content.as_ref())?)
}
