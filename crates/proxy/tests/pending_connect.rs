//! Requests whose connection is still being opened when their time is up.

mod support;

use crate::support::{
    CallMode, OrderedDispatcher, TestFleet, TestResult, service_spec, short_limits,
};
use actix_rt::net::TcpStream;
use awc::http::Method;
use awc::http::header::{HeaderMap, HeaderName};
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use opentelemetry::metrics::MeterProvider as _;
use plantainmill_config::ServiceKind;
use plantainmill_core::{Clock as _, Executed, RegionSet, SystemClock};
use plantainmill_dispatch::shared::SharedParts;
use plantainmill_dispatch::{SharedDispatcher, TrafficClass};
use plantainmill_paths::TargetPaths;
use plantainmill_proxy::TargetDialer;
use plantainmill_proxy::relay::{CallRegions, HeaderNames, RelayCall, RelayCaller, RelayLimits};
use plantainmill_routing::TargetEntry;
use rstest::rstest;
use socket2::{Domain, Socket, Type};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream as BlockingStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Never opens a connection.
struct SilentDialer;

impl TargetDialer for SilentDialer {
    fn dial(&self, _: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> {
        std::future::pending().boxed_local()
    }
}

fn caller() -> RelayCaller {
    let dispatcher = SharedDispatcher::new(SharedParts {
        vm: "vm".into(),
        domain: "a".into(),
        region: "north".into(),
        regions: HashMap::from([("a".into(), "north".into())]),
        clock: Arc::new(SystemClock),
    });
    let entry = TargetEntry {
        id: "i-1".into(),
        service: "wool".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        domain: "a".into(),
        slots: 8,
        draining: false,
        born: 0,
        version: "v1".into(),
        cold_left: plantainmill_routing::ColdLeft::default(),
    };
    dispatcher.set_targets([entry].iter());
    let name = HeaderName::from_static;
    let names = HeaderNames {
        request_id: name("request-id"),
        deadline: name("deadline-ms"),
        organisation: name("organisation"),
        expected_instance: name("expected"),
        not_executed: name("not-executed"),
        target_limit: name("server-limit"),
        target_load: name("server-load"),
        target_leaving: name("server-leaving"),
        target_cold: None,
        last_event: name("last-event-id"),
        event_header: None,
    };
    let meter = opentelemetry::metrics::noop::NoopMeterProvider::new().meter("test");
    let paths = TargetPaths::new(&"vm".into(), Arc::new(SystemClock), &meter, "");
    let limits = RelayLimits {
        min_first_event_timeout: Duration::from_millis(50),
        ..RelayLimits::default()
    };
    RelayCaller::new(Arc::new(dispatcher), Arc::new(SystemClock), names, limits)
        .with_paths(paths, Rc::new(SilentDialer))
}

/// Guards against answers that leave open whether a request ran that was never sent: its caller may not repeat it then.
#[rstest]
#[case::stream_once(true, false)]
#[case::stream_repeated(true, true)]
#[case::buffered(false, false)]
#[actix_rt::test]
async fn pending_connect(#[case] is_stream: bool, #[case] may_repeat: bool) {
    let call = RelayCall {
        route: "questions".into(),
        regions: CallRegions::fixed(RegionSet::Everywhere),
        id: "c1".into(),
        service: "wool".into(),
        organisation: None,
        priority: 0,
        class: TrafficClass::Online,
        method: Method::POST,
        path: "/ask".to_owned(),
        headers: HeaderMap::new(),
        body: "question".into(),
        prefix_hash: None,
        parts: Vec::new(),
        deadline: SystemClock.uptime() + Duration::from_millis(120),
        wait_limit: Duration::from_millis(50),
        max_executions: 2,
        may_repeat,
        is_stream,
        first_event_objective: Duration::from_millis(20),
        event_gap: Duration::from_millis(100),
        last_event: None,
        version: None,
    };
    let problem = caller().open(call).await.err().expect("no response");
    assert_eq!(problem.executed, Executed::No, "{}", problem.reason);
    assert_eq!(problem.code.http_status(), 503, "{}", problem.reason);
}

/// A listener whose backlog is full, so that connects to it stay pending, with the connections that fill it.
fn full_listener() -> io::Result<(Socket, Vec<BlockingStream>)> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(0)?;
    let address = socket.local_addr()?.as_socket().expect("an IP address");
    let mut filling = Vec::new();
    while let Ok(stream) = BlockingStream::connect_timeout(&address, Duration::from_millis(100)) {
        filling.push(stream);
    }
    Ok((socket, filling))
}

/// Guards against the same on the own interface.
#[rstest]
#[case(CallMode::Buffered)]
#[case(CallMode::Streaming)]
#[actix_rt::test]
async fn own_interface(#[case] mode: CallMode) -> TestResult {
    let (listener, _filling) = full_listener()?;
    let address = listener.local_addr()?.as_socket().expect("an IP address");
    let dispatcher = Arc::new(OrderedDispatcher {
        targets: vec![("target-0".into(), address)],
        ..OrderedDispatcher::default()
    });
    let service = service_spec(ServiceKind::Plain, false);
    let fleet = TestFleet::over(
        service,
        Vec::new(),
        dispatcher,
        short_limits(),
        Arc::new(SystemClock),
    );
    let mut request = fleet.request("pending", mode);
    request.deadline = SystemClock.uptime() + Duration::from_millis(200);
    let problem = fleet.run(request, mode).await.problem;
    let problem = problem.expect("no response");
    assert_eq!(problem.executed, Executed::No, "{}", problem.reason);
    Ok(())
}
