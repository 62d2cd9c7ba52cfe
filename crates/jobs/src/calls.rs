//! Operations of callers on jobs: submit, read results, read an item body and end.

use crate::codec::{ResultPage, Submission};
use crate::service::{JobInner, JobService};
use crate::store::HeadOutcome;
use crate::stored::{JobHead, is_job_id};
use bytes::Bytes;
use plantainmill_core::{ItemId, JobId, OrganisationId, Problem, ResultCode};
use plantainmill_provider::{RowVersion, StoreError};
use plantainmill_routing::RouteRule;
use std::collections::HashSet;
use std::time::{Duration, UNIX_EPOCH};
use tokio::time::{Instant, sleep, timeout_at};

/// Time after which a write without a response is reported to the caller with an unknown outcome. Callers time out
/// after 4 s.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay before a write with an unknown outcome is retried.
const RETRY_WAIT: Duration = Duration::from_millis(100);
/// Retry-after time when this VM cannot reach the store. It is short because other VMs may reach it.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(150);
/// Retry-after time when an organisation has reached its token limit. Items take several seconds each.
const TOKENS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of items in a job.
const MAX_ITEMS: usize = 200;

impl JobService {
    /// Accepts a job. The job is stored durably when this returns `Ok`.
    ///
    /// Submitting the same id again succeeds if the job belongs to the same organisation.
    ///
    /// # Errors
    ///
    /// Returns the reason for the refusal. Only with the code `store_late` may the job have been accepted.
    pub async fn submit(
        &self,
        organisation: &OrganisationId,
        route: &RouteRule,
        job: &JobId,
        submission: &Submission,
    ) -> Result<(), Problem> {
        let inner = &self.inner;
        check_submission(job, submission)?;
        let known = inner
            .jobs
            .borrow()
            .get(job)
            .map(|known| known.head.organisation.clone());
        if let Some(submitter) = known {
            return check_resubmission(organisation, &submitter);
        }
        let head = inner.new_head(organisation, route, submission);
        inner.check_tokens(&head, route)?;
        let deadline = Instant::now() + WRITE_TIMEOUT;
        let mut may_be_stored = false;
        loop {
            let regions = inner.job_regions(&head);
            let store = &inner.parts.store;
            let create = store.create(job, &head, &submission.items, &regions);
            let outcome = timeout_at(deadline, create).await;
            let outcome = outcome.unwrap_or_else(|_| Err(StoreError::Unknown("no answer".into())));
            match outcome {
                Ok(HeadOutcome::Applied(version)) => {
                    tracing::info!(event = "job_accepted", %job, items = head.total, version);
                    inner.accepted.borrow_mut().insert(job.clone());
                    inner.record_and_start(job, head, version, Some(submission.items.clone()));
                    return Ok(());
                }
                Ok(HeadOutcome::Conflict(Some((stored, version)))) => {
                    tracing::info!(event = "job_repeated", %job, version);
                    let submitter = stored.organisation.clone();
                    inner.record_and_start(job, stored, version, None);
                    return check_resubmission(organisation, &submitter);
                }
                Ok(HeadOutcome::Conflict(None)) => {
                    return Err(Problem::new(
                        ResultCode::RowInvalid,
                        "the job's row is malformed",
                    ));
                }
                Err(StoreError::Unavailable(reason)) if !may_be_stored => {
                    let problem = Problem::new(ResultCode::StoreUnavailable, reason);
                    return Err(problem.with_retry_after(STORE_RETRY_AFTER));
                }
                Err(error) => {
                    may_be_stored |= !matches!(error, StoreError::Unavailable(_));
                    tracing::info!(event = "job_write_unknown", %job, %error);
                    if Instant::now() + RETRY_WAIT >= deadline {
                        return Err(Problem::new(ResultCode::StoreLate, error.to_string()));
                    }
                    sleep(RETRY_WAIT).await;
                }
            }
        }
    }

