//! One replica fails part of its requests at once, and items are given up although no replica has said that they cannot be done.

use crate::harness::*;
use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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

pub fn run(root: &Path, folder: &Path, has_trouble: bool) -> i32 {
    let fleet = Fleet::prepare(root, folder, MEMORY_MB);
    fleet.store.put("op", "config", &manifest(1, "compagno", RETENTION_S));
    let is_failing = Arc::new(AtomicBool::new(false));
    let requests = Arc::new(AtomicU64::new(0));
    let statuses: Arc<Mutex<HashMap<String, Vec<u16>>>> = Arc::default();
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|number| {
            let (is_failing, requests) = (Arc::clone(&is_failing), Arc::clone(&requests));
            let statuses = Arc::clone(&statuses);
            Replica::start(&format!("i-{number:04}"), "compagno", ZONES[number % 3].0, SLOTS, move |run| {
                let is_faulty = number == 0 && is_failing.load(Ordering::Relaxed);
                let fails = is_faulty && draw(requests.fetch_add(1, Ordering::Relaxed)) < FAIL_PERCENT;
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
    fleet.play(|fleet| follow(fleet, &is_failing, &statuses, has_trouble))
}

fn key_of(job: usize) -> &'static str {
    ["key-0", "key-1", "key-2", "key-3"][job % TENANTS]
}

fn follow(
    fleet: &Fleet,
    is_failing: &AtomicBool,
    statuses: &Mutex<HashMap<String, Vec<u16>>>,
    has_trouble: bool,
) -> i32 {
    let record = &fleet.record;
    let begun_at = Instant::now();
    is_failing.store(has_trouble, Ordering::Relaxed);
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
    is_failing.store(false, Ordering::Relaxed);
    record.line("all replicas are sound");
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
