//! Handlers for requests of operators and of the node, receipts, and readiness.

use crate::change::ConfigChange;
use crate::diff::edits_between;
use crate::entry::LogEntry;
use crate::events::{ConfigInput, StoreState};
use crate::log::ConfigLog;
use crate::message::{
    ConfigReport, DumpConfig, ListHistory, ProposeChange, ReadyReport, ReadySource, ReadyState,
    RollbackTo, SectionSizes,
};
use crate::model::FleetConfig;
use crate::propose::{
    AcceptedChange, ChangeOutcome, ChangeProposal, ChangeRequest, store_read_problem,
};
use crate::receipt::{ChangeReceipt, PendingReceipt, new_operation};
use crate::service::{ConfigService, INITIAL_REQUESTS, OpenReceipt};
use crate::wire::ConfigMessage;
use actix::prelude::*;
use plantainmill_core::clock::unix_seconds;
use plantainmill_core::{Problem, ResultCode, Uptime, VmId};
use plantainmill_membership::MemberState;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Minimum time that a starting VM waits for reports of its peers before it becomes ready.
const PEER_REPORT_WAIT: Duration = Duration::from_secs(2);

type ReceiptFuture = ResponseActFuture<ConfigService, Result<ChangeReceipt, Problem>>;

impl ConfigService {
    /// Requests entries from a few members once. A starting VM thus learns their versions without waiting for digests.
    pub(crate) fn request_initial_versions(&mut self) {
        if self.initial_requests_sent {
            return;
        }
        let after = self.replica.config().version;
        let members = self.live_members();
        self.initial_requests_sent = !members.is_empty();
        for member in members.into_iter().take(INITIAL_REQUESTS) {
            self.send(member, &ConfigMessage::Ask { after });
        }
    }

    pub(crate) fn update_ready(&mut self, now: Uptime) {
        if self.ready || now.saturating_sub(self.started_at) < PEER_REPORT_WAIT {
            return;
        }
        let confirmed = match self.replica.store_state() {
            StoreState::Unread => false,
            StoreState::Readable => true,
            StoreState::Failing | StoreState::Reverted => {
                self.replica.peer_version_summary(now).0 > 0 && self.replica.config().version > 0
            }
        };
        self.ready = confirmed && !self.replica.is_behind(now);
    }

    fn ready_report(&self, now: Uptime) -> ReadyReport {
        let (peers, peer_version) = self.replica.peer_version_summary(now);
        let store = self.replica.store_state();
        let source = match store {
            StoreState::Readable => ReadySource::Store,
            StoreState::Failing | StoreState::Reverted if peers > 0 => ReadySource::Peers,
            _ => ReadySource::Nothing,
        };
        ReadyReport {
            ready: self.ready,
            version: self.replica.config().version,
            peer_version,
            peers,
            store_version: self.replica.store_head().map(|head| head.version),
            store,
            source,
        }
    }

    pub(crate) fn record_confirmation(&mut self, from: &VmId, version: u64) {
        for open in &mut self.receipts {
            open.pending.confirm(from, version);
        }
        let now = self.now();
        self.complete_receipts(now);
    }

    /// Retries pushes that were not confirmed and returns the receipts that are complete or have timed out.
    pub(crate) fn advance_receipts(&mut self, now: Uptime) {
        let mut retries = Vec::new();
        for open in &mut self.receipts {
            for to in open.pending.due_retries(now) {
                let entry = open.entry.clone();
                retries.push((to, ConfigMessage::Push { entry }));
            }
        }
        for (to, message) in retries {
            self.counters.repeats += 1;
            self.push(to, &message);
        }
        self.complete_receipts(now);
    }

    fn complete_receipts(&mut self, now: Uptime) {
        let done = self
            .receipts
            .extract_if(.., |open| open.pending.is_done(now));
        for open in done {
            if !open.pending.unconfirmed.is_empty() {
                self.counters.incomplete += 1;
            }
            // Sending fails only if the requester no longer waits for the receipt.
            let _ = open.sender.send(open.pending.receipt(open.diff));
        }
    }

