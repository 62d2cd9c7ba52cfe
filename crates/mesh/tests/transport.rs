//! Frame delivery between mesh services over loopback connections.

use actix::prelude::*;
use bytes::Bytes;
use futures_util::SinkExt as _;
use plantainmill_mesh::{
    Channel, DropReason, DumpMesh, FleetSecret, FrameReceived, MeshOptions, MeshPeer, MeshReport,
    MeshService, RegisterChannel, SendFrame, StopMesh, UpdatePeers, UpdateSecret,
};
use plantainmill_timer::Tick;
use rstest::rstest;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_tungstenite::tungstenite::Message as SocketMessage;

/// Polls of a condition before a test fails.
const POLL_LIMIT: u32 = 1_500;
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Actor that collects received frames.
struct Collector {
    frames: Arc<Mutex<Vec<FrameReceived>>>,
}

impl Actor for Collector {
    type Context = Context<Self>;
}

impl Handler<FrameReceived> for Collector {
    type Result = ();

    fn handle(&mut self, message: FrameReceived, _context: &mut Self::Context) {
        self.frames
            .lock()
            .expect("no test panics here")
            .push(message);
    }
}

struct TestMesh {
    service: Addr<MeshService>,
    address: SocketAddr,
    frames: Arc<Mutex<Vec<FrameReceived>>>,
}

fn start_mesh(id: &str, incarnation: u64, listener: TcpListener) -> TestMesh {
    let address = listener.local_addr().expect("the listener is bound");
    let service = plantainmill_mesh::start(MeshOptions {
        own: id.into(),
        incarnation,
        secret: FleetSecret::new(vec!["fleet".into()]),
        listener,
        idle_limit: Duration::from_mins(1),
        timer: None,
    })
    .expect("the listener works");
    let frames = Arc::default();
    let collector = Collector {
        frames: Arc::clone(&frames),
    };
    service.do_send(RegisterChannel {
        channel: Channel::Config,
        recipient: collector.start().recipient(),
    });
    TestMesh {
        service,
        address,
        frames,
    }
}

fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a loopback port is free")
}

fn peer(id: &str, address: SocketAddr) -> MeshPeer {
    MeshPeer {
        id: id.into(),
        domain: "north".into(),
        region: "central".into(),
        address,
    }
}

fn frame_to(to: &str, channel: Channel, body: Bytes) -> SendFrame {
    SendFrame {
        to: to.into(),
        channel,
        body,
    }
}

impl TestMesh {
    fn set_peers(&self, peers: Vec<MeshPeer>) {
        self.service.do_send(UpdatePeers { peers });
    }

    fn send(&self, to: &str, body: &'static [u8]) {
        let body = Bytes::from_static(body);
        self.service.do_send(frame_to(to, Channel::Config, body));
    }

    fn received(&self) -> usize {
        self.frames.lock().expect("no test panics here").len()
    }

    async fn report(&self) -> MeshReport {
        self.service.send(DumpMesh).await.expect("the mesh runs")
    }

