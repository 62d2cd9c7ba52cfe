//! What callers and targets saw.

use plantainmill_stand_in::JobResult;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use tokio::time::Instant;

/// Kinds of online requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AskKind {
    /// Answered with a stream; may be repeated.
    Stream,
    /// Must not run twice.
    Once,
}

/// How a request of a caller ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AskEnd {
    /// With an answer that was read whole.
    Answered {
        /// Status.
        status: u16,
        /// The answer says that the request did not run.
        says_not_run: bool,
        /// Body.
        body: String,
    },
    /// Without an answer, or within one.
    Broken(String),
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct AskRecord {
    /// Id.
    pub id: String,
    /// Kind.
    pub kind: AskKind,
    /// Key of the organisation.
    pub key: String,
    /// VM, by position.
    pub vm: usize,
    /// When the caller sent it.
    pub sent_at: Instant,
    /// When the caller had its end.
    pub ended_at: Instant,
    /// How it ended.
    pub end: AskEnd,
}

/// A request as it reached a target.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Id of the request or item.
    pub id: String,
    /// Organisation, as the target was told.
    pub organisation: String,
    /// Target.
    pub target: String,
    /// When it was seen.
    pub at: Instant,
    /// The target did not refuse it.
    pub ran: bool,
}

/// A job as its caller knows it.
#[derive(Clone, Debug, Default)]
pub struct JobRecord {
    /// Items.
    pub items: Vec<String>,
    /// When the caller had the acceptance.
    pub accepted_at: Option<Instant>,
    /// Results by position, as they were first read.
    pub results: BTreeMap<usize, JobResult>,
}

/// Everything that was seen in a run.
#[derive(Debug, Default)]
pub struct RunRecords {
    /// Online requests.
    pub asks: Vec<AskRecord>,
    /// Requests and items at targets.
    pub runs: Vec<RunRecord>,
    /// Jobs by id.
    pub jobs: BTreeMap<String, JobRecord>,
    /// When keys were withdrawn.
    pub withdrawn: HashMap<String, Instant>,
    /// When entries of targets said that they stop.
    pub draining: HashMap<String, Instant>,
    /// Promises that were seen to be broken while the run went on.
    pub broken: Vec<String>,
}

/// Records shared by the parts of a run.
pub(crate) type SharedRecords = Rc<RefCell<RunRecords>>;