    /// Returns results from position `after` on, waiting up to `wait` until there is at least one.
    ///
    /// # Errors
    ///
    /// Returns `unknown_batch` only if the store confirms that the job does not exist, or if it belongs to another
    /// organisation.
    pub async fn results(
        &self,
        organisation: &OrganisationId,
        job: &JobId,
        after: u64,
        wait: Duration,
    ) -> Result<ResultPage, Problem> {
        let inner = &self.inner;
        let deadline = Instant::now() + wait;
        let mut head = inner.find_head(organisation, job).await?;
        while head.listed <= after && head.is_open() {
            let changed = inner.changed.notified();
            if timeout_at(deadline, changed).await.is_err() {
                // The change feed may lag behind, so an empty page is returned only after a read from the store.
                head = inner.read_head(organisation, job).await?;
                break;
            }
            head = inner.find_head(organisation, job).await?;
        }
        if head.listed <= after && !head.is_open() {
            head = inner.read_head(organisation, job).await?;
        }
        let results = if head.listed > after {
            let read = inner
                .parts
                .store
                .results(job, after, &inner.job_regions(&head))
                .await;
            read.map_err(|error| store_problem(&error))?
        } else {
            Vec::new()
        };
        Ok(ResultPage {
            total: head.total,
            next: after + results.len() as u64,
            results,
        })
    }

    /// Returns the request body of an item.
    ///
    /// # Errors
    ///
    /// Returns `unknown_batch` if the job or the item does not exist.
    pub async fn item_body(
        &self,
        organisation: &OrganisationId,
        job: &JobId,
        item: &ItemId,
    ) -> Result<Bytes, Problem> {
        let inner = &self.inner;
        let head = inner.find_head(organisation, job).await?;
        let items = inner
            .parts
            .store
            .items(job, &inner.job_regions(&head))
            .await;
        let items = items.map_err(|error| store_problem(&error))?;
        let found = items.into_iter().find(|stored| stored.id == *item);
        found
            .map(|stored| stored.body)
            .ok_or_else(|| Problem::new(ResultCode::UnknownBatch, "no such item"))
    }

    /// Ends a job. The end is stored durably when this returns `Ok`; all VMs stop its items within seconds.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not confirm the write in time. Only with the code `store_late` may the job have
    /// been ended.
    pub async fn end(&self, organisation: &OrganisationId, job: &JobId) -> Result<(), Problem> {
        let inner = &self.inner;
        let deadline = Instant::now() + WRITE_TIMEOUT;
        let mut may_be_stored = false;
        loop {
            let ended = timeout_at(deadline, inner.write_end(organisation, job)).await;
            match ended {
                Ok(Ok(true)) => return Ok(()),
                // Another write changed the head first; read it again.
                Ok(Ok(false)) => {}
                Ok(Err(problem)) if problem.code == ResultCode::UnknownBatch => {
                    return Err(problem);
                }
                Ok(Err(problem)) => {
                    may_be_stored |= problem.code == ResultCode::StoreLate;
                    if Instant::now() + RETRY_WAIT >= deadline {
                        if may_be_stored {
                            return Err(Problem::new(ResultCode::StoreLate, problem.reason));
                        }
                        return Err(problem);
                    }
                    tracing::info!(event = "job_end_repeated", %job, reason = %problem);
                    sleep(RETRY_WAIT).await;
                }
                Err(_) => return Err(Problem::new(ResultCode::StoreLate, "the store is slow")),
            }
        }
    }
}

impl JobInner {
    fn new_head(
        &self,
        organisation: &OrganisationId,
        route: &RouteRule,
        submission: &Submission,
    ) -> JobHead {
        let accepted = self.parts.clock.wall().duration_since(UNIX_EPOCH);
        let accepted = accepted.unwrap_or_default().as_millis();
        let rule = route.job;
        JobHead {
            organisation: organisation.clone(),
            host: route.host.clone(),
            route: route.name.clone(),
            accepted_ms: u64::try_from(accepted).unwrap_or(0),
            completion: rule.map_or(Duration::ZERO, |rule| rule.completion),
            retention: rule.map_or(Duration::ZERO, |rule| rule.retention),
            total: submission.items.len() as u64,
            tokens_left: submission.items.iter().map(|item| item.tokens).sum(),
            listed: 0,
            owner: Some(self.parts.local_owner.clone()),
            ended: false,
        }
    }

