//! The actor that maintains the lease, observes engines and sends orders.

use crate::lease::{LeaseAction, LeaseRow, PlacementLease};
use crate::planner::{PlacementPlanner, PlannedOrder, TargetReport};
use actix::prelude::*;
use compact_str::{CompactString, format_compact};
use opentelemetry::metrics::{Counter, Meter};
use plantainmill_config::ConfigView;
use plantainmill_core::{Clock, DomainName, TargetId, Uptime, VmId};
use plantainmill_provider::{
    CommitOutcome, StoreError, TableStore, TableWrite, TargetEngine, WeightGrant, WeightStore,
};
use plantainmill_timer::{Subscribe, Tick, TimerService};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// Time between reads of the lease row and polls of the engines.
const ROUND_INTERVAL: Duration = Duration::from_secs(5);

/// Parameters of [`PlacementService::new`].
pub struct PlacementOptions {
    /// Identifier of this VM, written to the lease row.
    pub vm: VmId,
    /// Failure domain of this VM; only its targets receive orders.
    pub domain: DomainName,
    /// Minimum time between loads, from the domain's fixed share of the weight store's rate.
    pub load_interval: Duration,
    /// Configuration in force, read in every round.
    pub view: ConfigView,
    /// Table service that stores the lease row.
    pub table: Arc<dyn TableStore>,
    /// Weight store, which grants or postpones each load.
    pub weights: Arc<dyn WeightStore>,
    /// Control interface of the engines.
    pub engines: Arc<dyn TargetEngine>,
    /// Clock that lease terms are counted on.
    pub clock: Arc<dyn Clock>,
    /// Timer service that starts the rounds.
    pub timer: Addr<TimerService>,
    /// Meter that creates the order counters.
    pub meter: Meter,
}

/// Controller of one failure domain. It sends orders only while its VM holds the lease.
pub struct PlacementService {
    options: PlacementOptions,
    lease_key: CompactString,
    lease: PlacementLease,
    planner: PlacementPlanner,
    last_epoch: Option<u64>,
    sent_orders: Counter<u64>,
    failed_orders: Counter<u64>,
}

/// Releases the lease if it is held and stops the actor.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct StopPlacement;

/// Requests the domain and the epoch of the held lease as JSON for diagnostics.
#[derive(Debug, Message)]
#[rtype(result = "Value")]
pub struct DumpPlacement;

impl PlacementService {
    /// Creates a service that does not hold the lease. Start the actor to begin.
    #[must_use]
    pub fn new(options: PlacementOptions) -> PlacementService {
        let sent_orders = options
            .meter
            .u64_counter("plantainmill_placement_orders")
            .with_description("Orders sent to engines")
            .build();
        let failed_orders = options
            .meter
            .u64_counter("plantainmill_placement_orders_failed")
            .with_description("Orders that were refused or whose answer was lost")
            .build();
        PlacementService {
            lease_key: format_compact!("placement/{}", options.domain),
            lease: PlacementLease::new(options.vm.clone()),
            planner: PlacementPlanner::new(options.domain.clone(), options.load_interval),
            last_epoch: None,
            sent_orders,
            failed_orders,
            options,
        }
    }

    fn start_round(&mut self, context: &mut Context<Self>) {
        let table = Arc::clone(&self.options.table);
        let key = self.lease_key.clone();
        let read = async move { table.get(&key).await }.into_actor(self);
        let handled = read.map(|outcome, service, context| match outcome {
            Ok(row) => service.handle_row(row.map(|row| (row.value, row.revision)), context),
            Err(error) => tracing::debug!(%error, "failed to read the placement lease"),
        });
        context.spawn(handled);
        self.poll_engines(context);
    }

    fn handle_row(&mut self, row: Option<(Value, u64)>, context: &mut Context<Self>) {
        let parsed = match row {
            None => None,
            Some((value, revision)) => match serde_json::from_value::<LeaseRow>(value) {
                Ok(row) => Some((row, revision)),
                Err(error) => {
                    tracing::error!(%error, key = %self.lease_key, "malformed placement lease row");
                    return;
                }
            },
        };
        let now = self.options.clock.uptime();
        if let Some(action) = self.lease.observe(parsed, now) {
            self.write_row(action, context);
        }
    }

    fn write_row(&mut self, action: LeaseAction, context: &mut Context<Self>) {
        let sent_at = self.options.clock.uptime();
        let table = Arc::clone(&self.options.table);
        let write = lease_write(&self.lease_key, &action);
        let commit = async move { table.commit(write).await }.into_actor(self);
        let handled = commit.map(move |outcome, service, context| {
            service.handle_commit(&action, &outcome, sent_at, context);
        });
        context.spawn(handled);
    }

    /// A lost response needs no handling. The next read shows whether the write took effect. If an acquisition did, the
    /// row names this VM with an epoch that it does not hold, and that lease expires like any other.
    fn handle_commit(
        &mut self,
        action: &LeaseAction,
        outcome: &Result<CommitOutcome, StoreError>,
        sent_at: Uptime,
        context: &mut Context<Self>,
    ) {
        if let Ok(CommitOutcome::Committed { revision }) = outcome {
            self.lease.record_write(&action.row, *revision, sent_at);
            self.send_orders(context);
        }
    }

