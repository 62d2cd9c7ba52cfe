//! The cases. Each returns what broke the rule, or nothing if it held.

use crate::*;

pub fn play(case: &str, fleet: &mut Fleet) -> Result<Option<String>, String> {
    match case {
        "large-results" => large_results(fleet),
        "owner-twice" => owner_twice(fleet),
        "ended-job" => ended_job(fleet),
        "deaf-owner" => deaf_owner(fleet),
        other => Err(format!("no case {other}")),
    }
}

/// The store is down while a batch job with long outputs ends. Its results then make a write that the store never takes.
fn large_results(fleet: &mut Fleet) -> Result<Option<String>, String> {
    write_manifest(&fleet.store, 1, 1_200_000);
    let lot = "7c41e09b52d6a3f8";
    let items = item_ids(lot, 24);
    let order = items.clone();
    // 170 events of 450 bytes; the items of the job end one after the other.
    let work = move |request: &Request, _: usize| {
        let id = request.header("x-plantainmill-request-id");
        let place = order.iter().position(|item| item == id).unwrap_or(0) as u64;
        Work::Events {
            count: 170,
            bytes: 450,
            pause: Duration::from_micros(9_000 + 500 * place),
        }
    };
    let replicas = Replicas::start(&fleet.store, &fleet.record, "llm", 3, 8, Box::new(work));
    fleet.start_vms(3)?;
    let status = submit(fleet, &fleet.vms[0], lot, &lot_body(&items, 1_880));
    if status != Some(202) {
        return Err(format!("the batch job was answered {status:?}"));
    }
    sleep_ms(1_000);
    if fleet.trouble {
        fleet.store.set_mode(StoreMode::Busy);
    }
    sleep_ms(7_000);
    if fleet.trouble {
        fleet.store.set_mode(StoreMode::Sound);
    }
    // ContactMs until all machines are in touch again; then FinishS.
    sleep_ms(4_000);
    fleet.record.line("in touch; FinishS begins");
    sleep_ms(18_000);
    let listed = all_results(&fleet.vms[1], lot)
        .map_err(|status| format!("the results are answered {status}"))?;
    let missing = unlisted(&items, &listed);
    let now = fleet.record.ms();
    let runs = replicas.runs.lock().unwrap();
    let whole = items
        .iter()
        .filter(|id| {
            runs.iter().any(|run| {
                &run.id == *id && run.ended.as_ref().is_some_and(|(_, end)| end == "whole")
            })
        })
        .count();
    let last_end = runs
        .iter()
        .filter_map(|run| run.ended.as_ref())
        .map(|(at, _)| *at)
        .max()
        .unwrap_or(0);
    let idle = replicas.running() == 0 && now - last_end > 5_000;
    let refused = fleet.store.refused_for_size.load(Ordering::SeqCst);
    fleet.say(&format!(
        "accepted items: {}; run to their end at replicas: {whole}; listed: {}; not listed: {}; last run ended {} ms ago; writes refused for their size: {refused}",
        items.len(), listed.len(), missing.len(), now - last_end
    ));
    if !missing.is_empty() && idle {
        return Ok(Some(format!(
            "LOST: FinishS is over, and {} items of an open batch job are listed neither as succeeded nor as dead_letter",
            missing.len()
        )));
    }
    Ok(None)
}

