//! HTTP client of the administration API.

use anyhow::{Context as _, bail};
use awc::http::Method;
use clap::Args;
use serde_json::Value;
use std::path::PathBuf;
use std::time::Duration;

/// Response timeout. A change responds only after the VMs have confirmed it.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest accepted response body.
const RESPONSE_LIMIT_BYTES: usize = 256 * 1024 * 1024;

/// Address of the administration API and the operator key for it.
#[derive(Args, Clone, Debug)]
pub struct OperatorArgs {
    /// Operator URL of any VM, such as `http://10.0.0.5:8081`.
    #[arg(long, env = "PLANTAINMILL_OPERATOR_URL")]
    pub operator: String,
    /// File that holds the operator key.
    #[arg(long, conflicts_with = "key")]
    pub key_file: Option<PathBuf>,
    /// Operator key, as an alternative to a key file.
    #[arg(long, env = "PLANTAINMILL_OPERATOR_KEY", hide_env_values = true)]
    pub key: Option<String>,
}

/// A request to the administration API.
pub struct AdminCall {
    /// HTTP method: GET reads, all others change the fleet.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Value of `If-Match`: the quoted fleet version that a change applies to, or `*` for any.
    pub if_match: Option<String>,
    /// JSON body, if the request has one.
    pub body: Option<Value>,
}

impl AdminCall {
    /// A GET of `path`.
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
            .context("no operator key given: use --key-file, --key or PLANTAINMILL_OPERATOR_KEY")
    }

    /// Sends `call` and returns the JSON body, or null when it is empty. An error response becomes an error with its
    /// status, result code and message.
    pub async fn send(&self, call: AdminCall) -> anyhow::Result<Value> {
        let url = format!("{}{}", self.operator.trim_end_matches('/'), call.path);
        let mut request = awc::Client::new()
            .request(call.method, &url)
            .timeout(RESPONSE_TIMEOUT)
            .bearer_auth(self.read_key()?);
        if let Some(version) = call.if_match {
            request = request.insert_header(("if-match", version));
        }
        let pending = match &call.body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut response = pending
            .await
            .map_err(|error| anyhow::anyhow!("{url}: {error}"))?;
        let content = response
            .body()
            .limit(RESPONSE_LIMIT_BYTES)
            .await
            .map_err(|error| anyhow::anyhow!("{url}: {error}"))?;
        if !response.status().is_success() {
            bail!("{url}: {}: {}", response.status(), describe_error(&content));
        }
        if content.is_empty() {
            return Ok(Value::Null);
        }
        serde_json::from_slice(&content).with_context(|| format!("{url}: the response is not JSON"))
    }
}

/// Result number, code, field and message of an error response; the plain text when it is not JSON.
fn describe_error(content: &[u8]) -> String {
    let Ok(value) = serde_json::from_slice::<Value>(content) else {
        return String::from_utf8_lossy(content).into_owned();
    };
    let error = &value["error"];
    let field = error["param"].as_str().unwrap_or("");
    let message = error["message"].as_str().unwrap_or("");
    format!("{} {} {field} {message}", error["result"], error["code"])
}
