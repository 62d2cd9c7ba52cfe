//! Starts the services of a VM and stops them in order.

use crate::dump::NodeDump;
use crate::events::EventCounts;
use crate::listeners::Listeners;
use crate::target_limits::FleetLimits;
use actix::{Actor as _, Addr};
use plantainmill_admin::{AdminState, NodeMetrics};
use plantainmill_admission::{
    AddressLimiter, KeyAuthenticator, RateParts, RateService, RateSettings, SlotLimiter,
};
use plantainmill_batch::{BatchHandle, BatchParts, BatchService, StopBatch};
use plantainmill_config::{ConfigOptions, ConfigService, ConfigView, ReadyState};
use plantainmill_core::{Clock, Incarnation, SystemClock, incarnation_at};
use plantainmill_dispatch::node::NodeIdentity;
use plantainmill_dispatch::notice::{NoticeParts, NoticeService, NoticeSource};
use plantainmill_dispatch::quarantine::{TableQuarantines, keep_quarantines};
use plantainmill_dispatch::{
    DispatchHandle, DispatchParts, DispatchService, Dispatcher, LimitDispatcher, PartQuarantine,
    QuarantineDispatcher, TargetLimits,
};
use plantainmill_gateway::{DrainState, GatewayParts};
use plantainmill_membership::{
    LeaveFleet, MemberTiming, MemberView, MembershipOptions, MembershipService,
};
use plantainmill_mesh::{
    Channel, FleetSecret, IDLE_LIMIT, MeshOptions, MeshPeer, MeshService, StopMesh,
};
use plantainmill_placement::{PlacementOptions, PlacementService, StopPlacement};
use plantainmill_provider::http::{ClientSettings, HttpEngine, HttpObjects, HttpPlatform};
use plantainmill_provider::{ObjectStore, TableStore};
use plantainmill_proxy::{HttpCaller, TargetCaller};
use plantainmill_settings::{NodeSettings, OperatorKey};
use plantainmill_timer::TimerService;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

/// Interval at which the configuration service is polled until it is ready.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Prefix of the names of the metrics of quarantine and limits.
const METRIC_PREFIX: &str = "dispatch_";
const MINUTE: Duration = Duration::from_mins(1);

/// Settings, clients and views that all services are built from.
struct CommonParts {
    settings: NodeSettings,
    incarnation: Incarnation,
    clock: Arc<dyn Clock>,
    timer: Addr<TimerService>,
    platform: Arc<HttpPlatform>,
    objects: Arc<dyn ObjectStore>,
    metrics: NodeMetrics,
    view: ConfigView,
    members: MemberView,
}

/// The running services of a VM.
pub(crate) struct NodeServices {
    common: CommonParts,
    drain: DrainState,
    mesh: Addr<MeshService>,
    membership: Addr<MembershipService>,
    config: Addr<ConfigService>,
    rates: SlotLimiter,
    dispatch: Arc<dyn Dispatcher>,
    batch: BatchHandle,
    placement: Addr<PlacementService>,
    keys: Arc<KeyAuthenticator>,
}

impl NodeServices {
    /// Starts all services on the current actix system.
    pub(crate) fn start(
        settings: NodeSettings,
        listeners: &Listeners,
        drain: &DrainState,
    ) -> anyhow::Result<NodeServices> {
        let common = CommonParts::new(settings)?;
        let mesh = common.start_mesh(listeners)?;
        let membership = common.start_membership(listeners, &mesh);
        let config = common.start_config(common.own_peer(listeners), &mesh, &membership);
        let events = EventCounts::register(&common.metrics.meter());
        actix_rt::spawn(events.poll_reports(mesh.clone(), membership.clone(), config.clone()));
        let rates = RateService::launch(common.rate_parts(&mesh));
        let dispatch = common.start_dispatch(&mesh);
        let dispatch = common.guard_dispatch(&mesh, &dispatch);
        let batch = BatchService::launch(common.batch_parts(&mesh, &dispatch));
        let placement = PlacementService::new(common.placement_options()).start();
        let keys = KeyAuthenticator::new(common.view.clone(), Arc::clone(&common.clock));
        Ok(NodeServices {
            common,
            drain: drain.clone(),
            mesh,
            membership,
            config,
            rates,
            dispatch,
            batch,
            placement,
            keys: Arc::new(keys),
        })
    }

