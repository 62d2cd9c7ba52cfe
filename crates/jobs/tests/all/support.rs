//! Test cluster: VMs that run jobs, an in-memory row store and a target on loopback.

use actix_rt::net::TcpStream;
use awc::http::header::HeaderName;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use plantainmill_core::{JobId, OrganisationId, RegionSet, SystemClock};
use plantainmill_dispatch::SharedDispatcher;
use plantainmill_dispatch::shared::SharedParts;
use plantainmill_fakes::{MemoryRows, StreamTarget, TargetNames};
use plantainmill_jobs::{
    FleetSnapshot, ItemState, JobHead, JobItem, JobMetrics, JobOwner, JobParts, JobService,
    JobSettings, JobStore, ListedResult, Submission,
};
use plantainmill_paths::{Forwarder, ForwarderPlace, TargetPaths};
use plantainmill_provider::PartitionStore;
use plantainmill_proxy::TargetDialer;
use plantainmill_proxy::relay::{FORWARD_HEADER, HeaderNames, RelayCaller, RelayLimits};
use plantainmill_routing::{
    CallerLimits, DocumentView, FleetDocument, JobRule, RouteKind, RouteRule, ServiceShare,
    TargetEntry,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Number of events in the response to each item.
pub const EVENTS: u64 = 5;
const NAMES: TargetNames = TargetNames {
    request_id: "request-id",
    not_executed: "not-executed",
    limit: "server-limit",
    leaving: "server-leaving",
};

pub fn owner(vm: &str, incarnation: u64) -> JobOwner {
    JobOwner {
        vm: vm.into(),
        incarnation,
    }
}

/// Returns the head of an open job with `total` items of 100 tokens.
pub fn head(total: u64) -> JobHead {
    JobHead {
        organisation: "ward".into(),
        host: "batch.example".into(),
        route: "guides".into(),
        accepted_ms: 0,
        completion: Duration::from_secs(18),
        retention: Duration::from_mins(1),
        total,
        tokens_left: total * 100,
        listed: 0,
        owner: Some(owner("vm", 1)),
        ended: false,
    }
}

/// Organisation that submits the jobs.
pub fn ward() -> OrganisationId {
    "ward".into()
}

/// Route that accepts the jobs.
pub fn route() -> RouteRule {
    RouteRule {
        name: "guides".into(),
        host: "batch.example".into(),
        path_prefix: "/guides/".into(),
        kind: RouteKind::Batch,
        attempts: 3,
        time_limit: Duration::from_secs(15),
        objective: Duration::from_millis(400),
        event_gap: Duration::from_millis(400),
        priority: 2,
        public: false,
        resumable: true,
        shares: vec![ServiceShare {
            service: "llm".into(),
            weight: 1,
        }],
        regions: RegionSet::Everywhere,
        job: Some(JobRule {
            completion: Duration::from_secs(18),
            retention: Duration::from_mins(1),
            token_limit: 1_000,
        }),
    }
}

/// Returns a job with `count` items of 100 tokens.
pub fn submission(count: usize) -> Submission {
    let items = (0..count).map(|number| JobItem {
        id: format!("item{number}").into(),
        path: format!("/guides/{number}"),
        headers: vec![("model".into(), "m".into())],
        body: vec![7; 100].into(),
        parts: Vec::new(),
        tokens: 100,
    });
    Submission {
        items: items.collect(),
    }
}

/// Job service and dispatcher of one VM.
pub struct TestVm {
    pub jobs: JobService,
    pub dispatcher: SharedDispatcher,
    pub view: DocumentView,
    pub own: JobOwner,
}

/// Row store and target shared by all VMs of a test.
pub struct TestCluster {
    pub rows: MemoryRows,
    pub target: StreamTarget,
    /// VMs reach no target, and have their requests forwarded by a VM at the address of `target`.
    is_forwarded: bool,
}

/// Reaches nothing.
struct RefusingDialer;

impl TargetDialer for RefusingDialer {
    fn dial(&self, _: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> {
        async { Err(io::ErrorKind::ConnectionRefused.into()) }.boxed_local()
    }
}

impl TestCluster {
    pub async fn start() -> TestCluster {
        TestCluster {
            rows: MemoryRows::default(),
            target: StreamTarget::start(NAMES, EVENTS).await.expect("a port"),
            is_forwarded: false,
        }
    }

    /// A cluster whose target stands behind a VM that forwards requests to it.
    pub async fn start_forwarded() -> TestCluster {
        let cluster = TestCluster::start().await;
        cluster.target.set_header(FORWARD_HEADER, "framed");
        TestCluster {
            is_forwarded: true,
            ..cluster
        }
    }

    /// Paths of a VM that has only a forwarder.
    fn forwarded_paths(&self, vm: &str) -> TargetPaths {
        let meter = opentelemetry::global::meter("test");
        let paths = TargetPaths::new(&vm.into(), Arc::new(SystemClock), &meter, "");
        let entry = self.entry("t1", "v1");
        paths.set_targets(std::iter::once((entry.id, entry.address)));
        paths.set_forwarders(std::iter::once(Forwarder {
            address: self.target.address,
            place: ForwarderPlace::Local,
            region: None,
        }));
        paths
    }

    /// Registry entry of the shared target, as an instance with the given id and version.
    pub fn entry(&self, id: &str, version: &str) -> TargetEntry {
        TargetEntry {
            id: id.into(),
            service: "llm".into(),
            address: self.target.address,
            domain: "a".into(),
            slots: 8,
            draining: false,
            born: 0,
            version: version.into(),
            cold_left: plantainmill_routing::ColdLeft::default(),
        }
    }

    /// Stored head of a job.
    pub fn head_of(&self, job: &JobId) -> Option<JobHead> {
        let rows = self.rows.table("jobs");
        let row = rows.into_iter().find(|row| row.key == *job)?;
        ciborium::from_reader(row.value.as_ref()).ok()
    }

    /// Starts a VM with a fleet document and the shared target.
    pub fn vm(&self, name: &str, incarnation: u64) -> TestVm {
        self.vm_with_store(name, incarnation, Rc::new(self.rows.clone()))
    }

    /// Starts a VM that reaches the store through `store`.
    pub fn vm_with_store(
        &self,
        name: &str,
        incarnation: u64,
        store: Rc<dyn PartitionStore>,
    ) -> TestVm {
        let clock = Arc::new(SystemClock);
        let dispatcher = SharedDispatcher::new(SharedParts {
            vm: name.into(),
            domain: "a".into(),
            region: "north".into(),
            regions: HashMap::from([("a".into(), "north".into())]),
            clock: clock.clone(),
        });
        dispatcher.set_targets(std::iter::once(&self.entry("t1", "v1")));
        let ticker = dispatcher.clone();
        actix_rt::spawn(async move {
            loop {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
                ticker.tick();
            }
        });
        let names = HeaderNames {
            request_id: HeaderName::from_static(NAMES.request_id),
            deadline: HeaderName::from_static("deadline-ms"),
            organisation: HeaderName::from_static("organisation"),
            expected_instance: HeaderName::from_static("expected"),
            not_executed: HeaderName::from_static(NAMES.not_executed),
            target_limit: HeaderName::from_static(NAMES.limit),
            target_load: HeaderName::from_static("server-load"),
            target_leaving: HeaderName::from_static(NAMES.leaving),
            target_cold: None,
            last_event: HeaderName::from_static("last-event-id"),
            event_header: None,
        };
        let view = DocumentView::default();
        let document =
            FleetDocument::new(1, vec![route()], BTreeMap::new(), CallerLimits::default());
        assert!(view.replace_if_newer(document, Duration::ZERO));
        let limits = RelayLimits::default();
        let caller = RelayCaller::new(Arc::new(dispatcher.clone()), clock.clone(), names, limits);
        let caller = if self.is_forwarded {
            caller.with_paths(self.forwarded_paths(name), Rc::new(RefusingDialer))
        } else {
            caller
        };
        let own = owner(name, incarnation);
        let jobs = JobService::start(JobParts {
            local_owner: own.clone(),
            store: JobStore::new(store),
            caller,
            view: view.clone(),
            clock,
            settings: JobSettings {
                result_retention: Duration::from_mins(2),
                stop_timeout: Duration::from_secs(1),
            },
            metrics: JobMetrics::new(&opentelemetry::global::meter("test"), ""),
        });
        TestVm {
            jobs,
            dispatcher,
            view,
            own,
        }
    }
}

impl TestVm {
    /// Sets the VMs that this one sees as live, and makes it the reader of its domain.
    pub fn set_live_peers(&self, others: &[JobOwner]) {
        let live: Vec<JobOwner> = others.iter().chain([&self.own]).cloned().collect();
        self.jobs.set_fleet(FleetSnapshot {
            regions: HashMap::new(),
            live: live.clone(),
            domains: vec!["a".into()],
            readers: vec![self.own.vm.clone()],
            domain: "a".into(),
            members: vec![self.own.clone()],
        });
    }

    /// Has this VM, the reader of its domain, give all orphaned jobs to `owner`.
    pub fn assign_jobs_to(&self, owner: &JobOwner) {
        self.jobs.set_fleet(FleetSnapshot {
            regions: HashMap::new(),
            live: vec![self.own.clone(), owner.clone()],
            domains: vec!["a".into()],
            readers: vec![self.own.vm.clone()],
            domain: "a".into(),
            members: vec![owner.clone()],
        });
    }

    /// Submits a job of `count` items with this retention, whatever its tokens.
    pub async fn submit_retained(&self, job: &JobId, count: usize, retention: Duration) {
        let mut route = route();
        if let Some(rule) = &mut route.job {
            rule.completion = retention;
            rule.retention = retention;
            rule.token_limit = u64::MAX;
        }
        self.jobs
            .submit(&ward(), &route, job, &submission(count))
            .await
            .expect("accepted");
    }

    /// Polls for results until there are `count`, or until 100 attempts of 50 ms have passed.
    pub async fn read_results(&self, job: &JobId, count: usize) -> Vec<ListedResult> {
        let mut results = Vec::new();
        for _ in 0..100 {
            let after = results.len() as u64;
            let wait = Duration::from_millis(50);
            if let Ok(page) = self.jobs.results(&ward(), job, after, wait).await {
                results.extend(page.results);
            }
            if results.len() >= count {
                break;
            }
        }
        results
    }
}

/// Returns the complete output of an item.
pub fn complete_output() -> String {
    let lines: Vec<String> = (1..=EVENTS)
        .map(|number| format!("piece {number}"))
        .collect();
    lines.join("\n")
}

/// Asserts that each item is listed exactly once and that successful results are complete.
pub fn check_results(results: &[ListedResult], count: usize) {
    let ids: BTreeSet<_> = results.iter().map(|result| result.item.clone()).collect();
    assert_eq!((results.len(), ids.len()), (count, count));
    for result in results
        .iter()
        .filter(|result| result.state == ItemState::Succeeded)
    {
        assert_eq!(result.output, complete_output());
    }
}
