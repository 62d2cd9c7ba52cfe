//! Exports the counters that mesh, membership and configuration keep in their reports.

use actix::Addr;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;
use plantainmill_config::{ConfigService, DumpConfig};
use plantainmill_membership::{DumpMembers, MembershipService};
use plantainmill_mesh::{DumpMesh, MeshService};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Age of exported counters at most.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Part and name of a counter, such as `mesh` and `sent_bytes`.
type EventName = (&'static str, String);

/// Latest values of the counters.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventCounts {
    values: Arc<Mutex<BTreeMap<EventName, u64>>>,
}

impl EventCounts {
    /// Registers the instrument `plantainmill_events`, with the labels `part` and `event`.
    pub(crate) fn register(meter: &Meter) -> EventCounts {
        let counts = EventCounts::default();
        let observed = counts.clone();
        meter
            .u64_observable_counter("plantainmill_events")
            .with_description("Events counted by mesh, membership and configuration")
            .with_callback(move |observer| {
                observed.observe(|value, labels| observer.observe(value, labels));
            })
            .build();
        counts
    }

    fn observe(&self, mut record: impl FnMut(u64, &[KeyValue])) {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        for ((part, event), value) in values.iter() {
            let labels = [
                KeyValue::new("part", *part),
                KeyValue::new("event", event.clone()),
            ];
            record(*value, &labels);
        }
    }

    fn store(&self, part: &'static str, counters: &impl Serialize) {
        let encoded = serde_json::to_value(counters).unwrap_or_default();
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        flatten("", &encoded, &mut |event, value| {
            values.insert((part, event), value);
        });
    }

    /// Follows the reports of the parts until the VM's arbiter stops.
    pub(crate) async fn follow(
        self,
        mesh: Addr<MeshService>,
        membership: Addr<MembershipService>,
        config: Addr<ConfigService>,
    ) {
        loop {
            if let Ok(report) = mesh.send(DumpMesh).await {
                self.store("mesh", &report.totals);
            }
            if let Ok(report) = membership.send(DumpMembers).await {
                self.store("membership", &report.counters);
            }
            if let Ok(report) = config.send(DumpConfig).await {
                self.store("config", &report["counters"]);
                self.store("config", &report["service"]);
            }
            actix_rt::time::sleep(REFRESH_INTERVAL).await;
        }
    }
}

/// Calls `record` for every number below `value`, with the names on the way joined by `_`.
fn flatten(name: &str, value: &Value, record: &mut impl FnMut(String, u64)) {
    if let Some(number) = value.as_u64() {
        record(name.to_owned(), number);
    }
    let Some(fields) = value.as_object() else {
        return;
    };
    for (field, inner) in fields {
        let path = if name.is_empty() {
            field.clone()
        } else {
            format!("{name}_{field}")
        };
        flatten(&path, inner, record);
    }
}
