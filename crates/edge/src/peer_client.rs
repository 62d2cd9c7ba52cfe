//! Calls of the control listeners of other VMs.

use anyhow::anyhow;
use awc::ClientRequest;
use plantainmill_core::encode_cbor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Time for a read: what comes later is older than what reports say by then.
const READ_LIMIT: Duration = Duration::from_secs(1);
/// Time for a call: the peer's own call of the store and the way there.
const CALL_LIMIT: Duration = Duration::from_millis(1_800);
/// Largest answer taken from a peer, in bytes: room for 100,000 organisations.
const ANSWER_LIMIT_BYTES: usize = 32 << 20;

/// Client of other VMs. Each call has a connection of its own: calls are rare, and a kept connection may be silent.
pub(crate) struct PeerClient {
    client: awc::Client,
}

impl PeerClient {
    pub fn new() -> PeerClient {
        PeerClient {
            client: awc::Client::builder().disable_redirects().finish(),
        }
    }

    /// Reads from the peer whose control listener is at `control`.
    pub async fn read<T: DeserializeOwned>(
        &self,
        control: SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let request = self.client.get(format!("http://{control}{path}"));
        finish(request, Vec::new(), READ_LIMIT).await
    }

    /// Sends `call` to that peer.
    pub async fn call<T: DeserializeOwned>(
        &self,
        control: SocketAddr,
        path: &str,
        call: &impl Serialize,
    ) -> anyhow::Result<T> {
        let request = self.client.post(format!("http://{control}{path}"));
        finish(request, encode_cbor(call), CALL_LIMIT).await
    }
}

async fn finish<T: DeserializeOwned>(
    request: ClientRequest,
    body: Vec<u8>,
    limit: Duration,
) -> anyhow::Result<T> {
    let answered = async {
        let sent = request.force_close().send_body(body).await;
        let mut answer = sent.map_err(|error| anyhow!("{error}"))?;
        let content = answer.body().limit(ANSWER_LIMIT_BYTES).await;
        let content = content.map_err(|error| anyhow!("{error}"))?;
        anyhow::Ok(ciborium::from_reader(content.as_ref())?)
    };
    timeout(limit, answered)
        .await
        .map_err(|_| anyhow!("no answer in time"))?
}
