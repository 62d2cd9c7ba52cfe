//! The interfaces to where documents and targets come from.

use crate::document::FleetDocument;
use crate::registry::TargetEntry;
use plantainmill_provider::PlatformFuture;

/// Names one state of the kept document; none is named zero.
pub type DocumentRevision = u64;

/// What a read of the document shows.
#[derive(Clone, Debug, PartialEq)]
pub enum DocumentRead {
    /// There is no document yet.
    Missing,
    /// It is still the one of the stamp that was given.
    Unchanged,
    /// Another document, with its stamp.
    Changed(Box<FleetDocument>, DocumentRevision),
}

/// Where the fleet document is kept.
pub trait DocumentSource {
    /// Reads the newest document, if it is another one than that of `known`. A large document need not be sent again
    /// to show that it is still the newest one.
    fn read_document(&self, known: DocumentRevision) -> PlatformFuture<'_, DocumentRead>;
}

/// Where targets register themselves.
pub trait TargetSource {
    /// Reads all targets that are registered now. Entries that name no usable target are left out.
    fn read_targets(&self) -> PlatformFuture<'_, Vec<TargetEntry>>;
}