    fn poll_engines(&mut self, context: &mut Context<Self>) {
        let now = self.options.clock.uptime();
        if self.lease.epoch(now).is_none() {
            return;
        }
        let config = self.options.view.load();
        self.planner.retain(&config);
        let engines: Vec<_> = self
            .planner
            .engines(&config)
            .map(|(id, target)| (id.clone(), target.address))
            .collect();
        for (target, address) in engines {
            let engines = Arc::clone(&self.options.engines);
            let report = async move { engines.load_report(address).await }.into_actor(self);
            let handled = report.map(move |outcome, service, _| {
                if let Ok(load) = outcome {
                    let requested_at = now;
                    service
                        .planner
                        .observe(&target, TargetReport { load, requested_at });
                }
            });
            context.spawn(handled);
        }
    }

    fn send_orders(&mut self, context: &mut Context<Self>) {
        let now = self.options.clock.uptime();
        let epoch = self.lease.epoch(now);
        if epoch != self.last_epoch {
            tracing::info!(?epoch, domain = %self.options.domain, "placement lease changed");
            self.last_epoch = epoch;
        }
        let (Some(epoch), Some(acquired_at)) = (epoch, self.lease.acquired_at(now)) else {
            return;
        };
        let config = self.options.view.load();
        for order in self.planner.plan(&config, epoch, acquired_at, now) {
            self.send_order(order, context);
        }
    }

    fn send_order(&mut self, planned: PlannedOrder, context: &mut Context<Self>) {
        let weights = Arc::clone(&self.options.weights);
        let engines = Arc::clone(&self.options.engines);
        let target = planned.target.clone();
        self.sent_orders.add(1, &[]);
        let clock = Arc::clone(&self.options.clock);
        let lease_expires_at = self.lease.expires_at().unwrap_or_default();
        let call = async move {
            if let Some(outcome) = request_weight_grant(weights.as_ref(), &planned).await {
                return outcome;
            }
            // The weight store may have been slow. An order after the lease has expired could revert an order of the
            // successor at an engine that ignores fencing tokens.
            if clock.uptime() >= lease_expires_at {
                return OrderOutcome::Failed;
            }
            match engines.order(planned.address, planned.order).await {
                Ok(true) => OrderOutcome::Accepted,
                _ => OrderOutcome::Failed,
            }
        };
        let handled = call
            .into_actor(self)
            .map(move |outcome, service, _| service.finish_order(&target, outcome));
        context.spawn(handled);
    }

    fn finish_order(&mut self, target: &TargetId, outcome: OrderOutcome) {
        let now = self.options.clock.uptime();
        if let OrderOutcome::Deferred(wait) = outcome {
            self.planner.defer_loads(wait, now);
        }
        let accepted = outcome == OrderOutcome::Accepted;
        if !accepted {
            self.failed_orders.add(1, &[]);
        }
        self.planner.finish(target, accepted, now);
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderOutcome {
    Accepted,
    Failed,
    Deferred(Duration),
}

/// Requests a grant from the weight store. Returns the outcome of the order if it is not granted.
async fn request_weight_grant(
    weights: &dyn WeightStore,
    planned: &PlannedOrder,
) -> Option<OrderOutcome> {
    match weights.request(&planned.order.model).await {
        Ok(WeightGrant::Granted) => None,
        Ok(WeightGrant::Wait(wait)) => Some(OrderOutcome::Deferred(wait)),
        Err(_) => Some(OrderOutcome::Failed),
    }
}

fn lease_write(key: &str, action: &LeaseAction) -> TableWrite {
    let value = json!(action.row);
    TableWrite::new()
        .expect(key, action.expected)
        .put(key, value)
}

impl Actor for PlacementService {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.options.timer.do_send(Subscribe {
            interval: ROUND_INTERVAL,
            recipient: context.address().recipient(),
        });
        self.start_round(context);
    }
}

impl Handler<Tick> for PlacementService {
    type Result = ();

    fn handle(&mut self, _: Tick, context: &mut Self::Context) {
        self.start_round(context);
    }
}

impl Handler<StopPlacement> for PlacementService {
    type Result = ResponseActFuture<Self, ()>;

    fn handle(&mut self, _: StopPlacement, _: &mut Self::Context) -> Self::Result {
        let table = Arc::clone(&self.options.table);
        let write = self
            .lease
            .release()
            .map(|action| lease_write(&self.lease_key, &action));
        let released = async move {
            if let Some(write) = write {
                // If the release fails, the successor has to wait for the lease to expire.
                let _ = table.commit(write).await;
            }
        };
        Box::pin(
            released
                .into_actor(self)
                .map(|(), _, context: &mut Context<Self>| context.stop()),
        )
    }
}

impl Handler<DumpPlacement> for PlacementService {
    type Result = MessageResult<DumpPlacement>;

    fn handle(&mut self, _: DumpPlacement, _: &mut Self::Context) -> Self::Result {
        let now = self.options.clock.uptime();
        let held = self.lease.epoch(now);
        MessageResult(json!({"domain": self.options.domain, "lease_epoch": held}))
    }
}
