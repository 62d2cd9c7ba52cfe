//! Checks that a connection to a target carries an id once.

/// Describes a line of a VM's log that names a connection which has carried the id of a request more than once; `None` for other
/// lines. A response on it would not tell by its id which of the sends it answers.
#[must_use]
pub fn parse_repeated_id(line: &str, vm: &str) -> Option<String> {
    if !line.contains("id_sends") {
        return None;
    }
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = value.get("fields").unwrap_or(&value);
    let sends = fields.get("id_sends")?.as_u64()?;
    (sends > 1).then(|| format!("{vm}: a connection has carried an id {sends} times: {line}"))
}
