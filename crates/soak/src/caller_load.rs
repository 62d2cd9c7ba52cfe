//! The callers of a run: online requests, and batch jobs whose results are read repeatedly.

use crate::records::{
    JobRecord, RequestKind, RequestOutcome, RequestRecord, ResultsRead, RunRecords, SharedRecords,
};
use crate::soak_fleet::SoakFleet;
use awc::http::Method;
use bytes::Bytes;
use futures_util::{Stream, StreamExt as _, stream};
use plantainmill_core::response::EXECUTED_HEADER;
use plantainmill_stand_in::{CallerClient, CallerRequest, JobPage, Operator};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time after which a caller gives up: the deadline of five seconds, plus the delay of the response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(7);
/// Number of items of a job.
const ITEMS_PER_JOB: usize = 6;
/// Interval between new jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(1_500);
/// Interval between reads of the results of one job.
const RESULTS_INTERVAL: Duration = Duration::from_millis(500);
/// Attempts to submit a job before its caller gives up.
const SUBMIT_ATTEMPTS: usize = 12;
/// Times that a caller takes up a stream that was cut.
const TAKE_UPS: usize = 2;
/// Delay before a stream is taken up.
const TAKE_UP_DELAY: Duration = Duration::from_millis(150);
/// Delay between attempts to submit a job.
const SUBMIT_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time after acceptance from which every VM must know a job.
const JOB_VISIBILITY_TIME: Duration = Duration::from_secs(1);
/// Statuses that promise that the request is not executed.
const REFUSAL_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Part of the body of a request.
const BODY_PART: &str = "How is a heel darned? ";
/// Number of parts of a body. Every other request sends them as chunks.
const BODY_PARTS: usize = 4;
/// Number of pauses between the parts.
const BODY_PAUSES: u32 = 3;
/// Unit of the pause between two chunks.
const CHUNK_PAUSE_STEP: Duration = Duration::from_millis(20);
/// Number of different pauses between chunks.
const CHUNK_PAUSES: u64 = 5;
/// Share of requests that go to a random VM regardless of its readiness, as from callers that reuse connections.
const UNBALANCED_SHARE: f64 = 0.2;

/// Behaviour of one group of callers.
#[derive(Clone, Copy)]
pub struct CallerProfile {
    pub kind: RequestKind,
    /// Index of the organisation.
    pub organisation: usize,
    /// Mean pause between the requests of one caller.
    pub mean_pause: Duration,
    /// Whether the callers use the key before the newest one.
    pub uses_previous_key: bool,
}

/// State shared by all callers. Clones share it.
#[derive(Clone)]
pub struct CallerLoad {
    fleet: SoakFleet,
    records: SharedRecords,
    /// Keys by organisation index, the newest last.
    keys: Rc<RefCell<Vec<Vec<String>>>>,
    next_number: Rc<Cell<u64>>,
    has_ended: Rc<Cell<bool>>,
}

impl CallerLoad {
    pub fn new(fleet: SoakFleet, records: SharedRecords, keys: Vec<Vec<String>>) -> CallerLoad {
        CallerLoad {
            fleet,
            records,
            keys: Rc::new(RefCell::new(keys)),
            next_number: Rc::default(),
            has_ended: Rc::default(),
        }
    }

    /// Ends all callers after their current request, and submits no further jobs. Jobs already submitted are still read.
    pub fn stop(&self) {
        self.has_ended.set(true);
    }

    /// Returns the keys by organisation index, the newest last.
    pub fn keys(&self) -> Vec<Vec<String>> {
        self.keys.borrow().clone()
    }

    /// Adds a key, which becomes the newest of the organisation.
    pub fn add_key(&self, organisation: usize, key: String) {
        self.keys.borrow_mut()[organisation].push(key);
    }

    fn key(&self, organisation: usize, is_previous: bool) -> String {
        let keys = self.keys.borrow();
        let keys = &keys[organisation];
        let position = keys.len() - 1;
        keys[position.saturating_sub(usize::from(is_previous))].clone()
    }

    fn next_id(&self, prefix: &str) -> String {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        format!("{prefix}{number:06}")
    }

