//! Shared by the tests of calls: targets on loopback, a dispatcher, and checks of the call results.

#![allow(dead_code)] // Each test file uses only part of this module.

use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt as _, StreamExt as _};
use opentelemetry::metrics::Meter;
use plantainmill_config::{ConfigView, FleetConfig, ServiceKind, ServiceSpec};
use plantainmill_core::{Clock, Executed, Problem, ResultCode, SystemClock, TargetId};
use plantainmill_dispatch::{CallOutcome, Dispatcher, TargetTicket, TicketRequest, TrafficClass};
use plantainmill_fakes::{
    EngineCounts, EngineFault, EngineKind, EngineOptions, EngineServer, MemoryPlatform,
    RecordedRequest, RunningEngine,
};
use plantainmill_proxy::{BufferedResponse, CallLimits, HttpCaller, TargetCaller, TargetRequest};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::error::Error;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

pub type TestResult = Result<(), Box<dyn Error>>;

/// Header that carries the test case, by which the requests are found at the engines.
pub const CASE_HEADER: &str = "x-case";
/// Tokens in each response.
pub const TOKENS: u32 = 4;
/// Secret and organisation that must not reach any target.
pub const CALLER_SECRET: &str = "caller-secret-1";
pub const CALLER_ORGANISATION: &str = "kandy-wards";

/// Issues tickets for the targets in order, except the excluded ones.
#[derive(Default)]
pub struct OrderedDispatcher {
    pub targets: Vec<(TargetId, SocketAddr)>,
    pub requests: Mutex<Vec<TicketRequest>>,
    pub outcomes: Arc<Mutex<Vec<(TargetId, CallOutcome)>>>,
    pub preempt: Mutex<Option<watch::Sender<bool>>>,
    /// Retries get no ticket.
    pub refuse_retries: bool,
}

impl OrderedDispatcher {
    pub fn outcomes(&self) -> Vec<(TargetId, CallOutcome)> {
        self.outcomes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    pub fn requests(&self) -> Vec<TicketRequest> {
        self.requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Preempts the last ticket.
    pub fn preempt_last(&self) {
        let preempt = self.preempt.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(preempt) = preempt.as_ref() {
            preempt.send_replace(true);
        }
    }

    fn choose(&self, request: &TicketRequest) -> Result<TargetTicket, Problem> {
        let refuses = self.refuse_retries && request.is_retry;
        let free = self
            .targets
            .iter()
            .find(|(id, _)| !request.excluded.contains(id));
        let (target, address) = free
            .filter(|_| !refuses)
            .cloned()
            .ok_or_else(|| Problem::new(ResultCode::NoTarget, "all targets failed"))?;
        let (preempt, preempted) = watch::channel(false);
        let mut current = self.preempt.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Some(preempt);
        let outcomes = Arc::clone(&self.outcomes);
        let finished = target.clone();
        let on_finish = Box::new(move |outcome| {
            let mut outcomes = outcomes.lock().unwrap_or_else(PoisonError::into_inner);
            outcomes.push((finished, outcome));
        });
        Ok(TargetTicket::new(
            target, address, None, preempted, on_finish,
        ))
    }
}

impl Dispatcher for OrderedDispatcher {
    fn acquire(&self, request: TicketRequest) -> LocalBoxFuture<'_, Result<TargetTicket, Problem>> {
        let ticket = self.choose(&request);
        let mut requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.push(request);
        async move { ticket }.boxed_local()
    }

    fn dump(&self) -> LocalBoxFuture<'_, Value> {
        async { Value::Null }.boxed_local()
    }
}

/// How a test makes its call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallMode {
    Buffered,
    Streaming,
}

/// Limits with short time-outs, so that hung targets are detected quickly.
pub fn short_limits() -> CallLimits {
    CallLimits {
        first_event_timeout: Duration::from_millis(1_500),
        idle_timeout: Duration::from_millis(1_500),
        record_retry_delay: Duration::from_millis(5),
        initial_hedge_delay: Duration::from_millis(30),
        ..CallLimits::default()
    }
}

