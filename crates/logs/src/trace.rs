//! The trace of one request, item or job, joined from the logs of several VMs.

use serde_json::Value;
use std::collections::BTreeSet;

/// Fields by which lines name what they are about.
const ID_FIELDS: [&str; 3] = ["request", "item", "job"];
/// Fields that are not worth repeating in a trace.
const FRAME_FIELDS: [&str; 3] = ["timestamp", "level", "event"];

/// One line of a trace.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TraceLine {
    /// Time, as the VM wrote it.
    pub time: String,
    /// Log that it comes from.
    pub source: String,
    /// Event.
    pub event: String,
    /// Its other fields.
    pub fields: String,
}

/// The lines about `id` in `logs` (name and text of each), in order of time. The lines about a job include those about
/// its items, and the lines about an item those about its job.
#[must_use]
pub fn request_trace<'a>(
    id: &str,
    logs: impl Iterator<Item = (&'a str, &'a str)>,
) -> Vec<TraceLine> {
    let lines: Vec<(&str, Value)> = logs
        .flat_map(|(source, text)| text.lines().map(move |line| (source, line)))
        .filter_map(|(source, line)| Some((source, read_line(line)?)))
        .collect();
    let mut ids = BTreeSet::from([id.to_owned()]);
    for (_, line) in &lines {
        let names = names_of(line);
        if names.contains(&id) {
            ids.extend(names.into_iter().map(str::to_owned));
        }
    }
    let mut trace: Vec<TraceLine> = lines
        .iter()
        .filter(|(_, line)| names_of(line).iter().any(|name| ids.contains(*name)))
        .map(|(source, line)| trace_line(source, line))
        .collect();
    trace.sort();
    trace
}

/// The JSON object in a line, which may have other text before it.
fn read_line(line: &str) -> Option<Value> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn names_of(line: &Value) -> Vec<&str> {
    let names = ID_FIELDS
        .iter()
        .filter_map(|field| line.get(*field)?.as_str());
    names.collect()
}

fn trace_line(source: &str, line: &Value) -> TraceLine {
    let text = |field: &str| {
        line.get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned()
    };
    let fields = line.as_object().into_iter().flatten();
    let others = fields.filter(|(name, _)| !FRAME_FIELDS.contains(&name.as_str()));
    let others: Vec<String> = others
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    TraceLine {
        time: text("timestamp"),
        source: source.to_owned(),
        event: text("event"),
        fields: others.join(" "),
    }
}