    /// State of the operator routes.
    pub(crate) fn admin_state(&self, stop: &Arc<Notify>) -> AdminState {
        let operators: Vec<OperatorKey> = self.common.settings.operator_keys.clone();
        AdminState {
            vm: self.common.settings.vm.id.clone(),
            operators: Arc::new(operators),
            view: self.common.view.clone(),
            config: self.config.clone(),
            members: self.common.members.clone(),
            metrics: self.common.metrics.clone(),
            dump: Arc::new(self.dump()),
            stop: Arc::clone(stop),
        }
    }

    fn dump(&self) -> NodeDump {
        NodeDump {
            vm: self.common.settings.vm.clone(),
            incarnation: self.common.incarnation,
            drain: self.drain.clone(),
            mesh: self.mesh.clone(),
            membership: self.membership.clone(),
            config: self.config.clone(),
            rates: Arc::new(self.rates.clone()),
            dispatch: Arc::clone(&self.dispatch),
            batch: self.batch.clone(),
            placement: self.placement.clone(),
            keys: Arc::clone(&self.keys),
        }
    }

    /// Parts that the caller routes are built from.
    pub(crate) fn gateway_parts(&self) -> GatewayParts {
        let limits = &self.common.settings.limits;
        let factory = self.common.caller_factory(&self.dispatch);
        GatewayParts {
            view: self.common.view.clone(),
            keys: Arc::clone(&self.keys),
            limiter: Arc::new(self.rates.clone()),
            addresses: Arc::new(AddressLimiter::default()),
            clock: Arc::clone(&self.common.clock),
            drain: self.drain.clone(),
            body_limit_bytes: limits.body_bytes,
            caller_factory: factory,
        }
    }

    /// Handle of the batch service, for the file and batch routes.
    pub(crate) fn batch_handle(&self) -> BatchHandle {
        self.batch.clone()
    }

    /// Polls the configuration service and marks the VM ready as soon as the configuration is. Readiness is not
    /// withdrawn until the VM leaves. Ends early when the VM leaves before.
    pub(crate) fn watch_readiness(&self) -> impl Future<Output = ()> + 'static {
        let config = self.config.clone();
        let drain = self.drain.clone();
        async move {
            while !drain.is_leaving() {
                let report = config.send(ReadyState).await;
                if report.is_ok_and(|report| report.ready) {
                    drain.set_ready(true);
                    return;
                }
                actix_rt::time::sleep(READINESS_POLL_INTERVAL).await;
            }
        }
    }

    /// Tells the other VMs that this one is leaving.
    pub(crate) async fn announce_leaving(&self) {
        let _ = self.membership.send(LeaveFleet).await;
    }

    /// Stops batch work within `limit`: running items finish, results are committed and chunks are released.
    pub(crate) async fn stop_batch(&self, limit: Duration) {
        let unreleased = self.batch.service().send(StopBatch { limit }).await;
        if let Ok(count @ 1..) = unreleased {
            tracing::warn!(
                count,
                "batch chunks were not released before the stop; other VMs have to take them over"
            );
        }
    }

    /// Stops placement and rate limiting, which release their leases, and then the mesh.
    pub(crate) async fn stop_services(&self) {
        let _ = self.placement.send(StopPlacement).await;
        self.rates.stop().await;
        let _ = self.mesh.send(StopMesh).await;
    }
}

