//! Streams whose target falls silent for a while, while other targets are full, refuse or are silent as well.

mod relay_fleet;

use futures_util::future::join_all;
use plantainmill_core::{Clock as _, SystemClock, TargetId};
use plantainmill_dispatch::{Dispatcher as _, TargetTicket, TicketRequest};
use plantainmill_fakes::{StreamTarget, TargetAct};
use plantainmill_proxy::relay::RelayCall;
use plantainmill_routing::TargetEntry;
use relay_fleet::{Fleet, all_events, call, read_response};
use rstest::rstest;
use std::time::{Duration, Instant};

/// Longer than the silence after which a request may go on elsewhere.
const PAUSE: Duration = Duration::from_millis(250);
/// Time for which a request may be at two targets.
const OVERLAP_BOUND: Duration = Duration::from_millis(400);

fn patient(id: &str) -> RelayCall {
    RelayCall {
        id: id.into(),
        deadline: SystemClock.uptime() + Duration::from_secs(4),
        ..call(true)
    }
}

/// A request whose target may be silent for long before the first event.
fn begun(id: &str) -> RelayCall {
    RelayCall {
        first_event_objective: Duration::from_secs(1),
        ..patient(id)
    }
}

fn set_slots(fleet: &Fleet, slots: [u32; 2]) {
    let entries = fleet.entries().zip(slots);
    let entries: Vec<TargetEntry> = entries
        .map(|(entry, slots)| TargetEntry { slots, ..entry })
        .collect();
    fleet.dispatcher.set_targets(entries.iter());
}

/// Takes all places at a target, including those of requests that wait there.
async fn fill(fleet: &Fleet, target: &str, other: &str) -> Vec<TargetTicket> {
    let mut tickets = Vec::new();
    loop {
        let mut request = patient("filler").ticket_request(&[]);
        request.barred = vec![TargetId::from(other)];
        request.wait_limit = Some(Duration::ZERO);
        fleet.dispatcher.tick();
        match fleet.dispatcher.acquire(request).await {
            Ok(ticket) => {
                assert_eq!(ticket.target, target);
                tickets.push(ticket);
            }
            Err(_) => return tickets,
        }
    }
}

/// Has waiting requests looked at, as a VM does.
fn keep_ticking(fleet: &Fleet) {
    let dispatcher = fleet.dispatcher.clone();
    actix_rt::spawn(async move {
        loop {
            actix_rt::time::sleep(Duration::from_millis(10)).await;
            dispatcher.tick();
        }
    });
}

/// Another request, which waits for a slot and goes before those that begin.
fn rival_request() -> TicketRequest {
    TicketRequest {
        version: Some("v1".into()),
        wait_limit: Some(Duration::from_secs(4)),
        ..patient("rival").ticket_request(&[])
    }
}

/// Lets another request wait for each slot that a target frees.
fn keep_waiting(fleet: &Fleet) {
    let dispatcher = fleet.dispatcher.clone();
    actix_rt::spawn(async move {
        let mut tickets = Vec::new();
        loop {
            match dispatcher.acquire(rival_request()).await {
                Ok(ticket) => tickets.push(ticket),
                Err(_) => actix_rt::time::sleep(Duration::from_millis(5)).await,
            }
        }
    });
}

/// Guards against a response that is cut, or fails, because its target was left for a short silence and no other target has a
/// slot: the slot that the request had goes to one that waits.
#[rstest]
#[case::between_events(Duration::from_secs(1))]
#[case::before_first_event(Duration::from_millis(50))]
#[actix_rt::test]
async fn full_elsewhere(#[case] objective: Duration) {
    let fleet = Fleet::start(2).await;
    fleet.targets[0].set_pause(PAUSE);
    set_slots(&fleet, [1, 1]);
    keep_ticking(&fleet);
    let _elsewhere = fill(&fleet, "t1", "t0").await;
    let stream = read_response(
        &fleet,
        RelayCall {
            first_event_objective: objective,
            ..patient("r1")
        },
    );
    let rivals = async {
        actix_rt::time::sleep(PAUSE / 5).await;
        let filler = fill(&fleet, "t0", "t1").await;
        keep_waiting(&fleet);
        filler
    };
    let (response, _filler) = tokio::join!(stream, rivals);
    assert_eq!(response.expect("a response"), (all_events(), None));
    assert_eq!(fleet.sends(), 1);
}

/// Guards against a stream that is left for a target that refuses it, although its own target goes on.
#[actix_rt::test]
async fn refused_elsewhere() {
    let fleet = Fleet::start(2).await;
    fleet.targets[1].set_default_act(TargetAct::Refuse);
    fleet.targets[0].set_pause(PAUSE);
    set_slots(&fleet, [4, 0]);
    let stream = read_response(&fleet, begun("r1"));
    let (response, ()) = tokio::join!(stream, async {
        actix_rt::time::sleep(PAUSE / 5).await;
        set_slots(&fleet, [4, 4]);
    });
    assert_eq!(response.expect("a response"), (all_events(), None));
    assert_eq!(fleet.targets[0].seen().len(), 1);
}

