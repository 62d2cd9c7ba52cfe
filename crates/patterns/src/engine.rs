//! A target: slots, a queue in order of arrival, and work that takes time.

use std::collections::VecDeque;

/// Identifies a request in the whole world.
pub type CallId = u64;

#[derive(Clone, Copy, Debug)]
struct EngineCall {
    id: CallId,
    /// Milliseconds until the first event, then until the end.
    first_left: u64,
    rest_left: u64,
}

/// What happened to a call in a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineEvent {
    /// Its first event was sent.
    First(CallId),
    /// It ended.
    Done(CallId),
}

/// A target.
#[derive(Debug)]
pub struct Engine {
    slots: usize,
    running: Vec<EngineCall>,
    queue: VecDeque<EngineCall>,
    /// Whether it works; a dead one keeps nothing.
    pub is_alive: bool,
}

impl Engine {
    /// An idle target.
    pub fn new(slots: usize) -> Engine {
        Engine {
            slots,
            running: Vec::new(),
            queue: VecDeque::new(),
            is_alive: true,
        }
    }

    /// Takes a call that needs `first` milliseconds until its first event and `rest` from then to its end.
    pub fn take(&mut self, id: CallId, first: u64, rest: u64) {
        self.queue.push_back(EngineCall {
            id,
            first_left: first,
            rest_left: rest,
        });
    }

    /// Drops a call. Gives what was left of its work.
    pub fn cancel(&mut self, id: CallId) -> Option<u64> {
        if let Some(position) = self.queue.iter().position(|call| call.id == id) {
            return self.queue.remove(position).map(|call| call.rest_left);
        }
        let position = self.running.iter().position(|call| call.id == id)?;
        Some(self.running.remove(position).rest_left)
    }

    /// Loses all calls, and gives them.
    pub fn crash(&mut self) -> Vec<CallId> {
        self.is_alive = false;
        let calls = self.running.drain(..).chain(self.queue.drain(..));
        calls.map(|call| call.id).collect()
    }

    /// Slots without a call.
    pub fn free(&self) -> usize {
        self.slots.saturating_sub(self.running.len())
    }

    /// Calls that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Works for `step` milliseconds.
    pub fn work(&mut self, step: u64) -> Vec<EngineEvent> {
        while self.running.len() < self.slots
            && let Some(call) = self.queue.pop_front()
        {
            self.running.push(call);
        }
        let mut updates = Vec::new();
        for call in &mut self.running {
            if call.first_left > 0 {
                call.first_left = call.first_left.saturating_sub(step);
                if call.first_left == 0 {
                    updates.push(EngineEvent::First(call.id));
                }
            } else {
                call.rest_left = call.rest_left.saturating_sub(step);
                if call.rest_left == 0 {
                    updates.push(EngineEvent::Done(call.id));
                }
            }
        }
        self.running
            .retain(|call| call.first_left > 0 || call.rest_left > 0);
        updates
    }
}
