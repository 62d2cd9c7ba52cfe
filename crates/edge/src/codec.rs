//! The form in which callers describe their requests.

use actix_web::http::header::HeaderMap;
use compact_str::CompactString;
use plantainmill_jobs::JobCodec;
use plantainmill_proxy::relay::CallNames;
use std::time::Duration;

/// What a caller says of its request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestHead {
    /// Id of the request.
    pub id: Option<CompactString>,
    /// Time that the caller waits.
    pub deadline: Option<Duration>,
    /// Hash of the prompt's shared parts.
    pub prefix_hash: Option<u64>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
}

/// Translates between callers' forms and requests.
pub trait RequestCodec {
    /// Names of headers.
    fn names(&self) -> &CallNames;
    /// What the headers of a request say of it.
    fn read_head(&self, headers: &HeaderMap) -> RequestHead;
    /// Name of the header with the time to wait for results of a job.
    fn wait_header(&self) -> &str;
    /// The forms of jobs.
    fn jobs(&self) -> &dyn JobCodec;
}
