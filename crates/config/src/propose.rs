//! Validates and commits a change, and resolves writes whose response was lost.

use crate::change::{ConfigChange, ConfigEdit};
use crate::diff::describe_edits;
use crate::entry::{ConfigSnapshot, LogEntry, LogHead};
use crate::log::{AppendOutcome, ConfigLog, HeadRow, READ_LIMIT};
use crate::model::FleetConfig;
use crate::validate::{join_problems, validate_edits};
use compact_str::CompactString;
use plantainmill_core::{Clock, Executed, Problem, ResultCode, Uptime};
use plantainmill_provider::StoreError;
use std::sync::Arc;
use std::time::Duration;

/// Attempts to commit a change when concurrent writers commit first.
const COMMIT_ATTEMPTS: u32 = 8;
/// Reads that try to resolve the outcome of a write whose response was lost.
const RESOLVE_ATTEMPTS: u32 = 5;
/// Pause after the first read that fails; it doubles after each further one.
const RESOLVE_BACKOFF: Duration = Duration::from_millis(50);

/// A change requested by an operator.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Unique id. All attempts share it, so that a write of an earlier attempt that takes effect late is recognised.
    pub operation: CompactString,
    /// Edits that take effect atomically.
    pub edits: Vec<ConfigEdit>,
    /// Operator who makes the change.
    pub author: CompactString,
    /// Reason given by the operator; not empty.
    pub reason: String,
    /// Version that the operator has seen; the change is refused if another one is current. `None` accepts any version.
    pub expected_version: Option<u64>,
    /// Validate without committing.
    pub dry_run: bool,
    /// Unix time of the request, in seconds.
    pub time: u64,
}

/// Result of a proposal, with the log entries and the head that were read for it.
#[derive(Debug)]
pub struct ChangeOutcome {
    /// Entries read from the log, followed by the committed one if any.
    pub entries: Vec<LogEntry>,
    /// Head as last read; `None` if no read succeeded.
    pub head: Option<ObservedHead>,
    /// The accepted change, or the reason why it was refused or could not be committed.
    pub result: Result<AcceptedChange, Problem>,
}

/// A head read from the table.
#[derive(Clone, Debug)]
pub struct ObservedHead {
    /// Content of the head row.
    pub head: LogHead,
    /// When the read started.
    pub read_started_at: Uptime,
}

/// A change that was committed, or validated in a dry run.
#[derive(Debug)]
pub struct AcceptedChange {
    /// The committed entry; `None` after a dry run.
    pub committed: Option<LogEntry>,
    /// Description of the change, one line for each edit that changes something. Empty if an earlier attempt turned out
    /// to have committed it.
    pub diff: Vec<String>,
}

/// Commits one change to the log, on top of the newest version.
pub struct ChangeProposal {
    log: ConfigLog,
    config: FleetConfig,
    operation: CompactString,
    request: ChangeRequest,
    clock: Arc<dyn Clock>,
    entries: Vec<LogEntry>,
    head: Option<ObservedHead>,
}

impl ChangeProposal {
    /// Creates a proposal of `request` for a VM that holds `base`. The proposal reads newer entries itself.
    #[must_use]
    pub fn new(
        log: ConfigLog,
        base: ConfigSnapshot,
        request: ChangeRequest,
        clock: Arc<dyn Clock>,
    ) -> ChangeProposal {
        ChangeProposal {
            log,
            config: base.config,
            operation: base.operation,
            request,
            clock,
            entries: Vec::new(),
            head: None,
        }
    }

    /// Runs the proposal until the change is committed, refused, or has failed.
    pub async fn run(mut self) -> ChangeOutcome {
        let result = self.commit().await;
        ChangeOutcome {
            entries: self.entries,
            head: self.head,
            result,
        }
    }

    async fn commit(&mut self) -> Result<AcceptedChange, Problem> {
        if self.request.reason.trim().is_empty() {
            let problem = Problem::new(ResultCode::ReasonMissing, "a change needs a reason");
            return Err(problem.with_field("reason"));
        }
        for _ in 0..COMMIT_ATTEMPTS {
            let head = self.catch_up().await?;
            if let Some(accepted) = self.find_committed() {
                return Ok(accepted);
            }
            let diff = self.check()?;
            if self.request.dry_run {
                let committed = None;
                return Ok(AcceptedChange { committed, diff });
            }
            let entry = self.new_entry();
            if self.append(&entry, &head).await? == AppendOutcome::Committed {
                self.entries.push(entry.clone());
                let committed = Some(entry);
                return Ok(AcceptedChange { committed, diff });
            }
        }
        let reason = "concurrent changes were committed first on every attempt";
        Err(Problem::new(ResultCode::VersionMismatch, reason)
            .with_retry_after(Duration::from_secs(1)))
    }