/// Targets on loopback and a caller for them.
pub struct TestFleet {
    pub engines: Vec<RunningEngine>,
    pub dispatcher: Arc<OrderedDispatcher>,
    pub platform: MemoryPlatform,
    pub caller: HttpCaller,
    pub service: ServiceSpec,
    pub clock: Arc<dyn Clock>,
}

/// Specification of a service; [`config_view`] publishes it under the name `tested`.
pub fn service_spec(kind: ServiceKind, repeatable: bool) -> ServiceSpec {
    ServiceSpec {
        kind,
        open: false,
        repeatable,
        hedge: false,
        timeout_ms: 60_000,
        least_replicas: 1,
        most_replicas: 4,
    }
}

pub fn config_view(service: &ServiceSpec) -> ConfigView {
    let view = ConfigView::default();
    view.publish(FleetConfig {
        version: 1,
        services: Arc::new(BTreeMap::from([("tested".into(), service.clone())])),
        ..FleetConfig::default()
    });
    view
}

pub fn test_meter() -> Meter {
    opentelemetry::global::meter("test")
}

impl TestFleet {
    /// Starts `count` targets of `service`.
    pub fn start(service: ServiceSpec, count: usize) -> Result<TestFleet, Box<dyn Error>> {
        TestFleet::with_limits(service, count, short_limits())
    }

    pub fn with_limits(
        service: ServiceSpec,
        count: usize,
        limits: CallLimits,
    ) -> Result<TestFleet, Box<dyn Error>> {
        let kind = match service.kind {
            ServiceKind::Model => EngineKind::Model,
            ServiceKind::Plain => EngineKind::Plain,
        };
        let options = EngineOptions {
            kind,
            default_tokens: TOKENS,
            ..EngineOptions::default()
        };
        let engines: Result<Vec<RunningEngine>, _> = (0..count)
            .map(|_| EngineServer::start(options.clone()))
            .collect();
        let engines = engines?;
        let named = engines.iter().enumerate();
        let targets = named.map(|(index, engine)| {
            let id = CompactString::from(format!("target-{index}"));
            (id, engine.address())
        });
        let dispatcher = Arc::new(OrderedDispatcher {
            targets: targets.collect(),
            ..OrderedDispatcher::default()
        });
        let clock = Arc::new(SystemClock);
        Ok(TestFleet::over(service, engines, dispatcher, limits, clock))
    }

    pub fn over(
        service: ServiceSpec,
        engines: Vec<RunningEngine>,
        dispatcher: Arc<OrderedDispatcher>,
        limits: CallLimits,
        clock: Arc<dyn Clock>,
    ) -> TestFleet {
        let platform = MemoryPlatform::default();
        let caller = HttpCaller::with_limits(
            config_view(&service),
            Arc::clone(&dispatcher) as Arc<dyn Dispatcher>,
            Arc::new(platform.clone()),
            Arc::clone(&clock),
            &test_meter(),
            limits,
        );
        TestFleet {
            engines,
            dispatcher,
            platform,
            caller,
            service,
            clock,
        }
    }

    /// Sets `fault` at every target.
    pub fn fault_all(&self, fault: EngineFault) {
        self.engines
            .iter()
            .for_each(|engine| engine.set_fault(fault));
    }

    /// A request of `case` with credentials and an organisation that must not reach a target.
    pub fn request(&self, case: &str, mode: CallMode) -> TargetRequest {
        let is_model = self.service.kind == ServiceKind::Model;
        let body = json!({
            "model": "tested", "max_tokens": TOKENS, "stream": mode == CallMode::Streaming,
            "messages": [{"role": "user", "content": case}],
        });
        let path = if is_model {
            "/v1/chat/completions"
        } else {
            "/charge/7?x=1"
        };
        TargetRequest {
            service: "tested".into(),
            organisation: Some(CALLER_ORGANISATION.into()),
            class: TrafficClass::Online,
            method: "POST".into(),
            path: path.to_owned(),
            headers: caller_headers(case),
            body: Bytes::from(body.to_string()),
            prefix_hash: None,
            parts: Vec::new(),
            deadline: self.clock.uptime() + Duration::from_secs(30),
            idempotency_key: None,
        }
    }

