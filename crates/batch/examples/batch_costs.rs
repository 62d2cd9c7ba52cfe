//! Prints the cost of batch jobs: table and object calls, memory, and items that run again after a holder is lost.
//!
//! Runs the real service in virtual time on one thread, on the in-memory platform with targets that respond after one
//! second. Run it in release mode; it takes no arguments.

use actix::prelude::*;
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use opentelemetry::metrics::MeterProvider as _;
use plantainmill_batch::files::FileWriter;
use plantainmill_batch::meters::BatchMeters;
use plantainmill_batch::rows::JobState;
use plantainmill_batch::{BatchHandle, BatchParts, BatchService, JobStore};
use plantainmill_config::{ConfigView, FleetConfig};
use plantainmill_core::{Clock, JobId, OrganisationId, Problem, Uptime};
use plantainmill_fakes::{MemoryPlatform, StoreCounts};
use plantainmill_membership::{Member, MemberState, MemberView};
use plantainmill_mesh::{MeshPeer, RegisterChannel, SendFrame};
use plantainmill_provider::{ObjectStore, PlatformFuture};
use plantainmill_proxy::{BufferedResponse, StreamingResponse, TargetCaller, TargetRequest};
use plantainmill_schema::openai::BatchCreate;
use plantainmill_timer::TimerService;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Items of the largest job.
const LARGEST_JOB_ITEMS: u64 = 370_000;
/// Items of an average job, at 590 million items a day in 24,000 jobs.
const AVERAGE_JOB_ITEMS: u64 = 24_583;
/// Virtual VMs that run a job of average size.
const AVERAGE_JOB_VMS: usize = 15;
const FLEET_VMS: f64 = 350.0;
const JOBS_PER_DAY: f64 = 24_000.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Time that a target takes to respond.
const TARGET_LATENCY: Duration = Duration::from_secs(1);

fn main() {
    // Runs first, since the allocator keeps memory of earlier runs.
    measure_memory();
    println!(
        "{:<34} {:>8} {:>8} {:>8} {:>8}",
        "per job", "reads", "writes", "objects", "items/write"
    );
    measure_job("small job, 1 VM", 10, 1);
    let average = measure_job("average job, 15 VMs", AVERAGE_JOB_ITEMS, AVERAGE_JOB_VMS);
    measure_job("largest job, 1 VM", LARGEST_JOB_ITEMS, 1);
    let largest = measure_job("largest job, 350 VMs", LARGEST_JOB_ITEMS, 350);
    print_load(average, "jobs of average size");
    print_scaled(largest, LARGEST_JOB_ITEMS);
    measure_idle();
    measure_rerun();
}

/// Runs `test` on one thread in virtual time.
fn run_virtual<T>(test: impl Future<Output = T>) -> T {
    let runtime = || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let built = builder.enable_all().start_paused(true).build();
        built.expect("the runtime starts")
    };
    System::with_tokio_rt(runtime).block_on(test)
}

/// Clock that follows the virtual time of the runtime.
struct VirtualClock(tokio::time::Instant);

impl Clock for VirtualClock {
    fn uptime(&self) -> Uptime {
        self.0.elapsed()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_hours(500_000) + self.uptime()
    }
}

/// A target that responds after [`TARGET_LATENCY`] and counts its calls.
struct SlowTarget(Rc<Cell<u64>>);

impl TargetCaller for SlowTarget {
    fn call(&self, _: TargetRequest) -> LocalBoxFuture<'_, Result<BufferedResponse, Problem>> {
        self.0.set(self.0.get() + 1);
        async {
            tokio::time::sleep(TARGET_LATENCY).await;
            Ok(BufferedResponse {
                status: 200,
                headers: Vec::new(),
                body: Bytes::from_static(b"{\"text\":\"ready\"}"),
                target: None,
                first_byte: TARGET_LATENCY,
            })
        }
        .boxed_local()
    }

    fn stream(&self, _: TargetRequest) -> LocalBoxFuture<'_, Result<StreamingResponse, Problem>> {
        unreachable!("batch items are read whole")
    }
}

/// A mesh that drops all frames.
struct NullMesh;

impl Actor for NullMesh {
    type Context = Context<Self>;
}

impl Handler<SendFrame> for NullMesh {
    type Result = ();

    fn handle(&mut self, _: SendFrame, _: &mut Context<Self>) {}
}

impl Handler<RegisterChannel> for NullMesh {
    type Result = ();

    fn handle(&mut self, _: RegisterChannel, _: &mut Context<Self>) {}
}

/// Objects that are generated on reads and discarded on writes, so that the memory used is that of the service.
#[derive(Clone)]
struct GeneratedObjects;

/// Line `number` of the input; all have the same length.
fn input_line(number: u64) -> String {
    format!(
        "{{\"custom_id\":\"item-{number:06}\",\"method\":\"POST\",\"url\":\"/v1/completions\",\"body\":{{\"model\":\"assistant\",\"prompt\":\"outing sheet {number:06}\"}}}}\n"
    )
}

