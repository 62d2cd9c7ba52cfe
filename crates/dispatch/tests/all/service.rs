//! Dispatch service: its actor, handle and mesh channel.

use crate::support::{fleet, request};
use actix::prelude::*;
use futures_util::FutureExt as _;
use opentelemetry::global;
use plantainmill_config::ConfigView;
use plantainmill_core::{Clock, Uptime, VmId};
use plantainmill_dispatch::TrafficClass::{Batch, Online};
use plantainmill_dispatch::node::NodeIdentity;
use plantainmill_dispatch::{
    CallOutcome, DispatchHandle, DispatchParts, DispatchService, Dispatcher as _,
};
use plantainmill_membership::{Member, MemberState, MemberView};
use plantainmill_mesh::{FrameReceived, MeshPeer, RegisterChannel, SendFrame};
use plantainmill_provider::{EngineOrder, LoadReport, PlatformFuture, StoreError, TargetEngine};
use plantainmill_timer::TimerService;
use rstest::rstest;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

type ChannelMap = Arc<Mutex<HashMap<VmId, Recipient<FrameReceived>>>>;

/// Clock that follows Tokio's paused time.
struct PausedClock(tokio::time::Instant);

impl Clock for PausedClock {
    fn uptime(&self) -> Uptime {
        Duration::from_secs(100) + self.0.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }
}

/// Mesh endpoint of one VM, which delivers frames in memory.
struct TestMeshPort {
    vm: VmId,
    channels_by_vm: ChannelMap,
}

impl Actor for TestMeshPort {
    type Context = Context<Self>;
}

impl Handler<SendFrame> for TestMeshPort {
    type Result = ();

    fn handle(&mut self, frame: SendFrame, _: &mut Self::Context) {
        let channels_by_vm = self.channels_by_vm.lock().unwrap();
        if let Some(recipient) = channels_by_vm.get(&frame.to) {
            recipient.do_send(FrameReceived {
                from: self.vm.clone(),
                incarnation: 1,
                body: frame.body,
            });
        }
    }
}

impl Handler<RegisterChannel> for TestMeshPort {
    type Result = ();

    fn handle(&mut self, register: RegisterChannel, _: &mut Self::Context) {
        let mut channels_by_vm = self.channels_by_vm.lock().unwrap();
        channels_by_vm.insert(self.vm.clone(), register.recipient);
    }
}

/// Target engine that returns no load reports.
struct UnavailableEngine;

impl TargetEngine for UnavailableEngine {
    fn load_report(&self, _: SocketAddr) -> PlatformFuture<'_, LoadReport> {
        let error = StoreError::Unavailable("no report".into());
        std::future::ready(Err(error)).boxed_local()
    }

    fn order(&self, _: SocketAddr, _: EngineOrder) -> PlatformFuture<'_, bool> {
        std::future::ready(Ok(false)).boxed_local()
    }
}

struct TestFleet {
    handles: Vec<DispatchHandle>,
    channels_by_vm: ChannelMap,
    clock: Arc<PausedClock>,
}

fn members(own: usize) -> MemberView {
    let others = (0..2).filter(|index| *index != own).map(|index| Member {
        peer: MeshPeer {
            id: format!("v{index}").into(),
            domain: "d0".into(),
            region: "r0".into(),
            address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
        },
        incarnation: 1,
        state: MemberState::Live,
    });
    let view = MemberView::default();
    view.publish(others.collect());
    view
}

