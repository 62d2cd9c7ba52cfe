//! Format of jobs and results in the calls of callers, which each platform adapter implements.

use crate::stored::{JobItem, ListedResult};
use bytes::Bytes;
use plantainmill_core::{ItemId, JobId};
use std::time::Duration;

/// A call of a caller on an existing job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobCall {
    /// Reads results.
    Results {
        /// Job whose results are read.
        job: JobId,
        /// Position of the first result to return; 0 is the first result of the job.
        after: u64,
        /// Maximum time to wait while there is no result at `after`.
        wait: Duration,
    },
    /// Reads the request body of an item.
    Body {
        /// Job that the item belongs to.
        job: JobId,
        /// Item whose body is read.
        item: ItemId,
    },
    /// Ends the job; its remaining items are not run.
    End {
        /// Job to end.
        job: JobId,
    },
}

/// A parsed job submission.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submission {
    /// Items in the order of the submission.
    pub items: Vec<JobItem>,
}

/// Consecutive results of a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResultPage {
    /// Number of items in the job, listed or not.
    pub total: u64,
    /// Position after the last result of the page, from which the caller continues.
    pub next: u64,
    /// Results in list order; empty if there are none yet.
    pub results: Vec<ListedResult>,
}

/// Converts between the platform's format for callers and jobs.
pub trait JobCodec {
    /// Parses a request on a job from its method, path, query and wait header. Returns `None` for any other request.
    fn read_call(
        &self,
        method: &str,
        path: &str,
        query: &str,
        wait: Option<&str>,
    ) -> Option<JobCall>;
    /// Parses a job from the body of a request.
    ///
    /// # Errors
    ///
    /// Returns the reason why the body is not a valid job.
    fn read_submission(&self, body: &[u8]) -> Result<Submission, String>;
    /// Serialises a page of results as a response body.
    fn write_page(&self, page: &ResultPage) -> Bytes;
    /// Number of bytes that a result adds to a serialised page.
    fn result_size(&self, result: &ListedResult) -> usize;
    /// Maximum size of a serialised page, in bytes.
    fn page_limit(&self) -> usize;
}
