//! Lease of one chunk: claim, conditional writes, and settling of lost answers.

use crate::rows::{ChunkRow, HolderId};

/// Where a lease stands.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum LeasePhase {
    /// Not claimed yet.
    Open,
    /// A write is on its way.
    Writing,
    /// A write's outcome has to be read.
    Settling,
    /// Held, nothing on its way.
    Held,
    /// Done or released by this holder.
    Closed,
    /// Another holder has a later epoch.
    Lost,
    /// The job was cancelled or has ended.
    Stopped,
}

/// What happens to a lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseInput {
    /// Claim the chunk.
    Claim,
    /// Write this row; `epoch`, `sequence` and `holder` are set by the lease.
    Save(ChunkRow),
    /// The write took effect.
    Committed {
        /// New revision of the chunk row.
        revision: u64,
    },
    /// The write had no effect because a condition failed.
    Conflict,
    /// The write's answer was lost.
    Unknown,
    /// The write had no effect, or a read failed: try again.
    Retry,
    /// Rows as read after `Conflict` or `Unknown`.
    Found {
        /// Revision and content of the chunk row.
        chunk: Option<(u64, ChunkRow)>,
        /// Revision of the job row while the job runs; none if it has ended.
        job_revision: Option<u64>,
    },
}

/// What has to be done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseOutput {
    /// Write the row under these conditions.
    Write(LeaseWrite),
    /// Read the job row, then the chunk row, and report them as `Found`.
    Read,
    /// The last write took effect.
    Saved,
    /// Another holder has the chunk. Nothing of this holder's uncommitted work counts.
    Lost,
    /// The job has ended. Nothing of this holder's uncommitted work counts.
    Stopped,
    /// The input does not fit the phase.
    Ignored,
}

/// A conditional write of a chunk row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseWrite {
    /// Expected revision of the chunk row; none if it must not exist.
    pub revision: Option<u64>,
    /// Expected revision of the job row: the job is not cancelled.
    pub job_revision: u64,
    /// Row to write.
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
    intent: Option<ChunkRow>,
}

impl ChunkLease {
    /// A lease to claim from the row as it was read.
    #[must_use]
    pub fn new(holder: HolderId, seen: Option<(u64, ChunkRow)>, job_revision: u64) -> ChunkLease {
        let (revision, row) = seen.unzip();
        ChunkLease {
            holder,
            phase: LeasePhase::Open,
            revision,
            row,
            job_revision,
            intent: None,
        }
    }

    /// Where the lease stands.
    #[must_use]
    pub fn phase(&self) -> LeasePhase {
        self.phase
    }

    /// The row as last known to be in the table.
    #[must_use]
    pub fn row(&self) -> Option<&ChunkRow> {
        self.row.as_ref()
    }

    /// The row that the next save would write, with `sequence` set; used to name its segment.
    #[must_use]
    pub fn next_row(&self) -> Option<ChunkRow> {
        let mut row = self.row.clone()?;
        row.sequence += 1;
        row.holder = self.holder.clone();
        Some(row)
    }

    /// Handles one input.
    pub fn step(&mut self, input: LeaseInput) -> LeaseOutput {
        match (self.phase, input) {
            (LeasePhase::Open, LeaseInput::Claim) => self.claim(),
            (LeasePhase::Held, LeaseInput::Save(row)) => self.save(row),
            (LeasePhase::Writing, LeaseInput::Committed { revision }) => self.committed(revision),
            (LeasePhase::Writing, LeaseInput::Conflict | LeaseInput::Unknown) => {
                self.phase = LeasePhase::Settling;
                LeaseOutput::Read
            }
            (LeasePhase::Writing, LeaseInput::Retry) => self.write(),
            (LeasePhase::Settling, LeaseInput::Retry) => LeaseOutput::Read,
            (
                LeasePhase::Settling,
                LeaseInput::Found {
                    chunk,
                    job_revision,
                },
            ) => self.settle(chunk.as_ref(), job_revision),
            _ => LeaseOutput::Ignored,
        }
    }

    fn claim(&mut self) -> LeaseOutput {
        if self.row.as_ref().is_some_and(|row| row.done) {
            return LeaseOutput::Ignored;
        }
        self.intent = Some(ChunkRow::claimed(self.row.as_ref(), &self.holder));
        self.write()
    }

    fn save(&mut self, mut row: ChunkRow) -> LeaseOutput {
        let Some(current) = &self.row else {
            return LeaseOutput::Ignored;
        };
        row.epoch = current.epoch;
        row.sequence = current.sequence + 1;
        row.holder = self.holder.clone();
        self.intent = Some(row);
        self.write()
    }

    fn write(&mut self) -> LeaseOutput {
        let Some(row) = self.intent.clone() else {
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
        self.row = self.intent.take();
        let holds = self.row.as_ref().is_some_and(|row| row.held && !row.done);
        self.phase = if holds {
            LeasePhase::Held
        } else {
            LeasePhase::Closed
        };
        LeaseOutput::Saved
    }

    /// Decides what became of the write. The row tells whether it took effect; if the row is still the one the
    /// write expected, the write can be sent again, since it can take effect only once.
    fn settle(
        &mut self,
        chunk: Option<&(u64, ChunkRow)>,
        job_revision: Option<u64>,
    ) -> LeaseOutput {
        let written = chunk.filter(|(_, row)| {
            let intent = self.intent.as_ref();
            intent.is_some_and(|intent| intent.same_write(row))
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
