//! Interface to the platform's formats of request headers, job submissions and job results.

use actix_web::http::header::HeaderMap;
use compact_str::CompactString;
use plantainmill_core::PartId;
use plantainmill_jobs::JobCodec;
use plantainmill_proxy::relay::HeaderNames;
use std::time::Duration;

/// Metadata of a request, as decoded from its headers. Absent or malformed values are `None`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Id that the caller gave the request; repeats of a request have the same id.
    pub id: Option<CompactString>,
    /// Time that the caller waits for the response, counted from the arrival of the request.
    pub timeout: Option<Duration>,
    /// Hash of the prompt parts that are shared with other requests.
    pub prefix_hash: Option<u64>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PartId>,
    /// Number of the last event that the caller received from an interrupted stream.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of that stream.
    pub resumes: Option<CompactString>,
}

impl RequestHead {
    /// Whether the request continues a stream of which the caller has events.
    #[must_use]
    pub fn continues_stream(&self) -> bool {
        self.last_event.is_some_and(|last_event| last_event > 0)
    }
}

/// Decodes callers' requests and encodes what they receive.
pub trait RequestCodec {
    /// Names of the headers exchanged with callers and targets.
    fn names(&self) -> &HeaderNames;
    /// Decodes the metadata in the headers of a request.
    fn read_head(&self, headers: &HeaderMap) -> RequestHead;
    /// Name of the header with the time that a read of a job's results may wait.
    fn wait_header(&self) -> &str;
    /// Codec of job submissions and results.
    fn jobs(&self) -> &dyn JobCodec;
}
