//! Traces from several logs.

use plantainmill_logs::request_trace;

const FIRST: &str = r#"{"timestamp":"2026-01-01T00:00:02Z","event":"send_failed","request":"r1","target":"t1"}
not a line
{"timestamp":"2026-01-01T00:00:01Z","event":"job_accepted","job":"j1"}
{"timestamp":"2026-01-01T00:00:04Z","event":"request_ended","request":"r2"}"#;
const SECOND: &str = r#"  12.5 vm-2 {"timestamp":"2026-01-01T00:00:03Z","event":"request_relayed","request":"r1"}
{"timestamp":"2026-01-01T00:00:05Z","event":"item_ended","job":"j1","item":"i1"}
{"timestamp":"2026-01-01T00:00:04Z","event":"item_interrupted","item":"i1","target":"t2"}"#;

fn events(id: &str) -> Vec<String> {
    let logs = [("vm-1", FIRST), ("vm-2", SECOND)];
    let trace = request_trace(id, logs.into_iter());
    trace
        .into_iter()
        .map(|line| format!("{} {}", line.source, line.event))
        .collect()
}

/// Guards against a trace that lacks lines, has lines of other requests, or is out of order.
#[test]
fn one_request() {
    assert_eq!(events("r1"), ["vm-1 send_failed", "vm-2 request_relayed"]);
    assert!(events("unknown").is_empty());
}

/// Guards against a trace that does not connect an item on one VM with its job on another.
#[test]
fn item_and_job() {
    let all_events = [
        "vm-1 job_accepted",
        "vm-2 item_interrupted",
        "vm-2 item_ended",
    ];
    assert_eq!(events("i1"), all_events);
    assert_eq!(events("j1"), all_events);
}
