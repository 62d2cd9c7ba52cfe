//! Runs the phases of a scenario.

use crate::batch::BatchJobs;
use crate::online::{ContractBucket, OnlineCounts, OnlineOutcome, OnlineRequest, chat_body, send};
use crate::report::{BenchReport, PhaseReport};
use crate::scenario::{BenchEndpoints, BenchScenario, OnlineLoad, TimedFault};
use anyhow::Context as _;
use compact_str::CompactString;
use plantainmill_core::{Clock, SystemClock, Uptime};
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Connections kept open to each VM.
const CONNECTIONS: usize = 4_096;
/// Longest wait for requests that are under way at the end of a phase.
const TAIL_LIMIT: Duration = Duration::from_secs(30);

/// Counts of all organisations in one phase.
type PhaseCounts = Rc<RefCell<BTreeMap<CompactString, OnlineCounts>>>;

/// Runs `scenario` against `endpoints`: one phase without batch work and, if the scenario has any, one with it.
///
/// # Errors
///
/// Fails when an organisation has no key or the batch jobs cannot be created.
pub async fn run(
    scenario: &BenchScenario,
    endpoints: &BenchEndpoints,
) -> anyhow::Result<BenchReport> {
    anyhow::ensure!(!endpoints.callers.is_empty(), "no callers' URL");
    let has_batch = scenario.batch.is_some();
    let first_faults: &[TimedFault] = if has_batch { &[] } else { &scenario.faults };
    let online_only = run_phase(scenario, endpoints, first_faults, None).await?;
    let mut with_batch = None;
    if let Some(load) = &scenario.batch {
        let jobs = BatchJobs::create(load, endpoints).await?;
        let phase = run_phase(scenario, endpoints, &scenario.faults, Some(&jobs)).await?;
        with_batch = Some(phase);
    }
    let idle = scenario
        .batch
        .as_ref()
        .and_then(|load| load.idle_items_per_s);
    Ok(BenchReport::new(
        &scenario.name,
        online_only,
        with_batch,
        idle,
    ))
}

async fn run_phase(
    scenario: &BenchScenario,
    endpoints: &BenchEndpoints,
    faults: &[TimedFault],
    jobs: Option<&BatchJobs>,
) -> anyhow::Result<PhaseReport> {
    let clock = SystemClock;
    let start = clock.uptime();
    let measured_from = start + Duration::from_secs(scenario.warmup_s);
    let end = start + Duration::from_secs(scenario.phase_s);
    let counts = PhaseCounts::default();
    let client = awc::Client::builder()
        .connector(awc::Connector::new().limit(CONNECTIONS))
        .finish();
    for fault in faults {
        actix_rt::spawn(switch_fault(fault.clone()));
    }
    let mut loads = Vec::new();
    for (index, load) in scenario.organisations.iter().enumerate() {
        let seed = scenario.seed.wrapping_add(index as u64);
        let driver = LoadDriver {
            load: load.clone(),
            key: endpoints.key(&load.name)?.to_owned(),
            callers: endpoints.callers.clone(),
            client: client.clone(),
            counts: Rc::clone(&counts),
            measured_from,
            end,
        };
        loads.push(actix_rt::spawn(driver.run(StdRng::seed_from_u64(seed))));
    }
    sleep_until(measured_from).await;
    let before = completed_items(jobs).await?;
    let counted_from = clock.uptime();
    sleep_until(end).await;
    let after = completed_items(jobs).await?;
    let seconds = (clock.uptime().saturating_sub(counted_from)).as_secs_f64();
    for load in loads {
        load.await.context("a load task failed")?;
    }
    let counts = counts.borrow().clone();
    let items = after.saturating_sub(before);
    Ok(PhaseReport::new(
        &counts,
        &scenario.organisations,
        items,
        seconds,
    ))
}

async fn completed_items(jobs: Option<&BatchJobs>) -> anyhow::Result<u64> {
    match jobs {
        Some(jobs) => jobs.completed().await,
        None => Ok(0),
    }
}

async fn switch_fault(fault: TimedFault) {
    actix_rt::time::sleep(Duration::from_secs_f64(fault.at_s)).await;
    let sent = awc::Client::new().post(&fault.url).send_json(&fault.body);
    if let Err(error) = sent.await {
        tracing::warn!(%error, url = %fault.url, "a fault could not be switched on");
    }
}

async fn sleep_until(time: Uptime) {
    let now = SystemClock.uptime();
    actix_rt::time::sleep(time.saturating_sub(now)).await;
}

/// Offers the traffic of one organisation.
struct LoadDriver {
    load: OnlineLoad,
    key: String,
    callers: Vec<String>,
    client: awc::Client,
    counts: PhaseCounts,
    measured_from: Uptime,
    end: Uptime,
}

impl LoadDriver {
    /// Sends requests at random times with the offered rate until the end of the phase.
    async fn run(self, mut random: StdRng) {
        let mut scheduled = SystemClock.uptime();
        let bucket = ContractBucket::new(self.load.rate_per_s, self.load.burst, scheduled);
        let bucket = Rc::new(RefCell::new(bucket));
        let mut requests = Vec::new();
        let mut sent = 0;
        loop {
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            scheduled += Duration::from_secs_f64(-uniform.ln() / self.load.offered_per_s);
            if scheduled >= self.end {
                break;
            }
            sleep_until(scheduled).await;
            requests.push(actix_rt::spawn(self.send_one(sent, scheduled, &bucket)));
            sent += 1;
        }
        let tail = futures_util::future::join_all(requests);
        if actix_rt::time::timeout(TAIL_LIMIT, tail).await.is_err() {
            tracing::warn!(organisation = %self.load.name, "requests were still under way at the end");
        }
    }

    fn send_one(
        &self,
        index: usize,
        scheduled: Uptime,
        bucket: &Rc<RefCell<ContractBucket>>,
    ) -> impl Future<Output = ()> + 'static {
        let vm = if self.load.one_vm {
            0
        } else {
            index % self.callers.len()
        };
        let load = &self.load;
        let request = OnlineRequest {
            base: self.callers[vm].clone(),
            key: self.key.clone(),
            body: chat_body(&load.model, load.prompt_words, load.max_tokens, true),
            scheduled,
        };
        let within = bucket.borrow_mut().take(scheduled);
        let sent = send(self.client.clone(), request);
        let counts = Rc::clone(&self.counts);
        let name = load.name.clone();
        let is_measured = scheduled >= self.measured_from;
        async move {
            let outcome: OnlineOutcome = sent.await;
            if is_measured {
                let mut counts = counts.borrow_mut();
                counts.entry(name).or_default().record(&outcome, within);
            }
        }
    }
}
