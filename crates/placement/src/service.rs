//! The actor that holds the lease, observes engines and sends orders.

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

/// Time between looks at the lease row and the engines.
const ROUND_INTERVAL: Duration = Duration::from_secs(5);

/// What the service works with.
pub struct PlacementOptions {
    /// This VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Time between loads, the domain's fixed share of the weight store's rate.
    pub load_interval: Duration,
    /// Configuration in force.
    pub view: ConfigView,
    /// Table service.
    pub table: Arc<dyn TableStore>,
    /// Weight store.
    pub weights: Arc<dyn WeightStore>,
    /// Control interface of the engines.
    pub engines: Arc<dyn TargetEngine>,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Timer service.
    pub timer: Addr<TimerService>,
    /// Makes the counters.
    pub meter: Meter,
}

/// The controller of one failure domain, when its VM holds the lease.
pub struct PlacementService {
    options: PlacementOptions,
    key: CompactString,
    lease: PlacementLease,
    planner: PlacementPlanner,
    last_epoch: Option<u64>,
    orders: Counter<u64>,
    refused: Counter<u64>,
}

/// Releases the lease and stops.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct StopPlacement;

/// Asks for the state as JSON.
#[derive(Debug, Message)]
#[rtype(result = "Value")]
pub struct DumpPlacement;

impl PlacementService {
    /// A service that holds no lease yet.
    #[must_use]
    pub fn new(options: PlacementOptions) -> PlacementService {
        let orders = options
            .meter
            .u64_counter("plantainmill_placement_orders")
            .with_description("Orders sent to engines")
            .build();
        let refused = options
            .meter
            .u64_counter("plantainmill_placement_orders_failed")
            .with_description("Orders that were refused or whose answer was lost")
            .build();
        PlacementService {
            key: format_compact!("placement/{}", options.domain),
            lease: PlacementLease::new(options.vm.clone()),
            planner: PlacementPlanner::new(options.domain.clone(), options.load_interval),
            last_epoch: None,
            orders,
            refused,
            options,
        }
    }

    fn start_round(&mut self, context: &mut Context<Self>) {
        let table = Arc::clone(&self.options.table);
        let key = self.key.clone();
        let read = async move { table.get(&key).await }.into_actor(self);
        let handled = read.map(|outcome, service, context| match outcome {
            Ok(row) => service.take_row(row.map(|row| (row.value, row.revision)), context),
            Err(error) => tracing::debug!(%error, "the placement lease could not be read"),
        });
        context.spawn(handled);
        self.poll_engines(context);
    }

    fn take_row(&mut self, row: Option<(Value, u64)>, context: &mut Context<Self>) {
        let parsed = match row {
            None => None,
            Some((value, revision)) => match serde_json::from_value::<LeaseRow>(value) {
                Ok(row) => Some((row, revision)),
                Err(error) => {
                    tracing::error!(%error, key = %self.key, "malformed lease row");
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
        let write = lease_write(&self.key, &action);
        let commit = async move { table.commit(write).await }.into_actor(self);
        let handled = commit.map(move |outcome, service, context| {
            service.take_commit(&action, &outcome, sent_at, context);
        });
        context.spawn(handled);
    }

    /// A lost answer needs nothing: the next read shows whether the write took effect, and if it did, the row
    /// names this VM under an epoch it does not hold, which lapses like any other.
    fn take_commit(
        &mut self,
        action: &LeaseAction,
        outcome: &Result<CommitOutcome, StoreError>,
        sent_at: Uptime,
        context: &mut Context<Self>,
    ) {
        if let Ok(CommitOutcome::Committed { revision }) = outcome {
            self.lease.written(&action.row, *revision, sent_at);
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
                    let asked_at = now;
                    service
                        .planner
                        .observe(&target, TargetReport { load, asked_at });
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
        self.orders.add(1, &[]);
        let clock = Arc::clone(&self.options.clock);
        let lapses_at = self.lease.expires_at().unwrap_or_default();
        let call = async move {
            if let Some(ending) = ask_weights(weights.as_ref(), &planned).await {
                return ending;
            }
            // The weight store may have been slow; an order after the lease has lapsed could undo the
            // successor's orders at an engine that ignores the fencing number.
            if clock.uptime() >= lapses_at {
                return OrderEnding::Failed;
            }
            match engines.order(planned.address, planned.order).await {
                Ok(true) => OrderEnding::Accepted,
                _ => OrderEnding::Failed,
            }
        };
        let handled = call
            .into_actor(self)
            .map(move |ending, service, _| service.finish_order(&target, ending));
        context.spawn(handled);
    }

    fn finish_order(&mut self, target: &TargetId, ending: OrderEnding) {
        let now = self.options.clock.uptime();
        if let OrderEnding::Deferred(wait) = ending {
            self.planner.defer_loads(wait, now);
        }
        let accepted = ending == OrderEnding::Accepted;
        if !accepted {
            self.refused.add(1, &[]);
        }
        self.planner.finish(target, accepted, now);
    }
}

/// How an order ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OrderEnding {
    Accepted,
    Failed,
    Deferred(Duration),
}

/// Asks the weight store for leave; gives the ending of the order if there is none.
async fn ask_weights(weights: &dyn WeightStore, planned: &PlannedOrder) -> Option<OrderEnding> {
    match weights.request(&planned.order.model).await {
        Ok(WeightGrant::Granted) => None,
        Ok(WeightGrant::Wait(wait)) => Some(OrderEnding::Deferred(wait)),
        Err(_) => Some(OrderEnding::Failed),
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
            .map(|action| lease_write(&self.key, &action));
        let released = async move {
            if let Some(write) = write {
                // A release that fails costs the successor one lease term.
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
