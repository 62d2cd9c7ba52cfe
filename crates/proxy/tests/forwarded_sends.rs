//! Requests that go through other VMs, and those that this VM forwards.

mod relay_fleet;

use awc::http::Method;
use awc::http::header::{HeaderMap, HeaderName, HeaderValue};
use futures_util::StreamExt as _;
use plantainmill_core::Executed;
use plantainmill_fakes::{StreamTarget, TargetAct};
use plantainmill_proxy::TcpDialer;
use plantainmill_proxy::relay::{ForwardRequest, MAX_FORWARD_BYTES, RelayCall};
use relay_fleet::{EVENTS, Fleet, NAMES, RefusingDialer, call, read_response};
use rstest::rstest;
use std::rc::Rc;
use std::time::Duration;

/// Time from a copied answer to the answer that was due.
const ANSWER_DELAY: Duration = Duration::from_millis(50);

/// Has the VM forward the request `id`, and returns the status and the id of the answer, which it reads to its end.
async fn forward(fleet: &Fleet, id: &str) -> (u16, String) {
    let name = HeaderName::from_static(NAMES.request_id);
    let value = HeaderValue::from_str(id).expect("an id");
    let request = ForwardRequest {
        target: "t0".into(),
        method: Method::POST,
        path: "/ask/1".to_owned(),
        headers: HeaderMap::from_iter([(name, value)]),
        body: "question".into(),
    };
    let Ok(answer) = fleet.caller.forward(request).await else {
        panic!("there is an answer of the target");
    };
    let echo = answer.headers.get(NAMES.request_id).expect("an id");
    let echo = echo.to_str().expect("a text").to_owned();
    let _: Vec<_> = answer.body.collect().await;
    (answer.status, echo)
}

/// Guards against a request that runs twice because a VM that may have sent it answers without saying so.
#[rstest]
#[case::stream(true)]
#[case::buffered(false)]
#[actix_rt::test]
async fn missing_verdict(#[case] is_stream: bool) {
    let vms = [
        StreamTarget::start(NAMES, EVENTS).await.expect("a port"),
        StreamTarget::start(NAMES, EVENTS).await.expect("a port"),
    ];
    for vm in &vms {
        vm.plan([TargetAct::Fail(500)]);
    }
    let fleet = Fleet::connected(1, Rc::new(RefusingDialer), &vms).await;
    let call = RelayCall {
        is_stream,
        ..call(false)
    };
    let answered = read_response(&fleet, call).await;
    assert_eq!(vms.iter().map(|vm| vm.seen().len()).sum::<usize>(), 1);
    let problem = answered.expect_err("no answer of the target");
    assert_eq!(problem.executed, Executed::Unknown, "{}", problem.reason);
}

/// Guards against a request that counts as sent because other VMs reject its body.
#[actix_rt::test]
async fn large_body() {
    let vms = [StreamTarget::start(NAMES, EVENTS).await.expect("a port")];
    let fleet = Fleet::connected(1, Rc::new(RefusingDialer), &vms).await;
    let call = RelayCall {
        body: vec![b'x'; MAX_FORWARD_BYTES + 1].into(),
        ..call(false)
    };
    let problem = read_response(&fleet, call).await.expect_err("no path");
    assert_eq!(problem.executed, Executed::No, "{}", problem.reason);
    assert!(vms[0].seen().is_empty());
}

/// Guards against a request of two VMs that one VM forwards on the same connection, so that the copy of the first refusal
/// counts for both.
#[actix_rt::test]
async fn shared_forwarder() {
    let fleet = Fleet::connected(1, Rc::new(TcpDialer), &[]).await;
    fleet.targets[0].plan([
        TargetAct::Refuse,
        TargetAct::RepeatRefusal,
        TargetAct::RepeatRefusal,
    ]);
    let mut statuses = Vec::new();
    for _ in 0..3 {
        statuses.push(forward(&fleet, "r1").await.0);
    }
    assert_eq!(statuses, [503, 200, 200]);
}

/// Guards against answers that a VM returns for the requests before them, once its target has written one too many.
#[actix_rt::test]
async fn shifted_answers() {
    let fleet = Fleet::connected(1, Rc::new(TcpDialer), &[]).await;
    let target = &fleet.targets[0];
    target.set_pause(ANSWER_DELAY);
    target.plan([TargetAct::Fail(500), TargetAct::RepeatRefusal]);
    assert_eq!(forward(&fleet, "r1").await, (500, "r1".to_owned()));
    assert_eq!(forward(&fleet, "r2").await, (500, "r1".to_owned()));
    assert_eq!(forward(&fleet, "r3").await, (200, "r3".to_owned()));
}
