//! Diagnostic dump of the ticketed policy.

use super::DispatchNode;
use plantainmill_core::Uptime;
use serde_json::{Map, Value, json};

impl DispatchNode {
    /// Views of the targets, queues of this VM as an owner, and counters, for the diagnostic dump.
    #[must_use]
    pub fn dump(&self, now: Uptime) -> Value {
        let targets = self.views.iter().filter(|view| !view.removed);
        let targets = targets.map(|view| {
            let row = json!({
                "owner": view.owner,
                "silent": view.silent,
                "leaving": view.is_leaving(now),
                "ejected": view.health.is_ejected(),
                "in_flight": view.in_flight,
                "unticketed": view.unticketed,
                "standing": view.holding.ids(false).len(),
                "load": view.relative_load(now),
            });
            (view.id.to_string(), row)
        });
        let queues = self.queues.iter().map(|(target, queue)| {
            let (online, batch) = queue.waiting();
            let row = json!({
                "limit": queue.limit(now),
                "tickets": queue.issued_tickets(),
                "online_waiting": online,
                "batch_waiting": batch,
                "leaving": queue.is_leaving(),
            });
            (target.to_string(), row)
        });
        json!({
            "policy": "ticketed",
            "targets": targets.collect::<Map<_, _>>(),
            "queues": queues.collect::<Map<_, _>>(),
            "pending": self.pending.len(),
            "running": self.running.len(),
            "counts": self.counts,
        })
    }
}