    async fn wait_for_dropped(&self, reason: DropReason, count: u64) {
        for _ in 0..POLL_LIMIT {
            let totals = self.report().await.totals;
            if totals
                .dropped
                .get(&reason)
                .is_some_and(|seen| *seen >= count)
            {
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        panic!(
            "no {count} frames dropped as {reason:?}: {:?}",
            self.report().await
        );
    }

    async fn wait_for_received(&self, count: usize) {
        for _ in 0..POLL_LIMIT {
            if self.received() >= count {
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        panic!(
            "fewer than {count} frames received: {:?}",
            self.report().await
        );
    }
}

fn start_mesh_pair() -> (TestMesh, TestMesh) {
    let (a, b) = (start_mesh("a", 1, bind()), start_mesh("b", 1, bind()));
    a.set_peers(vec![peer("b", b.address)]);
    b.set_peers(vec![peer("a", a.address)]);
    (a, b)
}

/// Frames on one connection arrive in order and are counted on both sides.
#[actix_rt::test]
async fn frames_arrive() {
    let (a, b) = start_mesh_pair();
    for body in [&b"one"[..], b"two"] {
        a.send("b", body);
    }
    b.wait_for_received(2).await;
    let bodies: Vec<Bytes> = {
        let frames = b.frames.lock().expect("no test panics here");
        frames.iter().map(|frame| frame.body.clone()).collect()
    };
    assert_eq!(bodies, ["one", "two"]);
    let (sent, received) = (a.report().await.totals, b.report().await.totals);
    assert_eq!((sent.sent_frames, sent.opened), (2, 1));
    assert_eq!(received.received_bytes, sent.sent_bytes);
}

/// A replacement VM at the same address receives frames over a new connection after the old one was closed.
#[actix_rt::test]
async fn peer_replaced() {
    let (a, b) = start_mesh_pair();
    a.send("b", b"one");
    b.wait_for_received(1).await;
    let address = b.address;
    b.service.send(StopMesh).await.expect("the mesh runs");
    drop(b);
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(_) => actix_rt::time::sleep(POLL_INTERVAL).await,
        }
    };
    let b = start_mesh("b", 2, listener);
    b.set_peers(vec![peer("a", a.address)]);
    b.send("a", b"back");
    a.wait_for_received(1).await;
    for _ in 0..POLL_LIMIT {
        a.send("b", b"two");
        actix_rt::time::sleep(POLL_INTERVAL).await;
        if b.received() > 0 {
            return;
        }
    }
    panic!(
        "the replacement peer received nothing: {:?}",
        a.report().await
    );
}

/// Unauthenticated, text and oversized messages are counted, and the mesh continues to deliver frames.
#[rstest]
#[case::foreign(SocketMessage::binary(vec![7_u8; 100]), DropReason::Foreign)]
#[case::short(SocketMessage::binary(vec![7_u8; 5]), DropReason::Malformed)]
#[case::text(SocketMessage::text("GET / HTTP/1.1"), DropReason::Malformed)]
#[case::long(SocketMessage::binary(vec![0_u8; 5 * 1024 * 1024]), DropReason::TooLong)]
#[actix_rt::test]
async fn foreign_counted(#[case] message: SocketMessage, #[case] reason: DropReason) {
    let (a, b) = start_mesh_pair();
    let stream = tokio::net::TcpStream::connect(b.address).await;
    let url = format!("ws://{}/mesh", b.address);
    let stream = stream.expect("the mesh listens");
    let opened = tokio_tungstenite::client_async(url, stream).await;
    let (mut socket, _) = opened.expect("the handshake works");
    // The mesh may close the connection while an oversized message is still being written.
    let _ = socket.send(message).await;
    b.wait_for_dropped(reason, 1).await;
    a.send("b", b"one");
    b.wait_for_received(1).await;
}

/// Frames that cannot be sent are counted by reason and are not queued without bound.
#[rstest]
#[case::unknown("z", 1, DropReason::UnknownPeer)]
#[case::unreachable("gone", 1, DropReason::Unreachable)]
#[case::full("gone", 600, DropReason::QueueFull)]
#[actix_rt::test]
async fn unsent_counted(#[case] to: &str, #[case] frames: usize, #[case] reason: DropReason) {
    let a = start_mesh("a", 1, bind());
    let closed = bind().local_addr().expect("the listener is bound");
    a.set_peers(vec![peer("gone", closed)]);
    for _ in 0..frames {
        a.send(to, b"lost");
    }
    a.wait_for_dropped(reason, 1).await;
}

/// A frame on a channel without a registered recipient is counted.
#[actix_rt::test]
async fn unrouted_counted() {
    let (a, b) = start_mesh_pair();
    let body = Bytes::from_static(b"x");
    a.service.do_send(frame_to("b", Channel::Batch, body));
    b.wait_for_dropped(DropReason::Unrouted, 1).await;
}

/// Ticks close an idle connection, and the next frame opens a new one.
#[actix_rt::test]
async fn idle_closed() {
    let (a, b) = start_mesh_pair();
    a.send("b", b"one");
    b.wait_for_received(1).await;
    for uptime in [30, 61].map(Duration::from_secs) {
        a.service
            .send(Tick { uptime })
            .await
            .expect("the mesh runs");
    }
    let report = a.report().await;
    assert!(report.connected.is_empty());
    assert_eq!(report.totals.idle_closed, 1);
    a.send("b", b"two");
    b.wait_for_received(2).await;
    assert_eq!(a.report().await.totals.opened, 2);
}

/// During a secret rotation, VMs that sign with the old and the new secret accept each other; afterwards, frames signed
/// with the old secret are rejected.
#[actix_rt::test]
async fn secret_rotated() {
    let (a, b) = start_mesh_pair();
    let rotate = |mesh: &TestMesh, words: &[&str]| {
        let secret = FleetSecret::new(words.iter().copied().map(Into::into).collect());
        mesh.service.do_send(UpdateSecret { secret });
    };
    rotate(&b, &["fleet", "next"]);
    rotate(&a, &["next", "fleet"]);
    a.send("b", b"one");
    b.send("a", b"one");
    b.wait_for_received(1).await;
    a.wait_for_received(1).await;
    rotate(&b, &["next"]);
    rotate(&a, &["fleet"]);
    a.send("b", b"two");
    b.wait_for_dropped(DropReason::Foreign, 1).await;
    assert_eq!(b.received(), 1);
}
