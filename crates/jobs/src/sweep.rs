//! Removal of closed jobs whose retention period has passed.

use crate::service::JobInner;
use plantainmill_core::{JobId, RegionSet};
use std::rc::Rc;
use std::time::{Duration, UNIX_EPOCH};
use tokio::time::sleep;

/// Interval between checks for jobs whose retention period has passed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
/// Additional time after the retention period before a job is removed, to allow for clock skew between VMs.
const SWEEP_MARGIN: Duration = Duration::from_secs(30);
/// Additional time after the retention period before a VM forgets a job that another one has to remove. It may have to
/// remove the job itself until then.
const FORGET_MARGIN: Duration = Duration::from_mins(2);

impl JobInner {
    /// Periodically removes closed jobs whose retention period has passed.
    pub(crate) async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP_INTERVAL).await;
            let wall = self.parts.clock.wall().duration_since(UNIX_EPOCH);
            let wall = wall.unwrap_or_default();
            let retention = self.parts.settings.result_retention + SWEEP_MARGIN;
            let expired: Vec<(JobId, RegionSet)> = {
                let catalog = self.jobs.borrow();
                let fleet = self.fleet.borrow();
                let expired = catalog.iter().filter(|(_, known)| {
                    let accepted = Duration::from_millis(known.head.accepted_ms);
                    !known.head.is_open() && wall.saturating_sub(accepted) > retention
                });
                expired
                    .filter(|(job, _)| fleet.is_responsible(job, &self.parts.local_owner))
                    .map(|(job, known)| (job.clone(), self.job_regions(&known.head)))
                    .collect()
            };
            let retention = self.parts.settings.result_retention + FORGET_MARGIN;
            let accepted_ms = wall.saturating_sub(retention).as_millis();
            let accepted_ms = u64::try_from(accepted_ms).unwrap_or(0);
            self.jobs.borrow_mut().forget_closed(accepted_ms);
            for (job, regions) in expired {
                match self.parts.store.remove(&job, &regions).await {
                    Ok(()) => tracing::info!(event = "job_removed", %job),
                    Err(error) => tracing::info!(event = "job_not_removed", %job, %error),
                }
            }
        }
    }
}