    fn check_tokens(&self, head: &JobHead, route: &RouteRule) -> Result<(), Problem> {
        let limit = route.job.map_or(0, |rule| rule.token_limit);
        let catalog = self.jobs.borrow();
        let waiting = catalog.queued_tokens(&head.organisation, &head.route);
        if limit == 0 || waiting + head.tokens_left <= limit {
            return Ok(());
        }
        tracing::info!(
            event = "job_refused",
            organisation = %head.organisation,
            waiting,
            asked = head.tokens_left,
            limit,
        );
        let reason = format!("{waiting} of {limit} tokens wait already");
        Err(Problem::new(ResultCode::JobsFull, reason).with_retry_after(TOKENS_RETRY_AFTER))
    }

    /// Returns the head of a job from the catalog, or from the store if the job is not known here.
    async fn find_head(
        &self,
        organisation: &OrganisationId,
        job: &JobId,
    ) -> Result<JobHead, Problem> {
        let known = self.jobs.borrow().get(job).map(|known| known.head.clone());
        match known {
            Some(head) => check_organisation(organisation, head),
            None => self.read_head(organisation, job).await,
        }
    }

    async fn read_head(
        &self,
        organisation: &OrganisationId,
        job: &JobId,
    ) -> Result<JobHead, Problem> {
        let (head, _) = self.read_job(job).await?;
        check_organisation(organisation, head)
    }

    async fn read_job(&self, job: &JobId) -> Result<(JobHead, RowVersion), Problem> {
        if !is_job_id(job) {
            return Err(Problem::new(ResultCode::UnknownBatch, "no such job"));
        }
        let read = self.parts.store.head(job).await;
        let read = read.map_err(|error| store_problem(&error))?;
        let (head, version) =
            read.ok_or_else(|| Problem::new(ResultCode::UnknownBatch, "no such job"))?;
        self.record(job, head.clone(), version);
        Ok((head, version))
    }

    /// Attempts once to write the end of a job. Returns false if another write changed the head first.
    async fn write_end(&self, organisation: &OrganisationId, job: &JobId) -> Result<bool, Problem> {
        let (head, version) = self.read_job(job).await?;
        let mut head = check_organisation(organisation, head)?;
        if !head.is_open() {
            return Ok(true);
        }
        head.ended = true;
        let store = &self.parts.store;
        let regions = self.job_regions(&head);
        let write = store.write_head(job, version, &head, head.listed, &[], &regions);
        let outcome = write.await;
        match outcome.map_err(|error| write_problem(&error))? {
            HeadOutcome::Applied(version) => {
                tracing::info!(event = "job_ended", %job, listed = head.listed, version);
                self.record(job, head, version);
                Ok(true)
            }
            HeadOutcome::Conflict(_) => Ok(false),
        }
    }
}

fn check_submission(job: &JobId, submission: &Submission) -> Result<(), Problem> {
    let invalid = |reason: &str| Err(Problem::new(ResultCode::JobInvalid, reason));
    if !is_job_id(job) {
        return invalid("the job's id is malformed");
    }
    if submission.items.is_empty() || submission.items.len() > MAX_ITEMS {
        return invalid("a job has 1 to 200 items");
    }
    let ids: HashSet<&ItemId> = submission.items.iter().map(|item| &item.id).collect();
    if ids.len() != submission.items.len() {
        return invalid("two items have the same id");
    }
    Ok(())
}

/// Accepts a submission with the id of a known job if the organisation `submitter` of that job is the same.
fn check_resubmission(
    organisation: &OrganisationId,
    submitter: &OrganisationId,
) -> Result<(), Problem> {
    if organisation == submitter {
        return Ok(());
    }
    let reason = "the job's id is in use";
    Err(Problem::new(ResultCode::UnknownBatch, reason))
}

fn check_organisation(organisation: &OrganisationId, head: JobHead) -> Result<JobHead, Problem> {
    if head.organisation == *organisation {
        return Ok(head);
    }
    Err(Problem::new(ResultCode::UnknownBatch, "no such job"))
}

/// Error response for a write that the store did not complete.
fn write_problem(error: &StoreError) -> Problem {
    match error {
        StoreError::Unavailable(_) => store_problem(error),
        _ => Problem::new(ResultCode::StoreLate, error.to_string()),
    }
}

/// Error response for a read, or for a write that had no effect.
fn store_problem(error: &StoreError) -> Problem {
    Problem::new(ResultCode::StoreUnavailable, error.to_string())
        .with_retry_after(STORE_RETRY_AFTER)
}
