//! Many batch jobs with many results come at once. Their clients read the results, and VMs run out of memory.

use crate::harness::*;
use std::collections::HashMap;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Memory of a machine in the site file.
const MEMORY_MB: u64 = 140;
/// Jobs a second before and after the burst; 1.03 on the sheet.
const USUAL_RATE: usize = 1;
/// Factor and length of the burst in the site file.
const BURST_FACTOR: usize = 6;
const BURST_SECONDS: usize = 3;
/// Largest number of items of a job on the page.
const ITEMS: usize = 200;
const EVENTS: u64 = 400;
/// Bytes of one event; the site file has 75 in the mean and 450 at most.
const EVENT_BYTES: usize = 250;
const EVENT_INTERVAL: Duration = Duration::from_micros(1_000);
/// Tokens of an item: 50 of its prompt, and one for each event. A job is within the 1,200,000 tokens that a tenant may have waiting.
const TOKENS: usize = 450;
const RETENTION_S: u64 = 600;
const REPLICAS: usize = 9;
const SLOTS: usize = 8;
/// Time for the reads after the traffic.
const READ_TIME: Duration = Duration::from_secs(30);
/// Longest time for the work and `FinishS` of 18 s.
const WORK_TIME: Duration = Duration::from_secs(60);

fn data_of(item: &str, event: u64) -> String {
    let mut data = format!("{{\"id\":\"{item}\",\"object\":\"chat.completion.chunk\",\"n\":{event},\"delta\":\"");
    while data.len() < EVENT_BYTES - 2 {
        data.push('x');
    }
    data.push_str("\"}");
    data
}

/// Runs of each item, by its id.
type RunLog = HashMap<String, u32>;

pub fn run(root: &Path, folder: &Path, has_trouble: bool) -> i32 {
    let fleet = Fleet::prepare(root, folder, MEMORY_MB);
    fleet.store.put("op", "config", &manifest(1, "compagno", RETENTION_S));
    let log: Arc<Mutex<RunLog>> = Arc::default();
    let replicas: Vec<Arc<Replica>> = (0..REPLICAS)
        .map(|number| {
            let log = Arc::clone(&log);
            Replica::start(&format!("i-{number:04}"), "compagno", ZONES[number % 3].0, SLOTS, move |run| {
                *log.lock().unwrap().entry(run.id.to_owned()).or_default() += 1;
                write_events(run, EVENTS, EVENT_INTERVAL, data_of)
            })
        })
        .collect();
    keep_reporting(&fleet.store, &replicas);
    fleet.play(|fleet| {
        let code = follow(fleet, has_trouble);
        let log = log.lock().unwrap();
        let (items, runs) = (log.len(), log.values().sum::<u32>());
        fleet.record.line(&format!("{items} items have reached a replica, in {runs} runs"));
        code
    })
}

/// Key of the tenant that sends the job with this number.
fn key_name(job: usize) -> String {
    format!("key-{}", job % TENANTS)
}

/// Reads the page of results from `after` on, and returns where the next one begins.
fn read_next(vm: &Vm, job: usize, after: u64) -> Option<u64> {
    let path = format!("/api/lots/{}?After={after}", job_name(job));
    let key = format!("Bearer {}", key_name(job));
    let headers = [
        ("Host", HOST),
        ("Authorization", key.as_str()),
        ("X-Plantainmill-Wait-Ms", "1000"),
    ];
    let answer = call(vm.callers, "GET", &path, &headers, b"", Duration::from_millis(2_500))?;
    let page = Json::parse(&answer.body).filter(|_| answer.status == 200)?;
    page.get("Next").and_then(Json::number)
}

