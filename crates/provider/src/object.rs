//! The platform's object store.

use crate::PlatformFuture;
use bytes::Bytes;
use compact_str::CompactString;

/// The object store. Names may contain `/`. A put replaces the whole object.
pub trait ObjectStore: Send + Sync {
    /// Writes an object, replacing one of the same name.
    fn put(&self, name: &str, content: Bytes) -> PlatformFuture<'_, ()>;
    /// Reads an object; `None` if it does not exist.
    fn get(&self, name: &str) -> PlatformFuture<'_, Option<Bytes>>;
    /// Lists the names that start with `prefix`, in order.
    fn list(&self, prefix: &str) -> PlatformFuture<'_, Vec<CompactString>>;
    /// Deletes an object. Deleting a missing object is not an error.
    fn delete(&self, name: &str) -> PlatformFuture<'_, ()>;
}