    fn pick_vm(&self, random: &mut SmallRng) -> usize {
        let count = self.fleet.vms.len();
        let first_choice = random.random_range(0..count);
        if random.random_bool(UNBALANCED_SHARE) {
            return first_choice;
        }
        let in_rotation = |position: &usize| self.fleet.vms[*position].in_rotation.get();
        let mut candidates = (first_choice..count).chain(0..first_choice);
        candidates.find(in_rotation).unwrap_or(first_choice)
    }

    /// Sends requests until the load ends.
    pub async fn run_requests(self, profile: CallerProfile, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let client = CallerClient::default();
        while !self.has_ended.get() {
            let vm = self.pick_vm(&mut random);
            self.send_request(&client, vm, profile).await;
            sleep(profile.mean_pause.mul_f64(random.random_range(0.2..1.8))).await;
        }
    }

    /// Sends one request, and takes its stream up when it is cut. Returns whether it was served with status 200.
    pub async fn send_request(
        &self,
        client: &CallerClient,
        vm: usize,
        profile: CallerProfile,
    ) -> bool {
        let first = self.next_id("a");
        let mut received = String::new();
        for attempt in 0..=TAKE_UPS {
            let resumption = (attempt > 0).then_some(Resumption {
                first: &first,
                received: &received,
            });
            let vm = (vm + attempt) % self.fleet.vms.len();
            let (is_served, events) = self
                .send_attempt(client, vm, profile, &first, resumption)
                .await;
            received.push_str(&events);
            if is_served || received.is_empty() {
                return is_served;
            }
            sleep(TAKE_UP_DELAY).await;
        }
        false
    }

    /// Sends one attempt of a request and records its outcome. Returns whether it was served with status 200, and the whole
    /// events of a stream that was cut.
    async fn send_attempt(
        &self,
        client: &CallerClient,
        vm: usize,
        profile: CallerProfile,
        first: &str,
        resumption: Option<Resumption<'_>>,
    ) -> (bool, String) {
        let id = match resumption {
            Some(_) => self.next_id("a"),
            None => first.to_owned(),
        };
        let path = match profile.kind {
            RequestKind::Stream => Operator::STREAM_PATH,
            RequestKind::NonIdempotent => Operator::ONCE_PATH,
        };
        let path = format!("{path}{first}");
        let key = self.key(profile.organisation, profile.uses_previous_key);
        let request = CallerRequest {
            id: &id,
            path: &path,
            key: &key,
        };
        let sent_at = Instant::now();
        let mut sent = self
            .send_resuming(client, vm, &request, resumption.as_ref())
            .await;
        let is_served = matches!(sent.outcome, RequestOutcome::Completed { status: 200, .. });
        if let (Some(resumption), RequestOutcome::Completed { body, .. }) =
            (&resumption, &mut sent.outcome)
        {
            body.insert_str(0, resumption.received);
        }
        let body_time = chunk_pause(number_of(&id)).unwrap_or_default() * BODY_PAUSES;
        self.records.borrow_mut().requests.push(RequestRecord {
            id,
            kind: profile.kind,
            key,
            vm,
            sent_at,
            ended_at: Instant::now(),
            body_time,
            resumes: resumption.map(|resumption| resumption.first.to_owned()),
            has_promise: sent.has_promise,
            outcome: sent.outcome,
        });
        let events = match profile.kind {
            RequestKind::Stream => sent.events,
            RequestKind::NonIdempotent => String::new(),
        };
        (is_served, events)
    }

