//! Computes the edits between two configurations and describes edits as text.

use crate::change::{ConfigEdit, ResourceKind};
use crate::model::FleetConfig;
use compact_str::CompactString;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Edits that turn the content of `from` into that of `to`.
#[must_use]
pub fn edits_between(from: &FleetConfig, to: &FleetConfig) -> Vec<ConfigEdit> {
    use ResourceKind::{Exception, Key, Organisation, Service, Target};
    let mut edits = Vec::new();
    if from.defaults != to.defaults {
        let spec = to.defaults.as_ref().clone();
        edits.push(ConfigEdit::PutDefaults { spec });
    }
    let puts = &mut edits;
    add_puts(puts, &from.services, &to.services, |id, spec| {
        ConfigEdit::PutService { id, spec }
    });
    add_puts(puts, &from.targets, &to.targets, |id, spec| {
        ConfigEdit::PutTarget { id, spec }
    });
    add_puts(puts, &from.organisations, &to.organisations, |id, spec| {
        ConfigEdit::PutOrganisation { id, spec }
    });
    add_puts(puts, &from.keys, &to.keys, |id, spec| ConfigEdit::PutKey {
        id,
        spec,
    });
    add_puts(puts, &from.exceptions, &to.exceptions, |id, spec| {
        ConfigEdit::PutException { id, spec }
    });
    add_deletes(puts, Exception, &from.exceptions, &to.exceptions);
    add_deletes(puts, Key, &from.keys, &to.keys);
    add_deletes(puts, Organisation, &from.organisations, &to.organisations);
    add_deletes(puts, Target, &from.targets, &to.targets);
    add_deletes(puts, Service, &from.services, &to.services);
    edits
}

fn add_puts<T: Clone + PartialEq>(
    edits: &mut Vec<ConfigEdit>,
    from: &BTreeMap<CompactString, T>,
    to: &BTreeMap<CompactString, T>,
    put: impl Fn(CompactString, T) -> ConfigEdit,
) {
    let changed = to.iter().filter(|(id, spec)| from.get(*id) != Some(spec));
    edits.extend(changed.map(|(id, spec)| put(id.clone(), spec.clone())));
}

fn add_deletes<T>(
    edits: &mut Vec<ConfigEdit>,
    kind: ResourceKind,
    from: &BTreeMap<CompactString, T>,
    to: &BTreeMap<CompactString, T>,
) {
    let removed = from.keys().filter(|id| !to.contains_key(*id));
    edits.extend(removed.map(|id| ConfigEdit::Delete {
        kind,
        id: id.clone(),
    }));
}

/// Describes the effect of `edits` on `config`: one line for each edit that changes something, starting with `+` for a
/// new resource, `~` for a changed one and `-` for a deleted one.
#[must_use]
pub fn describe_edits(config: &FleetConfig, edits: &[ConfigEdit]) -> Vec<String> {
    let lines = edits.iter().map(|edit| describe_edit(config, edit));
    lines.flatten().collect()
}

fn describe_edit(config: &FleetConfig, edit: &ConfigEdit) -> Option<String> {
    let path = edit_path(edit);
    match edit {
        ConfigEdit::PutException { id, spec } => {
            describe_put(&path, config.exceptions.get(id), spec)
        }
        ConfigEdit::PutKey { id, spec } => describe_put(&path, config.keys.get(id), spec),
        ConfigEdit::PutOrganisation { id, spec } => {
            describe_put(&path, config.organisations.get(id), spec)
        }
        ConfigEdit::PutService { id, spec } => describe_put(&path, config.services.get(id), spec),
        ConfigEdit::PutTarget { id, spec } => describe_put(&path, config.targets.get(id), spec),
        ConfigEdit::PutDefaults { spec } => {
            describe_put(&path, Some(config.defaults.as_ref()), spec)
        }
        ConfigEdit::Delete { kind, id } => {
            let exists = config.contains(*kind, id);
            exists.then(|| format!("- {path}"))
        }
    }
}

/// Section and id of the resource that an edit writes or deletes, such as `organisations.kandy`.
#[must_use]
pub fn edit_path(edit: &ConfigEdit) -> String {
    match edit {
        ConfigEdit::PutException { id, .. } => format!("exceptions.{id}"),
        ConfigEdit::PutKey { id, .. } => format!("keys.{id}"),
        ConfigEdit::PutOrganisation { id, .. } => format!("organisations.{id}"),
        ConfigEdit::PutService { id, .. } => format!("services.{id}"),
        ConfigEdit::PutTarget { id, .. } => format!("targets.{id}"),
        ConfigEdit::PutDefaults { .. } => "defaults".to_owned(),
        ConfigEdit::Delete { kind, id } => format!("{}.{id}", kind.section()),
    }
}

fn describe_put<T: PartialEq + Serialize>(path: &str, old: Option<&T>, new: &T) -> Option<String> {
    let Some(old) = old else {
        return Some(format!("+ {path}: {}", describe_fields(None, new)));
    };
    if old == new {
        return None;
    }
    Some(format!("~ {path}: {}", describe_fields(Some(old), new)))
}

fn describe_fields<T: Serialize>(old: Option<&T>, new: &T) -> String {
    let to_value = |spec: &T| serde_json::to_value(spec).unwrap_or_default();
    let old = old.map(to_value);
    let new = to_value(new);
    let Value::Object(fields) = &new else {
        return new.to_string();
    };
    let parts = fields.iter().filter_map(|(name, value)| {
        let before = old.as_ref().and_then(|old| old.get(name));
        match before {
            Some(before) if before == value => None,
            Some(before) => Some(format!("{name} {before} -> {value}")),
            None => Some(format!("{name} {value}")),
        }
    });
    parts.collect::<Vec<String>>().join(", ")
}
