//! Order of jobs, spread of claims, and lateness.

use crate::rows::OpenRow;
use compact_str::CompactString;
use plantainmill_core::OrganisationId;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A job goes before all jobs that are not urgent when less than this part of its window is left.
const URGENT_WINDOW_PARTS: u64 = 4;
/// A job without any finished item is reported late when this part of its window has passed.
const IDLE_WINDOW_PARTS: u64 = 2;

/// Chunks this VM ran per organisation; older ones count half at each fold.
#[derive(Clone, Debug, Default)]
pub struct ServedShares {
    served: BTreeMap<OrganisationId, u64>,
    total: u64,
}

/// Chunks after which served shares are halved, so that an organisation is not held to its past.
const SHARE_MEMORY: u64 = 1_024;

impl ServedShares {
    /// Counts claimed chunks.
    pub fn add(&mut self, organisation: &OrganisationId, chunks: u64) {
        *self.served.entry(organisation.clone()).or_default() += chunks;
        self.total += chunks;
        if self.total >= SHARE_MEMORY {
            self.served.values_mut().for_each(|count| *count /= 2);
            self.served.retain(|_, count| *count > 0);
            self.total = self.served.values().sum();
        }
    }

    fn of(&self, organisation: &str) -> u64 {
        self.served.get(organisation).copied().unwrap_or(0)
    }
}

/// Slack in seconds: time to the due time less the time that the items need at `items_per_s`.
#[must_use]
pub fn slack_seconds(job: &OpenRow, now: u64, items_per_s: u64) -> i64 {
    let needed = job.items / items_per_s.max(1);
    let left = i64::try_from(job.due_at).unwrap_or(i64::MAX) - i64::try_from(now).unwrap_or(0);
    left.saturating_sub(i64::try_from(needed).unwrap_or(i64::MAX))
}

/// Orders jobs: urgent ones first; then by served share over weight; then by least slack.
///
/// Jobs of one organisation come in the order of their slack. The share counts each job already placed, so that
/// organisations alternate.
#[must_use]
pub fn order_jobs(
    jobs: Vec<OpenRow>,
    now: u64,
    items_per_s: u64,
    shares: &ServedShares,
    weight: impl Fn(&str) -> u32,
) -> Vec<OpenRow> {
    let mut ordered: Vec<_> = jobs
        .into_iter()
        .map(|job| (slack_seconds(&job, now, items_per_s), job))
        .collect();
    ordered.sort_by(|(slack, job), (other_slack, other)| {
        slack.cmp(other_slack).then_with(|| job.job.cmp(&other.job))
    });
    let mut placed: BTreeMap<OrganisationId, u64> = BTreeMap::new();
    let mut ranked: Vec<_> = ordered
        .into_iter()
        .map(|(slack, job)| {
            let count = placed.entry(job.organisation.clone()).or_default();
            let served = shares.of(&job.organisation) + *count;
            *count += 1;
            let share = served * 1_000 / u64::from(weight(&job.organisation).max(1));
            ((!is_urgent(&job, slack), share, slack), job)
        })
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, job)| job).collect()
}

fn is_urgent(job: &OpenRow, slack: i64) -> bool {
    let window = job.due_at.saturating_sub(job.created_at);
    let limit = i64::try_from(window / URGENT_WINDOW_PARTS).unwrap_or(i64::MAX);
    slack <= limit
}

/// Chooses up to `count` of the free chunks by rendezvous hash, so that VMs choose different ones.
#[must_use]
pub fn choose_chunks(vm: &str, job: &str, mut free: Vec<u32>, count: usize) -> Vec<u32> {
    free.sort_by_cached_key(|chunk| xxh3_64(format!("{vm}/{job}/{chunk}").as_bytes()));
    free.truncate(count);
    free
}

/// Most chunks that one claim takes: an even share of all chunks of the job. A share of the free ones would shrink
/// with each claim and leave the last VMs to claim chunk by chunk.
#[must_use]
pub fn claim_size(chunks: usize, vms: usize, room: usize) -> usize {
    chunks.div_ceil(vms.max(1)).min(room)
}

/// Progress of a job, as seen by a reader.
#[derive(Clone, Copy, Debug)]
pub struct JobProgress {
    /// Unix seconds.
    pub created_at: u64,
    /// Unix seconds.
    pub due_at: u64,
    /// Unix seconds when the job ended.
    pub ended_at: Option<u64>,
    /// Items in all.
    pub items: u64,
    /// Finished items.
    pub finished: u64,
}

/// Whether the job missed its due time or will miss it at the pace so far.
#[must_use]
pub fn is_late(progress: JobProgress, now: u64) -> bool {
    if let Some(ended_at) = progress.ended_at {
        return ended_at > progress.due_at;
    }
    if now >= progress.due_at {
        return true;
    }
    let window = progress.due_at.saturating_sub(progress.created_at);
    let elapsed = now.saturating_sub(progress.created_at);
    if progress.finished == 0 {
        return elapsed > window / IDLE_WINDOW_PARTS;
    }
    // Whole job's time at the pace so far, against the window.
    let needed = u128::from(elapsed) * u128::from(progress.items) / u128::from(progress.finished);
    needed > u128::from(window)
}

/// Key of local state per job.
pub type JobKey = CompactString;
