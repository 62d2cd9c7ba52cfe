//! Targets with faults, and a relay that sends to them.

#![allow(dead_code)] // Each test file uses only part of this module.

use actix_rt::net::TcpStream;
use awc::http::Method;
use awc::http::header::{HeaderMap, HeaderName};
use futures_util::future::LocalBoxFuture;
use futures_util::{FutureExt as _, StreamExt as _};
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry::metrics::noop::NoopMeterProvider;
use plantainmill_core::{Clock as _, Problem, RegionSet, SystemClock};
use plantainmill_dispatch::shared::SharedParts;
use plantainmill_dispatch::{SharedDispatcher, TrafficClass};
use plantainmill_fakes::{StreamTarget, TargetAct, TargetNames};
use plantainmill_paths::{Forwarder, ForwarderPlace, TargetPaths};
use plantainmill_proxy::TargetDialer;
use plantainmill_proxy::relay::{
    CallRegions, EventSplitter, HeaderNames, RelayCall, RelayCaller, RelayLimits,
};
use plantainmill_routing::TargetEntry;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

pub const EVENTS: u64 = 6;
/// Header that may stand as the first line of an event.
pub const EVENT_HEADER: &str = "weights";
pub const NAMES: TargetNames = TargetNames {
    request_id: "request-id",
    not_executed: "not-executed",
    limit: "server-limit",
    leaving: "server-leaving",
};

/// Reaches nothing.
pub struct RefusingDialer;

impl TargetDialer for RefusingDialer {
    fn dial(&self, _: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> {
        async { Err(io::ErrorKind::ConnectionRefused.into()) }.boxed_local()
    }
}

pub struct Fleet {
    pub targets: Vec<StreamTarget>,
    pub dispatcher: SharedDispatcher,
    pub caller: RelayCaller,
}

impl Fleet {
    pub async fn start(count: usize) -> Fleet {
        Fleet::with_sends(count, RelayLimits::default().max_sends).await
    }

    pub async fn with_sends(count: usize, max_sends: u32) -> Fleet {
        let mut targets = Vec::new();
        for _ in 0..count {
            targets.push(StreamTarget::start(NAMES, EVENTS).await.expect("a port"));
        }
        let dispatcher = SharedDispatcher::new(SharedParts {
            vm: "vm".into(),
            domain: "a".into(),
            region: "north".into(),
            regions: HashMap::from([("a".into(), "north".into()), ("c".into(), "south".into())]),
            clock: Arc::new(SystemClock),
        });
        let entries: Vec<TargetEntry> = targets.iter().enumerate().map(entry).collect();
        dispatcher.set_targets(entries.iter());
        let limits = RelayLimits {
            min_first_event_timeout: Duration::from_millis(150),
            min_event_gap: Duration::from_millis(150),
            max_sends,
            ..RelayLimits::default()
        };
        let clock = Arc::new(SystemClock);
        let caller = RelayCaller::new(Arc::new(dispatcher.clone()), clock, names(), limits);
        Fleet {
            targets,
            dispatcher,
            caller,
        }
    }

    /// A fleet whose caller opens connections by `dialer` and has `forwarders` as forwarders.
    pub async fn connected(
        count: usize,
        dialer: Rc<dyn TargetDialer>,
        forwarders: &[StreamTarget],
    ) -> Fleet {
        let mut fleet = Fleet::start(count).await;
        let meter = NoopMeterProvider::new().meter("test");
        let paths = TargetPaths::new(&"vm".into(), Arc::new(SystemClock), &meter, "");
        paths.set_targets(fleet.entries().map(|entry| (entry.id, entry.address)));
        let forwarders = forwarders.iter().map(|vm| Forwarder {
            address: vm.address,
            place: ForwarderPlace::Local,
            region: None,
        });
        paths.set_forwarders(forwarders);
        fleet.caller = fleet.caller.with_paths(paths, dialer);
        fleet
    }

    /// Plans `act` for the first request that each target receives.
    pub fn plan_first(&self, act: TargetAct) {
        for target in &self.targets {
            target.plan([act]);
        }
    }

    pub fn entries(&self) -> impl Iterator<Item = TargetEntry> {
        self.targets.iter().enumerate().map(entry)
    }

    pub fn sends(&self) -> usize {
        self.targets.iter().map(|target| target.seen().len()).sum()
    }
}

pub fn names() -> HeaderNames {
    HeaderNames {
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
        event_header: Some(HeaderName::from_static(EVENT_HEADER)),
    }
}

pub fn entry((number, target): (usize, &StreamTarget)) -> TargetEntry {
    TargetEntry {
        id: format!("t{number}").into(),
        service: "llm".into(),
        address: target.address,
        domain: "a".into(),
        slots: 4,
        draining: false,
        born: 0,
        version: "v1".into(),
        cold_left: plantainmill_routing::ColdLeft::default(),
    }
}

pub fn call(repeatable: bool) -> RelayCall {
    RelayCall {
        id: "r1".into(),
        route: "questions".into(),
        service: "llm".into(),
        organisation: Some("ward".into()),
        priority: 0,
        class: TrafficClass::Online,
        method: Method::POST,
        path: "/ask/1?x=2".into(),
        headers: HeaderMap::new(),
        body: "question".into(),
        prefix_hash: None,
        parts: Vec::new(),
        deadline: SystemClock.uptime() + Duration::from_secs(2),
        wait_limit: Duration::from_millis(75),
        max_executions: 2,
        may_repeat: repeatable,
        is_stream: true,
        first_event_objective: Duration::from_millis(50),
        event_gap: Duration::from_millis(50),
        last_event: None,
        version: None,
        regions: CallRegions::fixed(RegionSet::Everywhere),
    }
}

/// Ids of the events that the caller receives, and the problem that ends its response.
pub async fn read_response(
    fleet: &Fleet,
    call: RelayCall,
) -> Result<(Vec<u64>, Option<Problem>), Problem> {
    let mut response = fleet.caller.open(call).await?;
    assert_eq!(response.status, 200);
    let mut splitter = EventSplitter::default();
    let mut ids = Vec::new();
    while let Some(part) = response.body.next().await {
        match part {
            Ok(part) => {
                let events = splitter.push(&part).expect("events of a usual size");
                ids.extend(events.iter().map(|event| event.id));
            }
            Err(problem) => return Ok((ids, Some(problem))),
        }
    }
    assert!(splitter.is_at_boundary(), "a partial event was passed on");
    Ok((ids, None))
}

pub fn all_events() -> Vec<u64> {
    (1..=EVENTS).collect()
}