/// Guards against a request that stays at two targets for long: its own one goes on before the other one answers, or does not.
#[rstest]
#[case::goes_on(TargetAct::Serve)]
#[case::stays_silent(TargetAct::SilentAfter(1))]
#[actix_rt::test]
async fn short_overlap(#[case] act: TargetAct) {
    let fleet = Fleet::start(2).await;
    set_slots(&fleet, [4, 0]);
    fleet.targets[0].set_pause(PAUSE);
    fleet.targets[0].plan([act]);
    fleet.targets[1].set_pause(PAUSE * 6 / 5);
    let stream = read_response(&fleet, begun("r1"));
    let overlap = async {
        actix_rt::time::sleep(PAUSE / 5).await;
        set_slots(&fleet, [4, 4]);
        longest_overlap(&fleet).await
    };
    let (response, longest) = tokio::join!(stream, overlap);
    assert_eq!(response.expect("a response"), (all_events(), None));
    assert!(longest < OVERLAP_BOUND, "{longest:?}");
    assert_eq!(fleet.sends(), 2);
}

/// Longest time for which both targets work, of the next three seconds.
async fn longest_overlap(fleet: &Fleet) -> Duration {
    let mut longest = Duration::ZERO;
    let mut since: Option<Instant> = None;
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
        let mut running = fleet.targets.iter().map(StreamTarget::running);
        if running.all(|count| count > 0) {
            longest = longest.max(since.get_or_insert_with(Instant::now).elapsed());
        } else {
            since = None;
        }
    }
    longest
}

/// Guards against events that come twice or are lost when both targets go on while the request is at both.
#[actix_rt::test]
async fn both_go_on() {
    let fleet = Fleet::start(2).await;
    set_slots(&fleet, [4, 0]);
    fleet.targets[0].set_pause(PAUSE);
    fleet.targets[1].set_pause(PAUSE / 2);
    let stream = read_response(&fleet, begun("r1"));
    let (response, ()) = tokio::join!(stream, async {
        actix_rt::time::sleep(PAUSE / 5).await;
        set_slots(&fleet, [4, 4]);
    });
    assert_eq!(response.expect("a response"), (all_events(), None));
    let continued = &fleet.targets[1].seen()[0].headers["last-event-id"];
    assert_eq!(continued, "1");
    assert_eq!(fleet.sends(), 2);
}

/// Guards against streams that are all left at once, and in part cut, because all targets are silent for the same moment.
#[actix_rt::test]
async fn silent_everywhere() {
    let fleet = Fleet::start(2).await;
    set_slots(&fleet, [4, 4]);
    keep_ticking(&fleet);
    let set_pause = |pause| {
        fleet
            .targets
            .iter()
            .for_each(|target| target.set_pause(pause));
    };
    set_pause(Duration::from_millis(30));
    let names: Vec<String> = (0..8).map(|number| format!("r{number}")).collect();
    let streams = names.iter().map(|name| read_response(&fleet, begun(name)));
    let (responses, ()) = tokio::join!(join_all(streams), async {
        actix_rt::time::sleep(Duration::from_millis(60)).await;
        keep_waiting(&fleet);
        set_pause(PAUSE * 2);
        actix_rt::time::sleep(PAUSE).await;
        set_pause(Duration::from_millis(30));
    });
    for response in responses {
        assert_eq!(response.expect("a response"), (all_events(), None));
    }
}

/// Guards against a VM that takes its own pause for one of the target.
#[actix_rt::test]
async fn paused_vm() {
    let fleet = Fleet::start(2).await;
    for target in &fleet.targets {
        target.set_pause(Duration::from_millis(60));
    }
    let stream = read_response(&fleet, begun("r1"));
    let (response, ()) = tokio::join!(stream, async {
        actix_rt::time::sleep(Duration::from_millis(150)).await;
        // Targets and relay share this thread.
        std::thread::sleep(PAUSE * 2);
    });
    assert_eq!(response.expect("a response"), (all_events(), None));
    assert_eq!(fleet.sends(), 1);
}

/// Guards against a request that fails, although its caller cannot be told that it did not run, because the target that it was
/// sent to next refuses it late and no slot is free at that moment.
#[actix_rt::test]
async fn late_refusal() {
    let fleet = Fleet::start(2).await;
    set_slots(&fleet, [4, 0]);
    keep_ticking(&fleet);
    fleet.targets[0].plan([TargetAct::SilentAfter(0)]);
    fleet.targets[1].plan([TargetAct::LateRefusal(PAUSE * 4)]);
    let stream = read_response(&fleet, patient("r1"));
    let full_meanwhile = async {
        actix_rt::time::sleep(PAUSE / 5).await;
        set_slots(&fleet, [4, 4]);
        // The first target has been left by then, and the backoff from it is over.
        actix_rt::time::sleep(PAUSE * 14 / 5).await;
        let elsewhere = fill(&fleet, "t0", "t1").await;
        let here = fill(&fleet, "t1", "t0").await;
        // Takes the place that the refusal frees.
        let rival = fleet.dispatcher.acquire(rival_request());
        let rival = tokio::time::timeout(PAUSE * 2, rival).await;
        actix_rt::time::sleep(PAUSE).await;
        drop((elsewhere, here));
        rival.expect("a place in time").expect("a place")
    };
    let (response, _rival) = tokio::join!(stream, full_meanwhile);
    assert_eq!(response.expect("a response"), (all_events(), None));
}
