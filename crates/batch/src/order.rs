//! Order in which jobs are served, distribution of claims over VMs, and detection of late jobs.

use crate::rows::OpenRow;
use compact_str::CompactString;
use plantainmill_core::OrganisationId;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A job is urgent, and precedes all others, when its slack is at most its window divided by this.
const URGENT_WINDOW_DIVISOR: u64 = 4;
/// A job without a finished item is reported as late once its window divided by this has passed.
const NO_PROGRESS_WINDOW_DIVISOR: u64 = 2;

/// Chunks that this VM claimed per organisation; the counts are halved at intervals, so that recent ones weigh more.
#[derive(Clone, Debug, Default)]
pub struct ServedShares {
    served: BTreeMap<OrganisationId, u64>,
    total: u64,
}

/// Total at which the counts are halved, so that an organisation's past use does not count against it for long.
const SHARE_HALVING_CHUNKS: u64 = 1_024;

impl ServedShares {
    /// Adds claimed chunks of an organisation.
    pub fn add(&mut self, organisation: &OrganisationId, chunks: u64) {
        *self.served.entry(organisation.clone()).or_default() += chunks;
        self.total += chunks;
        if self.total >= SHARE_HALVING_CHUNKS {
            self.served.values_mut().for_each(|count| *count /= 2);
            self.served.retain(|_, count| *count > 0);
            self.total = self.served.values().sum();
        }
    }

    fn served_by(&self, organisation: &str) -> u64 {
        self.served.get(organisation).copied().unwrap_or(0)
    }
}

/// Slack in seconds: the time left until the due time minus the time that all items take at `items_per_s`.
#[must_use]
pub fn slack_seconds(job: &OpenRow, now: u64, items_per_s: u64) -> i64 {
    let needed = job.items / items_per_s.max(1);
    let remaining = i64::try_from(job.due_at).unwrap_or(i64::MAX) - i64::try_from(now).unwrap_or(0);
    remaining.saturating_sub(i64::try_from(needed).unwrap_or(i64::MAX))
}

/// Orders jobs: urgent ones first, then by served share divided by weight, then by least slack.
///
/// Jobs of one organisation are ordered by slack. The share counts each job already placed, so that organisations
/// alternate.
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
            let served = shares.served_by(&job.organisation) + *count;
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
    let limit = i64::try_from(window / URGENT_WINDOW_DIVISOR).unwrap_or(i64::MAX);
    slack <= limit
}

/// Chooses up to `count` of the `free` chunks by rendezvous hashing, so that VMs tend to choose different ones.
#[must_use]
pub fn choose_chunks(vm: &str, job: &str, mut free: Vec<u32>, count: usize) -> Vec<u32> {
    free.sort_by_cached_key(|chunk| xxh3_64(format!("{vm}/{job}/{chunk}").as_bytes()));
    free.truncate(count);
    free
}

/// Maximum number of chunks to claim at once: an even share of all chunks of the job, at most `capacity`. A share of
/// only the free chunks would shrink with each claim and make the last VMs claim single chunks.
#[must_use]
pub fn claim_size(chunks: usize, vms: usize, capacity: usize) -> usize {
    chunks.div_ceil(vms.max(1)).min(capacity)
}

/// Progress of a job at the time of a read.
#[derive(Clone, Copy, Debug)]
pub struct JobProgress {
    /// Creation time in Unix seconds.
    pub created_at: u64,
    /// Due time in Unix seconds.
    pub due_at: u64,
    /// Time in Unix seconds at which the job was completed or cancelled; `None` while it runs.
    pub ended_at: Option<u64>,
    /// Total number of items.
    pub items: u64,
    /// Items completed or failed so far.
    pub finished: u64,
}

/// Whether the job missed its due time, or will miss it at its average rate so far.
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
        return elapsed > window / NO_PROGRESS_WINDOW_DIVISOR;
    }
    // Time that the whole job takes at the average rate so far.
    let needed = u128::from(elapsed) * u128::from(progress.items) / u128::from(progress.finished);
    needed > u128::from(window)
}

/// Id of a job as the key of in-memory state.
pub type JobKey = CompactString;
