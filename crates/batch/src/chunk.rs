//! The task that runs one held chunk: it calls targets, writes segments and commits results.

use crate::commit::{STORE_BACKOFF_INITIAL, STORE_BACKOFF_MAX, new_segment, persist};
use crate::items::ItemSet;
use crate::lease::ChunkLease;
use crate::lines::check_line;
use crate::outcome::{
    ItemResult, RetryRule, attempts_used, classify, outcome_unknown, problem_line, response_line,
};
use crate::request::{service_of, to_request};
use crate::results::{input_lines, item_id};
use crate::rows::{ChunkRow, input_name, segment_name};
use crate::scheduler::{ItemScheduler, RunEnd, ScheduleStep};
use crate::vm_state::{
    ActiveChunkGuard, ChunkSignal, JobContext, MAX_RUNNING_CHUNKS, UNCOMMITTED_LIMIT_BYTES, VmState,
};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt as _};
use plantainmill_core::{Executed, Problem, ResultCode, ServiceName, Uptime};
use plantainmill_proxy::BufferedResponse;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// A chunk is released if none of its items finds a target for this long, so that it does not block other jobs. Chunks
/// whose targets are only busy stay held, to use idle capacity as soon as there is any.
const STALL_RELEASE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a paused or releasing task checks its state again.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How a chunk task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChunkEnd {
    /// The results of all items are committed.
    Done,
    /// The results so far were committed and the chunk was released.
    Released,
    /// Given up because no item found a target or the input is missing.
    Stalled,
    /// Another holder claimed the chunk with a later epoch.
    Lost,
    /// The job was cancelled or has ended.
    Stopped,
}

/// An item and the response to its call; `None` if the call was not sent.
type ItemResponse = (usize, Option<Result<BufferedResponse, Problem>>);

/// A chunk held by this VM, before its input is read.
pub(crate) struct ChunkTask {
    state: Rc<VmState>,
    context: Rc<JobContext>,
    chunk: u32,
    guard: ActiveChunkGuard,
    lease: ChunkLease,
    signal: watch::Receiver<ChunkSignal>,
}

/// Runs the items of a chunk whose input has been read.
struct ChunkRunner {
    task: ChunkTask,
    lines: Vec<Bytes>,
    /// Service of each line.
    services: Vec<ServiceName>,
    scheduler: ItemScheduler,
    calls: FuturesUnordered<LocalBoxFuture<'static, ItemResponse>>,
    results: BTreeMap<usize, ItemResult>,
    result_bytes: usize,
}

impl ChunkTask {
    pub(crate) fn new(
        state: Rc<VmState>,
        context: Rc<JobContext>,
        chunk: u32,
        lease: ChunkLease,
        signal: watch::Receiver<ChunkSignal>,
    ) -> ChunkTask {
        let guard = ActiveChunkGuard::new(Rc::clone(&state), (context.job.clone(), chunk));
        ChunkTask {
            state,
            context,
            chunk,
            guard,
            lease,
            signal,
        }
    }

    pub(crate) fn key(&self) -> (CompactString, u32) {
        self.guard.key.clone()
    }

    /// Runs the chunk until it is done, released, lost or stopped.
    pub(crate) async fn run(mut self) -> ChunkEnd {
        let state = Rc::clone(&self.state);
        let mut signal = self.signal.clone();
        // Waiting for a permit must not delay a stop or a cancel.
        let _run_permit = tokio::select! {
            permit = state.run_permits.acquire() => permit.ok(),
            _ = signal.wait_for(|signal| *signal != ChunkSignal::Run) => None,
        };
        let lines = match self.read_input().await {
            Ok(lines) => lines,
            Err(end) => return end,
        };
        let key = self.key();
        let started_at = state.now();
        let items = lines.len();
        let mut runner = ChunkRunner::new(self, lines);
        let end = runner.drive().await;
        state.uncommitted_bytes.set(
            state
                .uncommitted_bytes
                .get()
                .saturating_sub(runner.result_bytes),
        );
        if end == ChunkEnd::Done {
            let millis = state.now().saturating_sub(started_at).as_millis().max(1);
            let held = state
                .active_chunks
                .borrow()
                .len()
                .clamp(1, MAX_RUNNING_CHUNKS);
            let items_per_s = items as u128 * held as u128 * 1_000 / millis;
            state
                .items_per_s
                .set(u64::try_from(items_per_s).unwrap_or(u64::MAX).max(1));
        }
        tracing::debug!(job = %key.0, chunk = key.1, ?end, "chunk task ended");
        end
    }

