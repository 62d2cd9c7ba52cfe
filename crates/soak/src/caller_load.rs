//! Callers: online requests, and jobs with reads of their results.

use crate::records::{AskEnd, AskKind, AskRecord, JobRecord, RunRecords, SharedRecords};
use crate::soak_fleet::SoakFleet;
use awc::http::Method;
use plantainmill_core::response::EXECUTED_HEADER;
use plantainmill_stand_in::{CallerClient, CallerRequest, JobPage, Operator};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time after which a caller gives up: its deadline of five seconds and what the way back may take.
const CALLER_LIMIT: Duration = Duration::from_secs(7);
/// Items of a job.
const JOB_ITEMS: usize = 6;
/// Time between jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time between reads of the results of one job.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Times that a job is submitted before its caller gives up.
const SUBMIT_TRIES: usize = 12;
/// Time between these.
const SUBMIT_PAUSE: Duration = Duration::from_millis(400);
/// Time after its acceptance from which every VM has to know a job.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Part of the requests that go to any VM, whatever the balancer says: callers with open connections.
const STRAY_PART: f64 = 0.2;

/// One kind of callers.
#[derive(Clone, Copy)]
pub struct CallerKind {
    pub kind: AskKind,
    /// Index of the organisation.
    pub organisation: usize,
    /// Mean time between the requests of one caller.
    pub gap: Duration,
    /// Callers use a key that was in force before.
    pub uses_old_key: bool,
}

/// What callers share. Clones share it.
#[derive(Clone)]
pub struct CallerLoad {
    fleet: SoakFleet,
    records: SharedRecords,
    /// Keys of each organisation, the newest last.
    keys: Rc<RefCell<Vec<Vec<String>>>>,
    numbers: Rc<Cell<u64>>,
    is_over: Rc<Cell<bool>>,
}

impl CallerLoad {
    pub fn new(fleet: SoakFleet, records: SharedRecords, keys: Vec<Vec<String>>) -> CallerLoad {
        CallerLoad {
            fleet,
            records,
            keys: Rc::new(RefCell::new(keys)),
            numbers: Rc::default(),
            is_over: Rc::default(),
        }
    }

    /// Ends all callers after their current request. Reads of results go on.
    pub fn end(&self) {
        self.is_over.set(true);
    }

    /// Keys of each organisation, the newest last.
    pub fn keys(&self) -> Vec<Vec<String>> {
        self.keys.borrow().clone()
    }

    /// Gives an organisation another key.
    pub fn add_key(&self, organisation: usize, key: String) {
        self.keys.borrow_mut()[organisation].push(key);
    }

    fn key(&self, organisation: usize, is_old: bool) -> String {
        let keys = self.keys.borrow();
        let keys = &keys[organisation];
        let position = keys.len() - 1;
        keys[position.saturating_sub(usize::from(is_old))].clone()
    }

    fn next_id(&self, prefix: &str) -> String {
        let number = self.numbers.get();
        self.numbers.set(number + 1);
        format!("{prefix}{number:06}")
    }

    fn pick_vm(&self, random: &mut SmallRng) -> usize {
        let count = self.fleet.vms.len();
        let any = random.random_range(0..count);
        if random.random_bool(STRAY_PART) {
            return any;
        }
        let in_use = |position: &usize| self.fleet.vms[*position].in_use.get();
        let mut turns = (any..count).chain(0..any);
        turns.find(in_use).unwrap_or(any)
    }

    /// Sends requests until the load is over.
    pub async fn ask_repeatedly(self, kind: CallerKind, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let client = CallerClient::default();
        while !self.is_over.get() {
            let vm = self.pick_vm(&mut random);
            self.ask(&client, vm, kind).await;
            sleep(kind.gap.mul_f64(random.random_range(0.2..1.8))).await;
        }
    }

    /// Sends one request, records how it ends, and says whether it was served.
    pub async fn ask(&self, client: &CallerClient, vm: usize, kind: CallerKind) -> bool {
        let id = self.next_id("a");
        let path = match kind.kind {
            AskKind::Stream => Operator::STREAM_PATH,
            AskKind::Once => Operator::ONCE_PATH,
        };
        let path = format!("{path}{id}");
        let key = self.key(kind.organisation, kind.uses_old_key);
        let request = CallerRequest {
            id: &id,
            path: &path,
            key: &key,
        };
        let sent_at = Instant::now();
        let end = self
            .send(client, vm, Method::POST, &request, String::new())
            .await;
        let is_served = matches!(end, AskEnd::Answered { status: 200, .. });
        self.records.borrow_mut().asks.push(AskRecord {
            id,
            kind: kind.kind,
            key,
            vm,
            sent_at,
            ended_at: Instant::now(),
            end,
        });
        is_served
    }

