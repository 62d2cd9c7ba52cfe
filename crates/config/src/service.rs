//! The actor that connects the replica of a VM to the stores, the mesh, the membership and the timer.

use crate::entry::ConfigSnapshot;
use crate::entry::LogEntry;
use crate::events::{ConfigInput, ConfigOutput};
use crate::log::{ConfigLog, READ_LIMIT, SNAPSHOT_INTERVAL};
use crate::message::ServiceCounters;
use crate::pieces::{FetchStep, SnapshotFetch, SnapshotSource};
use crate::receipt::{ChangeReceipt, PendingReceipt};
use crate::replica::ConfigReplica;
use crate::view::ConfigView;
use crate::wire::ConfigMessage;
use actix::prelude::*;
use plantainmill_core::{Clock, Uptime, VmId};
use plantainmill_membership::{
    AnnounceVersion, MemberState, MemberView, MembershipService, ReportVersion, SubscribeVersions,
    choose_by_rendezvous,
};
use plantainmill_mesh::{
    Channel, FrameReceived, MeshPeer, MeshService, RegisterChannel, SendFrame, decode_body,
    encode_body,
};
use plantainmill_provider::{ObjectStore, StoreError, TableStore};
use plantainmill_timer::{Subscribe, Tick, TimerService};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Maximum number of messages queued for the actor: every VM of the fleet may confirm a push at the same time.
const MAILBOX_LIMIT: usize = 2_048;
/// Interval of the timer ticks on which the service polls, retries and cleans up.
pub const TICK_PERIOD: Duration = Duration::from_millis(200);
/// Interval at which the poller of a failure domain reads the head.
const POLL_PERIOD: Duration = Duration::from_secs(1);
/// A VM that is not the poller reads the head at this interval while nothing has confirmed its version for as long.
const FALLBACK_POLL_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of members that a starting VM requests entries from.
pub(crate) const INITIAL_REQUESTS: usize = 5;

/// Identity, clock, stores and services that the configuration service uses.
pub struct ConfigOptions {
    /// Id, failure domain, region and address of this VM.
    pub own: MeshPeer,
    /// Clock for time-outs and for the times of changes.
    pub clock: Arc<dyn Clock>,
    /// Table that holds the log.
    pub table: Arc<dyn TableStore>,
    /// Object store that holds the snapshots.
    pub objects: Arc<dyn ObjectStore>,
    /// Mesh that carries messages to peers.
    pub mesh: Addr<MeshService>,
    /// Membership service, which exchanges versions with peers in its digests.
    pub membership: Addr<MembershipService>,
    /// View of the current members.
    pub members: MemberView,
    /// Timer service that sends the ticks.
    pub timer: Addr<TimerService>,
    /// View that publishes the configuration to the other services of this VM.
    pub view: ConfigView,
}

/// A receipt that waits for confirmations, and the entry for retries of its push.
pub(crate) struct OpenReceipt {
    pub(crate) pending: PendingReceipt,
    pub(crate) entry: LogEntry,
    pub(crate) diff: Vec<String>,
    pub(crate) sender: oneshot::Sender<ChangeReceipt>,
}

/// Reads of the table that are in flight.
#[derive(Debug, Default)]
struct StoreReads {
    last_poll: Option<Uptime>,
    poll_in_flight: bool,
    log_read_in_flight: bool,
}

/// Actor that runs the replica of this VM and performs its effects.
pub struct ConfigService {
    pub(crate) options: ConfigOptions,
    pub(crate) log: ConfigLog,
    pub(crate) replica: ConfigReplica,
    pub(crate) counters: ServiceCounters,
    pub(crate) receipts: Vec<OpenReceipt>,
    pub(crate) ready: bool,
    pub(crate) started_at: Uptime,
    pub(crate) initial_requests_sent: bool,
    source: SnapshotSource,
    fetch: Option<SnapshotFetch>,
    reads: StoreReads,
    announced: Option<(u64, Option<Uptime>)>,
}

/// Starts the configuration service on the current Actix arbiter, with an empty configuration.
#[must_use]
pub fn start(options: ConfigOptions) -> Addr<ConfigService> {
    let log = ConfigLog::new(Arc::clone(&options.table), Arc::clone(&options.objects));
    let service = ConfigService {
        log,
        replica: ConfigReplica::default(),
        counters: ServiceCounters::default(),
        receipts: Vec::new(),
        ready: false,
        started_at: options.clock.uptime(),
        initial_requests_sent: false,
        source: SnapshotSource::default(),
        fetch: None,
        reads: StoreReads::default(),
        announced: None,
        options,
    };
    service.start()
}

