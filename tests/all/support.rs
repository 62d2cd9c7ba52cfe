//! A fleet on loopback and helpers for the calls that tests make.

use plantainmill_devfleet::{DevFleet, DevOptions, OperatorClient};
use serde_json::{Value, json};
use std::time::Duration;

/// Largest response body that tests read.
const RESPONSE_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// Polls of a resource before a test fails.
const POLL_LIMIT: usize = 1_500;
/// Interval between polls of a resource.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A response as a caller receives it.
pub struct CallerResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `plantainmill-result` header; empty when it is missing.
    pub result: String,
    /// Value of the `plantainmill-executed` header; empty when it is missing.
    pub executed: String,
    /// Value of the `Retry-After` header.
    pub retry_after: Option<String>,
    /// Body, decoded as UTF-8.
    pub text: String,
}

impl CallerResponse {
    /// The body as JSON; null when it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }
}

/// Runs `test` with a fleet, stops the fleet gracefully, and checks that the stop aborted no request.
pub fn with_fleet<F>(options: DevOptions, test: impl FnOnce(TestFleet) -> F)
where
    F: Future<Output = TestFleet>,
{
    actix_rt::System::new().block_on(async {
        let fleet = DevFleet::start(options).await.expect("a fleet on loopback");
        let fleet = test(TestFleet { fleet }).await;
        let aborted = fleet.fleet.stop().await;
        assert_eq!(aborted, 0, "the graceful stop aborted requests");
    });
}

/// A fleet under test.
pub struct TestFleet {
    /// The fleet, stopped by `with_fleet` after the test.
    pub fleet: DevFleet,
}

impl TestFleet {
    /// API key of an organisation.
    pub fn key(&self, organisation: &str) -> String {
        self.fleet.ready().organisations[organisation].clone()
    }

    /// URL on which a VM serves callers.
    pub fn callers(&self, vm: usize) -> String {
        self.fleet.ready().callers[vm].clone()
    }

    /// Client of the administration API of a VM.
    pub fn operator(&self, vm: usize) -> OperatorClient {
        let ready = self.fleet.ready();
        OperatorClient::new(&ready.operators[vm], &ready.operator_key)
    }

    /// Sends a GET request to a VM.
    pub async fn get(&self, vm: usize, path: &str, key: Option<&str>) -> CallerResponse {
        let url = format!("{}{path}", self.callers(vm));
        let mut request = awc::Client::new().get(url);
        if let Some(key) = key {
            request = request.bearer_auth(key);
        }
        read(request.send().await).await
    }

    /// Sends a POST request with a JSON body to a VM.
    pub async fn post(
        &self,
        vm: usize,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> CallerResponse {
        self.post_with_headers(vm, path, key, body, &[]).await
    }

    /// Sends a POST request with a JSON body and extra headers to a VM.
    pub async fn post_with_headers(
        &self,
        vm: usize,
        path: &str,
        key: Option<&str>,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> CallerResponse {
        let url = format!("{}{path}", self.callers(vm));
        let mut request = awc::Client::new().post(url).timeout(Duration::from_mins(1));
        if let Some(key) = key {
            request = request.bearer_auth(key);
        }
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        read(request.send_json(body).await).await
    }

    /// Requests a chat completion of at most `max_tokens` tokens.
    pub async fn chat(&self, vm: usize, organisation: &str, max_tokens: u32) -> CallerResponse {
        let key = self.key(organisation);
        let body = chat_body("assistant", max_tokens, false);
        self.post(vm, "/v1/chat/completions", Some(&key), &body)
            .await
    }

    /// Uploads the input file of a batch job. The response body has its id.
    pub async fn upload(&self, vm: usize, key: &str, lines: &str) -> CallerResponse {
        let boundary = "test-boundary";
        let body = format!(
            "--{boundary}\r\ncontent-disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --{boundary}\r\ncontent-disposition: form-data; name=\"file\"; filename=\"items.jsonl\"\r\n\r\n\
             {lines}\r\n--{boundary}--\r\n"
        );
        let request = awc::Client::new()
            .post(format!("{}/v1/files", self.callers(vm)))
            .bearer_auth(key)
            .content_type(format!("multipart/form-data; boundary={boundary}"));
        read(request.send_body(body).await).await
    }

    /// Polls `path` until `done` holds for its JSON body, and returns that body.
    pub async fn poll(
        &self,
        vm: usize,
        path: &str,
        key: &str,
        done: impl Fn(&Value) -> bool,
    ) -> Value {
        let mut last = Value::Null;
        for _ in 0..POLL_LIMIT {
            last = self.get(vm, path, Some(key)).await.json();
            if done(&last) {
                return last;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{path} did not reach the expected state: {last}");
    }
}

/// Body of a chat completion request.
pub fn chat_body(model: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": model, "max_tokens": max_tokens, "stream": stream,
        "messages": [{"role": "user", "content": "Which needle for denim?"}],
    })
}

/// Input file of a batch job with `count` items, one JSON object per line.
pub fn batch_lines(count: usize) -> String {
    let line = |item| {
        let body = chat_body("assistant", 2, false);
        let line = json!({
            "custom_id": format!("item-{item}"), "method": "POST",
            "url": "/v1/chat/completions", "body": body,
        });
        format!("{line}\n")
    };
    (0..count).map(line).collect()
}

/// Reads a response to its end.
pub async fn read<S>(
    outcome: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
) -> CallerResponse
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut response = outcome.expect("a response");
    let header = |name: &str| {
        let value = response.headers().get(name)?;
        Some(value.to_str().unwrap_or_default().to_owned())
    };
    let result = header("plantainmill-result").unwrap_or_default();
    let executed = header("plantainmill-executed").unwrap_or_default();
    let retry_after = header("retry-after");
    let status = response.status().as_u16();
    let body = response.body().limit(RESPONSE_LIMIT_BYTES).await;
    CallerResponse {
        status,
        result,
        executed,
        retry_after,
        text: String::from_utf8_lossy(&body.expect("a complete body")).into_owned(),
    }
}