/// What the two cases with a frozen owner share: twelve VMs, two replicas of `llm` with two slots each, and clients of `chat`
/// at all VMs but the owner. `front-a-12` accepts the job; it is no reader of its zone (those are `front-a-5` and `front-a-7`).
const OWNER: usize = 11;
const FIRST_READER: usize = 4;
const OTHERS: [usize; 11] = [0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

fn start_frozen_owner(fleet: &mut Fleet, item_ms: u64) -> Result<Arc<Replicas>, String> {
    write_manifest(&fleet.store, 1, 1_200_000);
    let chat = |_: &Request, _: usize| Work::Events {
        count: 2,
        bytes: 75,
        pause: Duration::from_millis(10),
    };
    let _chat = Replicas::start(&fleet.store, &fleet.record, "chat", 3, 8, Box::new(chat));
    let work = move |request: &Request, _: usize| {
        if request.path.starts_with("/lot/") {
            Work::Events {
                count: 10,
                bytes: 75,
                pause: Duration::from_millis(item_ms / 10),
            }
        } else {
            Work::Events {
                count: 45,
                bytes: 75,
                pause: Duration::from_millis(100),
            }
        }
    };
    let replicas = Replicas::start(&fleet.store, &fleet.record, "llm", 2, 2, Box::new(work));
    fleet.start_vms(12)?;
    Ok(replicas)
}

/// The owner of a job freezes while its client ends the job at another machine. Later it still sends the job's items.
/// One machine of twelve freezes at a time, up to eight times.
fn ended_job(fleet: &mut Fleet) -> Result<Option<String>, String> {
    const FROZEN: [usize; 1] = [OWNER];
    const ROUNDS: u64 = 8;
    let replicas = start_frozen_owner(fleet, 1_000)?;
    let stop_chat = Arc::new(AtomicBool::new(false));
    stream_clients(fleet, ASK_HOST, &OTHERS, 33, 20, &stop_chat);
    let mut broken = None;
    for round in 0..ROUNDS {
        let stop_busy = Arc::new(AtomicBool::new(false));
        stream_clients(fleet, BUSY_HOST, &OTHERS, 11, 30, &stop_busy);
        sleep_ms(800);
        let lots = FROZEN.map(|k| (k, format!("7c41{round:02x}{k:02x}b52d6a3f")));
        for (k, lot) in &lots {
            let status = submit(
                fleet,
                &fleet.vms[*k],
                lot,
                &lot_body(&item_ids(lot, 12), 1_880),
            );
            if status != Some(202) {
                return Err(format!("the batch job was answered {status:?}"));
            }
        }
        sleep_ms(300);
        if fleet.trouble {
            fleet.record.line("SIGSTOP of the owner");
            sleep_ms(random_ms(500));
            for k in FROZEN {
                fleet.vms[k].signal(SIGSTOP);
            }
        }
        let frozen_at = Instant::now();
        sleep_ms(1_800);
        let mut ended = Vec::new();
        for (_, lot) in &lots {
            if end_lot(fleet, &fleet.vms[0], lot) != Some(200) {
                return Err("the end got no ack".to_owned());
            }
            ended.push((lot, fleet.record.ms()));
        }
        thread::sleep(Duration::from_millis(4_000).saturating_sub(frozen_at.elapsed()));
        for k in FROZEN {
            fleet.vms[k].signal(SIGCONT);
        }
        if fleet.trouble {
            fleet.record.line("SIGCONT of the owner");
        }
        let touch_ms = fleet.record.ms() + 4_000;
        sleep_ms(4_200);
        fleet
            .record
            .line("all machines are in touch; the clients of `llm` leave");
        stop_busy.store(true, Ordering::SeqCst);
        sleep_ms(2_500);
        let runs = replicas.runs.lock().unwrap();
        for (lot, ended_ms) in ended {
            let items = item_ids(lot, 12);
            let late: Vec<&Run> = runs
                .iter()
                .filter(|run| {
                    items.contains(&run.id)
                        && run.arrived_ms > ended_ms + 3_000
                        && run.arrived_ms > touch_ms
                })
                .collect();
            fleet.say(&format!("round {round}: end of {lot} acknowledged at {ended_ms} ms, in touch from {touch_ms} ms, runs that arrived later than CancelMs after the end: {}", late.len()));
            if let Some(run) = late.first() {
                broken = broken.or(Some(format!("UNASKED: {} runs of items of an ended batch job; the first, {}, reached replica {} {} ms after the ack of the end", late.len(), run.id, run.replica, run.arrived_ms - ended_ms)));
            }
        }
        drop(runs);
        if broken.is_some() {
            break;
        }
    }
    stop_chat.store(true, Ordering::SeqCst);
    Ok(broken)
}

/// The owner of a job freezes; the machine that took the job over lists some results and is killed; the first owner gets
/// the job back and has not noticed that it ever lost it. Tried again with further jobs for up to 80 s.
fn owner_twice(fleet: &mut Fleet) -> Result<Option<String>, String> {
    // Each loses its owner to `front-a-5`, and is given to `front-a-12` when that one is gone.
    const LOTS: [&str; 12] = [
        "7c41007fb52d6a3f",
        "7c41008ab52d6a3f",
        "7c41008fb52d6a3f",
        "7c4100d2b52d6a3f",
        "7c4100efb52d6a3f",
        "7c4101abb52d6a3f",
        "7c4101bfb52d6a3f",
        "7c41023ab52d6a3f",
        "7c41026fb52d6a3f",
        "7c41028fb52d6a3f",
        "7c4102a2b52d6a3f",
        "7c4102d6b52d6a3f",
    ];
    let replicas = start_frozen_owner(fleet, 250)?;
    let stop_chat = Arc::new(AtomicBool::new(false));
    stream_clients(fleet, ASK_HOST, &OTHERS, 33, 20, &stop_chat);
    // The clients of `llm` are at machines that are not disturbed.
    let calm = [0, 1, 2, 3, 5, 6, 7, 8, 9, 10];
    let mut broken = None;
    for (round, lot) in LOTS.iter().enumerate() {
        if fleet.record.ms() > 80_000 {
            break;
        }
        let items = item_ids(lot, 24);
        let stop_busy = Arc::new(AtomicBool::new(false));
        stream_clients(fleet, BUSY_HOST, &calm, 10, 30, &stop_busy);
        sleep_ms(700);
        let status = submit(fleet, &fleet.vms[OWNER], lot, &lot_body(&items, 1_880));
        if status != Some(202) {
            return Err(format!("the batch job was answered {status:?}"));
        }
        sleep_ms(150 + random_ms(300));
        if fleet.trouble {
            fleet.record.line("SIGSTOP of the owner");
            fleet.vms[OWNER].signal(SIGSTOP);
        }
        let frozen_at = Instant::now();
        sleep_ms(1_700);
        fleet.record.line("the first clients of `llm` leave");
        stop_busy.store(true, Ordering::SeqCst);
        // As soon as the new owner has listed some results, traffic to `llm` jumps again; then the new owner is killed.
        let until = Instant::now() + Duration::from_millis(1_600);
        let mut listed = 0;
        while listed < 4 && Instant::now() < until {
            listed = results(&fleet.vms[0], lot, 0).map_or(0, |(_, page)| page.len());
            sleep_ms(20);
        }
        fleet.record.line(&format!(
            "{listed} results are listed; clients of `llm` come"
        ));
        let stop_more = Arc::new(AtomicBool::new(false));
        stream_clients(fleet, BUSY_HOST, &calm, 10, 30, &stop_more);
        thread::sleep(Duration::from_millis(3_300).saturating_sub(frozen_at.elapsed()));
        if fleet.trouble {
            fleet.record.line("SIGKILL of the new owner");
            fleet.vms[FIRST_READER].kill();
        }
        thread::sleep(Duration::from_millis(5_000).saturating_sub(frozen_at.elapsed()));
        fleet.vms[OWNER].signal(SIGCONT);
        if fleet.trouble {
            fleet.record.line("SIGCONT of the owner");
        }
        thread::sleep(Duration::from_millis(6_400).saturating_sub(frozen_at.elapsed()));
        if fleet.trouble {
            fleet.vms[FIRST_READER].start()?;
            fleet.record.line("the killed process is restarted");
        }
        fleet.record.line("the clients of `llm` leave");
        stop_more.store(true, Ordering::SeqCst);
        let until = Instant::now() + Duration::from_millis(4_500);
        while Instant::now() < until
            && all_results(&fleet.vms[0], lot).map_or(0, |all| all.len()) < items.len()
        {
            sleep_ms(100);
        }
        let listed = all_results(&fleet.vms[0], lot)
            .map_err(|status| format!("the results are answered {status}"))?;
        let doubled = listed.len()
            - listed
                .iter()
                .map(|(id, _, _)| id)
                .collect::<BTreeSet<_>>()
                .len();
        fleet.say(&format!("round {round}: positions: {}, of which {doubled} hold an item that another one holds; items at none: {}", listed.len(), unlisted(&items, &listed).len()));
        if doubled > 0 {
            broken = Some((lot, items));
            break;
        }
    }
    let Some((lot, items)) = broken else {
        return Ok(None);
    };
    fleet.record.line("FinishS begins");
    sleep_ms(18_000);
    stop_chat.store(true, Ordering::SeqCst);
    let listed = all_results(&fleet.vms[0], lot)
        .map_err(|status| format!("the results are answered {status}"))?;
    let missing = unlisted(&items, &listed);
    let mut places: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
    for (position, (id, _, _)) in listed.iter().enumerate() {
        places.entry(id).or_default().push(position);
    }
    let doubled: Vec<_> = places
        .iter()
        .filter(|(_, places)| places.len() > 1)
        .collect();
    for vm in &fleet.vms {
        for line in fleet
            .log_lines(vm, lot)
            .iter()
            .filter(|line| line.contains("job_"))
        {
            fleet.record.line(&format!("log of {}: {line}", vm.name));
        }
    }
    fleet.say(&format!("accepted items: {}; positions: {}; items at two positions: {}; items at none: {}; replicas at work: {}", items.len(), listed.len(), doubled.len(), missing.len(), replicas.running()));
    let first = doubled
        .first()
        .map(|(id, places)| format!("{id} at {places:?}"))
        .unwrap_or_default();
    Ok(Some(format!(
        "TWICE: {} items stand at two positions of the batch job, the first one {first}; LOST: {} items stand at none after FinishS",
        doubled.len(),
        missing.len()
    )))
}

/// The owner of a job is killed; the machine that is to take the job over is frozen for a moment and does not hear of it.
/// The killed process is restarted after 4.1 s and the case tried again with further jobs, for up to 78 s, unless nothing
/// of the job runs: then the killed machine is removed for good.
fn deaf_owner(fleet: &mut Fleet) -> Result<Option<String>, String> {
    // All of them go to `front-a-12` when `front-a-1` is gone.
    const LOTS: [&str; 18] = [
        "7d52000ab52d6a3f",
        "7d52000eb52d6a3f",
        "7d520016b52d6a3f",
        "7d52002db52d6a3f",
        "7d52002eb52d6a3f",
        "7d52003db52d6a3f",
        "7d520041b52d6a3f",
        "7d52004fb52d6a3f",
        "7d520062b52d6a3f",
        "7d520065b52d6a3f",
        "7d52006ab52d6a3f",
        "7d52006fb52d6a3f",
        "7d520072b52d6a3f",
        "7d520076b52d6a3f",
        "7d52008bb52d6a3f",
        "7d52008eb52d6a3f",
        "7d5200aab52d6a3f",
        "7d5200abb52d6a3f",
    ];
    const FIRST: usize = 0;
    let replicas = start_frozen_owner(fleet, 400)?;
    let stop_chat = Arc::new(AtomicBool::new(false));
    stream_clients(
        fleet,
        ASK_HOST,
        &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11],
        44,
        20,
        &stop_chat,
    );
    let mut stuck = None;
    for (round, lot) in LOTS.iter().enumerate() {
        if fleet.record.ms() > 78_000 {
            break;
        }
        let items = item_ids(lot, 8);
        sleep_ms(200);
        let status = submit(fleet, &fleet.vms[FIRST], lot, &lot_body(&items, 1_880));
        if status != Some(202) {
            return Err(format!("the batch job was answered {status:?}"));
        }
        // The outcome depends on the phase of two timers of 150 and 200 ms.
        sleep_ms(50 + random_ms(600));
        if fleet.trouble {
            fleet.record.line("SIGKILL of the owner");
            fleet.vms[FIRST].kill();
        }
        let killed_at = Instant::now();
        sleep_ms(1_400);
        if fleet.trouble {
            fleet.record.line("SIGSTOP of the next owner");
            fleet.vms[OWNER].signal(SIGSTOP);
        }
        thread::sleep(Duration::from_millis(3_300).saturating_sub(killed_at.elapsed()));
        fleet.vms[OWNER].signal(SIGCONT);
        if fleet.trouble {
            fleet.record.line("SIGCONT of the next owner");
        }
        let woken_ms = fleet.record.ms();
        thread::sleep(Duration::from_millis(4_100).saturating_sub(killed_at.elapsed()));
        let goes_on =
            replicas.runs.lock().unwrap().iter().any(|run| {
                items.contains(&run.id) && (!fleet.trouble || run.arrived_ms >= woken_ms)
            });
        if !goes_on {
            fleet
                .record
                .line("nothing of the job runs; the killed machine does not come back");
            fleet.say(&format!("round {round}: nothing of the job runs"));
            stuck = Some((lot, items));
            break;
        }
        if fleet.trouble {
            fleet.vms[FIRST].start()?;
            fleet.record.line("the killed process is restarted");
        }
        // Eight items of 0.4 s each at four slots.
        let until = Instant::now() + Duration::from_millis(5_000);
        let mut listed = 0;
        while Instant::now() < until && (listed < items.len() || !fleet.vms[FIRST].is_ready()) {
            listed = all_results(&fleet.vms[1], lot).map_or(0, |all| all.len());
            sleep_ms(100);
        }
        fleet.say(&format!(
            "round {round}: {listed} of {} results are listed",
            items.len()
        ));
    }
    let Some((lot, items)) = stuck else {
        return Ok(None);
    };
    fleet
        .record
        .line("no disturbance since more than ContactMs; FinishS begins");
    sleep_ms(18_000);
    let before = replicas.runs.lock().unwrap().len();
    sleep_ms(5_000);
    stop_chat.store(true, Ordering::SeqCst);
    let now = fleet.record.ms();
    let listed = all_results(&fleet.vms[1], lot)
        .map_err(|status| format!("the results are answered {status}"))?;
    let missing = unlisted(&items, &listed);
    let runs = replicas.runs.lock().unwrap();
    let last = runs
        .iter()
        .map(|run| run.ended.as_ref().map_or(now, |(at, _)| *at))
        .max()
        .unwrap_or(0);
    for vm in &fleet.vms {
        for line in fleet
            .log_lines(vm, lot)
            .iter()
            .filter(|line| line.contains("job_"))
        {
            fleet.record.line(&format!("log of {}: {line}", vm.name));
        }
    }
    fleet.say(&format!("accepted items: {}; listed: {}; replicas at work: {}; runs in the last 5 s: {}; last run ended {} ms ago", items.len(), listed.len(), replicas.running(), runs.len() - before, now - last));
    if !missing.is_empty() && replicas.running() == 0 && runs.len() == before {
        return Ok(Some(format!(
            "LOST: FinishS is over, and {} items of an open batch job are listed neither as succeeded nor as dead_letter, while the replicas are idle",
            missing.len()
        )));
    }
    Ok(None)
}
