//! Cases of the second review. `cases_2 NAME FOLDER` runs one case and writes `FOLDER/record.txt`. It ends with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it leaves out the disruption.

#[path = "stand_ins_2.rs"]
mod stand_ins;

use stand_ins::*;
use std::collections::BTreeMap;
use std::io::BufRead as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Zones and their regions.
const ZONES: [(&str, &str); 3] = [("catania", "est"), ("palermo", "ovest"), ("siracusa", "est")];
/// Memory of a machine in MB, as on the sheet of gita-insieme.
const MEMORY_MB: u64 = 140;
/// Tokens that one tenant may have waiting, as on the same sheet.
const TOKEN_LIMIT: u64 = 1_200_000;
/// `FinishS`.
const FINISH: Duration = Duration::from_secs(18);

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let folder = PathBuf::from(std::env::args().nth(2).expect("the folder of the case"));
    if name == "replica" {
        return replica_process();
    }
    let record = Record::create(&folder);
    set_record(&record);
    let trouble = if has_trouble() { "with" } else { "without" };
    record.line(&format!("case {name}, {trouble} the disruption"));
    let run = || match name.as_str() {
        "job-burst" => job_burst(&record),
        "endless-answer" => endless_answer(&record),
        "crashed-replica" => crashed_replica(&record),
        "foreign-bytes" => foreign_bytes(&record),
        "slow-readers" => slow_readers(&record),
        _ => 2,
    };
    // A case that fails before its end could not run.
    let code = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)).unwrap_or(2);
    record.line(&format!("exit code {code}"));
    std::process::exit(code);
}

/// A small deployment: three machines in three zones, with replicas and the store.
struct Fleet {
    store: Arc<Store>,
    network: [u8; 3],
    machines: Vec<Arc<Machine>>,
    replicas: Vec<Arc<Replica>>,
    _cleanup: Cleanup,
}

fn start_fleet(record: &Arc<Record>, replicas: usize, plan: &ReplicaPlan) -> Option<Fleet> {
    let network = free_network();
    let folder = temporary_folder();
    let store = Store::start(host(network, 200));
    store.put("op", "", "config", &manifest(TOKEN_LIMIT));
    let replicas: Vec<_> = (0..replicas)
        .map(|index| {
            let zone = ZONES[index % ZONES.len()].0;
            Replica::start(&store, &format!("i-{index:04}"), host(network, 100), zone, plan.clone())
        })
        .collect();
    let machines: Vec<_> = ZONES
        .iter()
        .zip(1..)
        .map(|((zone, _), index)| {
            let name = format!("front-{zone}-1");
            Machine::new(&folder, &name, host(network, index), zone, &ZONES, store.address)
        })
        .collect();
    let cleanup = Cleanup(machines.clone(), folder);
    machines.iter().for_each(|machine| machine.start());
    keep_machines(&machines, MEMORY_MB, record);
    if !wait_ready(&machines, Duration::from_secs(20)) {
        record.line("the machines are not ready");
        return None;
    }
    record.line("all machines are ready");
    thread::sleep(Duration::from_secs(5));
    Some(Fleet {
        store,
        network,
        machines,
        replicas,
        _cleanup: cleanup,
    })
}

// ---------------------------------------------------------------- jobs

/// The content of a job of `count` items with bodies of `bytes` bytes. Its items' ids begin with `e` and three digits of `job`.
fn job_content(job: usize, count: usize, bytes: usize) -> String {
    let content: Vec<u8> = (0..bytes).map(|at| (at * 31 + job * 7) as u8).collect();
    let content = base64(&content);
    let items = (0..count).map(|item| {
        let headers = [
            ("X-Plantainmill-Model", text("m")),
            ("X-Plantainmill-Token-Usage", text("540,400")),
        ];
        object(&[
            ("Id", text(&format!("e{job:03}{item:05}"))),
            ("Path", text(&format!("/sheets/{job}/{item}"))),
            ("Headers", object(&headers)),
            ("Body", text(&content)),
            ("Tokens", number(940)),
        ])
    });
    to_text(&object(&[("Requests", Json::Arr(items.collect()))]))
}

