//! Exports the counters in the state reports of mesh, membership and configuration as one metric.

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

/// Interval at which the exported values are refreshed.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Values of the labels `part` and `event` of a counter, such as `mesh` and `sent_bytes`.
type EventName = (&'static str, String);

/// Latest values of the counters. Clones share the same values.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventCounts {
    values: Arc<Mutex<BTreeMap<EventName, u64>>>,
}

impl EventCounts {
    /// Registers the observable counter `plantainmill_events`, with the labels `part` and `event`.
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

    fn update(&self, part: &'static str, counters: &impl Serialize) {
        let encoded = serde_json::to_value(counters).unwrap_or_default();
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        flatten("", &encoded, &mut |event, value| {
            values.insert((part, event), value);
        });
    }

    /// Polls the state reports of the services until the VM's arbiter stops.
    pub(crate) async fn poll_reports(
        self,
        mesh: Addr<MeshService>,
        membership: Addr<MembershipService>,
        config: Addr<ConfigService>,
    ) {
        loop {
            if let Ok(report) = mesh.send(DumpMesh).await {
                self.update("mesh", &report.totals);
            }
            if let Ok(report) = membership.send(DumpMembers).await {
                self.update("membership", &report.counters);
            }
            if let Ok(report) = config.send(DumpConfig).await {
                self.update("config", &report["counters"]);
                self.update("config", &report["service"]);
            }
            actix_rt::time::sleep(REFRESH_INTERVAL).await;
        }
    }
}

/// Calls `record` for `value` and every nested value that is an unsigned integer. Its name is the path of field names,
/// joined by `_`.
fn flatten(name: &str, value: &Value, record: &mut impl FnMut(String, u64)) {
    if let Some(number) = value.as_u64() {
        record(name.to_owned(), number);
    }
    let Some(fields) = value.as_object() else {
        return;
    };
    for (field, nested) in fields {
        let path = if name.is_empty() {
            field.clone()
        } else {
            format!("{name}_{field}")
        };
        flatten(&path, nested, record);
    }
}
