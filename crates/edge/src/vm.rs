//! Start, reload and graceful shutdown of a VM.

use crate::codec::RequestCodec;
use crate::control;
use crate::ingress;
use crate::listen::{self, StopSignals};
use crate::message::VmRow;
use crate::metrics::{EdgeMetrics, METRIC_PREFIX};
use crate::peer_client::PeerClient;
use crate::peer_exchange::PeerExchange;
use crate::proxied_rows::ProxiedRows;
use crate::read_turns::ReadTurns;
use crate::settings::EdgeSettings;
use crate::state::EdgeState;
use crate::store_poll::{follow_targets, poll_document};
use crate::stream_records::StreamRecords;
use crate::token_limiter::TokenLimiter;
use anyhow::Context as _;
use plantainmill_core::{Clock, InFlightCounter, Incarnation, SystemClock, incarnation_at};
use plantainmill_dispatch::quarantine::{PartitionQuarantines, keep_quarantines};
use plantainmill_dispatch::shared::SharedParts;
use plantainmill_dispatch::{
    LimitDispatcher, PartQuarantine, QuarantineDispatcher, SharedDispatcher, TargetLimits,
};
use plantainmill_jobs::{JobMetrics, JobOwner, JobParts, JobService, JobSettings, JobStore};
use plantainmill_paths::TargetPaths;
use plantainmill_provider::PartitionStore;
use plantainmill_proxy::TargetDialer;
use plantainmill_proxy::relay::{RelayCaller, RelayLimits};
use plantainmill_routing::{DocumentSource, DocumentView, TargetSource};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep};

/// Time within which the balancer notices that a VM is not ready: two probes, one second apart.
const READINESS_PROPAGATION_TIME: Duration = Duration::from_millis(2_600);
/// Part of the stop timeout that is reserved for closing connections.
const CLOSE_RESERVE: Duration = Duration::from_millis(700);
/// Time without requests in flight after which a stopping VM may end. A request may still be in transit to it.
const IDLE_GRACE_TIME: Duration = Duration::from_millis(250);
/// Interval at which a stopping VM checks the requests in flight.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for handing over jobs when the VM stops.
const JOB_HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// The platform's interfaces that a VM uses.
pub struct EdgePlatform {
    /// Source of the operator's document: routes, organisations with their keys, and limits on callers.
    pub document: Rc<dyn DocumentSource>,
    /// Registry of the targets.
    pub targets: Rc<dyn TargetSource>,
    /// Store of the rows of jobs and VMs.
    pub rows: Rc<dyn PartitionStore>,
    /// Codec of callers' requests, including job submissions and results.
    pub codec: Rc<dyn RequestCodec>,
    /// Opens connections to targets.
    pub dialer: Rc<dyn TargetDialer>,
}

/// A running VM. Its listeners and tasks run on the thread that started it.
pub struct EdgeVm {
    state: Rc<EdgeState>,
    peers: Rc<PeerExchange>,
    drain: watch::Sender<bool>,
    close: watch::Sender<bool>,
}

