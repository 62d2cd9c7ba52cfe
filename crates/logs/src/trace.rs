//! Traces of one request, item or job, merged from the logs of several VMs.

use serde_json::Value;
use std::collections::BTreeSet;

/// Fields with the id of the request, item or job that a line is about.
const ID_FIELDS: [&str; 3] = ["request", "item", "job"];
/// Fields that [`TraceLine::fields`] omits: the level, and those that have a field of their own.
const OMITTED_FIELDS: [&str; 3] = ["timestamp", "level", "event"];

/// One line of a trace.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TraceLine {
    /// Timestamp, as the VM wrote it. Lines are ordered by it as text.
    pub time: String,
    /// Name of the log that holds the line.
    pub source: String,
    /// Value of the field `event`; empty if the line has none.
    pub event: String,
    /// The remaining fields as `name=value`, separated by spaces.
    pub fields: String,
}

/// Returns the lines about `id` in `logs`, which are pairs of name and text, in the order of time. A line is also
/// included if it has an id that occurs together with `id` in some line. So the trace of a job has the lines about its
/// items, and the trace of an item those about its job.
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
        let line_ids = ids_of(line);
        if line_ids.contains(&id) {
            ids.extend(line_ids.into_iter().map(str::to_owned));
        }
    }
    let mut trace: Vec<TraceLine> = lines
        .iter()
        .filter(|(_, line)| ids_of(line).iter().any(|id| ids.contains(*id)))
        .map(|(source, line)| trace_line(source, line))
        .collect();
    trace.sort();
    trace
}

/// Decodes the JSON object in a line. Text before it is skipped.
fn read_line(line: &str) -> Option<Value> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn ids_of(line: &Value) -> Vec<&str> {
    let ids = ID_FIELDS
        .iter()
        .filter_map(|field| line.get(*field)?.as_str());
    ids.collect()
}

fn trace_line(source: &str, line: &Value) -> TraceLine {
    let text = |field: &str| {
        line.get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
            .to_owned()
    };
    let fields = line.as_object().into_iter().flatten();
    let others = fields.filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
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
