//! Starts several VMs in one process, with real actors and loopback connections over a platform in memory.

use actix::{Actor as _, Addr};
use plantainmill_config::{ConfigOptions, ConfigService, ConfigView, ReadyState};
use plantainmill_core::{Clock, SystemClock};
use plantainmill_fakes::MemoryPlatform;
use plantainmill_membership::{MemberTiming, MemberView, MembershipOptions};
use plantainmill_mesh::{FleetSecret, IDLE_LIMIT, MeshOptions, MeshPeer, MeshService, StopMesh};
use plantainmill_provider::{VmEntry, VmState};
use plantainmill_timer::TimerService;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

/// Number of checks of a condition before the test fails.
const WAIT_ATTEMPTS: u32 = 1_500;
const WAIT_INTERVAL: Duration = Duration::from_millis(20);

/// Configuration service of one VM, and what it runs on.
pub struct TestVm {
    pub peer: MeshPeer,
    pub mesh: Addr<MeshService>,
    pub config: Addr<ConfigService>,
    pub view: ConfigView,
}

pub fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a loopback port is free")
}

pub fn peer_at(id: &str, domain: &str, listener: &TcpListener) -> MeshPeer {
    MeshPeer {
        id: id.into(),
        domain: domain.into(),
        region: "central".into(),
        address: listener.local_addr().expect("the listener is bound"),
    }
}

pub fn list_entry(peer: &MeshPeer) -> VmEntry {
    VmEntry {
        id: peer.id.clone(),
        domain: peer.domain.clone(),
        region: peer.region.clone(),
        mesh: peer.address,
        state: VmState::Live,
    }
}

/// Starts the VMs `ids` on one platform, alternately in two failure domains.
pub fn start_fleet(ids: &[&str], platform: &MemoryPlatform) -> Vec<TestVm> {
    let bound: Vec<(MeshPeer, TcpListener)> = ids
        .iter()
        .zip(["north", "south"].iter().cycle())
        .map(|(id, domain)| {
            let listener = bind();
            (peer_at(id, domain, &listener), listener)
        })
        .collect();
    platform.set_vms(bound.iter().map(|(peer, _)| list_entry(peer)).collect());
    bound
        .into_iter()
        .zip(1..)
        .map(|((peer, listener), seed)| start_vm(peer, listener, platform, platform, seed))
        .collect()
}

/// Starts a VM that reads the VM list of `platform` and the table and objects of `stores`.
pub fn start_vm(
    peer: MeshPeer,
    listener: TcpListener,
    platform: &MemoryPlatform,
    stores: &MemoryPlatform,
    incarnation: u64,
) -> TestVm {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let timer = TimerService::new(Arc::clone(&clock)).start();
    let mesh = plantainmill_mesh::start(MeshOptions {
        own: peer.id.clone(),
        incarnation,
        secret: FleetSecret::new(vec!["fleet".into()]),
        listener,
        idle_limit: IDLE_LIMIT,
        timer: Some(timer.clone()),
    })
    .expect("the listener works");
    let members = MemberView::default();
    let membership = plantainmill_membership::start(MembershipOptions {
        own: peer.clone(),
        incarnation,
        timing: MemberTiming::default(),
        seed: incarnation,
        clock: Arc::clone(&clock),
        mesh: mesh.clone(),
        timer: timer.clone(),
        list: Arc::new(platform.clone()),
        view: members.clone(),
    });
    let view = ConfigView::default();
    let config = plantainmill_config::start(ConfigOptions {
        own: peer.clone(),
        clock,
        table: Arc::new(stores.clone()),
        objects: Arc::new(stores.clone()),
        mesh: mesh.clone(),
        membership,
        members,
        timer,
        view: view.clone(),
    });
    TestVm {
        peer,
        mesh,
        config,
        view,
    }
}

impl TestVm {
    /// Stops the mesh, so that no peer can reach the VM.
    pub async fn stop_mesh(&self) {
        let _ = self.mesh.send(StopMesh).await;
    }

    pub async fn wait_ready(&self) {
        for _ in 0..WAIT_ATTEMPTS {
            let report = self.config.send(ReadyState).await;
            if report.expect("the service runs").ready {
                return;
            }
            actix_rt::time::sleep(WAIT_INTERVAL).await;
        }
        panic!("{} did not become ready", self.peer.id);
    }
}

/// Waits until `reached` returns true.
pub async fn wait_until(what: &str, reached: impl Fn() -> bool) {
    for _ in 0..WAIT_ATTEMPTS {
        if reached() {
            return;
        }
        actix_rt::time::sleep(WAIT_INTERVAL).await;
    }
    panic!("condition not reached: {what}");
}
