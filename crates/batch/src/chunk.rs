//! The task that runs one held chunk: calls, segments and commits.

use crate::commit::{STORE_WAIT_FIRST, STORE_WAIT_LIMIT, new_segment, persist};
use crate::items::ItemSet;
use crate::lease::ChunkLease;
use crate::lines::check_line;
use crate::outcome::{
    ItemResult, ItemRule, answer_line, attempts_used, judge, outcome_unknown, problem_line,
};
use crate::request::{service_of, to_request};
use crate::results::{input_lines, item_id};
use crate::rows::{ChunkRow, input_name, segment_name};
use crate::run::{ChunkRun, RunEnd, RunStep};
use crate::watch::{
    ActiveChunk, CHUNKS_RUNNING, ChunkSignal, JobContext, UNSAVED_LIMIT_BYTES, VmState,
};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt as _};
use plantainmill_core::{Executed, Problem, ResultCode, ServiceName, Uptime};
use plantainmill_proxy::WholeAnswer;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// A chunk none of whose items finds a target for this long is released, so that it holds back nobody. Chunks whose
/// targets are only busy stay, ready for idle capacity.
const STALL_RELEASE: Duration = Duration::from_secs(30);
/// How often a paused task looks whether memory is free again.
const PAUSE_CHECK: Duration = Duration::from_secs(1);

/// How a chunk task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChunkEnd {
    /// All items are committed.
    Done,
    /// Committed what was done and released the rest.
    Released,
    /// Released because no item found a place.
    Stalled,
    /// Another holder has a later epoch.
    Lost,
    /// The job has ended.
    Stopped,
}

/// Answer of an item's call; none if it was not sent.
type ItemAnswer = (usize, Option<Result<WholeAnswer, Problem>>);

/// A held chunk.
pub(crate) struct ChunkTask {
    state: Rc<VmState>,
    context: Rc<JobContext>,
    chunk: u32,
    active: ActiveChunk,
    lease: ChunkLease,
    signal: watch::Receiver<ChunkSignal>,
}

/// The running part of a task.
struct TaskRun {
    task: ChunkTask,
    lines: Vec<Bytes>,
    /// Service of each line.
    services: Vec<ServiceName>,
    run: ChunkRun,
    calls: FuturesUnordered<LocalBoxFuture<'static, ItemAnswer>>,
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
        let active = ActiveChunk::new(Rc::clone(&state), (context.job.clone(), chunk));
        ChunkTask {
            state,
            context,
            chunk,
            active,
            lease,
            signal,
        }
    }

    pub(crate) fn key(&self) -> (CompactString, u32) {
        self.active.key.clone()
    }

    /// Runs the chunk to its end.
    pub(crate) async fn run(mut self) -> ChunkEnd {
        let state = Rc::clone(&self.state);
        let mut signal = self.signal.clone();
        // A chunk that waits for its turn does not delay a stop or a cancel.
        let _turn = tokio::select! {
            turn = state.turns.acquire() => turn.ok(),
            _ = signal.wait_for(|signal| *signal != ChunkSignal::Run) => None,
        };
        let lines = match self.read_input().await {
            Ok(lines) => lines,
            Err(end) => return end,
        };
        let key = self.key();
        let started_at = state.now();
        let items = lines.len();
        let mut run = TaskRun::new(self, lines);
        let end = run.drive().await;
        state
            .unsaved
            .set(state.unsaved.get().saturating_sub(run.result_bytes));
        if end == ChunkEnd::Done {
            let millis = state.now().saturating_sub(started_at).as_millis().max(1);
            let held = state.active.borrow().len().clamp(1, CHUNKS_RUNNING);
            let pace = items as u128 * held as u128 * 1_000 / millis;
            state
                .pace
                .set(u64::try_from(pace).unwrap_or(u64::MAX).max(1));
        }
        tracing::debug!(job = %key.0, chunk = key.1, ?end, "chunk task ended");
        end
    }

    async fn read_input(&mut self) -> Result<Vec<Bytes>, ChunkEnd> {
        let name = input_name(&self.context.job, &self.context.row.nonce, self.chunk);
        let store = self.state.store.clone();
        let mut signal = self.signal.clone();
        let mut wait = STORE_WAIT_FIRST;
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
                    tracing::error!(object = %name, "a chunk's input is missing");
                    return Err(ChunkEnd::Stalled);
                }
                Err(_) => {}
            }
            tokio::select! {
                () = actix_rt::time::sleep(wait) => {}
                _ = signal.changed() => {}
            }
            wait = (wait * 2).min(STORE_WAIT_LIMIT);
        }
    }
}

