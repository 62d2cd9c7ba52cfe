//! Batch jobs of a scenario: upload, create, poll.

use crate::online::chat_body;
use crate::scenario::{BatchLoad, BenchEndpoints};
use anyhow::Context as _;
use serde_json::{Value, json};
use std::fmt::Write as _;

/// Boundary of the multipart upload; it cannot occur in the JSON lines.
const BOUNDARY: &str = "plantainmill-bench-boundary";

/// Jobs that were created.
#[derive(Clone, Debug)]
pub struct BatchJobs {
    base: String,
    key: String,
    jobs: Vec<String>,
}

impl BatchJobs {
    /// Uploads one input file and creates the jobs.
    ///
    /// # Errors
    ///
    /// Fails when the fleet refuses the file or a job.
    pub async fn create(load: &BatchLoad, endpoints: &BenchEndpoints) -> anyhow::Result<BatchJobs> {
        let base = endpoints.callers.first().context("no callers' URL")?;
        let mut jobs = BatchJobs {
            base: base.clone(),
            key: endpoints.key(&load.organisation)?.to_owned(),
            jobs: Vec::new(),
        };
        let file = jobs.upload(&input_lines(load)).await?;
        for _ in 0..load.jobs {
            let body = json!({"input_file_id": file, "endpoint": "/v1/chat/completions", "completion_window": "24h"});
            let request = awc::Client::new().post(format!("{}/v1/batches", jobs.base));
            let sent = request.bearer_auth(&jobs.key).send_json(&body);
            let job = read_object(sent.await).await?;
            jobs.jobs.push(text(&job, "id")?);
        }
        Ok(jobs)
    }

    async fn upload(&self, lines: &str) -> anyhow::Result<String> {
        let mut body = String::new();
        for (name, extra, content) in [
            ("purpose", "", "batch"),
            ("file", "; filename=\"items.jsonl\"", lines),
        ] {
            let _ = write!(
                body,
                "--{BOUNDARY}\r\ncontent-disposition: form-data; name=\"{name}\"{extra}\r\n\r\n{content}\r\n"
            );
        }
        let _ = write!(body, "--{BOUNDARY}--\r\n");
        let request = awc::Client::new().post(format!("{}/v1/files", self.base));
        let sent = request
            .bearer_auth(&self.key)
            .content_type(format!("multipart/form-data; boundary={BOUNDARY}"))
            .send_body(body);
        text(&read_object(sent.await).await?, "id")
    }

    /// Items completed so far in all jobs.
    ///
    /// # Errors
    ///
    /// Fails when a job cannot be read.
    pub async fn completed(&self) -> anyhow::Result<u64> {
        let mut completed = 0;
        for job in &self.jobs {
            let request = awc::Client::new().get(format!("{}/v1/batches/{job}", self.base));
            let object = read_object(request.bearer_auth(&self.key).send().await).await?;
            completed += object["request_counts"]["completed"].as_u64().unwrap_or(0);
        }
        Ok(completed)
    }
}

fn input_lines(load: &BatchLoad) -> String {
    let mut lines = String::new();
    for item in 0..load.items {
        let line = json!({
            "custom_id": format!("item-{item}"), "method": "POST", "url": "/v1/chat/completions",
            "body": chat_body(&load.model, 8, load.max_tokens, false),
        });
        let _ = writeln!(lines, "{line}");
    }
    lines
}

async fn read_object<S>(
    sent: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
) -> anyhow::Result<Value>
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut answer = sent.map_err(|error| anyhow::anyhow!("{error}"))?;
    let content = answer
        .body()
        .await
        .map_err(|error| anyhow::anyhow!("{error}"))?;
    anyhow::ensure!(
        answer.status().is_success(),
        "{}: {}",
        answer.status(),
        String::from_utf8_lossy(&content)
    );
    serde_json::from_slice(&content).context("the answer is not JSON")
}

fn text(object: &Value, field: &str) -> anyhow::Result<String> {
    let found = object[field].as_str();
    found
        .map(str::to_owned)
        .with_context(|| format!("the answer has no {field}"))
}