    /// Sends an online request.
    async fn send_resuming(
        &self,
        client: &CallerClient,
        vm: usize,
        request: &CallerRequest<'_>,
        resumption: Option<&Resumption<'_>>,
    ) -> AttemptOutcome {
        let address = self.fleet.vms[vm].callers.address;
        let received = RefCell::new(Vec::new());
        let has_promise = Cell::new(false);
        let request_number = number_of(request.id);
        let sent = async {
            let mut request = client.request(Method::POST, address, request);
            if let Some(resumption) = resumption {
                request = request
                    .insert_header(("resumes", resumption.first))
                    .insert_header(("last-event-id", resumption.last_event().to_string()));
            }
            let response = match chunk_pause(request_number) {
                None => request.send_body(BODY_PART.repeat(BODY_PARTS)).await,
                Some(pause) => request.send_stream(Box::pin(body_chunks(pause))).await,
            };
            let mut response = response.map_err(|error| error.to_string())?;
            let executed = response.headers().get(EXECUTED_HEADER);
            let reports_not_executed =
                executed.is_some_and(|executed| executed.as_bytes() == b"no");
            let is_refusal = REFUSAL_STATUSES.contains(&response.status().as_u16());
            has_promise.set(reports_not_executed || is_refusal);
            while let Some(part) = response.next().await {
                let part = part.map_err(|error| error.to_string())?;
                received.borrow_mut().extend_from_slice(&part);
            }
            Ok(RequestOutcome::Completed {
                status: response.status().as_u16(),
                reports_not_executed,
                body: String::from_utf8_lossy(&received.borrow()).into_owned(),
            })
        };
        let outcome = timeout(CALLER_TIMEOUT, sent).await;
        let outcome = outcome
            .unwrap_or_else(|_| Err("the caller gave up".to_owned()))
            .unwrap_or_else(RequestOutcome::Failed);
        let events = match &outcome {
            RequestOutcome::Failed(_) => whole_events(&received.borrow()),
            RequestOutcome::Completed { .. } => String::new(),
        };
        AttemptOutcome {
            outcome,
            has_promise: has_promise.get(),
            events,
        }
    }

    async fn send(
        &self,
        client: &CallerClient,
        vm: usize,
        method: Method,
        request: &CallerRequest<'_>,
        body: String,
    ) -> RequestOutcome {
        let address = self.fleet.vms[vm].callers.address;
        let sent = async {
            let request = client.request(method, address, request);
            let response = request.send_body(body).await;
            let mut response = response.map_err(|error| error.to_string())?;
            let executed = response.headers().get(EXECUTED_HEADER);
            let reports_not_executed =
                executed.is_some_and(|executed| executed.as_bytes() == b"no");
            let body = response.body().await.map_err(|error| error.to_string())?;
            Ok(RequestOutcome::Completed {
                status: response.status().as_u16(),
                reports_not_executed,
                body: String::from_utf8_lossy(&body).into_owned(),
            })
        };
        let outcome = timeout(CALLER_TIMEOUT, sent).await;
        outcome
            .unwrap_or_else(|_| Err("the caller gave up".to_owned()))
            .unwrap_or_else(RequestOutcome::Failed)
    }

    /// Submits jobs until the load ends.
    pub async fn run_jobs(self, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        while !self.has_ended.get() {
            let load = self.clone();
            let seed = random.random();
            actix_rt::spawn(async move { load.run_job(SmallRng::seed_from_u64(seed)).await });
            sleep(JOB_INTERVAL).await;
        }
    }

    /// Submits a job and polls its results until it has all of them.
    async fn run_job(&self, mut random: SmallRng) {
        let job = self.next_id("j");
        let items: Vec<String> = (0..ITEMS_PER_JOB).map(|_| self.next_id("e")).collect();
        let record = JobRecord {
            items: items.clone(),
            ..JobRecord::default()
        };
        self.records.borrow_mut().jobs.insert(job.clone(), record);
        let client = CallerClient::default();
        let body = CallerClient::job_body(items.iter().map(String::as_str));
        let path = CallerClient::job_path(&job);
        let mut attempts = 0;
        loop {
            let key = self.key(0, false);
            let request = CallerRequest {
                id: &job,
                path: &path,
                key: &key,
            };
            let vm = self.pick_vm(&mut random);
            let outcome = self
                .send(&client, vm, Method::POST, &request, body.clone())
                .await;
            if let RequestOutcome::Completed { status: 202, .. } = outcome {
                break;
            }
            attempts += 1;
            if attempts == SUBMIT_ATTEMPTS {
                return;
            }
            sleep(SUBMIT_RETRY_DELAY).await;
        }
        self.with_job(&job, |record, _| record.accepted_at = Some(Instant::now()));
        let mut next = 0;
        while next < items.len() {
            sleep(RESULTS_INTERVAL).await;
            let vm = self.pick_vm(&mut random);
            // Some reads start again at the first result, to check that earlier results have not changed.
            let after = if random.random_bool(0.2) { 0 } else { next };
            next = next.max(self.read_results(&client, vm, &job, after).await);
        }
    }