    async fn read_input(&mut self) -> Result<Vec<Bytes>, ChunkEnd> {
        let name = input_name(&self.context.job, &self.context.row.nonce, self.chunk);
        let store = self.state.store.clone();
        let mut signal = self.signal.clone();
        let mut backoff = STORE_BACKOFF_INITIAL;
        loop {
            if *signal.borrow_and_update() == ChunkSignal::Cancel {
                return Err(ChunkEnd::Stopped);
            }
            match store.get_object(&name).await {
                Ok(content) => {
                    let lines = input_lines(&content).map(|line| content.slice_ref(line));
                    return Ok(lines.collect());
                }
                Err(problem) if problem.code == ResultCode::RowInvalid => {
                    tracing::error!(object = %name, "input object of a chunk is missing");
                    return Err(ChunkEnd::Stalled);
                }
                Err(_) => {}
            }
            tokio::select! {
                () = actix_rt::time::sleep(backoff) => {}
                _ = signal.changed() => {}
            }
            backoff = (backoff * 2).min(STORE_BACKOFF_MAX);
        }
    }
}

impl ChunkRunner {
    fn new(task: ChunkTask, lines: Vec<Bytes>) -> ChunkRunner {
        let config = task.state.store.config.load();
        let services: Vec<_> = lines.iter().map(|line| line_service(line)).collect();
        let is_non_repeatable = |service: &ServiceName| {
            let spec = config.services.get(service);
            spec.is_some_and(|spec| !spec.repeatable)
        };
        let numbered = services.iter().enumerate();
        let non_repeatable = numbered.filter(|(_, service)| is_non_repeatable(service));
        let non_repeatable: ItemSet = non_repeatable.map(|(item, _)| item).collect();
        let row = task.lease.row().cloned();
        let row = row.unwrap_or_else(|| ChunkRow::claimed(None, &task.state.holder));
        let attempt_limit = config.defaults.item_attempts;
        let scheduler = ItemScheduler::new(
            &row,
            lines.len(),
            non_repeatable,
            attempt_limit,
            task.state.now(),
        );
        ChunkRunner {
            task,
            lines,
            services,
            scheduler,
            calls: FuturesUnordered::new(),
            results: BTreeMap::new(),
            result_bytes: 0,
        }
    }

    fn state(&self) -> &VmState {
        &self.task.state
    }

    async fn drive(&mut self) -> ChunkEnd {
        let now = self.state().now();
        for item in self.scheduler.interrupted_items().iter() {
            self.add_failure(item, &outcome_unknown());
            self.scheduler.finish_without_run(item, now);
        }
        loop {
            if let Err(end) = self.advance().await {
                return end;
            }
        }
    }

    /// Performs the next step; `Err` ends the task.
    async fn advance(&mut self) -> Result<(), ChunkEnd> {
        let signal = *self.task.signal.borrow();
        if signal == ChunkSignal::Cancel {
            return Err(ChunkEnd::Stopped);
        }
        let now = self.state().now();
        let stalled = self.scheduler.stalled_for(now) >= STALL_RELEASE_TIMEOUT
            && self.scheduler.running() == 0;
        if signal == ChunkSignal::Release || stalled {
            return self.release(stalled).await;
        }
        if self.state().uncommitted_bytes.get() >= UNCOMMITTED_LIMIT_BYTES {
            return self.pause().await;
        }
        match self.scheduler.next(now) {
            ScheduleStep::Start(item) => {
                self.start(item);
                Ok(())
            }
            ScheduleStep::RecordStarts(items) => self.save(items, false).await,
            ScheduleStep::RecordAttempts => self.save(ItemSet::default(), false).await,
            ScheduleStep::Complete => {
                self.save(ItemSet::default(), false).await?;
                Err(ChunkEnd::Done)
            }
            ScheduleStep::Wait(due) => {
                let limit = now + STALL_RELEASE_TIMEOUT;
                self.wait(due.map_or(limit, |due| due.min(limit))).await;
                Ok(())
            }
        }
    }

