//! Changes of the configuration: the entries of its log.

use crate::model::{
    DefaultsSpec, ExceptionSpec, FleetConfig, KeySpec, OrganisationSpec, ServiceSpec, TargetSpec,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Sections that hold resources by id.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResourceKind {
    /// Exceptions to the defaults.
    Exception,
    /// Caller keys.
    Key,
    /// Organisations.
    Organisation,
    /// Services.
    Service,
    /// Targets.
    Target,
}

/// One edit of a change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "edit")]
pub enum ConfigEdit {
    /// Writes an exception.
    PutException {
        /// Identifier.
        id: CompactString,
        /// Content.
        spec: ExceptionSpec,
    },
    /// Writes a key.
    PutKey {
        /// Identifier.
        id: CompactString,
        /// Content.
        spec: KeySpec,
    },
    /// Writes an organisation.
    PutOrganisation {
        /// Identifier.
        id: CompactString,
        /// Content.
        spec: OrganisationSpec,
    },
    /// Writes a service.
    PutService {
        /// Identifier.
        id: CompactString,
        /// Content.
        spec: ServiceSpec,
    },
    /// Writes a target.
    PutTarget {
        /// Identifier.
        id: CompactString,
        /// Content.
        spec: TargetSpec,
    },
    /// Writes the defaults.
    PutDefaults {
        /// Content.
        spec: DefaultsSpec,
    },
    /// Deletes a resource; a missing one is no error.
    Delete {
        /// Section.
        kind: ResourceKind,
        /// Identifier.
        id: CompactString,
    },
}

/// One entry of the log: edits that take effect together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigChange {
    /// Version of the fleet after the change.
    pub version: u64,
    /// Drawn by the VM that accepted the change; tells whether a write with a lost answer took effect.
    pub operation: CompactString,
    /// Operator who made it.
    pub author: CompactString,
    /// Unix seconds.
    pub time: u64,
    /// Why.
    pub reason: String,
    /// What.
    pub edits: Vec<ConfigEdit>,
}

impl FleetConfig {
    /// The configuration after `change`. The caller has checked that the versions follow.
    #[must_use]
    pub fn applied(&self, change: &ConfigChange) -> FleetConfig {
        let mut config = self.clone();
        config.apply(change);
        config
    }

    /// Applies `change` in place. A section that readers still share is copied once; later changes reuse the copy.
    pub fn apply(&mut self, change: &ConfigChange) {
        self.version = change.version;
        for edit in &change.edits {
            self.apply_edit(edit);
        }
    }

    fn apply_edit(&mut self, edit: &ConfigEdit) {
        match edit {
            ConfigEdit::PutException { id, spec } => {
                Arc::make_mut(&mut self.exceptions).insert(id.clone(), spec.clone());
            }
            ConfigEdit::PutKey { id, spec } => self.put_key(id, spec),
            ConfigEdit::PutOrganisation { id, spec } => {
                Arc::make_mut(&mut self.organisations).insert(id.clone(), spec.clone());
            }
            ConfigEdit::PutService { id, spec } => {
                Arc::make_mut(&mut self.services).insert(id.clone(), spec.clone());
            }
            ConfigEdit::PutTarget { id, spec } => {
                Arc::make_mut(&mut self.targets).insert(id.clone(), spec.clone());
            }
            ConfigEdit::PutDefaults { spec } => self.defaults = Arc::new(spec.clone()),
            ConfigEdit::Delete { kind, id } => self.delete(*kind, id),
        }
    }

    fn put_key(&mut self, id: &CompactString, spec: &KeySpec) {
        let index = Arc::make_mut(&mut self.keys_by_hash);
        if let Some(old) = Arc::make_mut(&mut self.keys).insert(id.clone(), spec.clone()) {
            index.remove(&old.hash);
        }
        index.insert(spec.hash.clone(), id.clone());
    }

    fn delete(&mut self, kind: ResourceKind, id: &CompactString) {
        match kind {
            ResourceKind::Exception => {
                Arc::make_mut(&mut self.exceptions).remove(id);
            }
            ResourceKind::Key => {
                if let Some(old) = Arc::make_mut(&mut self.keys).remove(id) {
                    Arc::make_mut(&mut self.keys_by_hash).remove(&old.hash);
                }
            }
            ResourceKind::Organisation => {
                Arc::make_mut(&mut self.organisations).remove(id);
            }
            ResourceKind::Service => {
                Arc::make_mut(&mut self.services).remove(id);
            }
            ResourceKind::Target => {
                Arc::make_mut(&mut self.targets).remove(id);
            }
        }
    }
}