/// Starts two VMs in one domain and a target with an initial window of four requests.
fn start() -> TestFleet {
    tokio::time::pause();
    let clock = Arc::new(PausedClock(tokio::time::Instant::now()));
    let config = ConfigView::default();
    config.publish(fleet(1, 8));
    let channels_by_vm = ChannelMap::default();
    let timer = TimerService::new(Arc::<PausedClock>::clone(&clock)).start();
    let handles = (0..2).map(|index| {
        let vm = VmId::from(format!("v{index}"));
        let port = TestMeshPort {
            vm: vm.clone(),
            channels_by_vm: Arc::clone(&channels_by_vm),
        };
        let port = port.start();
        let service = DispatchService::new(DispatchParts {
            identity: NodeIdentity {
                vm,
                domain: "d0".into(),
                region: "r0".into(),
                seed: 5,
            },
            config: config.clone(),
            members: members(index),
            mesh: port.clone().recipient(),
            channels: port.recipient(),
            timer: timer.clone().recipient(),
            engine: Arc::new(UnavailableEngine),
            clock: Arc::<PausedClock>::clone(&clock),
            meter: global::meter("test"),
        });
        let handle = service.handle();
        service.start();
        handle
    });
    let handles = handles.collect();
    TestFleet {
        handles,
        channels_by_vm,
        clock,
    }
}

async fn advance(time: Duration) {
    tokio::time::sleep(time).await;
}

/// Guards against a preemption signal that does not reach the holder of a batch ticket on another VM, and against
/// dropped tickets whose slots are not released.
#[rstest]
fn preempt_signalled() {
    System::new().block_on(async {
        let fleet = start();
        advance(Duration::from_millis(100)).await;
        let now = fleet.clock.uptime();
        let mut batch = Vec::new();
        for index in 0..3 {
            let handle = &fleet.handles[index % 2];
            batch.push(handle.acquire(request(Batch, "a", now)).await.unwrap());
        }
        let online = (0..4).map(|index| {
            let handle = &fleet.handles[index % 2];
            handle.acquire(request(Online, "b", now))
        });
        let online = futures_util::future::join_all(online);
        let preemptions = async {
            for mut ticket in batch {
                ticket
                    .preempted
                    .wait_for(|preempted| *preempted)
                    .await
                    .unwrap();
            }
        };
        let preemptions = tokio::time::timeout(Duration::from_secs(1), preemptions);
        let (results, all_preempted) = futures_util::join!(online, preemptions);
        assert!(all_preempted.is_ok());
        for result in results {
            let outcome = CallOutcome::Completed {
                first_byte: Duration::from_millis(20),
            };
            result.unwrap().finish(outcome);
        }
    });
}

/// Guards against requests that stay queued after their future was dropped.
#[rstest]
fn future_dropped() {
    System::new().block_on(async {
        let fleet = start();
        advance(Duration::from_millis(100)).await;
        let now = fleet.clock.uptime();
        let handle = &fleet.handles[0];
        let mut running = Vec::new();
        for _ in 0..4 {
            running.push(handle.acquire(request(Online, "a", now)).await.unwrap());
        }
        let waiting = handle.acquire(request(Online, "a", now));
        assert!(
            tokio::time::timeout(Duration::from_millis(20), waiting)
                .await
                .is_err()
        );
        advance(Duration::from_millis(100)).await;
        let dump = handle.dump().await;
        assert_eq!(dump["pending"], 0);
        drop(running);
        advance(Duration::from_millis(100)).await;
        assert_eq!(handle.dump().await["running"], 0);
    });
}

/// Guards against a malformed frame that stops the actor. The frame must be counted.
#[rstest]
fn frame_malformed() {
    System::new().block_on(async {
        let fleet = start();
        advance(Duration::from_millis(100)).await;
        let recipient = fleet.channels_by_vm.lock().unwrap()[&VmId::from("v0")].clone();
        recipient.do_send(FrameReceived {
            from: "v1".into(),
            incarnation: 1,
            body: bytes::Bytes::from_static(b"\xff\x00garbage"),
        });
        advance(Duration::from_millis(100)).await;
        let handle = &fleet.handles[0];
        assert_eq!(handle.counts().frames_malformed, 1);
        let now = fleet.clock.uptime();
        assert!(handle.acquire(request(Online, "a", now)).await.is_ok());
    });
}