    async fn release(&mut self, stalled: bool) -> Result<(), ChunkEnd> {
        if self.scheduler.running() > 0 {
            let limit = self.state().now() + PAUSE_POLL_INTERVAL;
            self.wait(limit).await;
            return Ok(());
        }
        self.save(ItemSet::default(), true).await?;
        if stalled {
            return Err(ChunkEnd::Stalled);
        }
        Err(ChunkEnd::Released)
    }

    /// Handles uncommitted results at their limit: commits this chunk's, or waits for other chunks to commit theirs.
    async fn pause(&mut self) -> Result<(), ChunkEnd> {
        self.state().store.meters.memory_pauses.add(1, &[]);
        if !self.results.is_empty() {
            return self.save(ItemSet::default(), false).await;
        }
        let limit = self.state().now() + PAUSE_POLL_INTERVAL;
        self.wait(limit).await;
        Ok(())
    }

    /// Waits until a call ends, the signal changes, or `until` is reached.
    async fn wait(&mut self, until: Uptime) {
        let delay = until.saturating_sub(self.state().now());
        let mut response = None;
        tokio::select! {
            Some(ended) = self.calls.next(), if !self.calls.is_empty() => response = Some(ended),
            _ = self.task.signal.changed() => {}
            () = actix_rt::time::sleep(delay) => {}
        }
        if let Some(ended) = response {
            self.handle_response(ended);
        }
    }

    fn start(&mut self, item: usize) {
        let state = Rc::clone(&self.task.state);
        let signal = self.task.signal.clone();
        let line = self.lines.get(item).cloned().unwrap_or_default();
        let organisation = self.task.context.row.organisation.clone();
        let service = self.services.get(item).cloned().unwrap_or_default();
        let item_permits = state.item_permits_of(&service);
        let call = async move {
            let _permit = item_permits.acquire().await;
            let is_full = state.uncommitted_bytes.get() >= UNCOMMITTED_LIMIT_BYTES;
            if is_full || *signal.borrow() != ChunkSignal::Run {
                return (item, None);
            }
            let config = state.store.config.load();
            let request = to_request(&config, &line, organisation, state.now());
            let response = match request {
                Ok(request) => state.caller.call(request).await,
                Err(problem) => Err(problem),
            };
            (item, Some(response))
        };
        self.calls.push(Box::pin(call));
    }

    fn handle_response(&mut self, (item, response): ItemResponse) {
        let now = self.state().now();
        let Some(response) = response else {
            self.scheduler.requeue_unsent(item);
            return;
        };
        let rule = RetryRule {
            repeatable: !self.scheduler.is_non_repeatable(item),
            last_attempt: self.scheduler.is_last_attempt(item),
            past_due: self.state().store.now_unix() >= self.task.context.row.due_at,
        };
        let end = classify(&response, rule);
        let meters = &self.state().store.meters;
        match end {
            RunEnd::Deferred | RunEnd::NoTarget => meters.items_deferred.add(1, &[]),
            RunEnd::Suspect => meters.attempts_lost.add(1, &[]),
            RunEnd::Finished => self.finish(item, &response, rule),
        }
        self.scheduler.record_end(item, end, now);
    }

    fn finish(
        &mut self,
        item: usize,
        response: &Result<BufferedResponse, Problem>,
        rule: RetryRule,
    ) {
        match response {
            Ok(response) => {
                let id = self.item_id(item);
                let result = response_line(&id, &self.custom_id(item), response);
                self.add_result(item, result);
            }
            Err(problem) if rule.last_attempt && problem.executed != Executed::No => {
                self.add_failure(item, &attempts_used(problem));
            }
            Err(problem) => self.add_failure(item, problem),
        }
    }

