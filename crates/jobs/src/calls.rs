//! Calls of organisations about their jobs.

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

/// Time in which a write has to be answered before the caller is told that its effect is unknown. Callers wait 4 s.
const WRITE_LIMIT: Duration = Duration::from_millis(2_500);
/// Pause between repeats of a write without an answer.
const WRITE_PAUSE: Duration = Duration::from_millis(100);
/// When a caller may come back after the store was not available here. Other VMs may reach it.
const STORE_RETRY: Duration = Duration::from_millis(150);
/// When a caller whose tokens are used up may come back: items take some seconds each.
const TOKENS_RETRY: Duration = Duration::from_secs(1);
/// Most items of a job.
const ITEM_LIMIT: usize = 200;

impl JobService {
    /// Accepts a job. When it returns, the job is kept.
    ///
    /// # Errors
    ///
    /// Says why the job is not accepted. Only the code `store_late` leaves open whether it is.
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
            .book
            .borrow()
            .get(job)
            .map(|known| known.head.organisation.clone());
        if let Some(owner) = known {
            return accept_repeat(organisation, &owner);
        }
        let head = inner.new_head(organisation, route, submission);
        inner.check_tokens(&head, route)?;
        let until = Instant::now() + WRITE_LIMIT;
        let mut may_be_kept = false;
        loop {
            let create = inner
                .dependencies
                .store
                .create(job, &head, &submission.items);
            let outcome = timeout_at(until, create).await;
            let outcome = outcome.unwrap_or_else(|_| Err(StoreError::Unknown("no answer".into())));
            match outcome {
                Ok(HeadOutcome::Applied(version)) => {
                    tracing::info!(event = "job_accepted", %job, items = head.total, version);
                    inner.accept(job, head, version, Some(submission.items.clone()));
                    return Ok(());
                }
                Ok(HeadOutcome::Conflict(Some((kept, version)))) => {
                    tracing::info!(event = "job_repeated", %job, version);
                    let owner = kept.organisation.clone();
                    inner.accept(job, kept, version, None);
                    return accept_repeat(organisation, &owner);
                }
                Ok(HeadOutcome::Conflict(None)) => {
                    return Err(Problem::new(
                        ResultCode::RowInvalid,
                        "the job's row is malformed",
                    ));
                }
                Err(StoreError::Unavailable(reason)) if !may_be_kept => {
                    let problem = Problem::new(ResultCode::StoreUnavailable, reason);
                    return Err(problem.with_retry_after(STORE_RETRY));
                }
                Err(error) => {
                    may_be_kept |= !matches!(error, StoreError::Unavailable(_));
                    tracing::info!(event = "job_write_unknown", %job, %error);
                    if Instant::now() + WRITE_PAUSE >= until {
                        return Err(Problem::new(ResultCode::StoreLate, error.to_string()));
                    }
                    sleep(WRITE_PAUSE).await;
                }
            }
        }
    }

    /// Results of a job from a position on. Waits up to `wait` for the first one.
    ///
    /// # Errors
    ///
    /// Fails with `unknown_batch` only if the store says that there is no such job.
    pub async fn results(
        &self,
        organisation: &OrganisationId,
        job: &JobId,
        after: u64,
        wait: Duration,
    ) -> Result<ResultPage, Problem> {
        let inner = &self.inner;
        let until = Instant::now() + wait;
        let mut head = inner.find_head(organisation, job).await?;
        while head.listed <= after && head.is_open() {
            let changed = inner.changed.notified();
            if timeout_at(until, changed).await.is_err() {
                // The feed may be behind; only the store can say that there is nothing yet.
                head = inner.read_head(organisation, job).await?;
                break;
            }
            head = inner.find_head(organisation, job).await?;
        }
        if head.listed <= after && !head.is_open() {
            head = inner.read_head(organisation, job).await?;
        }
        let results = if head.listed > after {
            let read = inner.dependencies.store.results(job, after).await;
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

    /// The body of an item that is not listed yet.
    ///
    /// # Errors
    ///
    /// Fails with `unknown_batch` if there is no such job or item.
    pub async fn item_body(
        &self,
        organisation: &OrganisationId,
        job: &JobId,
        item: &ItemId,
    ) -> Result<Bytes, Problem> {
        let inner = &self.inner;
        inner.find_head(organisation, job).await?;
        let items = inner.dependencies.store.items(job).await;
        let items = items.map_err(|error| store_problem(&error))?;
        let found = items.into_iter().find(|stored| stored.id == *item);
        found
            .map(|stored| stored.body)
            .ok_or_else(|| Problem::new(ResultCode::UnknownBatch, "no such item"))
    }

    /// Ends a job. When it returns, the end is kept; its items stop within seconds everywhere.
    ///
    /// # Errors
    ///
    /// Fails when the store does not take the end in time. The call may be repeated.
    pub async fn end(&self, organisation: &OrganisationId, job: &JobId) -> Result<(), Problem> {
        let inner = &self.inner;
        let until = Instant::now() + WRITE_LIMIT;
        loop {
            let ended = timeout_at(until, inner.write_end(organisation, job)).await;
            match ended {
                Ok(Ok(true)) => return Ok(()),
                // Another write came first.
                Ok(Ok(false)) => {}
                Ok(Err(problem)) if problem.code == ResultCode::UnknownBatch => {
                    return Err(problem);
                }
                Ok(Err(problem)) if Instant::now() + WRITE_PAUSE >= until => return Err(problem),
                Ok(Err(problem)) => {
                    tracing::info!(event = "job_end_repeated", %job, reason = %problem);
                    sleep(WRITE_PAUSE).await;
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
        let accepted = self.dependencies.clock.wall().duration_since(UNIX_EPOCH);
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
            owner: Some(self.dependencies.local_owner.clone()),
            ended: false,
        }
    }

    fn check_tokens(&self, head: &JobHead, route: &RouteRule) -> Result<(), Problem> {
        let limit = route.job.map_or(0, |rule| rule.token_limit);
        let book = self.book.borrow();
        let waiting = book.waiting_tokens(&head.organisation, &head.route);
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
        Err(Problem::new(ResultCode::JobsFull, reason).with_retry_after(TOKENS_RETRY))
    }

    /// The head of a job as known here, or as the store has it.
    async fn find_head(
        &self,
        organisation: &OrganisationId,
        job: &JobId,
    ) -> Result<JobHead, Problem> {
        let known = self.book.borrow().get(job).map(|known| known.head.clone());
        match known {
            Some(head) => check_owner(organisation, head),
            None => self.read_head(organisation, job).await,
        }
    }

    async fn read_head(
        &self,
        organisation: &OrganisationId,
        job: &JobId,
    ) -> Result<JobHead, Problem> {
        let (head, _) = self.read_job(job).await?;
        check_owner(organisation, head)
    }

    async fn read_job(&self, job: &JobId) -> Result<(JobHead, RowVersion), Problem> {
        if !is_job_id(job) {
            return Err(Problem::new(ResultCode::UnknownBatch, "no such job"));
        }
        let read = self.dependencies.store.head(job).await;
        let read = read.map_err(|error| store_problem(&error))?;
        let (head, version) =
            read.ok_or_else(|| Problem::new(ResultCode::UnknownBatch, "no such job"))?;
        self.learn(job, head.clone(), version);
        Ok((head, version))
    }

    /// Writes the end of a job once. Says whether it is kept.
    async fn write_end(&self, organisation: &OrganisationId, job: &JobId) -> Result<bool, Problem> {
        let (head, version) = self.read_job(job).await?;
        let mut head = check_owner(organisation, head)?;
        if !head.is_open() {
            return Ok(true);
        }
        head.ended = true;
        let store = &self.dependencies.store;
        let outcome = store
            .write_head(job, version, &head, head.listed, &[])
            .await;
        match outcome.map_err(|error| store_problem(&error))? {
            HeadOutcome::Applied(version) => {
                tracing::info!(event = "job_ended", %job, listed = head.listed, version);
                self.learn(job, head, version);
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
    if submission.items.is_empty() || submission.items.len() > ITEM_LIMIT {
        return invalid("a job has 1 to 200 items");
    }
    let ids: HashSet<&ItemId> = submission.items.iter().map(|item| &item.id).collect();
    if ids.len() != submission.items.len() {
        return invalid("two items have the same id");
    }
    Ok(())
}

fn accept_repeat(organisation: &OrganisationId, owner: &OrganisationId) -> Result<(), Problem> {
    if organisation == owner {
        return Ok(());
    }
    let reason = "the job's id is in use";
    Err(Problem::new(ResultCode::UnknownBatch, reason))
}

fn check_owner(organisation: &OrganisationId, head: JobHead) -> Result<JobHead, Problem> {
    if head.organisation == *organisation {
        return Ok(head);
    }
    Err(Problem::new(ResultCode::UnknownBatch, "no such job"))
}

/// The answer to a read or a repeatable write that the store did not answer.
fn store_problem(error: &StoreError) -> Problem {
    Problem::new(ResultCode::StoreUnavailable, error.to_string()).with_retry_after(STORE_RETRY)
}