    /// Reads one page of results from position `after` and returns the position after its last result.
    pub async fn read_results(
        &self,
        client: &CallerClient,
        vm: usize,
        job: &str,
        after: usize,
    ) -> usize {
        let path = CallerClient::results_path(job, after);
        let key = self.key(0, false);
        let request = CallerRequest {
            id: job,
            path: &path,
            key: &key,
        };
        let sent_at = Instant::now();
        let outcome = self
            .send(client, vm, Method::GET, &request, String::new())
            .await;
        match outcome {
            RequestOutcome::Completed {
                status: 200, body, ..
            } => match serde_json::from_str(&body) {
                Ok(page) => self.with_job(job, |record, violations| {
                    let next = record_page(job, record, after, page, violations);
                    record.reads.push(ResultsRead { sent_at, next });
                    next
                }),
                Err(error) => self.with_job(job, |_, violations| {
                    violations.push(format!("job {job}: malformed page of results: {error}"));
                    after
                }),
            },
            RequestOutcome::Completed {
                status: 404 | 410, ..
            } => self.with_job(job, |record, violations| {
                let visible_from = record
                    .accepted_at
                    .map(|accepted_at| accepted_at + JOB_VISIBILITY_TIME);
                if visible_from.is_some_and(|visible_from| sent_at > visible_from) {
                    violations.push(format!("job {job} was accepted but is unknown to VM {vm}"));
                }
                after
            }),
            _ => after,
        }
    }

    fn with_job<T>(
        &self,
        job: &str,
        change: impl FnOnce(&mut JobRecord, &mut Vec<String>) -> T,
    ) -> T {
        let mut records = self.records.borrow_mut();
        let RunRecords {
            jobs, violations, ..
        } = &mut *records;
        change(jobs.entry(job.to_owned()).or_default(), violations)
    }
}

/// What a caller knows of one attempt.
struct AttemptOutcome {
    outcome: RequestOutcome,
    /// Whether the head of the response promises that the request is not executed.
    has_promise: bool,
    /// Whole events of a response that was cut.
    events: String,
}

/// A stream that a caller takes up.
struct Resumption<'a> {
    /// Id of the attempt that brought the first event.
    first: &'a str,
    /// Whole events received so far.
    received: &'a str,
}

impl Resumption<'_> {
    fn last_event(&self) -> usize {
        self.received.matches("id: ").count()
    }
}

/// The events of a response that arrived as a whole.
fn whole_events(received: &[u8]) -> String {
    let text = String::from_utf8_lossy(received);
    let end = text.rfind("\n\n").map_or(0, |end| end + 2);
    text[..end].to_owned()
}

/// Number in the id of a request.
fn number_of(id: &str) -> u64 {
    let number = id.trim_start_matches(char::is_alphabetic);
    number.parse().unwrap_or(0)
}

/// Pause between the chunks in which a request sends its body; `None` if it sends the body as a whole.
fn chunk_pause(number: u64) -> Option<Duration> {
    let steps = u32::try_from(number % CHUNK_PAUSES).unwrap_or(0);
    (!number.is_multiple_of(2)).then(|| CHUNK_PAUSE_STEP * steps)
}

fn body_chunks(pause: Duration) -> impl Stream<Item = Result<Bytes, Infallible>> {
    stream::iter(0..BODY_PARTS).then(move |part| async move {
        if part > 0 {
            sleep(pause).await;
        }
        Ok(Bytes::from_static(BODY_PART.as_bytes()))
    })
}

/// Records a page of results and compares it with earlier reads. Returns the position after its last result.
fn record_page(
    job: &str,
    record: &mut JobRecord,
    after: usize,
    page: JobPage,
    violations: &mut Vec<String>,
) -> usize {
    if page.total != record.items.len() || page.next != after + page.results.len() {
        violations.push(format!(
            "job {job}: wrong counts in the page from position {after}: total {}, next {}",
            page.total, page.next
        ));
    }
    for (position, result) in (after..).zip(page.results) {
        let first_read = record
            .results
            .entry(position)
            .or_insert_with(|| result.clone());
        if *first_read != result {
            violations.push(format!(
                "job {job}: the result at position {position} changed, now of item {}",
                result.item
            ));
        }
    }
    page.next
}
