//! Interfaces to the sources of the fleet document and of the registered targets.

use crate::document::FleetDocument;
use crate::registry::TargetEntry;
use plantainmill_provider::PlatformFuture;

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

/// Source of the fleet document.
pub trait DocumentSource {
    /// Reads the latest document unless its revision is `known`; zero always reads it. A large document need not be
    /// transferred again only to show that it is unchanged.
    fn read_document(&self, known: DocumentRevision) -> PlatformFuture<'_, DocumentRead>;
}

/// Source of the registered targets.
pub trait TargetSource {
    /// Reads all registered targets. Entries that do not describe a usable target are omitted.
    fn read_targets(&self) -> PlatformFuture<'_, Vec<TargetEntry>>;
}