impl EdgeVm {
    /// Starts a VM on the current thread: opens its listeners and spawns its tasks.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be opened or a metric cannot be registered.
    pub async fn start(settings: EdgeSettings, platform: EdgePlatform) -> anyhow::Result<EdgeVm> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let incarnation = incarnation_at(clock.wall());
        let listen = settings.listen;
        let socket = UdpSocket::bind(listen.peers)
            .await
            .with_context(|| format!("cannot listen on {}", listen.peers))?;
        let own_row = VmRow {
            vm: settings.vm.id.clone(),
            incarnation,
            domain: settings.vm.domain.clone(),
            region: settings.vm.region.clone(),
            peers: listen.peers,
            control: listen.control,
            processor_percent: whole_percent(settings.vm.processor_percent),
            reads_batches: true,
            reads_job_changes: true,
            holds_pools: true,
        };
        let state = Rc::new(build_state(settings, &platform, clock, incarnation)?);
        let (drain, drained) = watch::channel(false);
        let (close, closed) = watch::channel(false);
        let stop = StopSignals {
            drain: drained,
            close: closed,
        };
        let clone_shared = || (Rc::clone(&state), stop.clone());
        let (shared_state, signals) = clone_shared();
        listen::serve(listen.callers, shared_state, signals, ingress::handle).await?;
        let (shared_state, signals) = clone_shared();
        listen::serve(listen.readiness, shared_state, signals, control::readiness).await?;
        let (shared_state, signals) = clone_shared();
        listen::serve(listen.control, shared_state, signals, control::handle).await?;
        if let Some(metrics) = listen.metrics {
            let (shared_state, signals) = clone_shared();
            listen::serve(metrics, shared_state, signals, control::metrics).await?;
        }
        actix_rt::spawn(poll_document(Rc::clone(&state), platform.document));
        actix_rt::spawn(follow_targets(Rc::clone(&state), platform.targets));
        actix_rt::spawn(state.streams.clone().maintain());
        actix_rt::spawn(keep_quarantines(
            state.quarantine.clone(),
            PartitionQuarantines(Rc::clone(&state.rows) as Rc<dyn PartitionStore>),
            Arc::clone(&state.clock),
        ));
        let peers = PeerExchange::start(Rc::clone(&state), socket, own_row);
        Ok(EdgeVm {
            state,
            peers,
            drain,
            close,
        })
    }

    /// Applies changed settings. The key validity and the stop timeout take effect at once. The result retention and all
    /// settings other than the bounds need a restart; for the latter, the log says so.
    pub fn reload(&self, settings: &EdgeSettings) {
        let current = &self.state.settings;
        let needs_start = settings.vm != current.vm
            || settings.regions != current.regions
            || settings.listen != current.listen
            || settings.store != current.store
            || settings.bounds.evacuation.is_some() != current.bounds.evacuation.is_some()
            || settings.bounds.cold != current.bounds.cold;
        let changed = self.state.bounds.replace(settings.bounds) != settings.bounds;
        tracing::info!(event = "settings_reloaded", changed, needs_start);
    }

    /// Shuts down gracefully: reports not ready, hands over jobs, drains requests in flight, and announces the stop to
    /// peers.
    pub async fn stop(&self) {
        let started = Instant::now();
        let limit = self
            .state
            .bounds
            .get()
            .stop_timeout
            .saturating_sub(CLOSE_RESERVE);
        self.state.is_stopping.set(true);
        tracing::info!(
            event = "stopping",
            in_flight = self.state.requests_in_flight.in_flight()
        );
        self.state.jobs.stop().await;
        let mut idle_since = Instant::now();
        while started.elapsed() < limit {
            if self.state.requests_in_flight.in_flight() > 0 {
                idle_since = Instant::now();
            }
            let is_propagated = started.elapsed() >= READINESS_PROPAGATION_TIME.min(limit);
            if is_propagated {
                self.drain.send_replace(true);
            }
            if is_propagated && idle_since.elapsed() >= IDLE_GRACE_TIME {
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        self.state.is_closing.set(true);
        self.state.relay_caller.set_closing();
        self.close.send_replace(true);
        self.peers.announce_stop().await;
        tracing::info!(
            event = "stopped",
            cut = self.state.requests_in_flight.in_flight()
        );
    }
}

fn build_state(
    settings: EdgeSettings,
    platform: &EdgePlatform,
    clock: Arc<dyn Clock>,
    incarnation: Incarnation,
) -> anyhow::Result<EdgeState> {
    let dispatcher = SharedDispatcher::new(SharedParts {
        vm: settings.vm.id.clone(),
        domain: settings.vm.domain.clone(),
        region: settings.vm.region.clone(),
        regions: settings.regions.clone(),
        clock: Arc::clone(&clock),
    });
    let metrics = EdgeMetrics::new()?;
    let view = build_view(&settings, &metrics);
    dispatcher.register_metrics(&metrics.meter(), METRIC_PREFIX);
    let codec = Rc::clone(&platform.codec);
    let peer_client = Rc::new(PeerClient::new());
    let rows = Rc::new(ProxiedRows::new(
        Rc::clone(&platform.rows),
        Rc::clone(&peer_client),
        Arc::clone(&clock),
    ));
    let quarantine = PartQuarantine::new(
        &settings.vm.id,
        Arc::clone(&clock),
        &metrics.meter(),
        METRIC_PREFIX,
    );
    let limits = build_limits(&settings, Arc::clone(&clock), &metrics);
    let paths = TargetPaths::new(
        &settings.vm.id,
        Arc::clone(&clock),
        &metrics.meter(),
        METRIC_PREFIX,
    );
    let policy = LimitDispatcher::new(Arc::new(dispatcher.clone()), limits.clone());
    let policy = QuarantineDispatcher::new(Arc::new(policy), quarantine.clone());
    let streams = StreamRecords::new(
        Rc::clone(&rows) as Rc<dyn PartitionStore>,
        view.clone(),
        Arc::clone(&clock),
        &metrics.meter(),
    );
    let relay_caller = RelayCaller::new(
        Arc::new(policy),
        Arc::clone(&clock),
        codec.names().clone(),
        RelayLimits::default(),
    );
    let relay_caller = relay_caller
        .with_paths(paths.clone(), Rc::clone(&platform.dialer))
        .with_recorder(Rc::new(streams.clone()))
        .with_hedging(settings.hedging.clone(), &metrics.meter(), METRIC_PREFIX)
        .with_meter(&metrics.meter(), METRIC_PREFIX);
    let jobs = JobService::start(JobParts {
        local_owner: JobOwner {
            vm: settings.vm.id.clone(),
            incarnation,
        },
        store: JobStore::new(Rc::clone(&rows) as Rc<dyn PartitionStore>),
        caller: relay_caller.clone(),
        view: view.clone(),
        clock: Arc::clone(&clock),
        settings: JobSettings {
            result_retention: settings.bounds.result_retention,
            stop_timeout: JOB_HANDOVER_TIMEOUT,
        },
        metrics: JobMetrics::new(&metrics.meter(), METRIC_PREFIX),
    });
    let limiter = TokenLimiter::new(&settings, &view, &clock, incarnation, &metrics);
    let read_turns = ReadTurns::new(clock.uptime());
    Ok(EdgeState {
        bounds: Cell::new(settings.bounds),
        settings,
        incarnation,
        usage: limiter.usage(),
        limiter,
        clock,
        view,
        dispatcher,
        quarantine,
        limits,
        paths,
        streams,
        relay_caller,
        jobs,
        codec,
        rows,
        peer_client,
        metrics,
        targets: RefCell::default(),
        target_history: RefCell::default(),
        targets_confirmed_at: Cell::new(None),
        is_reader: Cell::new(true),
        read_turns,
        read_notify: Notify::new(),
        update_notify: Notify::new(),
        is_stopping: Cell::new(false),
        is_closing: Cell::new(false),
        was_ready: Cell::new(false),
        requests_in_flight: InFlightCounter::default(),
    })
}

/// The view of the document, with evacuated failure domains where the settings have a bound for them.
fn build_view(settings: &EdgeSettings, metrics: &EdgeMetrics) -> DocumentView {
    let view = match settings.bounds.evacuation {
        Some(_) => DocumentView::with_evacuations(),
        None => DocumentView::default(),
    };
    let observed = view.clone();
    let meter = metrics.meter();
    let gauge = meter.u64_observable_gauge(format!("{METRIC_PREFIX}evacuated_domains"));
    gauge
        .with_description("Failure domains whose targets get nothing new")
        .with_callback(move |observer| {
            let count = observed.evacuated_domains().len();
            observer.observe(u64::try_from(count).unwrap_or(u64::MAX), &[]);
        })
        .build();
    view
}

/// The limits of targets, which cover cold ones where the settings have bounds for them.
fn build_limits(
    settings: &EdgeSettings,
    clock: Arc<dyn Clock>,
    metrics: &EdgeMetrics,
) -> TargetLimits {
    let limits = TargetLimits::new(&settings.vm.id, clock, &metrics.meter(), METRIC_PREFIX);
    if let Some(bounds) = settings.bounds.cold {
        limits.set_cold_bounds(bounds);
    }
    limits
}

/// Rounds a percentage down to an integer between 0 and 10,000.
fn whole_percent(percent: f64) -> u32 {
    (0..=10_000)
        .take_while(|whole| f64::from(*whole) <= percent)
        .last()
        .unwrap_or(0)
}
