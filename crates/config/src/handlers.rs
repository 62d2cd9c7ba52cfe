//! What operators and the node ask of the configuration service.

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
use crate::propose::{ChangeDone, ChangeOutcome, ChangeProposal, ChangeRequest, read_problem};
use crate::receipt::{ChangeReceipt, PendingReceipt, new_operation};
use crate::service::{ConfigService, FIRST_ASKS, OpenReceipt};
use crate::wire::ConfigMessage;
use actix::prelude::*;
use plantainmill_core::clock::unix_seconds;
use plantainmill_core::{Problem, ResultCode, Uptime, VmId};
use plantainmill_membership::MemberState;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Time that peers get to report before a starting VM counts as ready.
const PEER_WAIT: Duration = Duration::from_secs(2);

type ReceiptFuture = ResponseActFuture<ConfigService, Result<ChangeReceipt, Problem>>;

impl ConfigService {
    /// Asks some members for their version, so that a starting VM need not wait for digests.
    pub(crate) fn ask_first(&mut self) {
        if self.asked_first {
            return;
        }
        let after = self.replica.config().version;
        let members = self.live_members();
        self.asked_first = !members.is_empty();
        for member in members.into_iter().take(FIRST_ASKS) {
            self.send(member, &ConfigMessage::Ask { after });
        }
    }

    pub(crate) fn update_ready(&mut self, now: Uptime) {
        if self.ready || now.saturating_sub(self.started_at) < PEER_WAIT {
            return;
        }
        let confirmed = match self.replica.store_state() {
            StoreState::Unread => false,
            StoreState::Readable => true,
            StoreState::Failing | StoreState::Reverted => {
                self.replica.newest_of_peers(now).0 > 0 && self.replica.config().version > 0
            }
        };
        self.ready = confirmed && !self.replica.is_behind(now);
    }

    fn ready_report(&self, now: Uptime) -> ReadyReport {
        let (peers, peer_version) = self.replica.newest_of_peers(now);
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

    pub(crate) fn take_confirmation(&mut self, from: &VmId, version: u64) {
        for open in &mut self.receipts {
            open.pending.confirm(from, version);
        }
        let now = self.now();
        self.answer_receipts(now);
    }

    /// Repeats pushes that were not confirmed and gives the receipts that are due.
    pub(crate) fn advance_receipts(&mut self, now: Uptime) {
        let mut repeats = Vec::new();
        for open in &mut self.receipts {
            for to in open.pending.take_repeats(now) {
                let entry = open.entry.clone();
                repeats.push((to, ConfigMessage::Push { entry }));
            }
        }
        for (to, message) in repeats {
            self.counters.repeats += 1;
            self.push(to, &message);
        }
        self.answer_receipts(now);
    }

    fn answer_receipts(&mut self, now: Uptime) {
        let done = self
            .receipts
            .extract_if(.., |open| open.pending.is_done(now));
        for open in done {
            if !open.pending.unconfirmed.is_empty() {
                self.counters.incomplete += 1;
            }
            // An operator who has gone away needs no receipt.
            let _ = open.answer.send(open.pending.receipt(open.diff));
        }
    }

    /// Pushes entries read from the log to the domain, if this VM reads the head for it.
    pub(crate) fn forward(&mut self, entries: Vec<LogEntry>) {
        if !self.is_poller() {
            return;
        }
        let members = self.options.members.load();
        let neighbours: Vec<VmId> = members
            .iter()
            .filter(|member| member.peer.domain == self.options.own.domain)
            .filter(|member| member.state != MemberState::Dead)
            .map(|member| member.peer.id.clone())
            .collect();
        for entry in entries {
            let message = ConfigMessage::Push { entry };
            for neighbour in &neighbours {
                self.push(neighbour.clone(), &message);
            }
        }
    }

    fn push(&mut self, to: VmId, message: &ConfigMessage) {
        self.counters.pushes += 1;
        self.send(to, message);
    }

    /// Pushes a committed entry to all members and collects their confirmations.
    fn start_receipt(&mut self, done: ChangeDone) -> oneshot::Receiver<ChangeReceipt> {
        let (answer, receiver) = oneshot::channel();
        let Some(entry) = done.committed else {
            let version = self.replica.config().version;
            let receipt = ChangeReceipt {
                version,
                confirmed: Vec::new(),
                unconfirmed: Vec::new(),
                diff: done.diff,
            };
            let _ = answer.send(receipt);
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
            diff: done.diff,
            answer,
        });
        self.answer_receipts(now);
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

    fn take_outcome(
        &mut self,
        outcome: ChangeOutcome,
        context: &mut Context<Self>,
    ) -> Result<oneshot::Receiver<ChangeReceipt>, Problem> {
        let entries = outcome.entries;
        self.feed(ConfigInput::Committed { entries }, context);
        if let Some(seen) = outcome.head {
            let input = ConfigInput::HeadRead {
                head: seen.head,
                asked_at: seen.asked_at,
            };
            // A head read before the own commit is older than the version held now.
            if outcome.result.is_err() {
                self.feed(input, context);
            }
        }
        let done = outcome.result.inspect_err(|_| self.counters.refused += 1)?;
        if let Some(entry) = &done.committed {
            self.write_snapshot(entry.change.version, context);
        }
        Ok(self.start_receipt(done))
    }

    fn propose(&self, request: ChangeRequest) -> ReceiptFuture {
        let held = self.replica.snapshot();
        let clock = Arc::clone(&self.options.clock);
        let proposal = ChangeProposal::new(self.log.clone(), held, request, clock);
        let running = proposal.run().into_actor(self);
        let taking =
            running.map(|outcome, service, context| service.take_outcome(outcome, context));
        let waiting =
            taking.then(|receiver, service, _| wait_receipt(receiver).into_actor(service));
        Box::pin(waiting)
    }
}

async fn wait_receipt(
    receiver: Result<oneshot::Receiver<ChangeReceipt>, Problem>,
) -> Result<ChangeReceipt, Problem> {
    let gone = |_| Problem::new(ResultCode::Internal, "the configuration service stopped");
    receiver?.await.map_err(gone)
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
        let rebuilding = async move { rebuild(&log, version).await }.into_actor(self);
        let proposing = rebuilding.then(move |rebuilt, service, _| match rebuilt {
            Ok(wanted) => service.propose_rollback(&wanted, message),
            Err(problem) => Box::pin(fut::ready(Err(problem))),
        });
        Box::pin(proposing)
    }
}

impl ConfigService {
    fn propose_rollback(&self, wanted: &FleetConfig, message: RollbackTo) -> ReceiptFuture {
        let edits = edits_between(self.replica.config(), wanted);
        // The edits lead from the version held to the wanted one, so no other change may come between.
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

/// Rebuilds the configuration of an earlier version from the log.
async fn rebuild(log: &ConfigLog, version: u64) -> Result<FleetConfig, Problem> {
    let mut config = FleetConfig::default();
    let snapshot = log.read_snapshot().await.unwrap_or_default();
    if let Some(snapshot) = snapshot.filter(|found| found.config.version <= version) {
        config = snapshot.config;
    }
    while config.version < version {
        let entries = log.read_after(config.version, crate::log::READ_LIMIT).await;
        let entries = entries.map_err(read_problem)?;
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
            let row = log.read_head().await.map_err(read_problem)?;
            let newest = log.read_newest(row.head.version, message.limit).await;
            newest.map_err(read_problem)
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