    /// Pushes entries read from the log to the members of the failure domain, if this VM polls the head for it.
    pub(crate) fn forward(&mut self, entries: Vec<LogEntry>) {
        if !self.is_poller() {
            return;
        }
        let members = self.options.members.load();
        let domain_members: Vec<VmId> = members
            .iter()
            .filter(|member| member.peer.domain == self.options.own.domain)
            .filter(|member| member.state != MemberState::Dead)
            .map(|member| member.peer.id.clone())
            .collect();
        for entry in entries {
            let message = ConfigMessage::Push { entry };
            for member in &domain_members {
                self.push(member.clone(), &message);
            }
        }
    }

    fn push(&mut self, to: VmId, message: &ConfigMessage) {
        self.counters.pushes += 1;
        self.send(to, message);
    }

    /// Pushes a committed entry to all members and returns the receiver of the receipt. After a dry run the receipt is
    /// available at once.
    fn start_receipt(&mut self, accepted: AcceptedChange) -> oneshot::Receiver<ChangeReceipt> {
        let (sender, receiver) = oneshot::channel();
        let Some(entry) = accepted.committed else {
            let version = self.replica.config().version;
            let receipt = ChangeReceipt {
                version,
                confirmed: Vec::new(),
                unconfirmed: Vec::new(),
                diff: accepted.diff,
            };
            let _ = sender.send(receipt);
            return receiver;
        };
        self.counters.accepted += 1;
        let members = self.live_members();
        let message = ConfigMessage::Push {
            entry: entry.clone(),
        };
        for member in &members {
            self.push(member.clone(), &message);
        }
        let now = self.now();
        let own = self.options.own.id.clone();
        let version = entry.change.version;
        self.receipts.push(OpenReceipt {
            pending: PendingReceipt::new(version, own, members, now),
            entry,
            diff: accepted.diff,
            sender,
        });
        self.complete_receipts(now);
        receiver
    }

    fn request(&self, message: ProposeChange) -> ChangeRequest {
        ChangeRequest {
            operation: new_operation(),
            edits: message.edits,
            author: message.author,
            reason: message.reason,
            expected_version: message.expected_version,
            dry_run: message.dry_run,
            time: unix_seconds(self.options.clock.wall()),
        }
    }

    fn finish_proposal(
        &mut self,
        outcome: ChangeOutcome,
        context: &mut Context<Self>,
    ) -> Result<oneshot::Receiver<ChangeReceipt>, Problem> {
        let entries = outcome.entries;
        self.handle_input(ConfigInput::Committed { entries }, context);
        if let Some(observed) = outcome.head {
            let input = ConfigInput::HeadRead {
                head: observed.head,
                read_started_at: observed.read_started_at,
            };
            // After a commit of this VM, a head read before it is older than the version held.
            if outcome.result.is_err() {
                self.handle_input(input, context);
            }
        }
        let accepted = outcome.result.inspect_err(|_| self.counters.refused += 1)?;
        if let Some(entry) = &accepted.committed {
            self.write_snapshot(entry.change.version, context);
        }
        Ok(self.start_receipt(accepted))
    }

    fn propose(&self, request: ChangeRequest) -> ReceiptFuture {
        let base = self.replica.snapshot();
        let clock = Arc::clone(&self.options.clock);
        let proposal = ChangeProposal::new(self.log.clone(), base, request, clock);
        let running = proposal.run().into_actor(self);
        let finishing =
            running.map(|outcome, service, context| service.finish_proposal(outcome, context));
        let waiting =
            finishing.then(|receiver, service, _| await_receipt(receiver).into_actor(service));
        Box::pin(waiting)
    }
}

async fn await_receipt(
    receiver: Result<oneshot::Receiver<ChangeReceipt>, Problem>,
) -> Result<ChangeReceipt, Problem> {
    let stopped = |_| Problem::new(ResultCode::Internal, "the configuration service stopped");
    receiver?.await.map_err(stopped)
}