    fn add_failure(&mut self, item: usize, problem: &Problem) {
        let id = self.item_id(item);
        let result = problem_line(&id, &self.custom_id(item), problem);
        self.add_result(item, result);
    }

    fn add_result(&mut self, item: usize, result: ItemResult) {
        let meters = &self.state().store.meters;
        if result.completed {
            meters.items_completed.add(1, &[]);
        } else {
            meters.items_failed.add(1, &[]);
        }
        let bytes = result.line.len();
        self.result_bytes += bytes;
        let uncommitted_bytes = &self.state().uncommitted_bytes;
        uncommitted_bytes.set(uncommitted_bytes.get() + bytes);
        self.results.insert(item, result);
    }

    fn item_id(&self, item: usize) -> String {
        item_id(&self.task.context.job, self.task.chunk, item)
    }

    fn custom_id(&self, item: usize) -> String {
        let line = self.lines.get(item).map(|line| check_line(line));
        let parsed = line.and_then(Result::ok);
        parsed.map(|line| line.custom_id).unwrap_or_default()
    }

    /// Writes the results as a segment and then the chunk row. Calls in flight continue meanwhile.
    async fn save(&mut self, new_starts: ItemSet, release: bool) -> Result<(), ChunkEnd> {
        let results = std::mem::take(&mut self.results);
        let (row, segment) = self.next_row(&results, new_starts, release)?;
        let (state, context) = (Rc::clone(&self.task.state), Rc::clone(&self.task.context));
        let chunk = self.task.chunk;
        let bytes: usize = results.values().map(|result| result.line.len()).sum();
        drop(results);
        let mut ended = Vec::new();
        let outcome = {
            let lease = &mut self.task.lease;
            let persist = persist(&state, &context, chunk, lease, row, segment);
            tokio::pin!(persist);
            loop {
                tokio::select! {
                    outcome = &mut persist => break outcome,
                    Some(response) = self.calls.next(), if !self.calls.is_empty() => ended.push(response),
                    _ = self.task.signal.changed() => {
                        if *self.task.signal.borrow() == ChunkSignal::Cancel {
                            break Err(ChunkEnd::Stopped);
                        }
                    }
                }
            }
        };
        outcome?;
        self.result_bytes -= bytes;
        state
            .uncommitted_bytes
            .set(state.uncommitted_bytes.get().saturating_sub(bytes));
        state.store.meters.commits.add(1, &[]);
        if let Some(row) = self.task.lease.row() {
            self.scheduler.record_commit(row);
        }
        for response in ended {
            self.handle_response(response);
        }
        Ok(())
    }

    fn next_row(
        &self,
        results: &BTreeMap<usize, ItemResult>,
        new_starts: ItemSet,
        release: bool,
    ) -> Result<(ChunkRow, Option<(CompactString, Bytes)>), ChunkEnd> {
        let mut row = self.task.lease.next_row().ok_or(ChunkEnd::Lost)?;
        row.attempts = self.scheduler.attempts();
        row.started = row.started.union(new_starts);
        if release {
            row.started = self.scheduler.started_on_release();
            row.held = false;
        }
        let mut segment = None;
        if !results.is_empty() {
            let context = &self.task.context;
            let name = segment_name(&context.job, &context.row.nonce, self.task.chunk, &row);
            let (entry, lines) = new_segment(name.clone(), results);
            row.charges += results.len() as u64;
            row.segments.push(entry);
            segment = Some((name, lines));
        }
        row.done = row.finished().len() >= self.lines.len();
        Ok((row, segment))
    }
}

/// Service of a line; empty if the line is malformed, which is reported when the item runs.
fn line_service(line: &[u8]) -> ServiceName {
    let item = check_line(line).ok();
    let service = item.as_ref().and_then(service_of);
    service.map(ServiceName::from).unwrap_or_default()
}