    /// Reads the head and applies the log entries up to it.
    async fn catch_up(&mut self) -> Result<HeadRow, Problem> {
        loop {
            let read_started_at = self.clock.uptime();
            let row = self.log.read_head().await.map_err(store_read_problem)?;
            let head = row.head.clone();
            self.head = Some(ObservedHead {
                head: head.clone(),
                read_started_at,
            });
            let current = self.config.version;
            if head.version < current
                || (head.version == current && head.operation != self.operation)
            {
                return Err(reverted_problem(&head, current));
            }
            if head.version == current {
                return Ok(row);
            }
            let read = self.log.read_after(current, READ_LIMIT).await;
            for entry in read.map_err(store_read_problem)? {
                self.apply(entry, &head)?;
            }
            if self.config.version == current {
                return Err(missing_row_problem(current + 1));
            }
        }
    }

    fn apply(&mut self, entry: LogEntry, head: &LogHead) -> Result<(), Problem> {
        if entry.parent != self.operation {
            return Err(reverted_problem(head, self.config.version));
        }
        self.config.apply(&entry.change);
        self.operation.clone_from(&entry.change.operation);
        self.entries.push(entry);
        Ok(())
    }

    /// Finds the entry of this change in the log, in case an earlier attempt whose response was lost took effect.
    fn find_committed(&self) -> Option<AcceptedChange> {
        let operation = &self.request.operation;
        let entry = self
            .entries
            .iter()
            .find(|entry| entry.change.operation == *operation)?;
        Some(AcceptedChange {
            committed: Some(entry.clone()),
            diff: Vec::new(),
        })
    }

    fn check(&self) -> Result<Vec<String>, Problem> {
        let current = self.config.version;
        if let Some(expected) = self.request.expected_version
            && expected != current
        {
            return Err(self.mismatch_problem(expected));
        }
        let problems = validate_edits(&self.config, &self.request.edits);
        if let Some(problem) = join_problems(problems) {
            return Err(problem);
        }
        Ok(describe_edits(&self.config, &self.request.edits))
    }

    /// Lists the changes that were committed after the version that the operator had seen.
    fn mismatch_problem(&self, expected: u64) -> Problem {
        let later = self.entries.iter().map(|entry| &entry.change);
        let since: Vec<String> = later
            .filter(|change| change.version > expected)
            .map(|change| format!("{} by {}: {}", change.version, change.author, change.reason))
            .collect();
        let current = self.config.version;
        let mut reason = format!("the current version is {current}, not {expected}");
        if !since.is_empty() {
            reason = format!("{reason}; changes since then: {}", since.join("; "));
        }
        Problem::new(ResultCode::VersionMismatch, reason).with_field("If-Match")
    }

    fn new_entry(&self) -> LogEntry {
        LogEntry {
            parent: self.operation.clone(),
            change: ConfigChange {
                version: self.config.version + 1,
                operation: self.request.operation.clone(),
                author: self.request.author.clone(),
                time: self.request.time,
                reason: self.request.reason.clone(),
                edits: self.request.edits.clone(),
            },
        }
    }

    async fn append(&self, entry: &LogEntry, head: &HeadRow) -> Result<AppendOutcome, Problem> {
        match self.log.append(entry, head).await {
            Ok(outcome) => Ok(outcome),
            Err(StoreError::Unavailable(reason)) => {
                Err(Problem::new(ResultCode::StoreUnavailable, reason))
            }
            Err(error) => self.resolve_append(entry, &error).await,
        }
    }

    /// Reads the log to find out whether a write whose response was lost took effect.
    async fn resolve_append(
        &self,
        entry: &LogEntry,
        error: &StoreError,
    ) -> Result<AppendOutcome, Problem> {
        let mut pause = RESOLVE_BACKOFF;
        for _ in 0..RESOLVE_ATTEMPTS {
            match self.log.was_appended(entry).await {
                Ok(true) => return Ok(AppendOutcome::Committed),
                // The write may still take effect later. The next attempt expects the same head, so at most one of the
                // two takes effect, and both carry the same operation id.
                Ok(false) => return Ok(AppendOutcome::Conflict),
                Err(_) => actix::clock::sleep(pause).await,
            }
            pause *= 2;
        }
        let reason = format!(
            "{error}; check the change history for operation {}",
            entry.change.operation
        );
        Err(Problem::new(ResultCode::StoreUnknown, reason).with_executed(Executed::Unknown))
    }
}

pub(crate) fn store_read_problem(error: StoreError) -> Problem {
    match error {
        StoreError::Malformed(reason) => Problem::new(ResultCode::RowInvalid, reason),
        // A read changes nothing, so a lost response does not leave its effect unknown.
        StoreError::Unavailable(reason) | StoreError::Unknown(reason) => {
            Problem::new(ResultCode::StoreUnavailable, reason)
        }
    }
}

fn reverted_problem(head: &LogHead, current: u64) -> Problem {
    let reason = format!(
        "the table holds version {} of an older or diverged history, this VM holds version {current}",
        head.version
    );
    Problem::new(ResultCode::StoreReverted, reason)
}

fn missing_row_problem(version: u64) -> Problem {
    let reason = format!("the log has no row for version {version}");
    Problem::new(ResultCode::RowInvalid, reason)
}
