//! Builds a VM and stops it.

use crate::codec::CallCodec;
use crate::control;
use crate::follow::{follow_document, follow_targets};
use crate::ingress;
use crate::listen::{self, StopSignals};
use crate::message::VmRow;
use crate::meters::EdgeMeters;
use crate::peer_client::PeerClient;
use crate::peers::PeerExchange;
use crate::proxied_rows::ProxiedRows;
use crate::settings::EdgeSettings;
use crate::state::EdgeState;
use anyhow::Context as _;
use plantainmill_admission::SharedLimiter;
use plantainmill_core::{Clock, InFlightCounter, Incarnation, SystemClock, incarnation_at};
use plantainmill_dispatch::SharedDispatcher;
use plantainmill_dispatch::shared::SharedParts;
use plantainmill_jobs::{JobOwner, JobParts, JobService, JobSettings, JobStore};
use plantainmill_provider::PartitionStore;
use plantainmill_proxy::relay::{RelayCaller, RelayLimits};
use plantainmill_routing::{DocumentSource, DocumentView, TargetSource};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

/// Time in which the balancer notices that a VM is not ready: two questions, a second apart.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Time at the end of a planned stop that is left for closing connections.
const CLOSE_TIME: Duration = Duration::from_millis(700);
/// Time without a request after which a stopping VM may end: a caller may have one on the way.
const QUIET_TIME: Duration = Duration::from_millis(250);
/// Time between looks at the requests in flight during a stop.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for handing jobs over at a stop.
const HAND_OVER_TIME: Duration = Duration::from_secs(2);

/// What a VM needs of the platform.
pub struct EdgePlatform {
    /// Where the document is kept.
    pub document: Rc<dyn DocumentSource>,
    /// Where targets register.
    pub targets: Rc<dyn TargetSource>,
    /// Rows.
    pub rows: Rc<dyn PartitionStore>,
    /// Forms of callers' requests.
    pub codec: Rc<dyn CallCodec>,
}

/// A running VM.
pub struct EdgeVm {
    state: Rc<EdgeState>,
    peers: Rc<PeerExchange>,
    drain: watch::Sender<bool>,
    close: watch::Sender<bool>,
}

