//! A fleet on loopback and the calls that tests make.

use plantainmill_devfleet::{DevFleet, DevOptions, OperatorClient};
use serde_json::{Value, json};
use std::time::Duration;

/// Largest answer read by tests, in bytes.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;
/// Times that a state is looked at before a test gives up on it.
const POLL_LIMIT: usize = 1_500;
/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// An answer to a caller.
pub struct CallerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Result code, from the header.
    pub result: String,
    /// Whether the call was executed, from the header.
    pub executed: String,
    /// `Retry-After`, if there is one.
    pub retry_after: Option<String>,
    /// Body as text.
    pub text: String,
}

impl CallerAnswer {
    /// The body as JSON; null when it is not.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_default()
    }
}

/// Runs `test` with a fleet and stops the fleet gracefully.
pub fn with_fleet<F>(options: DevOptions, test: impl FnOnce(TestFleet) -> F)
where
    F: Future<Output = TestFleet>,
{
    actix_rt::System::new().block_on(async {
        let fleet = DevFleet::start(options).await.expect("a fleet on loopback");
        let fleet = test(TestFleet { fleet }).await;
        let cut = fleet.fleet.stop().await;
        assert_eq!(cut, 0, "a planned stop cut requests");
    });
}

/// A fleet under test.
pub struct TestFleet {
    /// The fleet.
    pub fleet: DevFleet,
}

impl TestFleet {
    /// Key of an organisation.
    pub fn key(&self, organisation: &str) -> String {
        self.fleet.ready().organisations[organisation].clone()
    }

    /// Callers' URL of a VM.
    pub fn callers(&self, vm: usize) -> String {
        self.fleet.ready().callers[vm].clone()
    }

    /// Client of the administration API of a VM.
    pub fn operator(&self, vm: usize) -> OperatorClient {
        let ready = self.fleet.ready();
        OperatorClient::new(&ready.operators[vm], &ready.operator_key)
    }

    /// Sends a GET to a VM.
    pub async fn get(&self, vm: usize, path: &str, key: Option<&str>) -> CallerAnswer {
        let url = format!("{}{path}", self.callers(vm));
        let mut request = awc::Client::new().get(url);
        if let Some(key) = key {
            request = request.bearer_auth(key);
        }
        read(request.send().await).await
    }

    /// Posts JSON to a VM.
    pub async fn post(
        &self,
        vm: usize,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> CallerAnswer {
        self.post_with(vm, path, key, body, &[]).await
    }

    /// Posts JSON with further headers to a VM.
    pub async fn post_with(
        &self,
        vm: usize,
        path: &str,
        key: Option<&str>,
        body: &Value,
        headers: &[(&str, &str)],
    ) -> CallerAnswer {
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

    /// Asks the model for an answer of `max_tokens`.
    pub async fn chat(&self, vm: usize, organisation: &str, max_tokens: u32) -> CallerAnswer {
        let key = self.key(organisation);
        let body = chat_body("assistant", max_tokens, false);
        self.post(vm, "/v1/chat/completions", Some(&key), &body)
            .await
    }

    /// Uploads a file for batch work and gives its id.
    pub async fn upload(&self, vm: usize, key: &str, lines: &str) -> CallerAnswer {
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

    /// Polls `path` until `done` holds for its JSON.
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

/// Body of a chat completion.
pub fn chat_body(model: &str, max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": model, "max_tokens": max_tokens, "stream": stream,
        "messages": [{"role": "user", "content": "Which needle for denim?"}],
    })
}

/// Input lines of a batch job with `count` items.
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

/// Reads an answer whole.
pub async fn read<S>(
    sent: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
) -> CallerAnswer
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut answer = sent.expect("an answer");
    let header = |name: &str| {
        let value = answer.headers().get(name)?;
        Some(value.to_str().unwrap_or_default().to_owned())
    };
    let result = header("plantainmill-result").unwrap_or_default();
    let executed = header("plantainmill-executed").unwrap_or_default();
    let retry_after = header("retry-after");
    let status = answer.status().as_u16();
    let body = answer.body().limit(ANSWER_LIMIT_BYTES).await;
    CallerAnswer {
        status,
        result,
        executed,
        retry_after,
        text: String::from_utf8_lossy(&body.expect("a whole body")).into_owned(),
    }
}