fn job_id(job: usize) -> String {
    format!("7c41e09b52d6{job:04}")
}

/// Submits a job, and once more to the next machine after any answer but 202 or after none. Returns whether it was accepted.
fn submit(record: &Record, machines: &[Arc<Machine>], job: usize, content: &str) -> bool {
    let id = job_id(job);
    (0..2).any(|attempt| {
        let machine = &machines[(job + attempt) % machines.len()];
        let headers = [
            ("Host", HOST),
            ("Authorization", KEY),
            ("X-Plantainmill-Request-Id", id.as_str()),
            ("Content-Type", "application/json"),
        ];
        let sent = record.seconds();
        let target = format!("/sheets/{id}");
        let answer = call(
            machine.front,
            "POST",
            &target,
            &headers,
            content.as_bytes(),
            Duration::from_secs(4),
        );
        let outcome = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => error.to_string(),
        };
        record.line(&format!("job {id}, sent at {sent:.3} s to {}: {outcome}", machine.name));
        answer.is_ok_and(|answer| answer.status == 202)
    })
}

/// Reads a page of results from position `after` on.
fn read_page(front: SocketAddr, id: &str, after: u64) -> Option<Json> {
    let target = format!("/api/lots/{id}?After={after}");
    let headers = [("Host", HOST), ("Authorization", KEY)];
    let answer = call(front, "GET", &target, &headers, b"", Duration::from_millis(2_500)).ok()?;
    Json::parse(&answer.body).filter(|_| answer.status == 200)
}

/// The results of a job by item: state and text.
type JobResults = BTreeMap<String, (String, String)>;

/// Reads all results of a job from the start.
fn read_job(front: SocketAddr, id: &str) -> Option<JobResults> {
    let mut results = BTreeMap::new();
    let mut after = 0;
    loop {
        let page = read_page(front, id, after)?;
        if page.get("Results").items().is_empty() {
            return Some(results);
        }
        for result in page.get("Results").items() {
            let field = |name: &str| result.get(name).text().to_owned();
            results.insert(field("Id"), (field("State"), field("Output")));
        }
        after = page.get("Next").number();
    }
}

/// Reads a job at `machine` until it has `count` results or `limit` has passed.
fn await_results(record: &Record, machine: &Machine, id: &str, count: usize, limit: Duration) -> JobResults {
    let started = Instant::now();
    let mut results = JobResults::new();
    while started.elapsed() < limit && results.len() < count {
        thread::sleep(Duration::from_secs(1));
        results = read_job(machine.front, id).unwrap_or(results);
    }
    record.line(&format!("{} of {count} items are listed", results.len()));
    results
}

/// Records and counts the items that are listed as succeeded with a text that is not the whole output.
fn count_wrong(record: &Record, results: &JobResults, plan: &ReplicaPlan) -> usize {
    let mut wrong = 0;
    for (item, (state, found)) in results {
        let events = (1..=plan.events).map(|number| Replica::event_data(item, number, plan.event_bytes));
        let whole = events.collect::<Vec<_>>().join("\n");
        if state != "succeeded" || *found == whole {
            continue;
        }
        wrong += 1;
        let at = found
            .bytes()
            .zip(whole.bytes())
            .take_while(|(one, other)| one == other)
            .count();
        let part = |text: &str| text.chars().skip(at).take(30).collect::<String>();
        record.line(&format!(
            "item {item} is listed as succeeded with {} bytes of text of {}, which differs from byte {at} on: {:?} instead of {:?}",
            found.len(),
            whole.len(),
            part(found),
            part(&whole)
        ));
    }
    record.line(&format!("{wrong} items are listed as succeeded with a wrong text"));
    wrong
}

// ---------------------------------------------------------------- review/7

