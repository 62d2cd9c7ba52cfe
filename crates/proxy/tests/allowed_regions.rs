//! Sends of requests that are limited to regions.

mod relay_fleet;

use actix_rt::net::TcpStream;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry::metrics::noop::NoopMeterProvider;
use plantainmill_core::{Executed, RegionInputs, RegionSet, RegionSource, ResultCode, SystemClock};
use plantainmill_fakes::TargetAct;
use plantainmill_paths::{Forwarder, ForwarderPlace, TargetPaths};
use plantainmill_proxy::TargetDialer;
use plantainmill_proxy::relay::{CallRegions, RelayCall};
use plantainmill_routing::TargetEntry;
use relay_fleet::{EVENTS, Fleet, NAMES, call, read_response};
use rstest::rstest;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Regions that a test changes.
#[derive(Debug)]
struct ChangingRegions(RefCell<RegionSet>);

impl RegionSource for ChangingRegions {
    fn allowed(&self) -> RegionSet {
        self.0.borrow().clone()
    }

    fn inputs(&self) -> RegionInputs {
        RegionInputs::default()
    }
}

fn changing(names: &[&str]) -> Rc<ChangingRegions> {
    Rc::new(ChangingRegions(RefCell::new(regions(names))))
}

fn regions(names: &[&str]) -> RegionSet {
    RegionSet::of_names(names.iter().map(|name| (*name).into()))
}

/// A call that may be repeated, in changing regions.
fn call_in(source: &Rc<ChangingRegions>) -> RelayCall {
    RelayCall {
        regions: CallRegions::of_source(Rc::clone(source) as Rc<dyn RegionSource>),
        wait_limit: Duration::from_millis(300),
        ..call(true)
    }
}

/// Moves the target with this number to the failure domain `c`, which is in the region `south`.
fn move_target(fleet: &Fleet, number: usize) {
    let entries: Vec<TargetEntry> = fleet.entries().collect();
    let entries = entries.into_iter().enumerate().map(|(index, entry)| {
        let domain = if index == number { "c" } else { "a" };
        TargetEntry {
            domain: domain.into(),
            ..entry
        }
    });
    let entries: Vec<TargetEntry> = entries.collect();
    fleet.dispatcher.set_targets(entries.iter());
}

/// Guards against a retry, or a stream that goes on, at a target of another region when the only target of the allowed one
/// failed.
#[rstest]
#[case::before_first_event(TargetAct::Fail(500))]
#[case::cut_stream(TargetAct::CutAfter(3))]
#[actix_rt::test]
async fn failed_target(#[case] act: TargetAct) {
    let fleet = Fleet::start(2).await;
    move_target(&fleet, 1);
    fleet.targets[0].plan([act]);
    // Its own target is the last resort for a request that may be repeated.
    let answered = read_response(&fleet, call_in(&changing(&["north"]))).await;
    assert_eq!(fleet.targets[1].seen().len(), 0);
    let (events, problem) = answered.expect("the own target takes it up");
    assert_eq!(events, (1..=EVENTS).collect::<Vec<_>>());
    assert!(problem.is_none());
}

/// Guards against a request without an allowed target that waits, or whose answer does not say that it never ran.
#[actix_rt::test]
async fn no_target() {
    let fleet = Fleet::start(1).await;
    let source = changing(&["south"]);
    let answered = read_response(&fleet, call_in(&source)).await;
    let problem = answered.expect_err("no allowed target");
    assert_eq!(problem.code, ResultCode::RegionUnavailable);
    assert_eq!(
        (problem.executed, problem.http_status()),
        (Executed::No, 503)
    );
    assert!(problem.retry_delay().is_some());
    assert_eq!(fleet.sends(), 0);
}

/// Guards against a send to a region that the configuration has excluded while the request waited for a slot.
#[actix_rt::test]
async fn changed_while_waiting() {
    let fleet = Fleet::start(1).await;
    let source = changing(&["north"]);
    let ticking = fleet.dispatcher.clone();
    actix_rt::spawn(async move {
        loop {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
            ticking.tick();
        }
    });
    let mut tickets = Vec::new();
    while let Ok(ticket) = acquire(&fleet).await {
        tickets.push(ticket);
    }
    let change = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        *source.0.borrow_mut() = regions(&["south"]);
        tickets.clear();
    };
    let (answered, ()) =
        futures_util::future::join(read_response(&fleet, call_in(&source)), change).await;
    let problem = answered.expect_err("no allowed target");
    assert_eq!(problem.code, ResultCode::RegionUnavailable, "{problem}");
    assert_eq!(problem.executed, Executed::No);
    assert_eq!(fleet.sends(), 0);
}

async fn acquire(
    fleet: &Fleet,
) -> Result<plantainmill_dispatch::TargetTicket, plantainmill_core::Problem> {
    let request = call(true).ticket_request(&[]);
    plantainmill_dispatch::Dispatcher::acquire(&fleet.dispatcher, request).await
}

/// Guards against a stream that goes on in a region that was excluded after it began, or in one that has been allowed since.
#[rstest]
#[case::excluded(&["south"])]
#[case::back_and_forth(&["north", "south"])]
#[actix_rt::test]
async fn changed_while_running(#[case] later: &[&str]) {
    let fleet = Fleet::start(2).await;
    move_target(&fleet, 1);
    fleet.targets[0].plan([
        TargetAct::CutAfter(3),
        TargetAct::Fail(500),
        TargetAct::Fail(500),
    ]);
    let source = changing(&["north"]);
    let call = call_in(&source);
    let mut response = fleet.caller.open(call).await.expect("a response");
    *source.0.borrow_mut() = regions(later);
    while futures_util::StreamExt::next(&mut response.body)
        .await
        .is_some()
    {}
    assert_eq!(fleet.targets[1].seen().len(), 0);
}

struct RefusingDialer;

impl TargetDialer for RefusingDialer {
    fn dial(&self, _: SocketAddr) -> LocalBoxFuture<'static, io::Result<TcpStream>> {
        async { Err(io::ErrorKind::ConnectionRefused.into()) }.boxed_local()
    }
}

/// Guards against a VM without paths that has a request forwarded by a VM of another region, or of an unknown one.
#[rstest]
#[case::other_region(Some("south"), 0)]
#[case::unknown_region(None, 0)]
#[case::allowed_region(Some("north"), 1)]
#[actix_rt::test]
async fn forwarder_elsewhere(#[case] region: Option<&str>, #[case] sends: usize) {
    let mut fleet = Fleet::start(1).await;
    let vm = plantainmill_fakes::StreamTarget::start(NAMES, EVENTS).await;
    let vm = vm.expect("a port");
    vm.plan([TargetAct::Fail(500)]);
    let meter = NoopMeterProvider::new().meter("test");
    let paths = TargetPaths::new(&"vm".into(), Arc::new(SystemClock), &meter, "");
    paths.set_targets(fleet.entries().map(|entry| (entry.id, entry.address)));
    let forwarder = Forwarder {
        address: vm.address,
        place: ForwarderPlace::Local,
        region: region.map(Into::into),
    };
    paths.set_forwarders([forwarder].into_iter());
    fleet.caller = fleet.caller.with_paths(paths, Rc::new(RefusingDialer));
    let call = RelayCall {
        may_repeat: false,
        ..call_in(&changing(&["north"]))
    };
    let answered = read_response(&fleet, call).await;
    assert!(answered.is_err());
    assert_eq!(vm.seen().len(), sends);
}
