//! One replica goes on with events without end, and what it has sent is listed as the output of items.

use crate::harness::*;
use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 140;
const REPLICAS: usize = 9;
const SLOTS: usize = 8;
/// Events of the whole output of an item.
const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which the replica is in trouble.
const TROUBLE_TIME: Duration = Duration::from_secs(5);
const JOBS: usize = 10;
const ITEMS: usize = 10;

/// The event of an item. All replicas write the same text.
fn data_of(item: &str, event: u64) -> String {
    format!("{item}-{event:05}-{}", "x".repeat(60))
}

/// Bytes that are no answer: events that go on until the caller closes.
fn write_without_end(run: &mut Run<'_>) -> bool {
    let is_open = run.begin();
    for event in run.after + 1.. {
        if !is_open || !run.event(event, &"?".repeat(400)) {
            return false;
        }
    }
    false
}

pub fn run(root: &Path, folder: &Path, has_trouble: bool) -> i32 {
    let fleet = Fleet::prepare(root, folder, MEMORY_MB);
    fleet.store.put("op", "config", &manifest(1, "compagno", 60));
    let is_in_trouble = Arc::new(AtomicBool::new(false));
    let runs: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|number| {
            let (is_in_trouble, runs) = (Arc::clone(&is_in_trouble), Arc::clone(&runs));
            Replica::start(&format!("i-{number:04}"), "compagno", ZONES[number % 3].0, SLOTS, move |run| {
                let is_faulty = number == 0 && is_in_trouble.load(Ordering::Relaxed);
                let kind = if is_faulty { "without end" } else { "sound" };
                let seen = format!("{} after event {}, {kind}", run.replica, run.after);
                runs.lock().unwrap().entry(run.id.to_owned()).or_default().push(seen);
                if is_faulty {
                    return write_without_end(run);
                }
                write_events(run, EVENTS, EVENT_INTERVAL, data_of)
            })
        })
        .collect();
    keep_reporting(&fleet.store, &replicas);
    fleet.play(|fleet| follow(fleet, &is_in_trouble, &runs, has_trouble))
}

fn follow(
    fleet: &Fleet,
    is_in_trouble: &AtomicBool,
    runs: &Mutex<HashMap<String, Vec<String>>>,
    has_trouble: bool,
) -> i32 {
    let record = &fleet.record;
    let begun_at = Instant::now();
    is_in_trouble.store(has_trouble, Ordering::Relaxed);
    record.line(if has_trouble {
        "trouble: one of nine replicas sends events without end"
    } else {
        "no trouble: all replicas are sound"
    });
    for job in 0..JOBS {
        let sent_at = TROUBLE_TIME.mul_f64(job as f64 / JOBS as f64);
        thread::sleep(sent_at.saturating_sub(begun_at.elapsed()));
        if !fleet.submit(job, job, "key-0", &submission(job, ITEMS, 150)) {
            return 2;
        }
    }
    thread::sleep(TROUBLE_TIME.saturating_sub(begun_at.elapsed()));
    is_in_trouble.store(false, Ordering::Relaxed);
    record.line("all replicas are sound");
    let (mut broken, mut given_up) = (0, 0);
    for job in 0..JOBS {
        let Some(results) = fleet.read_all(job, "key-0", ITEMS, Duration::from_secs(40)) else {
            record.line(&format!("{} cannot be read to its end", job_name(job)));
            return 2;
        };
        for result in results {
            let whole: Vec<String> = (1..=EVENTS).map(|event| data_of(&result.id, event)).collect();
            given_up += usize::from(result.state != "succeeded");
            if result.state == "succeeded" && result.output != whole.join("\n") {
                broken += 1;
                record.line(&format!(
                    "item {} is listed as succeeded with {} bytes in {} lines, not the {} lines of its output; its runs: {:?}",
                    result.id,
                    result.output.len(),
                    result.output.lines().count(),
                    EVENTS,
                    runs.lock().unwrap().get(&result.id)
                ));
            }
        }
    }
    record.line(&format!("{broken} of {} results have a wrong output, {given_up} are given up", JOBS * ITEMS));
    i32::from(broken > 0)
}