impl EdgeVm {
    /// Starts a VM on the current thread.
    ///
    /// # Errors
    ///
    /// Fails when a listener cannot be opened.
    pub async fn start(settings: EdgeSettings, platform: EdgePlatform) -> anyhow::Result<EdgeVm> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let incarnation = incarnation_at(clock.wall());
        let listen = settings.listen;
        let socket = UdpSocket::bind(listen.peers)
            .await
            .with_context(|| format!("cannot listen on {}", listen.peers))?;
        let own = VmRow {
            vm: settings.vm.id.clone(),
            incarnation,
            domain: settings.vm.domain.clone(),
            region: settings.vm.region.clone(),
            peers: listen.peers,
            control: listen.control,
            processor_percent: whole_percent(settings.vm.processor_percent),
        };
        let state = Rc::new(build_state(settings, &platform, clock, incarnation)?);
        let (drain, drained) = watch::channel(false);
        let (close, closed) = watch::channel(false);
        let stop = StopSignals {
            drain: drained,
            close: closed,
        };
        let shared = || (Rc::clone(&state), stop.clone());
        let (vm, signals) = shared();
        listen::serve(listen.callers, vm, signals, ingress::handle).await?;
        let (vm, signals) = shared();
        listen::serve(listen.readiness, vm, signals, control::readiness).await?;
        let (vm, signals) = shared();
        listen::serve(listen.control, vm, signals, control::handle).await?;
        if let Some(metrics) = listen.metrics {
            let (vm, signals) = shared();
            listen::serve(metrics, vm, signals, control::metrics).await?;
        }
        actix_rt::spawn(follow_document(Rc::clone(&state), platform.document));
        actix_rt::spawn(follow_targets(Rc::clone(&state), platform.targets));
        let peers = PeerExchange::start(Rc::clone(&state), socket, own);
        Ok(EdgeVm {
            state,
            peers,
            drain,
            close,
        })
    }

    /// Takes changed settings. Bounds are in force at once; the rest needs a new start.
    pub fn reload(&self, settings: &EdgeSettings) {
        let held = &self.state.settings;
        let needs_start = settings.vm != held.vm
            || settings.regions != held.regions
            || settings.listen != held.listen
            || settings.store != held.store;
        let changed = self.state.bounds.replace(settings.bounds) != settings.bounds;
        tracing::info!(event = "settings_reloaded", changed, needs_start);
    }

    /// Stops gracefully: not ready, jobs handed over, requests finished, peers told.
    pub async fn stop(&self) {
        let started = Instant::now();
        let limit = self.state.bounds.get().stop_time.saturating_sub(CLOSE_TIME);
        self.state.leaving.set(true);
        tracing::info!(
            event = "stopping",
            in_flight = self.state.flights.in_flight()
        );
        self.state.jobs.stop().await;
        let mut quiet_since = Instant::now();
        while started.elapsed() < limit {
            if self.state.flights.in_flight() > 0 {
                quiet_since = Instant::now();
            }
            let is_noticed = started.elapsed() >= NOTICE_TIME.min(limit);
            if is_noticed {
                self.drain.send_replace(true);
            }
            if is_noticed && quiet_since.elapsed() >= QUIET_TIME {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        self.close.send_replace(true);
        self.peers.announce_leaving().await;
        tracing::info!(event = "stopped", cut = self.state.flights.in_flight());
    }
}

fn build_state(
    settings: EdgeSettings,
    platform: &EdgePlatform,
    clock: Arc<dyn Clock>,
    incarnation: Incarnation,
) -> anyhow::Result<EdgeState> {
    let view = DocumentView::default();
    let dispatcher = SharedDispatcher::new(SharedParts {
        vm: settings.vm.id.clone(),
        domain: settings.vm.domain.clone(),
        region: settings.vm.region.clone(),
        regions: settings.regions.clone(),
        clock: Arc::clone(&clock),
    });
    let codec = Rc::clone(&platform.codec);
    let peer_client = Rc::new(PeerClient::new());
    let rows = Rc::new(ProxiedRows::new(
        Rc::clone(&platform.rows),
        Rc::clone(&peer_client),
        Arc::clone(&clock),
    ));
    let caller = RelayCaller::new(
        Arc::new(dispatcher.clone()),
        Arc::clone(&clock),
        codec.names().clone(),
        RelayLimits::default(),
    );
    let jobs = JobService::start(JobParts {
        local_owner: JobOwner {
            vm: settings.vm.id.clone(),
            incarnation,
        },
        store: JobStore::new(Rc::clone(&rows) as Rc<dyn PartitionStore>),
        caller: caller.clone(),
        view: view.clone(),
        clock: Arc::clone(&clock),
        settings: JobSettings {
            result_retention: settings.bounds.results_time,
            stop_timeout: HAND_OVER_TIME,
        },
    });
    Ok(EdgeState {
        bounds: Cell::new(settings.bounds),
        settings,
        incarnation,
        limiter: SharedLimiter::new(view.clone(), Arc::clone(&clock)),
        clock,
        view,
        dispatcher,
        caller,
        jobs,
        codec,
        rows,
        peer_client,
        meters: EdgeMeters::new()?,
        targets: RefCell::default(),
        targets_at: Cell::new(None),
        is_reader: Cell::new(true),
        changed: Notify::new(),
        leaving: Cell::new(false),
        was_ready: Cell::new(false),
        flights: InFlightCounter::default(),
    })
}

/// A part of a core in whole percent, for comparing VMs.
fn whole_percent(percent: f64) -> u32 {
    (0..=10_000)
        .take_while(|whole| f64::from(*whole) <= percent)
        .last()
        .unwrap_or(0)
}
