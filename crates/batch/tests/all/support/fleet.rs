//! A fleet of virtual VMs and the check that all failure tests share.

use super::caller::{ScriptedCaller, TargetScript};
use super::store::FaultStore;
use actix::prelude::*;
use futures_util::TryStreamExt as _;
use opentelemetry::metrics::MeterProvider as _;
use plantainmill_batch::files::FileWriter;
use plantainmill_batch::meters::BatchMeters;
use plantainmill_batch::rows::{ItemCounts, JobRow, JobState};
use plantainmill_batch::store::JobStore;
use plantainmill_batch::{BatchHandle, BatchParts, BatchService};
use plantainmill_config::{ConfigView, FleetConfig, OrganisationSpec, ServiceKind, ServiceSpec};
use plantainmill_core::{Clock, JobId, OrganisationId, Uptime};
use plantainmill_fakes::MemoryPlatform;
use plantainmill_membership::{Member, MemberState, MemberView};
use plantainmill_mesh::{FrameReceived, MeshPeer, RegisterChannel, SendFrame};
use plantainmill_schema::openai::BatchCreate;
use plantainmill_timer::TimerService;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Wall-clock time at the start of each test, in Unix seconds.
const START_UNIX: u64 = 1_800_000_000;
/// Longest virtual time that a job may take.
const JOB_LIMIT: Duration = Duration::from_hours(6);

/// Runs a test on one thread in virtual time.
pub fn run_virtual(test: impl Future<Output = ()>) {
    let runtime = || {
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .unwrap()
    };
    actix::System::with_tokio_rt(runtime).block_on(test);
}

/// A clock that follows the virtual time of the runtime.
#[derive(Debug)]
pub struct VirtualClock {
    start: tokio::time::Instant,
}

impl VirtualClock {
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

impl Clock for VirtualClock {
    fn uptime(&self) -> Uptime {
        self.start.elapsed()
    }

    fn wall(&self) -> SystemTime {
        UNIX_EPOCH + Duration::from_secs(START_UNIX) + self.uptime()
    }
}

/// Delivers frames between the virtual VMs.
#[derive(Default)]
pub struct MeshSwitch {
    recipients: RefCell<BTreeMap<String, Recipient<FrameReceived>>>,
    pub partitioned: Cell<bool>,
}

struct MeshPort {
    id: String,
    switch: Rc<MeshSwitch>,
}

impl Actor for MeshPort {
    type Context = Context<Self>;
}

impl Handler<RegisterChannel> for MeshPort {
    type Result = ();

    fn handle(&mut self, message: RegisterChannel, _: &mut Context<Self>) {
        let mut recipients = self.switch.recipients.borrow_mut();
        recipients.insert(self.id.clone(), message.recipient);
    }
}

impl Handler<SendFrame> for MeshPort {
    type Result = ();

    fn handle(&mut self, message: SendFrame, _: &mut Context<Self>) {
        if self.switch.partitioned.get() {
            return;
        }
        if let Some(recipient) = self.switch.recipients.borrow().get(message.to.as_str()) {
            recipient.do_send(FrameReceived {
                from: self.id.clone().into(),
                incarnation: 1,
                body: message.body,
            });
        }
    }
}

pub struct VirtualVm {
    pub handle: BatchHandle,
    pub store: FaultStore,
    pub members: MemberView,
}

/// A fleet of virtual VMs that share a platform, targets and a clock.
pub struct TestFleet {
    pub platform: MemoryPlatform,
    pub script: Rc<TargetScript>,
    pub switch: Rc<MeshSwitch>,
    pub config: ConfigView,
    pub clock: Arc<VirtualClock>,
    pub vms: RefCell<BTreeMap<String, Rc<VirtualVm>>>,
    timer: Addr<TimerService>,
    jobs: Cell<u64>,
}

impl TestFleet {
    pub fn new() -> TestFleet {
        let clock = Arc::new(VirtualClock {
            start: tokio::time::Instant::now(),
        });
        TestFleet {
            platform: MemoryPlatform::default(),
            script: Rc::default(),
            switch: Rc::default(),
            config: test_config(),
            timer: TimerService::new(Arc::clone(&clock) as Arc<dyn Clock>).start(),
            clock,
            vms: RefCell::default(),
            jobs: Cell::default(),
        }
    }