/// Bytes `from..to` of the input.
fn input_bytes(from: u64, to: u64) -> Bytes {
    let length = input_line(0).len() as u64;
    let first = from / length;
    let lines: String = (first..to.div_ceil(length)).map(input_line).collect();
    let skip = usize::try_from(from - first * length).unwrap_or(0);
    let size = usize::try_from(to - from).unwrap_or(0);
    Bytes::from(lines).slice(skip..skip + size)
}

impl ObjectStore for GeneratedObjects {
    fn put(&self, _: &str, _: Bytes) -> PlatformFuture<'_, ()> {
        async { Ok(()) }.boxed_local()
    }

    fn get(&self, name: &str) -> PlatformFuture<'_, Option<Bytes>> {
        let number = name
            .rsplit('/')
            .next()
            .and_then(|number| number.parse::<u64>().ok());
        let number = number.unwrap_or(0);
        let length = input_line(0).len() as u64;
        let size = if name.starts_with("file/") {
            1024 * 1024
        } else {
            256 * length
        };
        let end = (number + 1) * size;
        let content = input_bytes(number * size, end.min(LARGEST_JOB_ITEMS * length));
        async move { Ok(Some(content)) }.boxed_local()
    }

    fn list(&self, _: &str) -> PlatformFuture<'_, Vec<CompactString>> {
        async { Ok(Vec::new()) }.boxed_local()
    }

    fn delete(&self, _: &str) -> PlatformFuture<'_, ()> {
        async { Ok(()) }.boxed_local()
    }
}

/// A fleet of virtual VMs.
struct TestFleet {
    platform: MemoryPlatform,
    objects: Arc<dyn ObjectStore>,
    calls: Rc<Cell<u64>>,
    clock: Arc<VirtualClock>,
    config: ConfigView,
    handles: Vec<(BatchHandle, MemberView)>,
    timer: Addr<TimerService>,
}

impl TestFleet {
    fn start(vms: usize, generated: bool) -> TestFleet {
        let platform = MemoryPlatform::default();
        let clock = Arc::new(VirtualClock(tokio::time::Instant::now()));
        let objects: Arc<dyn ObjectStore> = if generated {
            Arc::new(GeneratedObjects)
        } else {
            Arc::new(platform.clone())
        };
        let config = ConfigView::default();
        config.publish(FleetConfig::default());
        let mut fleet = TestFleet {
            timer: TimerService::new(Arc::clone(&clock) as Arc<dyn Clock>).start(),
            calls: Rc::default(),
            handles: Vec::new(),
            platform,
            objects,
            clock,
            config,
        };
        for vm in 0..vms {
            fleet.add_vm(vm, vms);
        }
        fleet
    }

    fn add_vm(&mut self, vm: usize, vms: usize) {
        let members = MemberView::default();
        let others = (0..vms).filter(|other| *other != vm);
        members.publish(
            others
                .map(|other| member(other, MemberState::Live))
                .collect(),
        );
        let mesh = NullMesh.start();
        let handle = BatchService::launch(BatchParts {
            vm: vm_name(vm),
            incarnation: 1,
            config: self.config.clone(),
            members: members.clone(),
            mesh_send: mesh.clone().recipient(),
            mesh_register: mesh.recipient(),
            timer: self.timer.clone().recipient(),
            table: Arc::new(self.platform.clone()),
            objects: Arc::clone(&self.objects),
            caller: Rc::new(SlowTarget(Rc::clone(&self.calls))),
            clock: Arc::clone(&self.clock) as Arc<dyn Clock>,
            meter: meter(),
        });
        self.handles.push((handle, members));
    }

    fn store(&self) -> JobStore {
        JobStore::new(
            Arc::new(self.platform.clone()),
            Arc::clone(&self.objects),
            self.config.clone(),
            Arc::clone(&self.clock) as Arc<dyn Clock>,
            BatchMeters::new(&meter()),
        )
    }

    async fn submit(&self, items: u64) -> JobId {
        let store = self.store();
        let organisation = OrganisationId::from("gita");
        let mut writer = FileWriter::start(&store).await.expect("the upload starts");
        for number in 0..items {
            let line = input_line(number);
            writer
                .write(line.as_bytes())
                .await
                .expect("the upload goes on");
        }
        let file = writer.finish(&organisation, "in.jsonl".into(), "batch".into());
        let file = file.await.expect("the upload ends");
        let body = BatchCreate {
            completion_window: None,
            due_at: None,
            endpoint: "/v1/completions".to_owned(),
            input_file_id: file.id,
            metadata: serde_json::Map::new(),
        };
        store
            .create_job(&organisation, body, None)
            .await
            .expect("the job is accepted")
            .0
    }

    async fn wait_completed(&self, job: &JobId) {
        loop {
            tokio::time::sleep(Duration::from_secs(5)).await;
            // Reads a copy, so that the polls are not counted as load.
            let copy = self.platform.backup();
            let row = plantainmill_provider::TableStore::get(&copy, &format!("job/{job}")).await;
            let row = row.ok().flatten().expect("the job exists");
            let running = serde_json::to_value(JobState::Running).unwrap_or_default();
            if row.value["state"] != running {
                return;
            }
        }
    }
}