fn follow(fleet: &Fleet, has_trouble: bool) -> i32 {
    let Fleet { store, vms, record, .. } = fleet;
    let rate = if has_trouble { USUAL_RATE * BURST_FACTOR } else { USUAL_RATE };
    let jobs = rate * BURST_SECONDS;
    record.line(&format!("{jobs} jobs come in {BURST_SECONDS} s"));
    let read: Arc<Vec<AtomicU64>> = Arc::new((0..jobs).map(|_| AtomicU64::new(0)).collect());
    let begun_at = Instant::now();
    let accepted = Arc::new(AtomicU64::new(0));
    for number in 0..jobs {
        let (fleet, read, accepted) = (fleet.clone(), Arc::clone(&read), Arc::clone(&accepted));
        let sent_at = begun_at + Duration::from_secs(1) * u32::try_from(number).unwrap() / u32::try_from(rate).unwrap();
        thread::spawn(move || {
            thread::sleep(sent_at.saturating_duration_since(Instant::now()));
            if !fleet.submit(number, number, &key_name(number), &submission(number, ITEMS, TOKENS)) {
                return;
            }
            accepted.fetch_add(1, Ordering::Relaxed);
            // The job's client reads twice a second from the position that it has read up to.
            let mut turn = number;
            loop {
                let after = read[number].load(Ordering::Relaxed);
                if after == ITEMS as u64 {
                    return;
                }
                turn += 1;
                if let Some(next) = read_next(&fleet.vms[turn % fleet.vms.len()], number, after) {
                    read[number].store(next, Ordering::Relaxed);
                }
                thread::sleep(Duration::from_millis(500));
            }
        });
    }
    // Another client of each tenant reads the tenant's jobs in turn, from any position that is listed.
    for tenant in 0..TENANTS.min(jobs) {
        let (vms, read) = (vms.to_vec(), Arc::clone(&read));
        thread::spawn(move || {
            for turn in 0_usize.. {
                thread::sleep(Duration::from_secs(1));
                let own: Vec<usize> = (tenant..read.len()).step_by(TENANTS).collect();
                let job = own[turn % own.len()];
                let most = read[job].load(Ordering::Relaxed);
                let after = most * (turn as u64 % 3) / 3;
                let _ = read_next(&vms[(tenant + turn) % vms.len()], job, after);
            }
        });
    }
    let all = (jobs * ITEMS) as u64;
    let until = begun_at + WORK_TIME;
    let mut said = Instant::now();
    loop {
        thread::sleep(Duration::from_millis(50));
        let count: u64 = read.iter().map(|read| read.load(Ordering::Relaxed)).sum();
        let listed = store.result_count();
        let is_done = count == all || Instant::now() > until;
        if said.elapsed() > Duration::from_secs(2) || is_done {
            said = Instant::now();
            record.line(&format!("{listed} of {all} results are listed, {count} are read by the jobs' clients"));
        }
        if is_done {
            break;
        }
    }
    if accepted.load(Ordering::Relaxed) < jobs as u64 {
        record.line("not all jobs were accepted");
        return 2;
    }
    read_from_start(fleet, jobs)
}

/// After the traffic, all jobs are read from the start, a page every half second, again after each failure. Returns 1 if there is a
/// job of which nothing can be read, and two machines or more have ended three times or more.
fn read_from_start(fleet: &Fleet, jobs: usize) -> i32 {
    let Fleet { vms, record, .. } = fleet;
    thread::sleep(Duration::from_secs(3));
    record.line(&format!("{jobs} jobs are read from the start"));
    let failures = Arc::new(AtomicU64::new(0));
    let readers: Vec<_> = (0..jobs)
        .map(|job| {
            let (vms, failures) = (vms.to_vec(), Arc::clone(&failures));
            thread::spawn(move || {
                let until = Instant::now() + READ_TIME;
                let (mut after, mut turn) = (0, job);
                while after < ITEMS as u64 && Instant::now() < until {
                    turn += 1;
                    match read_next(&vms[turn % vms.len()], job, after) {
                        Some(next) => after = next,
                        None => {
                            failures.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    thread::sleep(Duration::from_millis(500));
                }
                after
            })
        })
        .collect();
    let read: Vec<u64> = readers.into_iter().map(|reader| reader.join().unwrap()).collect();
    let failures = failures.load(Ordering::Relaxed);
    record.line(&format!("read up to {read:?} of {ITEMS} results; {failures} reads had no answer"));
    let ends = |vm: &Arc<Vm>| vm.over_memory.load(Ordering::Relaxed) + vm.own_ends.load(Ordering::Relaxed);
    let often = vms.iter().filter(|vm| ends(vm) >= 3).count();
    let unread = read.iter().filter(|read| **read == 0).count();
    record.line(&format!("{unread} jobs cannot be read; {often} machines have ended three times or more"));
    i32::from(unread > 0 && often >= 2)
}
