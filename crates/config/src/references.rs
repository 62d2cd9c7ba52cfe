//! Validates references between resources, on the configuration that results from the edits.

use crate::change::{ConfigChange, ConfigEdit, ResourceKind};
use crate::diff::edit_path;
use crate::model::{FleetConfig, Subject};
use crate::validate::ProblemList;
use compact_str::CompactString;
use plantainmill_core::Problem;

/// Maximum number of referring resources that a problem lists.
const LISTED_REFERRERS: usize = 5;

/// Finds references to resources that do not exist, and deleted resources that others still refer to.
pub(crate) fn check_references(config: &FleetConfig, edits: &[ConfigEdit]) -> Vec<Problem> {
    let after = config.applied(&ConfigChange {
        version: config.version,
        operation: CompactString::default(),
        author: CompactString::default(),
        time: 0,
        reason: String::new(),
        edits: edits.to_vec(),
    });
    let problems = edits.iter().map(|edit| check_edit(&after, edit));
    problems.flatten().collect()
}

fn check_edit(after: &FleetConfig, edit: &ConfigEdit) -> Vec<Problem> {
    let mut list = ProblemList::new(edit_path(edit));
    match edit {
        ConfigEdit::PutTarget { id, .. } => {
            if let Some(spec) = after.targets.get(id) {
                let exists = after.services.contains_key(&spec.service);
                list.require(exists, "service", format!("no service {}", spec.service));
            }
        }
        ConfigEdit::PutKey { id, .. } => {
            if let Some(spec) = after.keys.get(id) {
                let organisation = &spec.organisation;
                let exists = after.organisations.contains_key(organisation);
                let reason = format!("no organisation {organisation}");
                list.require(exists, "organisation", reason);
                let owner = after.keys_by_hash.get(&spec.hash);
                let unique = owner == Some(id) && !has_duplicate_hash(after, id, &spec.hash);
                list.require(unique, "hash", "another key has the same hash");
            }
        }
        ConfigEdit::PutException { id, .. } => {
            if let Some(spec) = after.exceptions.get(id) {
                let (exists, subject) = match &spec.subject {
                    Subject::Organisation(id) => (after.organisations.contains_key(id), id),
                    Subject::Service(id) => (after.services.contains_key(id), id),
                };
                list.require(
                    exists,
                    "subject",
                    format!("no organisation or service {subject}"),
                );
            }
        }
        ConfigEdit::Delete { kind, id } => check_delete(&mut list, after, *kind, id),
        ConfigEdit::PutDefaults { .. }
        | ConfigEdit::PutOrganisation { .. }
        | ConfigEdit::PutService { .. } => {}
    }
    list.into_problems()
}

/// Whether a key other than `id` has `hash`. The index by hash holds only one of several keys with the same hash.
fn has_duplicate_hash(after: &FleetConfig, id: &str, hash: &str) -> bool {
    // If the index has as many entries as there are keys, all hashes are unique. Without this shortcut, the scan below
    // makes validation of a large file quadratic in the number of keys.
    if after.keys.len() == after.keys_by_hash.len() {
        return false;
    }
    let mut others = after.keys.iter().filter(|(other, _)| *other != id);
    others.any(|(_, spec)| spec.hash == hash)
}

fn check_delete(list: &mut ProblemList, after: &FleetConfig, kind: ResourceKind, id: &str) {
    if after.contains(kind, id) {
        return;
    }
    let referrers: Vec<String> = match kind {
        ResourceKind::Organisation => {
            let keys = after.keys.iter();
            let own_keys = keys.filter(|(_, spec)| spec.organisation == id);
            let keys = own_keys.map(|(key, _)| format!("keys.{key}"));
            keys.chain(exceptions_of(after, &Subject::Organisation(id.into())))
                .take(LISTED_REFERRERS)
                .collect()
        }
        ResourceKind::Service => {
            let targets = after.targets_of(id);
            let targets = targets.map(|(target, _)| format!("targets.{target}"));
            targets
                .chain(exceptions_of(after, &Subject::Service(id.into())))
                .take(LISTED_REFERRERS)
                .collect()
        }
        ResourceKind::Exception | ResourceKind::Key | ResourceKind::Target => Vec::new(),
    };
    let reason = format!("is still used by {}", referrers.join(", "));
    list.require(referrers.is_empty(), "", reason);
}

fn exceptions_of<'a>(
    after: &'a FleetConfig,
    subject: &'a Subject,
) -> impl Iterator<Item = String> + 'a {
    let exceptions = after.exceptions.iter();
    let own = exceptions.filter(move |(_, spec)| spec.subject == *subject);
    own.map(|(id, _)| format!("exceptions.{id}"))
}
