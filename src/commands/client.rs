//! HTTP client of the administration API.

use anyhow::{Context as _, bail};
use awc::http::Method;
use clap::Args;
use serde_json::Value;
use std::path::PathBuf;
use std::time::Duration;

/// Longest wait for an answer; a change waits for the confirmations of the VMs.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest answer, in bytes.
const ANSWER_LIMIT_BYTES: usize = 256 * 1024 * 1024;

/// Where the administration API is and with which key it is called.
#[derive(Args, Clone, Debug)]
pub struct OperatorArgs {
    /// Operators' URL of any VM, such as `http://10.0.0.5:8081`.
    #[arg(long, env = "PLANTAINMILL_OPERATOR_URL")]
    pub operator: String,
    /// File with the operator key.
    #[arg(long, conflicts_with = "key")]
    pub key_file: Option<PathBuf>,
    /// Operator key.
    #[arg(long, env = "PLANTAINMILL_OPERATOR_KEY", hide_env_values = true)]
    pub key: Option<String>,
}

/// One call of the administration API.
pub struct AdminCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Value of `If-Match`.
    pub if_match: Option<String>,
    /// JSON body.
    pub body: Option<Value>,
}

impl AdminCall {
    /// A call that reads `path`.
    pub fn get(path: impl Into<String>) -> AdminCall {
        AdminCall {
            method: Method::GET,
            path: path.into(),
            if_match: None,
            body: None,
        }
    }
}

impl OperatorArgs {
    fn read_key(&self) -> anyhow::Result<String> {
        if let Some(path) = &self.key_file {
            let text = std::fs::read_to_string(path)
                .with_context(|| format!("cannot read the key file {}", path.display()))?;
            return Ok(text.trim().to_owned());
        }
        self.key
            .clone()
            .context("an operator key is needed: --key-file, --key or PLANTAINMILL_OPERATOR_KEY")
    }

    /// Sends `call` and gives the JSON answer; an error answer becomes an error with its code and reason.
    pub async fn send(&self, call: AdminCall) -> anyhow::Result<Value> {
        let url = format!("{}{}", self.operator.trim_end_matches('/'), call.path);
        let mut request = awc::Client::new()
            .request(call.method, &url)
            .timeout(ANSWER_TIMEOUT)
            .bearer_auth(self.read_key()?);
        if let Some(version) = call.if_match {
            request = request.insert_header(("if-match", version));
        }
        let sent = match &call.body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut answer = sent
            .await
            .map_err(|error| anyhow::anyhow!("{url}: {error}"))?;
        let content = answer
            .body()
            .limit(ANSWER_LIMIT_BYTES)
            .await
            .map_err(|error| anyhow::anyhow!("{url}: {error}"))?;
        if !answer.status().is_success() {
            bail!("{url}: {}: {}", answer.status(), error_text(&content));
        }
        if content.is_empty() {
            return Ok(Value::Null);
        }
        serde_json::from_slice(&content).with_context(|| format!("{url}: the answer is not JSON"))
    }
}

/// Code and reason of an error answer.
fn error_text(content: &[u8]) -> String {
    let Ok(value) = serde_json::from_slice::<Value>(content) else {
        return String::from_utf8_lossy(content).into_owned();
    };
    let error = &value["error"];
    let field = error["param"].as_str().unwrap_or("");
    let message = error["message"].as_str().unwrap_or("");
    format!("{} {} {field} {message}", error["result"], error["code"])
}