impl ConfigService {
    pub(crate) fn now(&self) -> Uptime {
        self.options.clock.uptime()
    }

    pub(crate) fn handle_input(&mut self, input: ConfigInput, context: &mut Context<Self>) {
        let now = self.now();
        for output in self.replica.handle(input, now) {
            self.perform(output, context);
        }
        self.announce();
    }

    fn perform(&mut self, output: ConfigOutput, context: &mut Context<Self>) {
        match output {
            ConfigOutput::Send { to, message } => self.send(to, &message),
            ConfigOutput::Publish => self.publish(),
            ConfigOutput::Checked(at) => self.options.view.mark_checked(at),
            ConfigOutput::ReadLog { after, snapshot } => self.read_log(after, snapshot, context),
            ConfigOutput::FetchSnapshot { from } => self.start_fetch(from),
            ConfigOutput::Forward { entries } => self.forward(entries),
            ConfigOutput::Confirmed { from, version } => self.record_confirmation(&from, version),
        }
    }

    pub(crate) fn send(&self, to: VmId, message: &ConfigMessage) {
        self.options.mesh.do_send(SendFrame {
            to,
            channel: Channel::Config,
            body: encode_body(message),
        });
    }

    fn publish(&self) {
        self.options.view.publish(self.replica.config().clone());
    }

    /// Passes the version and the time of its last check to the membership service, which includes them in digests.
    fn announce(&mut self) {
        let state = (self.replica.config().version, self.replica.checked_at());
        if self.announced == Some(state) {
            return;
        }
        self.announced = Some(state);
        let (version, checked_at) = state;
        self.options.membership.do_send(AnnounceVersion {
            version,
            checked_at,
        });
    }

    /// Ids of members that are not known to be dead.
    pub(crate) fn live_members(&self) -> BTreeSet<VmId> {
        let members = self.options.members.load();
        let alive = members
            .iter()
            .filter(|member| member.state != MemberState::Dead);
        alive.map(|member| member.peer.id.clone()).collect()
    }

    /// Whether this VM polls the head for its failure domain. Rendezvous hashing chooses one of the live VMs.
    pub(crate) fn is_poller(&self) -> bool {
        let own = &self.options.own;
        let members = self.options.members.load();
        let live = members
            .iter()
            .filter(|member| member.state == MemberState::Live && member.peer.domain == own.domain)
            .map(|member| &member.peer.id);
        let key = format!("poller/{}", own.domain);
        let chosen = choose_by_rendezvous(&key, live.chain([&own.id]), 1);
        chosen.first() == Some(&own.id)
    }

    fn poll(&mut self, now: Uptime, context: &mut Context<Self>) {
        let since = |at: Option<Uptime>| at.map(|at| now.saturating_sub(at));
        let unpolled = since(self.reads.last_poll);
        let unchecked = since(self.replica.checked_at());
        let lapsed = |age: Option<Duration>| age.is_none_or(|age| age >= FALLBACK_POLL_PERIOD);
        let due = unpolled.is_none_or(|age| age >= POLL_PERIOD) && self.is_poller();
        if self.reads.poll_in_flight || !(due || lapsed(unpolled) && lapsed(unchecked)) {
            return;
        }
        self.reads.poll_in_flight = true;
        self.reads.last_poll = Some(now);
        self.counters.polls += 1;
        let log = self.log.clone();
        let reading = async move { log.read_head().await }.into_actor(self);
        let handling = reading.map(move |outcome, service, context| {
            service.reads.poll_in_flight = false;
            let input = match outcome {
                Ok(row) => ConfigInput::HeadRead {
                    head: row.head,
                    read_started_at: now,
                },
                Err(_) => ConfigInput::StoreFailed,
            };
            service.handle_input(input, context);
        });
        context.spawn(handling);
    }

    fn read_log(&mut self, after: u64, snapshot: bool, context: &mut Context<Self>) {
        if self.reads.log_read_in_flight {
            return;
        }
        self.reads.log_read_in_flight = true;
        let log = self.log.clone();
        let reading = read_newer(log, after, snapshot).into_actor(self);
        let handling = reading.map(|outcome, service, context| {
            service.reads.log_read_in_flight = false;
            match outcome {
                Ok((snapshot, entries)) => {
                    if let Some(snapshot) = snapshot {
                        service.handle_input(ConfigInput::SnapshotRead { snapshot }, context);
                    }
                    service.handle_input(ConfigInput::EntriesRead { entries }, context);
                }
                Err(_) => service.handle_input(ConfigInput::StoreFailed, context),
            }
        });
        context.spawn(handling);
    }