fn job_burst(record: &Arc<Record>) -> i32 {
    const JOBS: usize = 126;
    const ITEMS: usize = 10;
    const ITEM_BYTES: usize = 300_000;
    // 7 jobs a second, or six times as many for 3 s.
    let spread = Duration::from_secs(if has_trouble() { 3 } else { 18 });
    let plan = ReplicaPlan {
        slots: 8,
        events: 170,
        event_bytes: 75,
        event_pause: Duration::from_millis(5),
        body_bytes: 0,
    };
    let Some(fleet) = start_fleet(record, 9, &plan) else {
        return 2;
    };
    let contents: Vec<String> = (0..JOBS).map(|job| job_content(job, ITEMS, ITEM_BYTES)).collect();
    let (seconds, bytes) = (spread.as_secs(), contents[0].len());
    record.line(&format!(
        "{JOBS} jobs of {bytes} bytes each are sent in {seconds} s, with {} tokens together",
        JOBS * ITEMS * 940
    ));
    let clients = contents.into_iter().enumerate().map(|(job, content)| {
        let (machines, record) = (fleet.machines.clone(), Arc::clone(record));
        thread::spawn(move || {
            thread::sleep(spread * job as u32 / JOBS as u32);
            submit(&record, &machines, job, &content).then_some(job)
        })
    });
    let clients: Vec<_> = clients.collect();
    let accepted: Vec<usize> = clients
        .into_iter()
        .filter_map(|client| client.join().unwrap())
        .collect();
    let ended = Instant::now();
    record.line(&format!(
        "{} of {JOBS} jobs were accepted; the traffic has ended",
        accepted.len()
    ));
    let mut open = accepted.clone();
    let mut lost = 0;
    while ended.elapsed() < 2 * FINISH && !open.is_empty() {
        thread::sleep(Duration::from_secs(1));
        // A job is finished if it has a result at its last position.
        open.retain(|job| {
            let mut machines = fleet.machines.iter();
            !machines.any(|machine| {
                let page = read_page(machine.front, &job_id(*job), ITEMS as u64 - 1);
                page.is_some_and(|page| page.get("Results").items().len() == 1)
            })
        });
        let had_recently = |job: &usize| {
            let prefix = format!("e{job:03}");
            let mut replicas = fleet.replicas.iter();
            replicas.any(|replica| replica.had_within(&prefix, Duration::from_secs(5)))
        };
        let untouched = open.iter().filter(|job| !had_recently(job)).count();
        let at_work: usize = fleet
            .replicas
            .iter()
            .map(|replica| replica.at_work.lock().unwrap().len())
            .sum();
        let idle = fleet
            .replicas
            .iter()
            .map(|replica| replica.time_since_finish().as_secs_f64());
        let idle = idle.fold(f64::MAX, f64::min);
        let ends: Vec<usize> = fleet
            .machines
            .iter()
            .map(|machine| machine.memory_ends.load(Ordering::SeqCst))
            .collect();
        let is_over = ended.elapsed() >= FINISH;
        record.line(&format!(
            "{:.0} s after the traffic: {} accepted jobs are not finished, and no replica had an item of {untouched} of them in the last 5 s; \
             {at_work} of 72 slots are in use; the last run was finished {idle:.1} s ago; processes ended for their memory: {ends:?}",
            ended.elapsed().as_secs_f64(),
            open.len(),
        ));
        if is_over && at_work < 36 && idle > 3.0 {
            lost = lost.max(untouched);
        }
    }
    let peaks: Vec<u64> = fleet
        .machines
        .iter()
        .map(|machine| machine.peak_bytes.load(Ordering::SeqCst) >> 20)
        .collect();
    record.line(&format!("largest memory of the machines in MB: {peaks:?}"));
    record.line(&format!("{lost} accepted jobs are lost by the rule"));
    i32::from(lost > 0)
}

// ---------------------------------------------------------------- review/8

/// Plan of the replicas of cases with a few short items.
const SHORT_PLAN: ReplicaPlan = ReplicaPlan {
    slots: 8,
    events: 40,
    event_bytes: 75,
    event_pause: Duration::from_millis(10),
    body_bytes: 0,
};
/// Items of a job of which one is affected: within the share of answers that replicas spoil.
const FEW_ITEMS: usize = 80;

