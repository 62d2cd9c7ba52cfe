//! Records of what callers and targets observed.

use plantainmill_stand_in::JobResult;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Kinds of online requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// Idempotent, with a streamed response.
    Stream,
    /// Not idempotent: must execute at most once.
    NonIdempotent,
}

/// Outcome of a caller's request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestOutcome {
    /// The response was read to its end.
    Completed {
        /// HTTP status code.
        status: u16,
        /// Whether the response header states that the request was not executed.
        reports_not_executed: bool,
        /// Body, decoded as UTF-8.
        body: String,
    },
    /// No response, or an incomplete one, with the error.
    Failed(String),
}

/// An online request, as its caller observed it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Id, which targets see in a header.
    pub id: String,
    /// Whether the request may be executed more than once.
    pub kind: RequestKind,
    /// API key that the request was sent with.
    pub key: String,
    /// Index of the VM that it was sent to.
    pub vm: usize,
    /// Time at which the caller sent it.
    pub sent_at: Instant,
    /// Time at which the caller knew its outcome.
    pub ended_at: Instant,
    /// Time for which the caller sends the body. A caller notices only after it that its connection was closed.
    pub body_time: Duration,
    /// Id of the request whose stream this one takes up; `None` if it begins one.
    pub resumes: Option<String>,
    /// Whether the head of the response, even of an incomplete one, promises that the request is not executed.
    pub has_promise: bool,
    /// Response or error. The body of a request that takes a stream up begins with the events that its caller had before.
    pub outcome: RequestOutcome,
}

/// A request or batch item that reached a target.
#[derive(Clone, Debug)]
pub struct ExecutionRecord {
    /// Id of the request or item, from its header.
    pub id: String,
    /// Whether it may be executed more than once, by its path.
    pub may_repeat: bool,
    /// Organisation, from the header that the VM sets.
    pub organisation: String,
    /// Id of the target.
    pub target: String,
    /// Region of the target.
    pub region: &'static str,
    /// Software version of the target.
    pub version: String,
    /// Event after which the target continues a stream; zero if it begins one.
    pub resumed_after: u64,
    /// Time at which the target was polled and had received it.
    pub seen_at: Instant,
    /// Whether the target executed it, rather than refusing it.
    pub executed: bool,
}

/// A batch job, as its caller observed it.
#[derive(Clone, Debug, Default)]
pub struct JobRecord {
    /// Ids of its items.
    pub items: Vec<String>,
    /// Time at which the caller received status 202; `None` until then.
    pub accepted_at: Option<Instant>,
    /// Results by position, as they were first read.
    pub results: BTreeMap<usize, JobResult>,
    /// Reads of its results that succeeded.
    pub reads: Vec<ResultsRead>,
}

/// A read of the results of a job.
#[derive(Clone, Copy, Debug)]
pub struct ResultsRead {
    /// Time at which the caller sent it.
    pub sent_at: Instant,
    /// Position after the last result.
    pub next: usize,
}

/// Targets and VMs at one time.
#[derive(Clone, Debug)]
pub struct FleetSample {
    /// Time of the sample.
    pub at: Instant,
    /// Ids of the requests and items that a target runs.
    pub running: Vec<String>,
    /// Ids of the targets that are reachable, do not drain, and use less than half of their slots.
    pub free_targets: Vec<String>,
    /// Indexes of the VMs that run, with a sound link to the store.
    pub sound_vms: Vec<usize>,
}

/// A line in which a VM states what an item waits for.
#[derive(Clone, Debug)]
pub struct OwedReport {
    /// Time at which the line was read.
    pub at: Instant,
    /// Id of the VM.
    pub vm: String,
    /// Job of the item.
    pub job: String,
    /// The item; `None` for all items of a job.
    pub item: Option<String>,
    /// What the item waits for.
    pub state: String,
    /// Time without a target, in milliseconds, as far as the VM knows.
    pub idle_ms: Option<u64>,
    /// Number of targets that could run it, as far as the VM knows.
    pub free_targets: Option<u64>,
}

/// A line in which a VM states that a request has ended early.
#[derive(Clone, Debug)]
pub struct CutReport {
    /// Id of the VM.
    pub vm: String,
    /// Id of the request.
    pub request: String,
    /// Who ended it.
    pub ended_by: String,
    /// Why; absent if it had no response yet.
    pub cause: Option<String>,
    /// Last target of the request.
    pub target: Option<String>,
}

/// Everything that callers and targets observed in a run.
#[derive(Debug, Default)]
pub struct RunRecords {
    /// Online requests, in the order in which they ended.
    pub requests: Vec<RequestRecord>,
    /// Requests and items that reached targets.
    pub executions: Vec<ExecutionRecord>,
    /// Batch jobs by id.
    pub jobs: BTreeMap<String, JobRecord>,
    /// Times at which keys were withdrawn, by key.
    pub withdrawn_keys: HashMap<String, Instant>,
    /// Times at which the entries of targets were marked as draining, by target id.
    pub draining_targets: HashMap<String, Instant>,
    /// Samples of targets and VMs, in order of time.
    pub samples: Vec<FleetSample>,
    /// Reports of items that wait, in the order in which they were read.
    pub owed_reports: Vec<OwedReport>,
    /// Reports of requests that ended early, in the order in which they were read.
    pub cut_reports: Vec<CutReport>,
    /// Violations that were detected during the run.
    pub violations: Vec<String>,
}

/// Records shared by all parts of a run.
pub(crate) type SharedRecords = Rc<RefCell<RunRecords>>;
