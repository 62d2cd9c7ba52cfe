//! The manifest moves a batch route to another service while items run, some of which make room for requests of callers.

use crate::harness::*;
use std::collections::HashMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 140;
/// Replicas of each of the two services.
const REPLICAS: usize = 3;
const SLOTS: usize = 8;
const EVENTS: u64 = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Requests of callers that come at once.
const CALLERS: usize = 15;
const JOBS: usize = 3;
const ITEMS: usize = 6;

/// One run as a replica has seen it: the service, and the event after which it went on.
type Runs = HashMap<String, Vec<(&'static str, u64)>>;

pub fn run(root: &Path, folder: &Path, has_trouble: bool) -> i32 {
    let fleet = Fleet::prepare(root, folder, MEMORY_MB);
    fleet.store.put("op", "config", &manifest(1, "compagno", 60));
    let runs: Arc<Mutex<Runs>> = Arc::default();
    let mut replicas = Vec::new();
    for (offset, service) in [(0, "compagno"), (REPLICAS, "guida")] {
        for number in 0..REPLICAS {
            let runs = Arc::clone(&runs);
            let id = format!("i-{:04}", offset + number);
            replicas.push(Replica::start(&id, service, ZONES[number].0, SLOTS, move |run| {
                runs.lock().unwrap().entry(run.id.to_owned()).or_default().push((service, run.after));
                write_events(run, EVENTS, EVENT_INTERVAL, |id, event| format!("{service}:{id}:{event}"))
            }));
        }
    }
    keep_reporting(&fleet.store, &replicas);
    fleet.play(|fleet| follow(fleet, &runs, has_trouble))
}

fn follow(fleet: &Fleet, runs: &Mutex<Runs>, has_trouble: bool) -> i32 {
    let record = &fleet.record;
    for job in 0..JOBS {
        if !fleet.submit(job, job, "key-0", &submission(job, ITEMS, 150)) {
            return 2;
        }
    }
    let started = Instant::now();
    while runs.lock().unwrap().len() < JOBS * ITEMS {
        if started.elapsed() > Duration::from_secs(10) {
            record.line("not all items have reached a replica");
            return 2;
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_millis(600));
    if has_trouble {
        fleet.store.put("op", "config", &manifest(2, "guida", 60));
        record.line("trouble: manifest 2 moves the route from the service compagno to the service guida");
    } else {
        record.line("no trouble: the manifest stays");
    }
    thread::sleep(Duration::from_millis(1_000));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let vm = Arc::clone(&fleet.vms[caller % fleet.vms.len()]);
            thread::spawn(move || {
                let id = format!("c{caller:04}");
                let headers = [
                    ("Host", CALLER_HOST),
                    ("Authorization", "Bearer key-1"),
                    ("X-Plantainmill-Request-Id", id.as_str()),
                    ("X-Plantainmill-Deadline-Ms", "5000"),
                ];
                let path = format!("{CALLER_PREFIX}{caller}");
                let answer = call(vm.callers, "POST", &path, &headers, b"hello", Duration::from_secs(5));
                answer.map(|answer| answer.status)
            })
        })
        .collect();
    let answers: Vec<_> = callers.into_iter().map(|caller| caller.join().unwrap()).collect();
    let served = answers.iter().filter(|status| **status == Some(200)).count();
    record.line(&format!("{served} of {CALLERS} requests of callers to the service compagno are answered"));
    let mut broken = 0;
    for job in 0..JOBS {
        let Some(results) = fleet.read_all(job, "key-0", ITEMS, Duration::from_secs(40)) else {
            record.line(&format!("{} cannot be read to its end", job_name(job)));
            return 2;
        };
        for result in results {
            let whole = |service: &str| {
                let events = (1..=EVENTS).map(|event| format!("{service}:{}:{event}", result.id));
                events.collect::<Vec<_>>().join("\n")
            };
            let is_whole = ["compagno", "guida"].iter().any(|service| result.output == whole(service));
            if result.state == "succeeded" && !is_whole {
                broken += 1;
                let from = |service: &str| result.output.lines().filter(|line| line.starts_with(service)).count();
                record.line(&format!(
                    "item {} is listed as succeeded with {} events of compagno and {} events of guida; its runs, by service and \
                     Last-Event-Id: {:?}",
                    result.id,
                    from("compagno"),
                    from("guida"),
                    runs.lock().unwrap().get(&result.id)
                ));
            }
        }
    }
    record.line(&format!("{broken} of {} results are the output of no service", JOBS * ITEMS));
    i32::from(broken > 0)
}
