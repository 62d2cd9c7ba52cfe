//! Batch jobs of requests.
//!
//! A job consists of a head record, its items (requests) and its listed results. A conditional write of the head, made
//! when the rows of the items are stored, accepts the job. The head names the VM that runs the job, and every write
//! that lists results is conditional on the version of the head. A result is listed once it is stored at its position
//! in the job's list of results, which then never changes. A VM that has lost a job to a takeover can therefore
//! list no more results, even if it has not noticed the takeover or its write arrives late.

mod calls;
mod catalog;
mod codec;
mod commit;
mod heads;
mod item_output;
mod job_run;
mod metrics;
mod owed;
mod run;
mod service;
mod store;
mod store_step;
mod stored;
mod sweep;
mod takeover;

pub use catalog::{FleetSnapshot, JobCatalog, KnownJob, OrphanedJob};
pub use codec::{JobCall, JobCodec, ResultPage, Submission};
pub use commit::{CommitQueue, CommitStep};
pub use heads::{HeadChanges, HeadProgress};
pub use metrics::JobMetrics;
pub use owed::{OwedItem, OwedState};
pub use service::{HeadUpdate, JobParts, JobService, JobSettings};
pub use store::JobStore;
pub use stored::{ItemState, JobHead, JobItem, JobOwner, ListedResult, partition_of};