    /// Makes the call and reads the response to its end.
    pub async fn run(&self, request: TargetRequest, mode: CallMode) -> CallEnd {
        match mode {
            CallMode::Buffered => CallEnd::of_buffered(self.caller.call(request).await),
            CallMode::Streaming => match self.caller.stream(request).await {
                Ok(response) => read_stream(response).await,
                Err(problem) => CallEnd::of_problem(problem),
            },
        }
    }

    /// Waits until the sum of `count` over all targets is at least `wanted`.
    pub async fn wait_count(&self, wanted: u64, count: impl Fn(EngineCounts) -> u64) {
        loop {
            let counts = self.engines.iter().map(|engine| count(engine.counts()));
            if counts.sum::<u64>() >= wanted {
                return;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    /// Executed requests of `case` at all targets.
    pub fn recorded(&self, case: &str) -> Vec<RecordedRequest> {
        let all = self.engines.iter().flat_map(RunningEngine::recorded);
        all.filter(|request| request.header(CASE_HEADER) == Some(case))
            .collect()
    }

    pub async fn stop(self) {
        for engine in self.engines {
            engine.stop().await;
        }
    }
}

fn caller_headers(case: &str) -> Vec<(CompactString, CompactString)> {
    let pairs = [
        ("authorization", CALLER_SECRET),
        ("x-api-key", CALLER_SECRET),
        ("api-key", CALLER_SECRET),
        ("cookie", CALLER_SECRET),
        ("openai-organization", CALLER_ORGANISATION),
        ("x-organisation", CALLER_ORGANISATION),
        ("x-gita-organisation-id", CALLER_ORGANISATION),
        ("plantainmill-executed", CALLER_ORGANISATION),
        ("connection", "x-listed, close"),
        ("x-listed", CALLER_SECRET),
        ("keep-alive", "timeout=5"),
        ("te", "trailers"),
        ("idempotency-key", CALLER_SECRET),
        ("x-request-id", "from-the-caller"),
        ("content-type", "application/json"),
        (CASE_HEADER, case),
    ];
    let pairs = pairs.into_iter();
    pairs
        .map(|(name, value)| (name.into(), value.into()))
        .collect()
}

/// Result of a call as its caller sees it.
#[derive(Debug)]
pub struct CallEnd {
    pub status: Option<u16>,
    pub body: Vec<u8>,
    pub problem: Option<Problem>,
}

impl CallEnd {
    fn of_buffered(response: Result<BufferedResponse, Problem>) -> CallEnd {
        match response {
            Ok(response) => CallEnd {
                status: Some(response.status),
                body: response.body.to_vec(),
                problem: None,
            },
            Err(problem) => CallEnd::of_problem(problem),
        }
    }

    fn of_problem(problem: Problem) -> CallEnd {
        CallEnd {
            status: None,
            body: Vec::new(),
            problem: Some(problem),
        }
    }

    pub fn code(&self) -> Option<ResultCode> {
        self.problem.as_ref().map(|problem| problem.code)
    }

    pub fn executed(&self) -> Option<Executed> {
        self.problem.as_ref().map(|problem| problem.executed)
    }
}

async fn read_stream(response: plantainmill_proxy::StreamingResponse) -> CallEnd {
    let mut end = CallEnd {
        status: Some(response.status),
        body: Vec::new(),
        problem: None,
    };
    let mut parts: VecDeque<_> = response.chunks.collect::<Vec<_>>().await.into();
    while let Some(part) = parts.pop_front() {
        match part {
            Ok(part) => end.body.extend_from_slice(&part),
            Err(problem) => {
                assert!(parts.is_empty(), "an item follows the error of a stream");
                end.problem = Some(problem);
            }
        }
    }
    end
}

/// Checks the result of the call of `case` against the requests that the engines recorded.
pub fn check_call(fleet: &TestFleet, case: &str, mode: CallMode, end: &CallEnd) {
    let recorded = fleet.recorded(case);
    if !fleet.service.repeatable {
        assert!(recorded.len() <= 1, "executed {} times", recorded.len());
    }
    recorded.iter().for_each(check_request_headers);
    match &end.problem {
        Some(problem) => check_executed(problem, recorded.len()),
        None => check_success(fleet, mode, end, &recorded),
    }
    let is_model = fleet.service.kind == ServiceKind::Model;
    if is_model && mode == CallMode::Streaming && end.problem.is_some() {
        check_partial_stream(end, &recorded);
    }
}

/// Checks that `executed` agrees with the number of executions.
fn check_executed(problem: &Problem, runs: usize) {
    match problem.executed {
        Executed::No => assert_eq!(
            runs, 0,
            "the request was executed, but {problem} reports no"
        ),
        Executed::Yes => assert!(
            runs > 0,
            "the request was not executed, but {problem} reports yes"
        ),
        Executed::Unknown => {}
    }
}

/// Checks that no credentials, organisation or connection headers reached the target.
fn check_request_headers(request: &RecordedRequest) {
    for (name, value) in &request.headers {
        let is_hidden = !value.contains(CALLER_SECRET) && !value.contains(CALLER_ORGANISATION);
        assert!(is_hidden, "the target saw {name}: {value}");
        assert_ne!(name, "te");
        assert_ne!(name, "keep-alive");
    }
    assert_ne!(request.request_id, "from-the-caller");
    assert!(request.header("plantainmill-deadline-ms").is_some());
}

/// Checks that the response is complete and belongs to one of the call's requests.
fn check_success(fleet: &TestFleet, mode: CallMode, end: &CallEnd, recorded: &[RecordedRequest]) {
    assert_eq!(end.status, Some(200));
    let is_model = fleet.service.kind == ServiceKind::Model;
    let text = String::from_utf8_lossy(&end.body);
    if is_model && mode == CallMode::Streaming {
        assert!(
            text.ends_with("data: [DONE]\n\n"),
            "no terminating event in {text}"
        );
        assert!(!text.contains("q7#x0f"), "foreign bytes in {text}");
        assert_eq!(text.matches("data: {").count(), TOKENS as usize);
        check_events(&text, recorded);
        return;
    }
    let response: Value = serde_json::from_slice(&end.body).unwrap_or_default();
    check_id(&response, recorded);
    if is_model {
        let content = response["choices"][0]["message"]["content"].as_str();
        assert_eq!(content, Some("w1 w2 w3 w4 "));
    }
}

/// Checks that a failed stream passed on only complete events of its own request, without the final one.
fn check_partial_stream(end: &CallEnd, recorded: &[RecordedRequest]) {
    let text = String::from_utf8_lossy(&end.body);
    assert!(!text.contains("[DONE]"), "a failed stream ended cleanly");
    assert!(
        text.is_empty() || text.ends_with("\n\n"),
        "a partial event in {text}"
    );
    check_events(&text, recorded);
}

fn check_events(text: &str, recorded: &[RecordedRequest]) {
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    for event in events.filter(|event| *event != "[DONE]") {
        let parsed: Value = serde_json::from_str(event).unwrap_or_default();
        check_id(&parsed, recorded);
    }
}

fn check_id(response: &Value, recorded: &[RecordedRequest]) {
    let id = response["id"].as_str().unwrap_or_default();
    let id = id.strip_prefix("chatcmpl-").unwrap_or(id);
    let is_own = recorded.iter().any(|request| request.request_id == id);
    assert!(is_own, "the response {response} belongs to another request");
}
