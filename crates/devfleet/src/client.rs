//! Small HTTP client of the administration API, for seeding and tests.

use anyhow::Context as _;
use awc::http::{Method, StatusCode};
use serde_json::Value;
use std::time::Duration;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest answer, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// An answer that was read whole.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Body; null when it is not JSON.
    pub body: Value,
}

/// Calls the administration API of one VM.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    base: String,
    key: String,
}

impl OperatorClient {
    /// A client of the API at `base` with an operator key.
    #[must_use]
    pub fn new(base: &str, key: &str) -> OperatorClient {
        OperatorClient {
            base: base.to_owned(),
            key: key.to_owned(),
        }
    }

    /// Sends a call that applies to whatever version is current.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> anyhow::Result<HttpAnswer> {
        self.send_at(method, path, "*", body).await
    }

    /// Sends a call with the condition `if_match`.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    pub async fn send_at(
        &self,
        method: Method,
        path: &str,
        if_match: &str,
        body: Option<&Value>,
    ) -> anyhow::Result<HttpAnswer> {
        let url = format!("{}{path}", self.base);
        let request = awc::Client::new()
            .request(method, &url)
            .timeout(ANSWER_TIMEOUT)
            .insert_header(("if-match", if_match))
            .bearer_auth(&self.key);
        let sent = match body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut answer = sent
            .await
            .map_err(|error| anyhow::anyhow!("{url}: {error}"))?;
        let content = answer.body().limit(ANSWER_LIMIT_BYTES).await;
        let content = content.map_err(|error| anyhow::anyhow!("{url}: {error}"))?;
        Ok(HttpAnswer {
            status: answer.status(),
            body: serde_json::from_slice(&content).unwrap_or_default(),
        })
    }

    /// Sends a call that has to succeed and gives its body.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes, or one that is not a success.
    pub async fn expect(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> anyhow::Result<Value> {
        let answer = self.send(method, path, body).await?;
        anyhow::ensure!(
            answer.status.is_success(),
            "{path}: {}: {}",
            answer.status,
            answer.body
        );
        Ok(answer.body)
    }

    /// Issues a key and gives its id and secret.
    ///
    /// # Errors
    ///
    /// Fails when the key is not issued.
    pub async fn issue_key(&self, organisation: &str) -> anyhow::Result<(String, String)> {
        let path = format!("/admin/v1/organisations/{organisation}/keys");
        let body = serde_json::json!({"label": "dev", "reason": "development fleet"});
        let answer = self.expect(Method::POST, &path, Some(&body)).await?;
        let id = answer["id"].as_str().context("the answer has no id")?;
        let secret = answer["secret"]
            .as_str()
            .context("the answer has no secret")?;
        Ok((id.to_owned(), secret.to_owned()))
    }
}
