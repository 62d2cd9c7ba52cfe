//! One replica fails part of its requests at once, and items are given up although no replica has said that they cannot be done.

use crate::harness::*;
use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 140;
const REPLICAS: usize = 9;
const SLOTS: usize = 8;
const EVENTS: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Share of the requests that the faulty replica fails, in hundredths, and for how long.
const FAIL_PERCENT: u64 = 40;
const FAIL_TIME: Duration = Duration::from_secs(5);
/// Status of those answers: a server that takes no more work at present, and does not say that it has not run the request.
const FAIL_STATUS: u16 = 429;
/// Jobs that come while the replica fails, evenly spread, and their items.
const JOBS: usize = 40;
const ITEMS: usize = 24;
const RETENTION_S: u64 = 60;

/// A number from 0 to 99 that looks random, and is the same in each play.
fn draw(count: u64) -> u64 {
    let mut bits = (count + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ bits >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ bits >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    (bits ^ bits >> 31) % 100
}

/// The requests that the faulty replica has got while it is in trouble, and those of them that it has failed.
#[derive(Default)]
struct Trouble {
    until: Option<Instant>,
    requests: u64,
    failed: u64,
}

impl Trouble {
    /// Whether the next request fails. At no time has the replica failed a larger share than it may.
    fn fails_next(&mut self) -> bool {
        if self.until.is_none_or(|until| Instant::now() >= until) {
            return false;
        }
        let is_allowed = (self.failed + 1) * 100 <= (self.requests + 1) * FAIL_PERCENT;
        let fails = is_allowed && draw(self.requests) < FAIL_PERCENT;
        self.requests += 1;
        self.failed += u64::from(fails);
        fails
    }
}

pub fn run(root: &Path, folder: &Path, has_trouble: bool) -> i32 {
    let fleet = Fleet::prepare(root, folder, MEMORY_MB);
    fleet.store.put("op", "config", &manifest(1, "compagno", RETENTION_S));
    let trouble: Arc<Mutex<Trouble>> = Arc::default();
    let statuses: Arc<Mutex<HashMap<String, Vec<u16>>>> = Arc::default();
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|number| {
            let (trouble, statuses) = (Arc::clone(&trouble), Arc::clone(&statuses));
            Replica::start(&format!("i-{number:04}"), "compagno", ZONES[number % 3].0, SLOTS, move |run| {
                let fails = number == 0 && trouble.lock().unwrap().fails_next();
                let status = if fails { FAIL_STATUS } else { 200 };
                statuses.lock().unwrap().entry(run.id.to_owned()).or_default().push(status);
                if fails {
                    return run.status(FAIL_STATUS);
                }
                write_events(run, EVENTS, EVENT_INTERVAL, |id, event| format!("{id}-{event}"))
            })
        })
        .collect();
    keep_reporting(&fleet.store, &replicas);
    fleet.play(|fleet| follow(fleet, &trouble, &statuses, has_trouble))
}

fn key_of(job: usize) -> &'static str {
    ["key-0", "key-1", "key-2", "key-3"][job % TENANTS]
}

fn follow(
    fleet: &Fleet,
    trouble: &Mutex<Trouble>,
    statuses: &Mutex<HashMap<String, Vec<u16>>>,
    has_trouble: bool,
) -> i32 {
    let record = &fleet.record;
    let begun_at = Instant::now();
    trouble.lock().unwrap().until = has_trouble.then(|| begun_at + FAIL_TIME);
    record.line(if has_trouble {
        "trouble: one of nine replicas fails 40 of 100 requests with status 429"
    } else {
        "no trouble: all replicas are sound"
    });
    for job in 0..JOBS {
        let sent_at = FAIL_TIME.mul_f64(job as f64 / JOBS as f64);
        thread::sleep(sent_at.saturating_sub(begun_at.elapsed()));
        // The clients are in the zone of the faulty replica.
        if !fleet.submit(0, job, key_of(job), &submission(job, ITEMS, 150)) {
            return 2;
        }
    }
    thread::sleep(FAIL_TIME.saturating_sub(begun_at.elapsed()));
    {
        let trouble = trouble.lock().unwrap();
        record.line(&format!(
            "all replicas are sound; one has failed {} of {} requests in {} s",
            trouble.failed,
            trouble.requests,
            FAIL_TIME.as_secs()
        ));
    }
    let mut given_up = 0;
    for job in 0..JOBS {
        let Some(results) = fleet.read_all(job, key_of(job), ITEMS, Duration::from_secs(40)) else {
            record.line(&format!("{} cannot be read to its end", job_name(job)));
            return 2;
        };
        for result in results.iter().filter(|result| result.state != "succeeded") {
            given_up += 1;
            let answers = statuses.lock().unwrap().get(&result.id).cloned().unwrap_or_default();
            record.line(&format!(
                "{}: item {} is listed as {}; the replicas have answered {answers:?}",
                job_name(job),
                result.id,
                result.state
            ));
        }
    }
    let elapsed = begun_at.elapsed().as_secs_f64();
    record.line(&format!(
        "{given_up} of {} items are given up within {elapsed:.1} s; RetentionS is {RETENTION_S}, no replica has answered 422 or 500",
        JOBS * ITEMS
    ));
    i32::from(given_up > 0)
}
