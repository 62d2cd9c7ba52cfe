//! The actor that connects the slot limiter to table, mesh and timer.

use actix::prelude::*;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry::metrics::noop::NoopMeterProvider;
use plantainmill_admission::SlotLimiter;
use plantainmill_admission::{RateLimiter, RateParts, RateService, RateSettings, RateVerdict};
use plantainmill_config::{ConfigView, FleetConfig, OrganisationSpec};
use plantainmill_core::{Clock, ManualClock, OrganisationId};
use plantainmill_fakes::MemoryPlatform;
use plantainmill_membership::MemberView;
use plantainmill_mesh::{FrameReceived, RegisterChannel, SendFrame};
use plantainmill_timer::{Subscribe, Tick};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Fake mesh and timer that record the registered recipients.
#[derive(Default)]
struct FakeServices {
    ticks: Arc<Mutex<Option<Recipient<Tick>>>>,
    frames: Arc<Mutex<Option<Recipient<FrameReceived>>>>,
}

impl Actor for FakeServices {
    type Context = Context<Self>;
}

impl Handler<SendFrame> for FakeServices {
    type Result = ();
    fn handle(&mut self, _frame: SendFrame, _context: &mut Self::Context) {}
}

impl Handler<RegisterChannel> for FakeServices {
    type Result = ();
    fn handle(&mut self, message: RegisterChannel, _context: &mut Self::Context) {
        *self.frames.lock().unwrap() = Some(message.recipient);
    }
}

impl Handler<Subscribe> for FakeServices {
    type Result = ();
    fn handle(&mut self, message: Subscribe, _context: &mut Self::Context) {
        *self.ticks.lock().unwrap() = Some(message.recipient);
    }
}

struct ServiceFixture {
    limiter: SlotLimiter,
    clock: ManualClock,
    ticks: Arc<Mutex<Option<Recipient<Tick>>>>,
    frames: Arc<Mutex<Option<Recipient<FrameReceived>>>>,
    platform: MemoryPlatform,
}

impl ServiceFixture {
    fn launch() -> ServiceFixture {
        let config = FleetConfig {
            version: 1,
            organisations: Arc::new(
                [(
                    "gita".into(),
                    OrganisationSpec {
                        rate: 1.0 / 60.0,
                        burst: 1,
                        weight: 1,
                    },
                )]
                .into(),
            ),
            ..FleetConfig::default()
        };
        let view = ConfigView::default();
        view.publish(config);
        let services = FakeServices::default();
        let ticks = Arc::clone(&services.ticks);
        let frames = Arc::clone(&services.frames);
        let address = services.start();
        let clock = ManualClock::default();
        let platform = MemoryPlatform::default();
        let limiter = RateService::launch(RateParts {
            vm: "vm-0".into(),
            domain: "domain-0".into(),
            incarnation: 1,
            config: view,
            members: MemberView::default(),
            mesh: address.clone().recipient(),
            channels: address.clone().recipient(),
            timer: address.recipient(),
            table: Arc::new(platform.clone()),
            vms: Arc::new(platform.clone()),
            clock: Arc::new(clock.clone()),
            meter: NoopMeterProvider::new().meter("test"),
            settings: RateSettings::default(),
        });
        ServiceFixture {
            limiter,
            clock,
            ticks,
            frames,
            platform,
        }
    }

    async fn run(&self, steps: u32) {
        for _ in 0..steps {
            self.clock.advance(Duration::from_millis(20));
            let recipient = self.ticks.lock().unwrap().clone();
            if let Some(recipient) = recipient {
                let uptime = self.clock.uptime();
                recipient.send(Tick { uptime }).await.unwrap();
            }
            for _ in 0..4 {
                tokio::task::yield_now().await;
            }
        }
    }
}

/// Guards against an organisation with one request per minute that is never served, or served twice.
#[actix_rt::test]
async fn small_organisation() {
    let fixture = ServiceFixture::launch();
    fixture.run(100).await;
    assert!(fixture.limiter.is_converged());
    let gita = OrganisationId::from("gita");
    assert_eq!(fixture.limiter.admit(&gita).await, RateVerdict::Admitted);
    let RateVerdict::Refused { retry_after } = fixture.limiter.admit(&gita).await else {
        panic!("the second request in a minute was admitted");
    };
    assert!(retry_after > Duration::from_secs(59), "{retry_after:?}");
    fixture.clock.advance(retry_after);
    fixture.run(1).await;
    assert_eq!(fixture.limiter.admit(&gita).await, RateVerdict::Admitted);
}

/// Guards against a graceful stop that leaves slots held, so that the next holder would have to wait until the lease
/// expires.
#[actix_rt::test]
async fn stop_releases() {
    let fixture = ServiceFixture::launch();
    fixture.run(100).await;
    let limiter = fixture.limiter.clone();
    let (stopped, ()) = futures_util::join!(limiter.stop(), fixture.run(20));
    assert!(stopped);
    let backup = fixture.platform.backup();
    let rows = plantainmill_provider::TableStore::range(&backup, "slot/", "slot0", 100);
    for row in rows.await.unwrap() {
        assert!(row.value["holder"].is_null(), "{row:?}");
    }
}

/// Guards against a malformed frame that stops the actor.
#[actix_rt::test]
async fn malformed_frame() {
    let fixture = ServiceFixture::launch();
    fixture.run(1).await;
    let frames = fixture.frames.lock().unwrap().clone().unwrap();
    let frame = FrameReceived {
        from: "vm-9".into(),
        incarnation: 1,
        body: b"\xff\x00".to_vec().into(),
    };
    frames.send(frame).await.unwrap();
    assert_eq!(fixture.limiter.counts().malformed, 1);
}