    /// Starts a VM, and publishes membership views that show all VMs as live.
    pub fn start_vm(&self, id: &str, incarnation: u64) -> Rc<VirtualVm> {
        let store = FaultStore::new(self.platform.clone());
        let port = MeshPort {
            id: id.to_owned(),
            switch: Rc::clone(&self.switch),
        }
        .start();
        let members = MemberView::default();
        let handle = BatchService::launch(BatchParts {
            vm: id.into(),
            incarnation,
            config: self.config.clone(),
            members: members.clone(),
            mesh_send: port.clone().recipient(),
            mesh_register: port.recipient(),
            timer: self.timer.clone().recipient(),
            table: Arc::new(store.clone()),
            objects: Arc::new(store.clone()),
            caller: Rc::new(ScriptedCaller {
                script: Rc::clone(&self.script),
                store: store.clone(),
            }),
            clock: Arc::clone(&self.clock) as Arc<dyn Clock>,
            meter: meter(),
        });
        let vm = Rc::new(VirtualVm {
            handle,
            store,
            members,
        });
        self.vms.borrow_mut().insert(id.to_owned(), Rc::clone(&vm));
        self.publish(&[]);
        vm
    }

    /// Publishes the membership views; they show the VMs in `dead` as dead and all others as live.
    pub fn publish(&self, dead: &[&str]) {
        let vms = self.vms.borrow();
        for (own, vm) in vms.iter() {
            let others = vms.keys().filter(|id| *id != own);
            let members = others.map(|id| member(id, dead.contains(&id.as_str())));
            vm.members.publish(members.collect());
        }
    }

    /// Publishes membership views that show the VMs whose store calls hang as dead.
    pub fn publish_dead(&self) {
        let vms = self.vms.borrow();
        let dead: Vec<_> = vms
            .iter()
            .filter(|(_, vm)| vm.store.is_dead())
            .map(|(id, _)| id.clone())
            .collect();
        drop(vms);
        let dead: Vec<_> = dead.iter().map(String::as_str).collect();
        self.publish(&dead);
    }

    /// Sets the retention of results.
    pub fn set_retention(&self, seconds: u64) {
        let mut config = FleetConfig::clone(&self.config.load());
        config.version += 1;
        Arc::make_mut(&mut config.defaults).result_retention_s = seconds;
        self.config.publish(config);
    }

    /// Operations on the store without injected faults.
    pub fn reader(&self) -> JobStore {
        JobStore::new(
            Arc::new(self.platform.clone()),
            Arc::new(self.platform.clone()),
            self.config.clone(),
            Arc::clone(&self.clock) as Arc<dyn Clock>,
            BatchMeters::new(&meter()),
        )
    }

    /// Uploads a file through a store without faults.
    pub async fn upload(&self, content: &str) -> String {
        let mut writer = FileWriter::start(&self.reader()).await.unwrap();
        writer.write(content.as_bytes()).await.unwrap();
        let organisation = OrganisationId::from("kandy");
        let object = writer.finish(&organisation, "in.jsonl".into(), "batch".into());
        object.await.unwrap().id
    }

    /// Uploads `items` items and creates a job through a store without faults.
    pub async fn submit(&self, items: u64) -> JobId {
        self.submit_lines(&item_lines(items, "assistant")).await
    }

    /// Creates a job of these lines. Its id derives from its number, so that runs are reproducible.
    pub async fn submit_lines(&self, lines: &str) -> JobId {
        let file = self.upload(lines).await;
        self.jobs.set(self.jobs.get() + 1);
        let key = format!("job-{}", self.jobs.get());
        let reader = self.reader();
        let organisation = "kandy".into();
        let created = reader.create_job(&organisation, create_body(&file), Some(&key));
        created.await.unwrap().0
    }

    pub async fn job(&self, job: &str) -> JobRow {
        self.reader().read_job(job).await.unwrap().unwrap().1
    }