fn endless_answer(record: &Arc<Record>) -> i32 {
    const RETENTION: Duration = Duration::from_secs(60);
    let Some(fleet) = start_fleet(record, 3, &SHORT_PLAN) else {
        return 2;
    };
    if has_trouble() {
        fleet.replicas[0].answer_without_end();
    }
    if !submit(record, &fleet.machines, 0, &job_content(0, FEW_ITEMS, 12)) {
        return 2;
    }
    let submitted = Instant::now();
    let results = await_results(
        record,
        &fleet.machines[1],
        &job_id(0),
        FEW_ITEMS,
        FINISH + Duration::from_secs(2),
    );
    let is_lost = |results: &JobResults| {
        let at_work: usize = fleet
            .replicas
            .iter()
            .map(|replica| replica.at_work.lock().unwrap().len())
            .sum();
        let idle = fleet
            .replicas
            .iter()
            .map(|replica| replica.time_since_finish().as_secs_f64());
        let idle = idle.fold(f64::MAX, f64::min);
        record.line(&format!(
            "{at_work} of 24 slots are in use; the last run was finished {idle:.1} s ago"
        ));
        results.len() < FEW_ITEMS && at_work == 0 && idle > 5.0
    };
    if !is_lost(&results) {
        return if results.len() == FEW_ITEMS { 0 } else { 2 };
    }
    // Also when its time for retention is over, which is the deadline that the replica was given, and FinishS once more.
    let left = (RETENTION + FINISH).saturating_sub(submitted.elapsed());
    let results = await_results(record, &fleet.machines[1], &job_id(0), FEW_ITEMS, left);
    let is_lost = is_lost(&results);
    for replica in &fleet.replicas {
        for (item, began, closed) in replica.endless_answers.lock().unwrap().iter() {
            let time = closed.unwrap_or_else(Instant::now).duration_since(*began).as_secs_f64();
            let state = if closed.is_some() {
                "was closed"
            } else {
                "is still open"
            };
            record.line(&format!(
                "{}: the channel with the answer to {item} {state} after {time:.1} s",
                replica.id
            ));
        }
    }
    i32::from(is_lost)
}

// ---------------------------------------------------------------- review/9

/// Plan of the replicas that run as processes.
const LONG_PLAN: ReplicaPlan = ReplicaPlan {
    slots: 8,
    events: 170,
    event_bytes: 75,
    event_pause: Duration::from_millis(10),
    body_bytes: 0,
};

/// A replica as a process of its own: `cases_2 replica FOLDER ID IP UNFRAMED`. Prints its address, and then what it runs. If
/// UNFRAMED is 1, its first answer has no length.
fn replica_process() {
    let argument = |index| std::env::args().nth(index).expect("an argument");
    let ip = argument(4).parse().expect("an address");
    let replica = Replica::serve_at(&argument(3), ip, LONG_PLAN);
    if argument(5) == "1" {
        replica.omit_next_length();
    }
    println!("{}", replica.address);
    // Ends with the process that has started it.
    let _ = std::io::stdin().read_line(&mut String::new());
}

struct ReplicaProcess {
    id: String,
    child: Child,
    is_alive: Arc<AtomicBool>,
    /// Since when it has been sending a stream without a length.
    unframed_since: Arc<Mutex<Option<Instant>>>,
}

