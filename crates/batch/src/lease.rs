//! Lease of one chunk: a state machine for the claim, conditional writes, and writes whose response was lost.

use crate::rows::{ChunkRow, HolderId};

/// State of a lease.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LeasePhase {
    /// Not claimed yet.
    Unclaimed,
    /// A write is in flight.
    Writing,
    /// The outcome of a write is not known and must be determined by reading the rows.
    Resolving,
    /// Held, with no write in flight.
    Held,
    /// Completed or released by this holder.
    Closed,
    /// Another holder claimed the chunk with a later epoch.
    Lost,
    /// The job was cancelled or has ended.
    Stopped,
}

/// An event or request that a lease handles.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseInput {
    /// Claim the chunk.
    Claim,
    /// Write this row; the lease sets `epoch`, `sequence` and `holder`.
    Save(ChunkRow),
    /// The write took effect.
    Committed {
        /// New revision of the chunk row.
        revision: u64,
    },
    /// The write had no effect because a condition failed.
    Conflict,
    /// The response to the write was lost, so its outcome is unknown.
    Unknown,
    /// The write had no effect, or a read failed: retry it.
    Retry,
    /// The rows as read for [`LeaseOutput::Read`].
    RowsRead {
        /// Revision and content of the chunk row.
        chunk: Option<(u64, ChunkRow)>,
        /// Revision of the job row while the job runs; `None` if it has ended.
        job_revision: Option<u64>,
    },
}

/// Action that the caller performs, or result of the last request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseOutput {
    /// Perform this conditional write.
    Write(LeaseWrite),
    /// Read the job row, then the chunk row, and report them as [`LeaseInput::RowsRead`].
    Read,
    /// The last write took effect.
    Saved,
    /// Another holder has the chunk. This holder's uncommitted work is discarded.
    Lost,
    /// The job has ended. This holder's uncommitted work is discarded.
    Stopped,
    /// The input does not apply in the current phase and had no effect.
    Ignored,
}

/// A conditional write of a chunk row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseWrite {
    /// Expected revision of the chunk row; `None` if it must not exist.
    pub revision: Option<u64>,
    /// Expected revision of the job row; the write fails if the job was cancelled or has ended.
    pub job_revision: u64,
    /// Content of the chunk row to write.
    pub row: ChunkRow,
}

/// Lease of one chunk by one holder.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ChunkLease {
    holder: HolderId,
    phase: LeasePhase,
    revision: Option<u64>,
    row: Option<ChunkRow>,
    job_revision: u64,
    pending_row: Option<ChunkRow>,
}

impl ChunkLease {
    /// Creates an unclaimed lease from the chunk row as it was read; `None` if the row does not exist.
    #[must_use]
    pub fn new(
        holder: HolderId,
        observed: Option<(u64, ChunkRow)>,
        job_revision: u64,
    ) -> ChunkLease {
        let (revision, row) = observed.unzip();
        ChunkLease {
            holder,
            phase: LeasePhase::Unclaimed,
            revision,
            row,
            job_revision,
            pending_row: None,
        }
    }

    /// Current state of the lease.
    #[must_use]
    pub fn phase(&self) -> LeasePhase {
        self.phase
    }

    /// The chunk row as last known to be in the table.
    #[must_use]
    pub fn row(&self) -> Option<&ChunkRow> {
        self.row.as_ref()
    }

    /// The row to base the next save on, with the `sequence` and `holder` that name its segment; `None` if there is no
    /// row yet.
    #[must_use]
    pub fn next_row(&self) -> Option<ChunkRow> {
        let mut row = self.row.clone()?;
        row.sequence += 1;
        row.holder = self.holder.clone();
        Some(row)
    }

    /// Advances the lease by one input and returns what the caller has to do.
    pub fn step(&mut self, input: LeaseInput) -> LeaseOutput {
        match (self.phase, input) {
            (LeasePhase::Unclaimed, LeaseInput::Claim) => self.claim(),
            (LeasePhase::Held, LeaseInput::Save(row)) => self.save(row),
            (LeasePhase::Writing, LeaseInput::Committed { revision }) => self.committed(revision),
            (LeasePhase::Writing, LeaseInput::Conflict | LeaseInput::Unknown) => {
                self.phase = LeasePhase::Resolving;
                LeaseOutput::Read
            }
            (LeasePhase::Writing, LeaseInput::Retry) => self.write(),
            (LeasePhase::Resolving, LeaseInput::Retry) => LeaseOutput::Read,
            (
                LeasePhase::Resolving,
                LeaseInput::RowsRead {
                    chunk,
                    job_revision,
                },
            ) => self.resolve(chunk.as_ref(), job_revision),
            _ => LeaseOutput::Ignored,
        }
    }

    fn claim(&mut self) -> LeaseOutput {
        if self.row.as_ref().is_some_and(|row| row.done) {
            return LeaseOutput::Ignored;
        }
        self.pending_row = Some(ChunkRow::claimed(self.row.as_ref(), &self.holder));
        self.write()
    }

    fn save(&mut self, mut row: ChunkRow) -> LeaseOutput {
        let Some(current) = &self.row else {
            return LeaseOutput::Ignored;
        };
        row.epoch = current.epoch;
        row.sequence = current.sequence + 1;
        row.holder = self.holder.clone();
        self.pending_row = Some(row);
        self.write()
    }

    fn write(&mut self) -> LeaseOutput {
        let Some(row) = self.pending_row.clone() else {
            return LeaseOutput::Ignored;
        };
        self.phase = LeasePhase::Writing;
        LeaseOutput::Write(LeaseWrite {
            revision: self.revision,
            job_revision: self.job_revision,
            row,
        })
    }

    fn committed(&mut self, revision: u64) -> LeaseOutput {
        self.revision = Some(revision);
        self.row = self.pending_row.take();
        let holds = self.row.as_ref().is_some_and(|row| row.held && !row.done);
        self.phase = if holds {
            LeasePhase::Held
        } else {
            LeasePhase::Closed
        };
        LeaseOutput::Saved
    }

    /// Determines the outcome of the write from the rows. If the chunk row still has the revision that the write
    /// expects, the write can be sent again, since at most one of the two can take effect.
    fn resolve(
        &mut self,
        chunk: Option<&(u64, ChunkRow)>,
        job_revision: Option<u64>,
    ) -> LeaseOutput {
        let written = chunk.filter(|(_, row)| {
            let pending_row = self.pending_row.as_ref();
            pending_row.is_some_and(|pending_row| pending_row.same_write(row))
        });
        if let Some((revision, _)) = written {
            return self.committed(*revision);
        }
        let revision = chunk.map(|(revision, _)| *revision);
        if revision != self.revision {
            self.phase = LeasePhase::Lost;
            return LeaseOutput::Lost;
        }
        let Some(job_revision) = job_revision else {
            self.phase = LeasePhase::Stopped;
            return LeaseOutput::Stopped;
        };
        self.job_revision = job_revision;
        self.write()
    }
}
