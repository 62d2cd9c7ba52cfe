//! Accepts a change: checks it, commits it and settles lost answers.

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

/// Tries of a change without expected version against other writers.
const COMMIT_TRIES: u32 = 8;
/// Reads that try to settle a lost answer.
const SETTLE_TRIES: u32 = 5;
/// Pause before the first of them; it doubles.
const SETTLE_PAUSE: Duration = Duration::from_millis(50);

/// A change as an operator asks for it.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Drawn once for all tries, so that a late write of an earlier try is recognised.
    pub operation: CompactString,
    /// Edits that take effect together.
    pub edits: Vec<ConfigEdit>,
    /// Operator.
    pub author: CompactString,
    /// Why.
    pub reason: String,
    /// Version the operator has seen; `None` for whatever is current.
    pub expected_version: Option<u64>,
    /// Check only.
    pub dry_run: bool,
    /// Unix seconds.
    pub time: u64,
}

/// What came of a request.
#[derive(Debug)]
pub struct ChangeOutcome {
    /// Entries read from the log on the way, then the committed one.
    pub entries: Vec<LogEntry>,
    /// Head as last read.
    pub head: Option<HeadSeen>,
    /// The committed entry with its diff, the diff of a dry run, or the problem.
    pub result: Result<ChangeDone, Problem>,
}

/// A head and when its read began.
#[derive(Clone, Debug)]
pub struct HeadSeen {
    /// The head.
    pub head: LogHead,
    /// When its read began.
    pub asked_at: Uptime,
}

/// A change that was accepted, or checked in a dry run.
#[derive(Debug)]
pub struct ChangeDone {
    /// The committed entry; absent after a dry run.
    pub committed: Option<LogEntry>,
    /// What the change does, one line for each edit.
    pub diff: Vec<String>,
}

/// A change on its way to the log.
pub struct ChangeProposal {
    log: ConfigLog,
    config: FleetConfig,
    operation: CompactString,
    request: ChangeRequest,
    clock: Arc<dyn Clock>,
    entries: Vec<LogEntry>,
    head: Option<HeadSeen>,
}

impl ChangeProposal {
    /// A proposal of `request` on top of the configuration `held`.
    #[must_use]
    pub fn new(
        log: ConfigLog,
        held: ConfigSnapshot,
        request: ChangeRequest,
        clock: Arc<dyn Clock>,
    ) -> ChangeProposal {
        ChangeProposal {
            log,
            config: held.config,
            operation: held.operation,
            request,
            clock,
            entries: Vec::new(),
            head: None,
        }
    }

    /// Runs the proposal to its end.
    pub async fn run(mut self) -> ChangeOutcome {
        let result = self.commit().await;
        ChangeOutcome {
            entries: self.entries,
            head: self.head,
            result,
        }
    }

    async fn commit(&mut self) -> Result<ChangeDone, Problem> {
        if self.request.reason.trim().is_empty() {
            let problem = Problem::new(ResultCode::ReasonMissing, "a change needs a reason");
            return Err(problem.with_field("reason"));
        }
        for _ in 0..COMMIT_TRIES {
            let head = self.catch_up().await?;
            if let Some(done) = self.find_own() {
                return Ok(done);
            }
            let diff = self.check()?;
            if self.request.dry_run {
                let committed = None;
                return Ok(ChangeDone { committed, diff });
            }
            let entry = self.new_entry();
            if self.append(&entry, &head).await? == AppendOutcome::Committed {
                self.entries.push(entry.clone());
                let committed = Some(entry);
                return Ok(ChangeDone { committed, diff });
            }
        }
        let reason = "other changes came first each time";
        Err(Problem::new(ResultCode::VersionMismatch, reason)
            .with_retry_after(Duration::from_secs(1)))
    }

    /// Reads the head and the entries up to it.
    async fn catch_up(&mut self) -> Result<HeadRow, Problem> {
        loop {
            let asked_at = self.clock.uptime();
            let row = self.log.read_head().await.map_err(read_problem)?;
            let head = row.head.clone();
            self.head = Some(HeadSeen {
                head: head.clone(),
                asked_at,
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
            for entry in read.map_err(read_problem)? {
                self.apply(entry, &head)?;
            }
            if self.config.version == current {
                return Err(missing_problem(current + 1));
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

    /// The own entry, if an earlier try with a lost answer took effect after all.
    fn find_own(&self) -> Option<ChangeDone> {
        let own = &self.request.operation;
        let entry = self
            .entries
            .iter()
            .find(|entry| entry.change.operation == *own)?;
        Some(ChangeDone {
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

    /// Names the changes that came after the version the operator had seen.
    fn mismatch_problem(&self, expected: u64) -> Problem {
        let later = self.entries.iter().map(|entry| &entry.change);
        let since: Vec<String> = later
            .filter(|change| change.version > expected)
            .map(|change| format!("{} by {}: {}", change.version, change.author, change.reason))
            .collect();
        let current = self.config.version;
        let mut reason = format!("the version is {current}, not {expected}");
        if !since.is_empty() {
            reason = format!("{reason}; since then: {}", since.join("; "));
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
            Err(error) => self.settle(entry, &error).await,
        }
    }

    /// After a lost answer, the log tells whether the change was written.
    async fn settle(&self, entry: &LogEntry, error: &StoreError) -> Result<AppendOutcome, Problem> {
        let mut pause = SETTLE_PAUSE;
        for _ in 0..SETTLE_TRIES {
            match self.log.settle(entry).await {
                Ok(true) => return Ok(AppendOutcome::Committed),
                // The lost write may still be on its way. The next try expects the same head, so at most one of
                // the two takes effect, and both carry the same operation.
                Ok(false) => return Ok(AppendOutcome::Conflict),
                Err(_) => actix::clock::sleep(pause).await,
            }
            pause *= 2;
        }
        let reason = format!(
            "{error}; see the history for operation {}",
            entry.change.operation
        );
        Err(Problem::new(ResultCode::StoreUnknown, reason).with_executed(Executed::Unknown))
    }
}

pub(crate) fn read_problem(error: StoreError) -> Problem {
    match error {
        StoreError::Malformed(reason) => Problem::new(ResultCode::RowInvalid, reason),
        // A lost answer of a read has no effect either.
        StoreError::Unavailable(reason) | StoreError::Unknown(reason) => {
            Problem::new(ResultCode::StoreUnavailable, reason)
        }
    }
}

fn reverted_problem(head: &LogHead, current: u64) -> Problem {
    let reason = format!(
        "the table is at version {} of another or older history, this VM holds version {current}",
        head.version
    );
    Problem::new(ResultCode::StoreReverted, reason)
}

fn missing_problem(version: u64) -> Problem {
    let reason = format!("the log has no row of version {version}");
    Problem::new(ResultCode::RowInvalid, reason)
}
