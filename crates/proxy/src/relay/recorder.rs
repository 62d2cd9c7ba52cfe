//! Interface to what is known of the software versions at which streams began.

use futures_util::future::LocalBoxFuture;
use plantainmill_core::{Problem, ServiceName, VersionName};

/// Remembers at which software version a stream began, so that it goes on at no other one at whichever VM its caller takes
/// it up.
pub trait StreamRecorder {
    /// Version to which new streams of the service should be limited, if others cannot be recorded at present.
    fn preferred_version(&self, service: &ServiceName) -> Option<VersionName>;
    /// Makes it durable that the stream of the request `id` began at `version`. Its first event must not be passed on before.
    fn record_start<'a>(
        &'a self,
        id: &'a str,
        service: &'a ServiceName,
        version: &'a VersionName,
    ) -> LocalBoxFuture<'a, Result<(), Problem>>;
    /// The stream of the request `id` has ended as a whole, so it is not taken up.
    fn record_end(&self, id: &str);
}