impl ReplicaProcess {
    fn start(record: &Arc<Record>, fleet: &Fleet, index: usize, is_unframed: bool) -> ReplicaProcess {
        let id = format!("i-{index:04}");
        let ip = host(fleet.network, 100).to_string();
        let mut child = Command::new(std::env::current_exe().expect("this program"))
            .args(["replica", ".", &id, &ip, if is_unframed { "1" } else { "0" }])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a replica");
        let mut lines = std::io::BufReader::new(child.stdout.take().expect("its output")).lines();
        let address = lines
            .next()
            .and_then(|line| line.ok()?.parse().ok())
            .expect("its address");
        let unframed_since = Arc::new(Mutex::new(None));
        let (record, since) = (Arc::clone(record), Arc::clone(&unframed_since));
        thread::spawn(move || {
            let mut unframed = String::new();
            for line in lines.map_while(Result::ok) {
                record.line(&line);
                let item = line.split(' ').find(|word| word.starts_with('e') && word.len() == 9);
                let item = item.unwrap_or_default();
                if line.ends_with("without a length") {
                    unframed = item.to_owned();
                    *since.lock().unwrap() = Some(Instant::now());
                } else if item == unframed && !line.contains(" runs ") {
                    *since.lock().unwrap() = None;
                }
            }
        });
        let is_alive = Arc::new(AtomicBool::new(true));
        register(
            &fleet.store,
            &id,
            address,
            ZONES[index % ZONES.len()].0,
            LONG_PLAN.slots,
            &is_alive,
        );
        ReplicaProcess {
            id,
            child,
            is_alive,
            unframed_since,
        }
    }

    fn kill(&mut self) {
        self.is_alive.store(false, Ordering::SeqCst);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ReplicaProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn crashed_replica(record: &Arc<Record>) -> i32 {
    let Some(fleet) = start_fleet(record, 0, &LONG_PLAN) else {
        return 2;
    };
    let mut replicas: Vec<_> = (0..6)
        .map(|index| ReplicaProcess::start(record, &fleet, index, index == 0))
        .collect();
    thread::sleep(Duration::from_secs(2));
    if !submit(record, &fleet.machines, 0, &job_content(0, FEW_ITEMS, 12)) {
        return 2;
    }
    // A run takes 1.7 s; the replica is killed in the middle of the one without a length.
    let submitted = Instant::now();
    let is_midway = |replica: &ReplicaProcess| {
        let since = *replica.unframed_since.lock().unwrap();
        since.is_some_and(|since| since.elapsed() >= Duration::from_millis(800))
    };
    while !is_midway(&replicas[0]) {
        if submitted.elapsed() > Duration::from_secs(15) {
            return 2;
        }
        thread::sleep(Duration::from_millis(10));
    }
    if has_trouble() {
        replicas[0].kill();
        record.line(&format!("SIGKILL to {}", replicas[0].id));
    }
    let results = await_results(
        record,
        &fleet.machines[1],
        &job_id(0),
        FEW_ITEMS,
        Duration::from_secs(40),
    );
    let wrong = count_wrong(record, &results, &LONG_PLAN);
    match (wrong, results.len()) {
        (0, FEW_ITEMS) => 0,
        (0, _) => 2,
        _ => 1,
    }
}

// ---------------------------------------------------------------- review/10

fn foreign_bytes(record: &Arc<Record>) -> i32 {
    let Some(fleet) = start_fleet(record, 3, &SHORT_PLAN) else {
        return 2;
    };
    if has_trouble() {
        fleet.replicas[0].spoil_next();
    }
    if !submit(record, &fleet.machines, 0, &job_content(0, FEW_ITEMS, 12)) {
        return 2;
    }
    let results = await_results(
        record,
        &fleet.machines[1],
        &job_id(0),
        FEW_ITEMS,
        Duration::from_secs(40),
    );
    let wrong = count_wrong(record, &results, &SHORT_PLAN);
    match (wrong, results.len()) {
        (0, FEW_ITEMS) => 0,
        (0, _) => 2,
        _ => 1,
    }
}

// ---------------------------------------------------------------- spare

/// How a slow client's request ended.
struct SlowEnd {
    status: u16,
    received: usize,
    length: usize,
    seconds: f64,
    error: String,
}

/// Sends a request and reads its answer in steps of `step` bytes, `pause` apart.
fn read_slowly(front: SocketAddr, id: &str, deadline_ms: u64, step: usize, pause: Duration) -> SlowEnd {
    let started = Instant::now();
    let mut end = SlowEnd {
        status: 0,
        received: 0,
        length: 0,
        seconds: 0.0,
        error: String::new(),
    };
    let result = (|| -> std::io::Result<()> {
        let mut stream = connect_small(front, 1_460, 32 << 10)?;
        stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)))?;
        let deadline = deadline_ms.to_string();
        send_request(
            &mut stream,
            "POST",
            &format!("/plain/{id}"),
            &[
                ("Host", HOST),
                ("Authorization", "Bearer key-t0"),
                ("X-Plantainmill-Request-Id", id),
                ("X-Plantainmill-Deadline-Ms", &deadline),
            ],
            b"reissue",
        )?;
        let mut content = Vec::new();
        let mut buffer = vec![0; step];
        let mut head_end = None;
        loop {
            if !pause.is_zero() && head_end.is_some() {
                thread::sleep(pause);
            }
            let filled = read_some(&mut stream, &mut buffer)?;
            content.extend_from_slice(&buffer[..filled]);
            if head_end.is_none() {
                if let Some(at) = content.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                    let head = String::from_utf8_lossy(&content[..at]).to_ascii_lowercase();
                    end.status = head
                        .split(' ')
                        .nth(1)
                        .and_then(|status| status.parse().ok())
                        .unwrap_or(0);
                    let length = head.split("content-length: ").nth(1);
                    end.length = length
                        .and_then(|rest| rest.split("\r\n").next()?.parse().ok())
                        .unwrap_or(usize::MAX / 2);
                    if head.contains("transfer-encoding") {
                        end.length = usize::MAX / 2;
                    }
                    head_end = Some(at + 4);
                }
            }
            end.received = content.len() - head_end.unwrap_or(content.len());
            if end.received >= end.length {
                return Ok(());
            }
            // The answer comes in chunks.
            if end.length > usize::MAX / 4 && content.ends_with(b"0\r\n\r\n") {
                end.length = end.received;
                return Ok(());
            }
            if filled == 0 {
                return Err(std::io::Error::other("the channel ended"));
            }
            if started.elapsed().as_millis() as u64 > deadline_ms {
                return Err(std::io::Error::other("the deadline passed"));
            }
        }
    })();
    end.seconds = started.elapsed().as_secs_f64();
    end.error = result.err().map(|error| error.to_string()).unwrap_or_default();
    end
}

