//! Committing results: the segment object is written first, then the chunk row by a conditional write.

use crate::chunk::ChunkEnd;
use crate::items::ItemSet;
use crate::lease::{ChunkLease, LeaseInput, LeaseOutput, LeaseWrite};
use crate::outcome::ItemResult;
use crate::rows::{ChunkRow, JobState, SegmentEntry, chunk_key};
use crate::vm_state::{JobContext, VmState};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use plantainmill_provider::{CommitOutcome, StoreError};
use std::collections::BTreeMap;
use std::time::Duration;

/// First delay after a failed store call; doubles up to [`STORE_BACKOFF_MAX`].
pub(crate) const STORE_BACKOFF_INITIAL: Duration = Duration::from_millis(500);
/// Longest delay between two attempts of a store call.
pub(crate) const STORE_BACKOFF_MAX: Duration = Duration::from_secs(10);

/// Builds the entry and the content of a segment object.
pub(crate) fn new_segment(
    name: CompactString,
    results: &BTreeMap<usize, ItemResult>,
) -> (SegmentEntry, Bytes) {
    let mut content = BytesMut::new();
    let mut add = |completed: bool| -> ItemSet {
        let wanted = results
            .iter()
            .filter(|(_, result)| result.completed == completed);
        wanted
            .map(|(item, result)| {
                content.extend_from_slice(&result.line);
                *item
            })
            .collect()
    };
    let completed = add(true);
    let failed = add(false);
    let lines = results.values().filter(|result| result.completed);
    let output_bytes: u64 = lines.map(|result| result.line.len() as u64).sum();
    let entry = SegmentEntry {
        name,
        completed,
        failed,
        output_bytes,
        error_bytes: content.len() as u64 - output_bytes,
    };
    (entry, content.freeze())
}

/// Writes the segment, then the row, and retries until the outcome is certain.
pub(crate) async fn persist(
    state: &VmState,
    context: &JobContext,
    chunk: u32,
    lease: &mut ChunkLease,
    row: ChunkRow,
    segment: Option<(CompactString, Bytes)>,
) -> Result<(), ChunkEnd> {
    if let Some((name, content)) = segment {
        let mut backoff = STORE_BACKOFF_INITIAL;
        while state
            .store
            .objects
            .put(&name, content.clone())
            .await
            .is_err()
        {
            state.store.meters.store_retries.add(1, &[]);
            back_off(&mut backoff).await;
        }
    }
    let output = lease.step(LeaseInput::Save(row));
    drive_lease(state, &context.job, chunk, lease, output).await
}

/// Performs the outputs of a lease until the outcome of its write is known.
pub(crate) async fn drive_lease(
    state: &VmState,
    job: &str,
    chunk: u32,
    lease: &mut ChunkLease,
    mut output: LeaseOutput,
) -> Result<(), ChunkEnd> {
    let mut backoff = STORE_BACKOFF_INITIAL;
    loop {
        let input = match output {
            LeaseOutput::Write(write) => commit(state, job, chunk, &write).await,
            LeaseOutput::Read => read_rows(state, job, chunk).await,
            LeaseOutput::Saved => return Ok(()),
            LeaseOutput::Stopped => return Err(ChunkEnd::Stopped),
            LeaseOutput::Lost | LeaseOutput::Ignored => return Err(ChunkEnd::Lost),
        };
        if input == LeaseInput::Retry {
            state.store.meters.store_retries.add(1, &[]);
            back_off(&mut backoff).await;
        }
        output = lease.step(input);
    }
}

async fn commit(state: &VmState, job: &str, chunk: u32, write: &LeaseWrite) -> LeaseInput {
    let table_write = state.conditional_job_write(job, write.job_revision);
    let table_write = VmState::add_chunk_row(table_write, job, chunk, write.revision, &write.row);
    match state.store.table.commit(table_write).await {
        Ok(CommitOutcome::Committed { revision }) => LeaseInput::Committed { revision },
        Ok(CommitOutcome::Conflict { .. }) => LeaseInput::Conflict,
        Err(StoreError::Unavailable(_)) => LeaseInput::Retry,
        Err(_) => LeaseInput::Unknown,
    }
}

/// Reads the job row before the chunk row: if the job is running and the chunk row is unchanged, a retry is safe.
async fn read_rows(state: &VmState, job: &str, chunk: u32) -> LeaseInput {
    let Ok(found) = state.store.read_job(job).await else {
        return LeaseInput::Retry;
    };
    let key = chunk_key(job, chunk);
    let Ok(chunk) = state.store.read::<ChunkRow>(&key).await else {
        return LeaseInput::Retry;
    };
    let running = found.filter(|(_, row)| row.state == JobState::Running);
    LeaseInput::RowsRead {
        chunk,
        job_revision: running.map(|(revision, _)| revision),
    }
}

async fn back_off(backoff: &mut Duration) {
    actix_rt::time::sleep(*backoff).await;
    *backoff = (*backoff * 2).min(STORE_BACKOFF_MAX);
}