fn vm_name(vm: usize) -> CompactString {
    CompactString::from(format!("vm-{vm}"))
}

fn member(vm: usize, state: MemberState) -> Member {
    Member {
        peer: MeshPeer {
            id: vm_name(vm),
            domain: CompactString::const_new("sicilia-est-1"),
            region: CompactString::const_new("sicilia-est"),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        },
        incarnation: 1,
        state,
    }
}

fn meter() -> opentelemetry::metrics::Meter {
    opentelemetry::metrics::noop::NoopMeterProvider::new().meter("batch_costs")
}

/// Store calls of one job.
#[derive(Clone, Copy)]
struct JobCosts {
    reads: f64,
    writes: f64,
    objects: f64,
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn costs(before: StoreCounts, after: StoreCounts) -> JobCosts {
    let objects =
        after.object_reads + after.object_writes - before.object_reads - before.object_writes;
    JobCosts {
        reads: (after.table_reads - before.table_reads) as f64,
        writes: (after.table_writes - before.table_writes) as f64,
        objects: objects as f64,
    }
}

fn measure_job(label: &str, items: u64, vms: usize) -> JobCosts {
    let costs = run_virtual(async {
        let fleet = TestFleet::start(vms, false);
        tokio::time::sleep(Duration::from_mins(2)).await;
        let before = fleet.platform.counts();
        let job = fleet.submit(items).await;
        fleet.wait_completed(&job).await;
        costs(before, fleet.platform.counts())
    });
    let per_write = to_f64(items) / costs.writes;
    println!(
        "{label:<34} {:>8.0} {:>8.0} {:>8.0} {per_write:>8.0}",
        costs.reads, costs.writes, costs.objects
    );
    let thousands = to_f64(items) / 1_000.0;
    println!(
        "{:<34} {:>8.2} {:>8.2} {:>8.2}",
        "  per 1,000 items",
        costs.reads / thousands,
        costs.writes / thousands,
        costs.objects / thousands
    );
    costs
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Prints the load of a day's jobs, to compare with several hundred writes and about two thousand reads a second.
fn print_load(job: JobCosts, label: &str) {
    let rate = JOBS_PER_DAY / SECONDS_PER_DAY;
    println!(
        "24,000 {label} a day: {:.0} table reads/s, {:.0} table writes/s, {:.0} object calls/s",
        job.reads * rate,
        job.writes * rate,
        job.objects * rate
    );
}

/// Prints the load of a day's items in jobs of the largest size.
fn print_scaled(job: JobCosts, items: u64) {
    let rate = 590_000_000.0 / to_f64(items) / SECONDS_PER_DAY;
    println!(
        "590 million items a day in largest jobs: {:.0} table reads/s, {:.0} table writes/s, {:.0} object calls/s",
        job.reads * rate,
        job.writes * rate,
        job.objects * rate
    );
}

fn measure_idle() {
    let reads = run_virtual(async {
        let fleet = TestFleet::start(1, false);
        tokio::time::sleep(Duration::from_mins(5)).await;
        let before = fleet.platform.counts();
        tokio::time::sleep(Duration::from_hours(1)).await;
        costs(before, fleet.platform.counts()).reads
    });
    println!(
        "350 idle VMs: {:.1} table reads/s",
        reads * FLEET_VMS / 3_600.0
    );
}

fn measure_memory() {
    let before = resident_kib("VmRSS");
    reset_peak();
    run_virtual(async {
        let fleet = TestFleet::start(1, true);
        let job = fleet.submit(LARGEST_JOB_ITEMS).await;
        println!(
            "accept of 370,000 items: peak {} KiB above the start",
            peak_above(before)
        );
        fleet.wait_completed(&job).await;
    });
    println!(
        "accept and run of 370,000 items on one VM: peak {} KiB above the start, rows of the stand-in included",
        peak_above(before)
    );
}

/// Resets the peak resident size; without permission for this, the peak is that of the whole run.
fn reset_peak() {
    let _ = std::fs::write("/proc/self/clear_refs", "5");
}

fn peak_above(before: u64) -> u64 {
    resident_kib("VmHWM").saturating_sub(before)
}

fn resident_kib(field: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(field));
    let words = line.and_then(|line| line.split_whitespace().nth(1));
    words.and_then(|word| word.parse().ok()).unwrap_or(0)
}

fn measure_rerun() {
    let items = 20_000;
    let calls = run_virtual(async move {
        let mut fleet = TestFleet::start(4, false);
        let job = fleet.submit(items).await;
        tokio::time::sleep(Duration::from_secs(40)).await;
        let (lost, _) = fleet.handles.remove(0);
        lost.service()
            .do_send(plantainmill_batch::service::HaltBatch);
        for (_, members) in &fleet.handles {
            let mut known: Vec<_> = members.load().iter().cloned().collect();
            known.retain(|member| member.peer.id != "vm-0");
            known.push(member(0, MemberState::Dead));
            members.publish(known);
        }
        fleet.wait_completed(&job).await;
        fleet.calls.get()
    });
    println!(
        "one of 4 VMs lost: {} of {items} items ran again",
        calls - items
    );
}
