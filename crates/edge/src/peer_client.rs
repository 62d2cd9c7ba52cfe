//! HTTP client of the control listeners of other VMs.

use anyhow::anyhow;
use awc::ClientRequest;
use plantainmill_core::encode_cbor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout of a read. By then, messages of the peers announce more recent data than a late response contains.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a call. It covers the peer's own store call and the transfer between the VMs.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Largest response accepted from a peer, in bytes: a document with 100,000 organisations fits.
const RESPONSE_LIMIT_BYTES: usize = 32 << 20;

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
    let exchange = async {
        let sent = request.force_close().send_body(body).await;
        let mut response = sent.map_err(|error| anyhow!("{error}"))?;
        let content = response.body().limit(RESPONSE_LIMIT_BYTES).await;
        let content = content.map_err(|error| anyhow!("{error}"))?;
        anyhow::Ok(ciborium::from_reader(content.as_ref())?)
    };
    timeout(limit, exchange)
        .await
        .map_err(|_| anyhow!("no answer in time"))?
}
