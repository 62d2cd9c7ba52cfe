//! Targets that follow a script and record every call.

use super::store::FaultStore;
use bytes::Bytes;
use futures_util::FutureExt as _;
use futures_util::future::LocalBoxFuture;
use plantainmill_core::Problem;
use plantainmill_proxy::{BufferedResponse, StreamingResponse, TargetCaller, TargetRequest};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// What a target does with one call.
#[derive(Clone, Debug)]
pub enum CallPlan {
    Respond(u16),
    Fail(Problem),
    /// The calling VM dies during the call.
    KillVm,
}

/// Latency of a target by item number.
type LatencyFn = dyn Fn(u64) -> Duration;
/// Outcome of a call by item number, count of earlier calls of the item, and calls in flight.
type PlanFn = dyn Fn(u64, u32, usize) -> CallPlan;

/// Behaviour of all targets, and a record of their calls.
pub struct TargetScript {
    pub plan: RefCell<Rc<PlanFn>>,
    pub latency: Cell<Duration>,
    /// Latency by item; overrides `latency`.
    pub item_latency: RefCell<Option<Rc<LatencyFn>>>,
    /// Number of calls by item number.
    pub calls: RefCell<BTreeMap<u64, u32>>,
    pub running: Cell<usize>,
    pub last_start: Cell<Option<tokio::time::Instant>>,
    pub response_bytes: Cell<usize>,
}

impl Default for TargetScript {
    fn default() -> TargetScript {
        TargetScript {
            plan: RefCell::new(Rc::new(|_, _, _| CallPlan::Respond(200))),
            latency: Cell::new(Duration::from_millis(100)),
            item_latency: RefCell::default(),
            calls: RefCell::default(),
            running: Cell::default(),
            last_start: Cell::default(),
            response_bytes: Cell::default(),
        }
    }
}

impl TargetScript {
    pub fn set_plan(&self, plan: impl Fn(u64, u32, usize) -> CallPlan + 'static) {
        *self.plan.borrow_mut() = Rc::new(plan);
    }

    pub fn set_latency(&self, latency: impl Fn(u64) -> Duration + 'static) {
        *self.item_latency.borrow_mut() = Some(Rc::new(latency));
    }

    fn latency_of(&self, item: u64) -> Duration {
        let by_item = self.item_latency.borrow();
        by_item
            .as_ref()
            .map_or(self.latency.get(), |latency| latency(item))
    }

    pub fn calls_of(&self, item: u64) -> u32 {
        self.calls.borrow().get(&item).copied().unwrap_or(0)
    }

    pub fn total_calls(&self) -> u64 {
        self.calls
            .borrow()
            .values()
            .map(|count| u64::from(*count))
            .sum()
    }
}

/// Counts a call as running until it ends or is dropped.
struct RunningCall(Rc<TargetScript>);

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

/// Target caller of one VM.
pub struct ScriptedCaller {
    pub script: Rc<TargetScript>,
    pub store: FaultStore,
}

impl TargetCaller for ScriptedCaller {
    fn call(
        &self,
        request: TargetRequest,
    ) -> LocalBoxFuture<'_, Result<BufferedResponse, Problem>> {
        let script = Rc::clone(&self.script);
        async move {
            let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap();
            let item = body["n"].as_u64().unwrap();
            let earlier = script.calls_of(item);
            *script.calls.borrow_mut().entry(item).or_default() += 1;
            script.last_start.set(Some(tokio::time::Instant::now()));
            script.running.set(script.running.get() + 1);
            let running = RunningCall(Rc::clone(&script));
            tokio::time::sleep(script.latency_of(item)).await;
            let plan = Rc::clone(&script.plan.borrow());
            let plan = plan(item, earlier, script.running.get());
            if matches!(plan, CallPlan::KillVm) {
                self.store.set_dead(true);
            }
            drop(running);
            while self.store.is_dead() {
                tokio::time::sleep(Duration::from_secs(1)).await;
            }
            match plan {
                CallPlan::Fail(problem) => Err(problem),
                CallPlan::Respond(status) => Ok(respond(item, status, script.response_bytes.get())),
                CallPlan::KillVm => Ok(respond(item, 200, 0)),
            }
        }
        .boxed_local()
    }

    fn stream(&self, _: TargetRequest) -> LocalBoxFuture<'_, Result<StreamingResponse, Problem>> {
        unreachable!("batch items are read whole")
    }
}

fn respond(item: u64, status: u16, padding: usize) -> BufferedResponse {
    let text = "x".repeat(padding);
    BufferedResponse {
        status,
        headers: Vec::new(),
        body: Bytes::from(format!("{{\"n\":{item},\"text\":\"{text}\"}}")),
        target: None,
        first_byte: Duration::ZERO,
    }
}