fn slow_readers(record: &Arc<Record>) -> i32 {
    const CLIENTS: usize = 180;
    const TIME: Duration = Duration::from_secs(40);
    const DEADLINE_MS: u64 = 9_000;
    let plan = ReplicaPlan {
        slots: 8,
        events: 25,
        event_bytes: 75,
        event_pause: Duration::ZERO,
        body_bytes: 4 << 20,
    };
    let Some(fleet) = start_fleet(record, 9, &plan) else {
        return 2;
    };
    // About 600 KB/s.
    let pause = if has_trouble() {
        Duration::from_millis(110)
    } else {
        Duration::ZERO
    };
    let started = Instant::now();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|index| {
            let (machine, record) = (Arc::clone(&fleet.machines[index % 3]), Arc::clone(record));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(index as u64 * 15));
                for round in 0.. {
                    if started.elapsed() >= TIME {
                        return;
                    }
                    let id = format!("5ad{index:04}{round:09}");
                    let sent = record.seconds();
                    let end = read_slowly(machine.front, &id, DEADLINE_MS, 64 << 10, pause);
                    record.line(&format!(
                        "request {id}, sent at {sent:.3} s to {}: status {}, {} bytes in {:.1} s {}",
                        machine.name, end.status, end.received, end.seconds, end.error
                    ));
                    thread::sleep(Duration::from_secs(2));
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    let ends: Vec<usize> = fleet
        .machines
        .iter()
        .map(|machine| machine.memory_ends.load(Ordering::SeqCst))
        .collect();
    let peaks: Vec<u64> = fleet
        .machines
        .iter()
        .map(|machine| machine.peak_bytes.load(Ordering::SeqCst) >> 20)
        .collect();
    record.line(&format!(
        "processes ended for their memory: {ends:?}; largest memory in MB: {peaks:?}"
    ));
    i32::from(ends.iter().filter(|ends| **ends >= 3).count() >= 2)
}
