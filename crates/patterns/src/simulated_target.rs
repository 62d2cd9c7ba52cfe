//! A simulated target: a number of slots and a first-in, first-out queue of requests.

use std::collections::VecDeque;

/// Identifies a request within one simulation. A retried request gets a new one.
pub type CallId = u64;

#[derive(Clone, Copy, Debug)]
struct TargetCall {
    id: CallId,
    /// Remaining milliseconds until the first event, and from there to the end.
    first_remaining_ms: u64,
    rest_remaining_ms: u64,
}

/// Progress of a request within one step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetEvent {
    /// The first event was sent.
    FirstEvent(CallId),
    /// The request has completed.
    Completed(CallId),
}

/// A target with a fixed number of slots.
#[derive(Debug)]
pub struct SimulatedTarget {
    slots: usize,
    running: Vec<TargetCall>,
    queue: VecDeque<TargetCall>,
    /// False from a crash until the target is restored.
    pub is_alive: bool,
}

impl SimulatedTarget {
    /// Creates an idle target.
    pub fn new(slots: usize) -> SimulatedTarget {
        SimulatedTarget {
            slots,
            running: Vec::new(),
            queue: VecDeque::new(),
            is_alive: true,
        }
    }

    /// Queues a request that needs `first_ms` to its first event and `rest_ms` from there to its end.
    pub fn enqueue(&mut self, id: CallId, first_ms: u64, rest_ms: u64) {
        self.queue.push_back(TargetCall {
            id,
            first_remaining_ms: first_ms,
            rest_remaining_ms: rest_ms,
        });
    }

    /// Removes a request and returns the milliseconds that remained after its first event.
    pub fn cancel(&mut self, id: CallId) -> Option<u64> {
        if let Some(position) = self.queue.iter().position(|call| call.id == id) {
            return self
                .queue
                .remove(position)
                .map(|call| call.rest_remaining_ms);
        }
        let position = self.running.iter().position(|call| call.id == id)?;
        Some(self.running.remove(position).rest_remaining_ms)
    }

    /// Takes the target down and returns the requests that were lost.
    pub fn crash(&mut self) -> Vec<CallId> {
        self.is_alive = false;
        let calls = self.running.drain(..).chain(self.queue.drain(..));
        calls.map(|call| call.id).collect()
    }

    /// Number of idle slots.
    pub fn idle_slots(&self) -> usize {
        self.slots.saturating_sub(self.running.len())
    }

    /// Number of requests that wait for a slot.
    pub fn queued_calls(&self) -> usize {
        self.queue.len()
    }

    /// Moves queued requests into idle slots, then advances all running requests by `step_ms`.
    pub fn advance(&mut self, step_ms: u64) -> Vec<TargetEvent> {
        while self.running.len() < self.slots
            && let Some(call) = self.queue.pop_front()
        {
            self.running.push(call);
        }
        let mut events = Vec::new();
        for call in &mut self.running {
            if call.first_remaining_ms > 0 {
                call.first_remaining_ms = call.first_remaining_ms.saturating_sub(step_ms);
                if call.first_remaining_ms == 0 {
                    events.push(TargetEvent::FirstEvent(call.id));
                }
            } else {
                call.rest_remaining_ms = call.rest_remaining_ms.saturating_sub(step_ms);
                if call.rest_remaining_ms == 0 {
                    events.push(TargetEvent::Completed(call.id));
                }
            }
        }
        self.running
            .retain(|call| call.first_remaining_ms > 0 || call.rest_remaining_ms > 0);
        events
    }
}