impl CommonParts {
    fn new(settings: NodeSettings) -> anyhow::Result<CommonParts> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let client = ClientSettings {
            timeout: settings.platform.timeout,
            ..ClientSettings::default()
        };
        Ok(CommonParts {
            incarnation: incarnation_at(clock.wall()),
            timer: TimerService::new(Arc::clone(&clock)).start(),
            platform: Arc::new(HttpPlatform::new(&settings.platform.table, client)),
            objects: Arc::new(HttpObjects::new(&settings.platform.objects, client)),
            metrics: NodeMetrics::new()?,
            view: ConfigView::default(),
            members: MemberView::default(),
            clock,
            settings,
        })
    }

    fn table(&self) -> Arc<dyn TableStore> {
        Arc::clone(&self.platform) as Arc<dyn TableStore>
    }

    fn start_mesh(&self, listeners: &Listeners) -> anyhow::Result<Addr<MeshService>> {
        plantainmill_mesh::start(MeshOptions {
            own: self.settings.vm.id.clone(),
            incarnation: self.incarnation,
            secret: FleetSecret::new(self.settings.fleet_secrets.clone()),
            listener: listeners.mesh()?,
            idle_limit: IDLE_LIMIT,
            timer: Some(self.timer.clone()),
        })
    }

    fn own_peer(&self, listeners: &Listeners) -> MeshPeer {
        let vm = &self.settings.vm;
        MeshPeer {
            id: vm.id.clone(),
            domain: vm.domain.clone(),
            region: vm.region.clone(),
            address: listeners.addresses().mesh,
        }
    }

    fn start_membership(
        &self,
        listeners: &Listeners,
        mesh: &Addr<MeshService>,
    ) -> Addr<MembershipService> {
        plantainmill_membership::start(MembershipOptions {
            own: self.own_peer(listeners),
            incarnation: self.incarnation,
            timing: MemberTiming::default(),
            seed: self.incarnation,
            clock: Arc::clone(&self.clock),
            mesh: mesh.clone(),
            timer: self.timer.clone(),
            list: Arc::clone(&self.platform) as _,
            view: self.members.clone(),
        })
    }

    fn start_config(
        &self,
        own: MeshPeer,
        mesh: &Addr<MeshService>,
        membership: &Addr<MembershipService>,
    ) -> Addr<ConfigService> {
        plantainmill_config::start(ConfigOptions {
            own,
            clock: Arc::clone(&self.clock),
            table: self.table(),
            objects: Arc::clone(&self.objects),
            mesh: mesh.clone(),
            membership: membership.clone(),
            members: self.members.clone(),
            timer: self.timer.clone(),
            view: self.view.clone(),
        })
    }

    fn rate_parts(&self, mesh: &Addr<MeshService>) -> RateParts {
        RateParts {
            vm: self.settings.vm.id.clone(),
            domain: self.settings.vm.domain.clone(),
            incarnation: self.incarnation,
            config: self.view.clone(),
            members: self.members.clone(),
            mesh: mesh.clone().recipient(),
            channels: mesh.clone().recipient(),
            timer: self.timer.clone().recipient(),
            table: self.table(),
            vms: Arc::clone(&self.platform) as _,
            clock: Arc::clone(&self.clock),
            meter: self.metrics.meter(),
            settings: RateSettings::default(),
        }
    }

    /// Puts the limits of targets and the quarantine of prompt parts in front of the dispatcher, and starts their exchange
    /// with other VMs.
    fn guard_dispatch(
        &self,
        mesh: &Addr<MeshService>,
        dispatch: &DispatchHandle,
    ) -> Arc<dyn Dispatcher> {
        let vm = &self.settings.vm;
        let (clock, meter) = (Arc::clone(&self.clock), self.metrics.meter());
        let limits = TargetLimits::new(&vm.id, Arc::clone(&clock), &meter, METRIC_PREFIX);
        let quarantine = PartQuarantine::new(&vm.id, Arc::clone(&clock), &meter, METRIC_PREFIX);
        let table = TableQuarantines(self.table());
        actix_rt::spawn(keep_quarantines(quarantine.clone(), table, clock));
        let fleet_limits = FleetLimits {
            limits: limits.clone(),
            config: self.view.clone(),
            members: self.members.clone(),
            vm: vm.id.clone(),
            domain: vm.domain.clone(),
        };
        self.start_notices(mesh, Channel::Limits, Box::new(fleet_limits));
        self.start_notices(mesh, Channel::Quarantine, Box::new(quarantine.clone()));
        let limited = LimitDispatcher::new(Arc::new(dispatch.clone()), limits);
        Arc::new(QuarantineDispatcher::new(Arc::new(limited), quarantine))
    }

    fn start_notices(
        &self,
        mesh: &Addr<MeshService>,
        channel: Channel,
        source: Box<dyn NoticeSource>,
    ) {
        let service = NoticeService::new(NoticeParts {
            source,
            channel,
            members: self.members.clone(),
            mesh: mesh.clone().recipient(),
            channels: mesh.clone().recipient(),
            timer: self.timer.clone().recipient(),
        });
        service.start();
    }

    fn start_dispatch(&self, mesh: &Addr<MeshService>) -> DispatchHandle {
        let vm = &self.settings.vm;
        let service = DispatchService::new(DispatchParts {
            identity: NodeIdentity {
                vm: vm.id.clone(),
                domain: vm.domain.clone(),
                region: vm.region.clone(),
                seed: self.incarnation,
            },
            config: self.view.clone(),
            members: self.members.clone(),
            mesh: mesh.clone().recipient(),
            channels: mesh.clone().recipient(),
            timer: self.timer.clone().recipient(),
            engine: Arc::new(HttpEngine),
            clock: Arc::clone(&self.clock),
            meter: self.metrics.meter(),
        });
        let handle = service.handle();
        service.start();
        handle
    }

    /// A factory that creates one target caller per worker thread.
    fn caller_factory(
        &self,
        dispatch: &Arc<dyn Dispatcher>,
    ) -> plantainmill_gateway::CallerFactory {
        let view = self.view.clone();
        let dispatcher = Arc::clone(dispatch);
        let table = self.table();
        let clock = Arc::clone(&self.clock);
        let meter = self.metrics.meter();
        Arc::new(move || {
            let caller = HttpCaller::new(
                view.clone(),
                Arc::clone(&dispatcher),
                Arc::clone(&table),
                Arc::clone(&clock),
                &meter,
            );
            Rc::new(caller) as Rc<dyn TargetCaller>
        })
    }

    fn batch_parts(&self, mesh: &Addr<MeshService>, dispatch: &Arc<dyn Dispatcher>) -> BatchParts {
        BatchParts {
            vm: self.settings.vm.id.clone(),
            incarnation: self.incarnation,
            config: self.view.clone(),
            members: self.members.clone(),
            mesh_send: mesh.clone().recipient(),
            mesh_register: mesh.clone().recipient(),
            timer: self.timer.clone().recipient(),
            table: self.table(),
            objects: Arc::clone(&self.objects),
            caller: (self.caller_factory(dispatch))(),
            clock: Arc::clone(&self.clock),
            meter: self.metrics.meter(),
        }
    }

    fn placement_options(&self) -> PlacementOptions {
        let loads_per_minute = self.settings.limits.domain_loads_per_minute.max(1);
        let loads_per_minute = u32::try_from(loads_per_minute).unwrap_or(u32::MAX);
        PlacementOptions {
            vm: self.settings.vm.id.clone(),
            domain: self.settings.vm.domain.clone(),
            load_interval: MINUTE / loads_per_minute,
            view: self.view.clone(),
            table: self.table(),
            weights: Arc::clone(&self.platform) as _,
            engines: Arc::new(HttpEngine),
            clock: Arc::clone(&self.clock),
            timer: self.timer.clone(),
            meter: self.metrics.meter(),
        }
    }
}
