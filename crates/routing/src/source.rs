//! Interfaces to the sources of the fleet document and of the registered targets.

use crate::document::FleetDocument;
use crate::evacuation::EvacuationState;
use crate::follower::TargetRows;
use plantainmill_core::DomainName;
use plantainmill_provider::{PlatformFuture, RowVersion, StoreError};
use std::collections::BTreeMap;
use std::time::Duration;

/// Identifies a revision of the stored document; zero stands for no document.
pub type DocumentRevision = u64;

/// Result of reading the document.
#[derive(Clone, Debug, PartialEq)]
pub enum DocumentRead {
    /// The source has no document yet.
    Missing,
    /// The document still has the revision that the caller knows.
    Unchanged,
    /// Another document, with its revision.
    Changed(Box<FleetDocument>, DocumentRevision),
}

/// Result of reading the document together with the evacuated failure domains.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetRead {
    /// The document, or why it cannot be decoded. The evacuated failure domains are valid all the same.
    pub document: Result<DocumentRead, StoreError>,
    /// Evacuated failure domains; absent if they are as the caller knows them.
    pub evacuations: Option<EvacuationState>,
}

/// Source of the fleet document.
pub trait DocumentSource {
    /// Reads the latest document unless its revision is `known`; zero always reads it. A large document need not be
    /// transferred again only to show that it is unchanged.
    fn read_document(&self, known: DocumentRevision) -> PlatformFuture<'_, DocumentRead>;

    /// Reads the latest document unless its revision is `known`, together with the requests to evacuate the failure
    /// domains in `requests`, whose known versions are given; zero stands for no request. Takes one call of the store
    /// while nothing has changed.
    fn read_fleet<'a>(
        &'a self,
        known: DocumentRevision,
        requests: &'a BTreeMap<DomainName, RowVersion>,
    ) -> PlatformFuture<'a, FleetRead>;
}

/// Result of reading the feed of the registered targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TargetFeed {
    /// The changed rows.
    Changes(TargetRows),
    /// The source no longer has all changes; the whole table has to be read.
    HistoryLost,
}

/// Source of the registered targets.
pub trait TargetSource {
    /// Reads all registered targets if there are at most `limit`; otherwise returns `None`, after little more has been
    /// transferred.
    fn read_few_targets(&self, limit: u32) -> PlatformFuture<'_, Option<TargetRows>>;

    /// Reads all registered targets.
    fn read_targets(&self) -> PlatformFuture<'_, TargetRows>;

    /// Reads the changes after version `after`; waits up to `wait` if there are none. No changes are no proof that
    /// nothing has changed.
    fn follow_targets(&self, after: RowVersion, wait: Duration) -> PlatformFuture<'_, TargetFeed>;
}
