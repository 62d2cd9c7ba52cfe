//! Sends a request to a second target because the first one is slower than usual, and uses the response that comes first.

use super::attempt::{
    AttemptEnd, RaceEnd, TargetAttempt, is_delayed, race_successor, withdraw_attempt,
};
use super::hedge_policy::{HedgePolicy, HedgeSettings};
use super::open::RelayCaller;
use super::progress::CallProgress;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use plantainmill_core::{Executed, TargetId, Uptime};
use plantainmill_dispatch::{TargetTicket, TrafficClass};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The hedges of one VM: the policy and its instruments.
pub(super) struct RelayHedger {
    policy: Arc<Mutex<HedgePolicy>>,
    hedges: Counter<u64>,
    wasted_seconds: Counter<f64>,
}

impl RelayHedger {
    pub fn new(settings: HedgeSettings, now: Uptime, meter: &Meter, prefix: &str) -> RelayHedger {
        let policy = Arc::new(Mutex::new(HedgePolicy::new(settings, now)));
        let observed = Arc::clone(&policy);
        meter
            .f64_observable_gauge(format!("{prefix}hedge_budget"))
            .with_description("Additional sends that this VM may make now")
            .with_callback(move |observer| {
                let policy = observed.lock().unwrap_or_else(PoisonError::into_inner);
                observer.observe(policy.saved_sends(), &[]);
            })
            .build();
        let hedges = meter.u64_counter(format!("{prefix}hedges"));
        let wasted_seconds = meter.f64_counter(format!("{prefix}hedge_wasted_slot_seconds"));
        RelayHedger {
            policy,
            hedges: hedges
                .with_description("Second sends of slow requests, by result")
                .build(),
            wasted_seconds: wasted_seconds
                .with_description("Seconds for which slots worked on responses that were not used")
                .build(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HedgePolicy> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, result: &'static str, wasted: Duration) {
        self.hedges.add(1, &[KeyValue::new("result", result)]);
        self.wasted_seconds.add(wasted.as_secs_f64(), &[]);
    }
}

impl RelayCaller {
    /// Waits for the first events of the first attempt of a request that may be repeated, and sends it to a second target if
    /// they take longer than usual. Returns how the attempt has ended, or `None` if it goes on alone.
    pub(super) async fn hedge_attempt(
        &self,
        progress: &mut CallProgress,
        attempt: &mut TargetAttempt,
    ) -> Option<AttemptEnd> {
        let hedger = self.shared.hedger.clone()?;
        let call = progress.call.clone();
        let is_first = progress.sends == 1 && !progress.has_begun;
        if !is_first || call.class == TrafficClass::Batch || !progress.may_fail_over() {
            return None;
        }
        let sent_at = Instant::now();
        let now = self.shared.clock.uptime();
        let due = sent_at + hedger.lock().record_send(&call.route, now)?;
        if let Ok(end) = timeout_at(due, &mut attempt.first_events).await {
            return Some(AttemptEnd::Ended(end));
        }
        if is_delayed(due) || !hedger.lock().take(&call.route) {
            return None;
        }
        let Some(ticket) = self.acquire_idle(progress, &attempt.ticket.target).await else {
            hedger.lock().give_back(&call.route);
            return None;
        };
        let hedged_at = Instant::now();
        let mut successor = self.begin_attempt(progress, ticket, attempt.last_event);
        match race_successor(&mut attempt.first_events, &mut successor).await {
            RaceEnd::Current(end) => {
                hedger.count("lost", hedged_at.elapsed());
                match end {
                    Ok(first_events) => {
                        withdraw_attempt(progress, successor);
                        Some(AttemptEnd::Ended(Ok(first_events)))
                    }
                    Err(failure) => Some(AttemptEnd::Replaced {
                        successor: Box::new(successor),
                        first_events: None,
                        failure,
                    }),
                }
            }
            RaceEnd::Successor(Ok(first_events)) => {
                hedger.count("won", sent_at.elapsed());
                Some(AttemptEnd::Overtaken {
                    successor: Box::new(successor),
                    first_events,
                })
            }
            RaceEnd::Successor(Err(failure)) => {
                hedger.count("failed", hedged_at.elapsed());
                self.fail_attempt(progress, successor, &failure);
                None
            }
            // The first target has worked longer on the request, so it is the more likely one to answer next.
            RaceEnd::OverlapPassed => {
                hedger.count("lost", hedged_at.elapsed());
                withdraw_attempt(progress, successor);
                None
            }
        }
    }

    /// Records the time to the first response of a request, from which the delays of later hedges follow. The time of one that
    /// a target has failed says nothing about usual responses.
    pub(super) fn record_first_response(&self, progress: &CallProgress) {
        let Some(hedger) = &self.shared.hedger else {
            return;
        };
        let call = &progress.call;
        let is_usual = !progress.has_begun && progress.excluded.is_empty();
        if let (true, Some(sent_at)) = (
            is_usual && call.class == TrafficClass::Online,
            progress.first_sent_at,
        ) {
            let now = self.shared.clock.uptime();
            hedger
                .lock()
                .record_response(&call.route, sent_at.elapsed(), now);
        }
    }

    /// A ticket for another target than `current` that has a slot to spare.
    async fn acquire_idle(
        &self,
        progress: &CallProgress,
        current: &TargetId,
    ) -> Option<TargetTicket> {
        let mut request = progress.call.ticket_request(&progress.excluded);
        if progress.executed != Executed::No || self.check_reachable(&request.regions).is_err() {
            return None;
        }
        request.barred.push(current.clone());
        request.wait_limit = Some(Duration::ZERO);
        request.needs_idle_slot = true;
        request.is_retry = true;
        self.shared.dispatcher.acquire(request).await.ok()
    }
}