    /// Waits in virtual time until the job has ended.
    pub async fn wait_ended(&self, job: &str) -> JobRow {
        let end = self.clock.uptime() + JOB_LIMIT;
        loop {
            let row = self.job(job).await;
            if row.state != JobState::Running {
                return row;
            }
            assert!(self.clock.uptime() < end, "the job did not end: {row:?}");
            tokio::time::sleep(Duration::from_secs(1)).await;
            self.publish_dead();
        }
    }

    /// Lines of the output or error file `id`, as JSON.
    pub async fn lines(&self, id: &str) -> Vec<serde_json::Value> {
        let source = self.reader().open_content("kandy", id).await.unwrap();
        let parts: Vec<_> = source.stream(0..u64::MAX).try_collect().await.unwrap();
        let text = parts.concat();
        let lines = text
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty());
        lines
            .map(|line| serde_json::from_slice(line).unwrap())
            .collect()
    }

    /// Checks a completed job: each item is once in the output or error file, in input order, and is charged once.
    pub async fn check_completed(&self, job: &str, items: u64) -> ItemCounts {
        let row = self.wait_ended(job).await;
        assert_eq!(row.state, JobState::Completed);
        let output = self.lines(&format!("file-{job}-output")).await;
        let errors = self.lines(&format!("file-{job}-error")).await;
        assert_eq!(row.counts.completed, output.len() as u64);
        assert_eq!(row.counts.failed, errors.len() as u64);
        assert_eq!(row.counts.charges, items);
        let mut numbers = item_numbers(&output);
        let mut failed = item_numbers(&errors);
        assert!(numbers.is_sorted(), "the output is not in input order");
        assert!(failed.is_sorted(), "the errors are not in input order");
        numbers.append(&mut failed);
        numbers.sort_unstable();
        let expected: Vec<_> = (0..items).collect();
        assert_eq!(numbers, expected, "items lost or duplicated");
        row.counts
    }
}

pub fn item_numbers(lines: &[serde_json::Value]) -> Vec<u64> {
    let ids = lines.iter().map(|line| line["custom_id"].as_str().unwrap());
    ids.map(|id| id.trim_start_matches("item-").parse().unwrap())
        .collect()
}

pub fn create_body(file: &str) -> BatchCreate {
    BatchCreate {
        completion_window: Some("24h".to_owned()),
        due_at: None,
        endpoint: "/v1/chat/completions".to_owned(),
        input_file_id: file.to_owned(),
        metadata: serde_json::Map::new(),
    }
}

/// Input lines for a model, or for the plain service of that name.
pub fn item_lines(items: u64, service: &str) -> String {
    let url = if service == "charges" {
        "/services/charges/charge"
    } else {
        "/v1/chat/completions"
    };
    let line = |n: u64| {
        format!(
            "{{\"custom_id\":\"item-{n}\",\"method\":\"POST\",\"url\":\"{url}\",\"body\":{{\"model\":\"{service}\",\"n\":{n}}}}}\n"
        )
    };
    (0..items).map(line).collect()
}

fn meter() -> opentelemetry::metrics::Meter {
    opentelemetry::metrics::noop::NoopMeterProvider::new().meter("test")
}

fn member(id: &str, dead: bool) -> Member {
    Member {
        peer: MeshPeer {
            id: id.into(),
            domain: "central-1".into(),
            region: "central".into(),
            address: "127.0.0.1:1".parse().unwrap(),
        },
        incarnation: 1,
        state: if dead {
            MemberState::Dead
        } else {
            MemberState::Live
        },
    }
}

fn test_config() -> ConfigView {
    let service = |kind, repeatable| ServiceSpec {
        kind,
        open: false,
        repeatable,
        hedge: false,
        timeout_ms: 60_000,
        least_replicas: 1,
        most_replicas: 1,
    };
    let services = BTreeMap::from([
        ("assistant".into(), service(ServiceKind::Model, true)),
        ("charges".into(), service(ServiceKind::Plain, false)),
    ]);
    let organisation = OrganisationSpec {
        rate: 100.0,
        burst: 100,
        weight: 1,
    };
    let config = FleetConfig {
        version: 1,
        services: Arc::new(services),
        organisations: Arc::new(BTreeMap::from([("kandy".into(), organisation)])),
        ..FleetConfig::default()
    };
    let view = ConfigView::default();
    view.publish(config);
    view
}
