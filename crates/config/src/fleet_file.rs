//! Fleet configuration files in TOML.

use crate::body::{defaults_from_body, edit_from_body};
use crate::change::{ConfigEdit, ResourceKind};
use plantainmill_core::{Problem, ResultCode};
use serde_json::Value;

/// Sections of a fleet file, in the order in which their edits are made.
const SECTIONS: [(&str, ResourceKind); 5] = [
    ("services", ResourceKind::Service),
    ("targets", ResourceKind::Target),
    ("organisations", ResourceKind::Organisation),
    ("keys", ResourceKind::Key),
    ("exceptions", ResourceKind::Exception),
];

/// Parses a fleet file into edits.
///
/// # Errors
///
/// Names every error.
pub fn parse_fleet_file(file: &str, text: &str) -> Result<Vec<ConfigEdit>, Vec<Problem>> {
    let document: Value =
        toml::from_str(text).map_err(|error| vec![invalid(file, &error.to_string())])?;
    let Value::Object(mut sections) = document else {
        return Err(vec![invalid(file, "must be a table")]);
    };
    let mut edits = Vec::new();
    let mut problems = Vec::new();
    let mut take = |parsed: Result<ConfigEdit, Problem>| match parsed {
        Ok(edit) => edits.push(edit),
        Err(problem) => problems.push(problem),
    };
    if let Some(defaults) = sections.remove("defaults") {
        take(defaults_from_body(defaults));
    }
    for (section, kind) in SECTIONS {
        let Some(Value::Object(entries)) = sections.remove(section) else {
            continue;
        };
        for (id, body) in entries {
            take(edit_from_body(kind, &id, body));
        }
    }
    for name in sections.keys() {
        take(Err(invalid(name, "is not a known section")));
    }
    if problems.is_empty() {
        Ok(edits)
    } else {
        Err(problems)
    }
}

fn invalid(field: &str, reason: &str) -> Problem {
    Problem::new(ResultCode::ConfigInvalid, reason).with_field(field)
}