    /// Writes a snapshot of `version`, which this VM committed, if it is a multiple of [`SNAPSHOT_INTERVAL`].
    pub(crate) fn write_snapshot(&self, version: u64, context: &mut Context<Self>) {
        if !version.is_multiple_of(SNAPSHOT_INTERVAL) || self.replica.config().version != version {
            return;
        }
        let log = self.log.clone();
        let snapshot = self.replica.snapshot();
        let writing = async move { log.write_snapshot(&snapshot).await }.into_actor(self);
        let counting = writing.map(|outcome, service, _| match outcome {
            Ok(()) => service.counters.snapshots_written += 1,
            Err(_) => service.counters.snapshots_failed += 1,
        });
        context.spawn(counting);
    }

    fn start_fetch(&mut self, from: VmId) {
        if self.fetch.is_some() {
            return;
        }
        let (fetch, request) = SnapshotFetch::start(from.clone(), self.now());
        self.fetch = Some(fetch);
        self.send(from, &request);
    }

    fn send_piece(&mut self, to: VmId, version: Option<u64>, offset: u64) {
        let now = self.now();
        let replica = &self.replica;
        let piece = self
            .source
            .piece(version, offset, || replica.snapshot(), now);
        if let Some(piece) = piece {
            self.send(to, &piece);
        }
    }

    fn handle_piece(&mut self, from: &VmId, piece: ConfigMessage, context: &mut Context<Self>) {
        let now = self.now();
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        match fetch.handle_piece(from, piece, now) {
            FetchStep::Ignored => {}
            FetchStep::Request(request) => self.send(from.clone(), &request),
            FetchStep::Complete(snapshot) => {
                self.fetch = None;
                let snapshot = *snapshot;
                self.handle_input(ConfigInput::SnapshotRead { snapshot }, context);
            }
            FetchStep::Failed => {
                self.fetch = None;
                self.counters.fetches_failed += 1;
            }
        }
    }

    fn drop_stalled_fetch(&mut self, now: Uptime) {
        if self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.is_stalled(now))
        {
            self.fetch = None;
            self.counters.fetches_failed += 1;
        }
    }
}

/// Reads the entries after version `after`. If `snapshot` is set, reads the newest snapshot first, and the entries
/// after the snapshot if it is newer than `after`.
async fn read_newer(
    log: ConfigLog,
    after: u64,
    snapshot: bool,
) -> Result<(Option<ConfigSnapshot>, Vec<LogEntry>), StoreError> {
    // If the object store is not available, the log alone is sufficient.
    let found = if snapshot {
        log.read_snapshot().await.unwrap_or_default()
    } else {
        None
    };
    let found = found.filter(|found| found.config.version > after);
    let base = found.as_ref().map_or(after, |found| found.config.version);
    let entries = log.read_after(base, READ_LIMIT).await?;
    Ok((found, entries))
}

impl Actor for ConfigService {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(MAILBOX_LIMIT);
        self.options.mesh.do_send(RegisterChannel {
            channel: Channel::Config,
            recipient: context.address().recipient(),
        });
        self.options.membership.do_send(SubscribeVersions {
            recipient: context.address().recipient(),
        });
        self.options.timer.do_send(Subscribe {
            interval: TICK_PERIOD,
            recipient: context.address().recipient(),
        });
    }
}

impl Handler<Tick> for ConfigService {
    type Result = ();

    fn handle(&mut self, message: Tick, context: &mut Self::Context) {
        let now = message.uptime;
        self.handle_input(ConfigInput::Tick, context);
        self.request_initial_versions();
        self.poll(now, context);
        self.advance_receipts(now);
        self.source.tick(now);
        self.drop_stalled_fetch(now);
        self.update_ready(now);
    }
}

impl Handler<FrameReceived> for ConfigService {
    type Result = ();

    fn handle(&mut self, message: FrameReceived, context: &mut Self::Context) {
        let from = message.from;
        let Some(decoded) = decode_body(&message.body) else {
            self.counters.malformed += 1;
            return;
        };
        match decoded {
            ConfigMessage::AskPiece { version, offset } => self.send_piece(from, version, offset),
            piece @ ConfigMessage::Piece { .. } => self.handle_piece(&from, piece, context),
            message => self.handle_input(ConfigInput::Received { from, message }, context),
        }
    }
}

impl Handler<ReportVersion> for ConfigService {
    type Result = ();

    fn handle(&mut self, message: ReportVersion, context: &mut Self::Context) {
        let report = message.report;
        let input = ConfigInput::PeerVersion {
            from: report.from,
            version: report.version,
            checked_at: report.checked_at,
        };
        self.handle_input(input, context);
    }
}
