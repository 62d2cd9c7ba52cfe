//! Batch jobs of requests.
//!
//! A job is accepted by one conditional write of its head and its items. The head names the VM that runs it; every
//! result is listed by a write that has the head's version as its condition. So a VM that lost a job, by a takeover
//! that it has not noticed or by a write that comes late, lists nothing any more.

mod book;
mod calls;
mod codec;
mod commit;
mod run;
mod service;
mod store;
mod stored;

pub use book::{FleetSnapshot, JobBook, KnownJob};
pub use codec::{JobCall, JobCodec, ResultPage, Submission};
pub use commit::{CommitQueue, CommitStep};
pub use service::{HeadUpdate, JobDependencies, JobService, JobSettings};
pub use store::JobStore;
pub use stored::{ItemState, JobHead, JobItem, JobOwner, ListedResult, part_of};
