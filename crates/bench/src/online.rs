//! One streamed online request, and what is counted about an organisation's requests.

use eventsource_stream::Eventsource as _;
use futures_util::StreamExt as _;
use hdrhistogram::Histogram;
use plantainmill_core::{Clock, SystemClock, Uptime};
use serde_json::{Value, json};
use std::time::Duration;

/// Longest wait for the next event of an answer.
const EVENT_TIMEOUT: Duration = Duration::from_mins(1);
/// Result code of a request over its organisation's rate.
const RATE_EXCEEDED: u64 = 2003;

/// How one request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OnlineOutcome {
    /// The stream ended cleanly.
    Served {
        /// Time from the scheduled arrival to the first event.
        first_token: Duration,
        /// Times between events.
        gaps: Vec<Duration>,
    },
    /// Refused over the rate.
    Limited,
    /// Refused for another reason, or failed.
    Failed,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct OnlineRequest {
    /// Callers' URL of a VM.
    pub base: String,
    /// Key.
    pub key: String,
    /// JSON body.
    pub body: Value,
    /// Scheduled arrival.
    pub scheduled: Uptime,
}

/// Body of a streamed chat completion.
#[must_use]
pub fn chat_body(model: &str, prompt_words: usize, max_tokens: u32, stream: bool) -> Value {
    let prompt = vec!["needle"; prompt_words.max(1)].join(" ");
    json!({
        "model": model, "stream": stream, "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    })
}

/// Sends `request` and reads its stream to the end.
pub async fn send(client: awc::Client, request: OnlineRequest) -> OnlineOutcome {
    let url = format!("{}/v1/chat/completions", request.base);
    let sent = client
        .post(url)
        .bearer_auth(&request.key)
        .timeout(EVENT_TIMEOUT)
        .send_json(&request.body);
    let Ok(mut answer) = sent.await else {
        return OnlineOutcome::Failed;
    };
    if !answer.status().is_success() {
        let content = answer.body().await.unwrap_or_default();
        let body: Value = serde_json::from_slice(&content).unwrap_or_default();
        let is_limited = body["error"]["result"].as_u64() == Some(RATE_EXCEEDED);
        return if is_limited {
            OnlineOutcome::Limited
        } else {
            OnlineOutcome::Failed
        };
    }
    read_stream(answer, request.scheduled).await
}

async fn read_stream<S>(answer: awc::ClientResponse<S>, scheduled: Uptime) -> OnlineOutcome
where
    S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
{
    let clock = SystemClock;
    let mut first_token = None;
    let mut gaps = Vec::new();
    let mut last = scheduled;
    let mut events = answer.eventsource();
    while let Some(Ok(event)) = events.next().await {
        if event.event == "error" {
            return OnlineOutcome::Failed;
        }
        if event.data == "[DONE]" {
            let first_token = first_token.unwrap_or_default();
            return OnlineOutcome::Served { first_token, gaps };
        }
        let now = clock.uptime();
        if first_token.is_none() {
            first_token = Some(now.saturating_sub(scheduled));
        } else {
            gaps.push(now.saturating_sub(last));
        }
        last = now;
    }
    OnlineOutcome::Failed
}

/// Token bucket of an organisation as its contract reads. A request within it takes a token even if it is refused,
/// so that one token is not counted as refused many times.
#[derive(Clone, Debug)]
pub struct ContractBucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
    updated: Uptime,
}

impl ContractBucket {
    /// A full bucket.
    #[must_use]
    pub fn new(rate_per_s: f64, burst: f64, now: Uptime) -> ContractBucket {
        ContractBucket {
            rate_per_s,
            burst,
            level: burst,
            updated: now,
        }
    }

    /// Takes a request that arrives at `now`; `false` when it is over the contract.
    pub fn take(&mut self, now: Uptime) -> bool {
        let passed = now.saturating_sub(self.updated).as_secs_f64();
        self.level = (self.level + passed * self.rate_per_s).min(self.burst);
        self.updated = now;
        let within = self.level >= 1.0;
        if within {
            self.level -= 1.0;
        }
        within
    }
}

/// Counts of one organisation in one phase.
#[derive(Clone, Debug)]
pub struct OnlineCounts {
    /// Requests offered.
    pub offered: u64,
    /// Requests served whole.
    pub served: u64,
    /// Requests refused over the rate.
    pub limited: u64,
    /// Requests offered within the contract, whatever came of them.
    pub conforming: u64,
    /// Requests that failed or were refused for another reason.
    pub failed: u64,
    /// First-token times in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Gaps between events in microseconds.
    pub gap_us: Histogram<u64>,
}

impl OnlineCounts {
    /// No requests yet.
    #[must_use]
    pub fn new() -> OnlineCounts {
        OnlineCounts {
            offered: 0,
            served: 0,
            limited: 0,
            conforming: 0,
            failed: 0,
            first_token_us: time_histogram(),
            gap_us: time_histogram(),
        }
    }

    /// Refusals that the contract does not cover: requests within it that neither were served nor failed, when an
    /// organisation over its rate may have had others served in their place.
    #[must_use]
    pub fn wrongful(&self) -> u64 {
        let handled = self.served + self.failed;
        self.conforming.saturating_sub(handled).min(self.limited)
    }

    /// Counts one request. `within` says whether it was within the contract when it arrived.
    pub fn record(&mut self, outcome: &OnlineOutcome, within: bool) {
        self.offered += 1;
        self.conforming += u64::from(within);
        match outcome {
            OnlineOutcome::Served { first_token, gaps } => {
                self.served += 1;
                self.first_token_us.saturating_record(micros(*first_token));
                for gap in gaps {
                    self.gap_us.saturating_record(micros(*gap));
                }
            }
            OnlineOutcome::Limited => self.limited += 1,
            OnlineOutcome::Failed => self.failed += 1,
        }
    }
}

impl Default for OnlineCounts {
    fn default() -> OnlineCounts {
        OnlineCounts::new()
    }
}

/// A histogram of microseconds up to 10 minutes. Its bounds are fixed because `saturating_record` does not
/// resize a histogram and would clamp all times to its first bounds.
///
/// # Panics
///
/// Never: the bounds are valid.
#[must_use]
pub fn time_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("the bounds are valid")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