impl TaskRun {
    fn new(task: ChunkTask, lines: Vec<Bytes>) -> TaskRun {
        let config = task.state.store.config.load();
        let services: Vec<_> = lines.iter().map(|line| line_service(line)).collect();
        let is_once = |service: &ServiceName| {
            let spec = config.services.get(service);
            spec.is_some_and(|spec| !spec.repeatable)
        };
        let numbered = services.iter().enumerate();
        let once = numbered.filter(|(_, service)| is_once(service));
        let once: ItemSet = once.map(|(item, _)| item).collect();
        let row = task.lease.row().cloned();
        let row = row.unwrap_or_else(|| ChunkRow::claimed(None, &task.state.holder));
        let attempts = config.defaults.item_attempts;
        let run = ChunkRun::new(&row, lines.len(), once, attempts, task.state.now());
        TaskRun {
            task,
            lines,
            services,
            run,
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
        for item in self.run.unknown_items().iter() {
            self.fail(item, &outcome_unknown());
            self.run.finish(item, now);
        }
        loop {
            if let Err(end) = self.advance().await {
                return end;
            }
        }
    }

    /// Takes one step; `Err` ends the task.
    async fn advance(&mut self) -> Result<(), ChunkEnd> {
        let signal = *self.task.signal.borrow();
        if signal == ChunkSignal::Cancel {
            return Err(ChunkEnd::Stopped);
        }
        let now = self.state().now();
        let stalled = self.run.stalled_for(now) >= STALL_RELEASE && self.run.running() == 0;
        if signal == ChunkSignal::Release || stalled {
            return self.release(stalled).await;
        }
        if self.state().unsaved.get() >= UNSAVED_LIMIT_BYTES {
            return self.pause().await;
        }
        match self.run.next(now) {
            RunStep::Start(item) => {
                self.start(item);
                Ok(())
            }
            RunStep::Announce(items) => self.save(items, false).await,
            RunStep::SaveAttempts => self.save(ItemSet::default(), false).await,
            RunStep::Complete => {
                self.save(ItemSet::default(), false).await?;
                Err(ChunkEnd::Done)
            }
            RunStep::Wait(due) => {
                let limit = now + STALL_RELEASE;
                self.wait(due.map_or(limit, |due| due.min(limit))).await;
                Ok(())
            }
        }
    }

    async fn release(&mut self, stalled: bool) -> Result<(), ChunkEnd> {
        if self.run.running() > 0 {
            let limit = self.state().now() + PAUSE_CHECK;
            self.wait(limit).await;
            return Ok(());
        }
        self.save(ItemSet::default(), true).await?;
        if stalled {
            return Err(ChunkEnd::Stalled);
        }
        Err(ChunkEnd::Released)
    }

    /// Unsaved results have reached the bound: commits this chunk's, or waits for others to commit theirs.
    async fn pause(&mut self) -> Result<(), ChunkEnd> {
        self.state().store.meters.memory_pauses.add(1, &[]);
        if !self.results.is_empty() {
            return self.save(ItemSet::default(), false).await;
        }
        let limit = self.state().now() + PAUSE_CHECK;
        self.wait(limit).await;
        Ok(())
    }

    /// Waits for the end of a call, a signal, or a time.
    async fn wait(&mut self, until: Uptime) {
        let delay = until.saturating_sub(self.state().now());
        let mut answer = None;
        tokio::select! {
            Some(ended) = self.calls.next(), if !self.calls.is_empty() => answer = Some(ended),
            _ = self.task.signal.changed() => {}
            () = actix_rt::time::sleep(delay) => {}
        }
        if let Some(ended) = answer {
            self.ended(ended);
        }
    }

    fn start(&mut self, item: usize) {
        let state = Rc::clone(&self.task.state);
        let signal = self.task.signal.clone();
        let line = self.lines.get(item).cloned().unwrap_or_default();
        let organisation = self.task.context.row.organisation.clone();
        let service = self.services.get(item).cloned().unwrap_or_default();
        let slots = state.slots_of(&service);
        let call = async move {
            let _permit = slots.acquire().await;
            let is_full = state.unsaved.get() >= UNSAVED_LIMIT_BYTES;
            if is_full || *signal.borrow() != ChunkSignal::Run {
                return (item, None);
            }
            let config = state.store.config.load();
            let request = to_request(&config, &line, organisation, state.now());
            let answer = match request {
                Ok(request) => state.caller.call(request).await,
                Err(problem) => Err(problem),
            };
            (item, Some(answer))
        };
        self.calls.push(Box::pin(call));
    }

    fn ended(&mut self, (item, answer): ItemAnswer) {
        let now = self.state().now();
        let Some(answer) = answer else {
            self.run.not_sent(item);
            return;
        };
        let rule = ItemRule {
            repeatable: !self.run.is_once(item),
            last_attempt: self.run.is_last_attempt(item),
        };
        let end = judge(&answer, rule);
        let meters = &self.state().store.meters;
        match end {
            RunEnd::Deferred | RunEnd::Unplaced => meters.items_deferred.add(1, &[]),
            RunEnd::Suspect => meters.attempts_lost.add(1, &[]),
            RunEnd::Finished => self.finish(item, &answer, rule),
        }
        self.run.ended(item, end, now);
    }

    fn finish(&mut self, item: usize, answer: &Result<WholeAnswer, Problem>, rule: ItemRule) {
        match answer {
            Ok(answer) => {
                let id = self.item_id(item);
                let result = answer_line(&id, &self.custom_id(item), answer);
                self.keep(item, result);
            }
            Err(problem) if rule.last_attempt && problem.executed != Executed::No => {
                self.fail(item, &attempts_used(problem));
            }
            Err(problem) => self.fail(item, problem),
        }
    }

    fn fail(&mut self, item: usize, problem: &Problem) {
        let id = self.item_id(item);
        let result = problem_line(&id, &self.custom_id(item), problem);
        self.keep(item, result);
    }

    fn keep(&mut self, item: usize, result: ItemResult) {
        let meters = &self.state().store.meters;
        if result.completed {
            meters.items_completed.add(1, &[]);
        } else {
            meters.items_failed.add(1, &[]);
        }
        let bytes = result.line.len();
        self.result_bytes += bytes;
        let unsaved = &self.state().unsaved;
        unsaved.set(unsaved.get() + bytes);
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

    /// Writes the results as a segment and then the chunk row. Running calls go on meanwhile.
    async fn save(&mut self, announced: ItemSet, release: bool) -> Result<(), ChunkEnd> {
        let results = std::mem::take(&mut self.results);
        let (row, segment) = self.next_row(&results, announced, release)?;
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
                    Some(answer) = self.calls.next(), if !self.calls.is_empty() => ended.push(answer),
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
        state.unsaved.set(state.unsaved.get().saturating_sub(bytes));
        state.store.meters.commits.add(1, &[]);
        if let Some(row) = self.task.lease.row() {
            self.run.saved(row);
        }
        for answer in ended {
            self.ended(answer);
        }
        Ok(())
    }

    fn next_row(
        &self,
        results: &BTreeMap<usize, ItemResult>,
        announced: ItemSet,
        release: bool,
    ) -> Result<(ChunkRow, Option<(CompactString, Bytes)>), ChunkEnd> {
        let mut row = self.task.lease.next_row().ok_or(ChunkEnd::Lost)?;
        row.attempts = self.run.attempts();
        row.started = row.started.union(announced);
        if release {
            row.started = self.run.started_on_release();
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

/// Service of a line; empty when the line is malformed, which its run reports.
fn line_service(line: &[u8]) -> ServiceName {
    let item = check_line(line).ok();
    let service = item.as_ref().and_then(service_of);
    service.map(ServiceName::from).unwrap_or_default()
}