impl Handler<ProposeChange> for ConfigService {
    type Result = ReceiptFuture;

    fn handle(&mut self, message: ProposeChange, _context: &mut Self::Context) -> Self::Result {
        let request = self.request(message);
        self.propose(request)
    }
}

impl Handler<RollbackTo> for ConfigService {
    type Result = ReceiptFuture;

    fn handle(&mut self, message: RollbackTo, _context: &mut Self::Context) -> Self::Result {
        let log = self.log.clone();
        let version = message.version;
        let rebuilding = async move { rebuild_config(&log, version).await }.into_actor(self);
        let proposing = rebuilding.then(move |outcome, service, _| match outcome {
            Ok(restored) => service.propose_rollback(&restored, message),
            Err(problem) => Box::pin(fut::ready(Err(problem))),
        });
        Box::pin(proposing)
    }
}

impl ConfigService {
    fn propose_rollback(&self, restored: &FleetConfig, message: RollbackTo) -> ReceiptFuture {
        let edits = edits_between(self.replica.config(), restored);
        // The edits are computed against the version held, so the rollback must fail if another change comes first.
        let held = self.replica.config().version;
        let expected_version = Some(message.expected_version.unwrap_or(held));
        let request = self.request(ProposeChange {
            edits,
            author: message.author,
            reason: message.reason,
            expected_version,
            dry_run: message.dry_run,
        });
        self.propose(request)
    }
}

/// Rebuilds the configuration at `version` from the log, starting at the newest snapshot if it is not newer.
async fn rebuild_config(log: &ConfigLog, version: u64) -> Result<FleetConfig, Problem> {
    let mut config = FleetConfig::default();
    let snapshot = log.read_snapshot().await.unwrap_or_default();
    if let Some(snapshot) = snapshot.filter(|found| found.config.version <= version) {
        config = snapshot.config;
    }
    while config.version < version {
        let entries = log.read_after(config.version, crate::log::READ_LIMIT).await;
        let entries = entries.map_err(store_read_problem)?;
        if entries.is_empty() {
            let reason = format!("the log has no version {version}");
            return Err(Problem::new(ResultCode::UnknownResource, reason).with_field("version"));
        }
        for entry in entries {
            if config.version < version {
                config.apply(&entry.change);
            }
        }
    }
    Ok(config)
}

impl Handler<ListHistory> for ConfigService {
    type Result = ResponseFuture<Result<Vec<ConfigChange>, Problem>>;

    fn handle(&mut self, message: ListHistory, _context: &mut Self::Context) -> Self::Result {
        let log = self.log.clone();
        Box::pin(async move {
            let row = log.read_head().await.map_err(store_read_problem)?;
            let newest = log.read_newest(row.head.version, message.limit).await;
            newest.map_err(store_read_problem)
        })
    }
}

impl Handler<ReadyState> for ConfigService {
    type Result = MessageResult<ReadyState>;

    fn handle(&mut self, _message: ReadyState, _context: &mut Self::Context) -> Self::Result {
        MessageResult(self.ready_report(self.now()))
    }
}

impl Handler<DumpConfig> for ConfigService {
    type Result = MessageResult<DumpConfig>;

    fn handle(&mut self, _message: DumpConfig, _context: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let config = self.replica.config();
        let checked_at = self.replica.checked_at();
        let report = ConfigReport {
            head: self.replica.head(),
            ready: self.ready_report(now),
            unchecked_s: checked_at.map(|at| now.saturating_sub(at).as_secs()),
            poller: self.is_poller(),
            counters: self.replica.counters(),
            service: self.counters,
            sizes: SectionSizes {
                services: config.services.len(),
                targets: config.targets.len(),
                organisations: config.organisations.len(),
                keys: config.keys.len(),
                exceptions: config.exceptions.len(),
            },
        };
        MessageResult(serde_json::to_value(report).unwrap_or_default())
    }
}
