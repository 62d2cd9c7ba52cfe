//! The platform's object store.

use crate::PlatformFuture;
use bytes::Bytes;
use compact_str::CompactString;

/// The object store. Names may contain `/`. A put replaces the object whole.
pub trait ObjectStore: Send + Sync {
    /// Writes an object.
    fn put(&self, name: &str, content: Bytes) -> PlatformFuture<'_, ()>;
    /// Reads an object.
    fn get(&self, name: &str) -> PlatformFuture<'_, Option<Bytes>>;
    /// Names of all objects that start with `prefix`, in order.
    fn list(&self, prefix: &str) -> PlatformFuture<'_, Vec<CompactString>>;
    /// Deletes an object; a missing one is no error.
    fn delete(&self, name: &str) -> PlatformFuture<'_, ()>;
}