    async fn send(
        &self,
        client: &CallerClient,
        vm: usize,
        method: Method,
        request: &CallerRequest<'_>,
        body: String,
    ) -> AskEnd {
        let address = self.fleet.vms[vm].callers.address;
        let sent = async {
            let request = client.request(method, address, request);
            let answer = request.send_body(body).await;
            let mut answer = answer.map_err(|error| error.to_string())?;
            let executed = answer.headers().get(EXECUTED_HEADER);
            let says_not_run = executed.is_some_and(|executed| executed.as_bytes() == b"no");
            let body = answer.body().await.map_err(|error| error.to_string())?;
            Ok(AskEnd::Answered {
                status: answer.status().as_u16(),
                says_not_run,
                body: String::from_utf8_lossy(&body).into_owned(),
            })
        };
        let end = timeout(CALLER_LIMIT, sent).await;
        end.unwrap_or_else(|_| Err("the caller gave up".to_owned()))
            .unwrap_or_else(AskEnd::Broken)
    }

    /// Submits jobs until the load is over.
    pub async fn submit_repeatedly(self, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        while !self.is_over.get() {
            let load = self.clone();
            let seed = random.random();
            actix_rt::spawn(async move { load.follow_job(SmallRng::seed_from_u64(seed)).await });
            sleep(JOB_INTERVAL).await;
        }
    }

    /// Submits a job and reads its results until all are there.
    async fn follow_job(&self, mut random: SmallRng) {
        let job = self.next_id("j");
        let items: Vec<String> = (0..JOB_ITEMS).map(|_| self.next_id("e")).collect();
        let record = JobRecord {
            items: items.clone(),
            ..JobRecord::default()
        };
        self.records.borrow_mut().jobs.insert(job.clone(), record);
        let client = CallerClient::default();
        let body = CallerClient::job_body(items.iter().map(String::as_str));
        let path = CallerClient::job_path(&job);
        let mut tries = 0;
        loop {
            let key = self.key(0, false);
            let request = CallerRequest {
                id: &job,
                path: &path,
                key: &key,
            };
            let vm = self.pick_vm(&mut random);
            let end = self
                .send(&client, vm, Method::POST, &request, body.clone())
                .await;
            if let AskEnd::Answered { status: 202, .. } = end {
                break;
            }
            tries += 1;
            if tries == SUBMIT_TRIES {
                return;
            }
            sleep(SUBMIT_PAUSE).await;
        }
        self.with_job(&job, |record, _| record.accepted_at = Some(Instant::now()));
        let mut next = 0;
        while next < items.len() {
            sleep(READ_INTERVAL).await;
            let vm = self.pick_vm(&mut random);
            // Some reads start over.
            let after = if random.random_bool(0.2) { 0 } else { next };
            next = next.max(self.read_results(&client, vm, &job, after).await);
        }
    }

    /// Reads results from `after` on and gives the position after the last one.
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
        let end = self
            .send(client, vm, Method::GET, &request, String::new())
            .await;
        match end {
            AskEnd::Answered {
                status: 200, body, ..
            } => match serde_json::from_str(&body) {
                Ok(page) => self.with_job(job, |record, broken| {
                    take_page(job, record, after, page, broken)
                }),
                Err(error) => self.with_job(job, |_, broken| {
                    broken.push(format!("job {job}: a page cannot be read: {error}"));
                    after
                }),
            },
            AskEnd::Answered {
                status: 404 | 410, ..
            } => self.with_job(job, |record, broken| {
                let settled = record
                    .accepted_at
                    .map(|accepted_at| accepted_at + SETTLE_TIME);
                if settled.is_some_and(|settled| sent_at > settled) {
                    broken.push(format!(
                        "job {job} was accepted and is not known to VM {vm}"
                    ));
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
        let RunRecords { jobs, broken, .. } = &mut *records;
        change(jobs.entry(job.to_owned()).or_default(), broken)
    }
}

/// Takes a page and compares it with what was read before. Gives the position after its last result.
fn take_page(
    job: &str,
    record: &mut JobRecord,
    after: usize,
    page: JobPage,
    broken: &mut Vec<String>,
) -> usize {
    if page.total != record.items.len() || page.next != after + page.results.len() {
        broken.push(format!(
            "job {job}: wrong counts after {after}: {} {}",
            page.total, page.next
        ));
    }
    for (position, result) in (after..).zip(page.results) {
        let known = record
            .results
            .entry(position)
            .or_insert_with(|| result.clone());
        if *known != result {
            broken.push(format!(
                "job {job}: position {position} changed to item {}",
                result.item
            ));
        }
    }
    page.next
}
