//! The actor that owns the configuration of a VM.

use crate::entry::ConfigSnapshot;
use crate::entry::LogEntry;
use crate::events::{ConfigInput, ConfigOutput};
use crate::log::{ConfigLog, READ_LIMIT, SNAPSHOT_EVERY};
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

/// Messages that wait for the actor: every VM of the fleet may confirm a push at the same time.
const MAILBOX_LIMIT: usize = 2_048;
/// Time between ticks.
pub const TICK_PERIOD: Duration = Duration::from_millis(200);
/// Time between reads of the head by the poller of a domain.
const POLL_PERIOD: Duration = Duration::from_secs(1);
/// Other VMs read the head themselves when nothing has confirmed their version for this long.
const SELF_POLL_PERIOD: Duration = Duration::from_secs(10);
/// Peers that a starting VM asks at once.
pub(crate) const FIRST_ASKS: usize = 5;

/// What the configuration service needs to start.
pub struct ConfigOptions {
    /// This VM.
    pub own: MeshPeer,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Table service.
    pub table: Arc<dyn TableStore>,
    /// Object store.
    pub objects: Arc<dyn ObjectStore>,
    /// Mesh.
    pub mesh: Addr<MeshService>,
    /// Membership.
    pub membership: Addr<MembershipService>,
    /// View of the membership.
    pub members: MemberView,
    /// Timer service.
    pub timer: Addr<TimerService>,
    /// View to publish to.
    pub view: ConfigView,
}

/// A receipt that is being collected, and the entry for repeats.
pub(crate) struct OpenReceipt {
    pub(crate) pending: PendingReceipt,
    pub(crate) entry: LogEntry,
    pub(crate) diff: Vec<String>,
    pub(crate) answer: oneshot::Sender<ChangeReceipt>,
}

/// Reads of the table that are under way.
#[derive(Debug, Default)]
struct StoreReads {
    last_poll: Option<Uptime>,
    polling: bool,
    reading: bool,
}

/// Owns the configuration of a VM.
pub struct ConfigService {
    pub(crate) options: ConfigOptions,
    pub(crate) log: ConfigLog,
    pub(crate) replica: ConfigReplica,
    pub(crate) counters: ServiceCounters,
    pub(crate) receipts: Vec<OpenReceipt>,
    pub(crate) ready: bool,
    pub(crate) started_at: Uptime,
    pub(crate) asked_first: bool,
    source: SnapshotSource,
    fetch: Option<SnapshotFetch>,
    reads: StoreReads,
    announced: Option<(u64, Option<Uptime>)>,
}

/// Starts the configuration service on the current arbiter.
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
        asked_first: false,
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

    pub(crate) fn feed(&mut self, input: ConfigInput, context: &mut Context<Self>) {
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
            ConfigOutput::Confirmed { from, version } => self.take_confirmation(&from, version),
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

    /// Gives the version and its last check to the digests.
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

    /// Says whether this VM reads the head for its domain.
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
        let lapsed = |age: Option<Duration>| age.is_none_or(|age| age >= SELF_POLL_PERIOD);
        let due = unpolled.is_none_or(|age| age >= POLL_PERIOD) && self.is_poller();
        if self.reads.polling || !(due || lapsed(unpolled) && lapsed(unchecked)) {
            return;
        }
        self.reads.polling = true;
        self.reads.last_poll = Some(now);
        self.counters.polls += 1;
        let log = self.log.clone();
        let reading = async move { log.read_head().await }.into_actor(self);
        let taking = reading.map(move |outcome, service, context| {
            service.reads.polling = false;
            let input = match outcome {
                Ok(row) => ConfigInput::HeadRead {
                    head: row.head,
                    asked_at: now,
                },
                Err(_) => ConfigInput::StoreFailed,
            };
            service.feed(input, context);
        });
        context.spawn(taking);
    }

    fn read_log(&mut self, after: u64, snapshot: bool, context: &mut Context<Self>) {
        if self.reads.reading {
            return;
        }
        self.reads.reading = true;
        let log = self.log.clone();
        let reading = read_newer(log, after, snapshot).into_actor(self);
        let taking = reading.map(|outcome, service, context| {
            service.reads.reading = false;
            match outcome {
                Ok((snapshot, entries)) => {
                    if let Some(snapshot) = snapshot {
                        service.feed(ConfigInput::SnapshotRead { snapshot }, context);
                    }
                    service.feed(ConfigInput::EntriesRead { entries }, context);
                }
                Err(_) => service.feed(ConfigInput::StoreFailed, context),
            }
        });
        context.spawn(taking);
    }

    /// Writes a snapshot when the version that this VM committed calls for one.
    pub(crate) fn write_snapshot(&self, version: u64, context: &mut Context<Self>) {
        if !version.is_multiple_of(SNAPSHOT_EVERY) || self.replica.config().version != version {
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

    fn give_piece(&mut self, to: VmId, version: Option<u64>, offset: u64) {
        let now = self.now();
        let replica = &self.replica;
        let piece = self
            .source
            .piece(version, offset, || replica.snapshot(), now);
        if let Some(piece) = piece {
            self.send(to, &piece);
        }
    }

    fn take_piece(&mut self, from: &VmId, piece: ConfigMessage, context: &mut Context<Self>) {
        let now = self.now();
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        match fetch.take(from, piece, now) {
            FetchStep::Ignored => {}
            FetchStep::Ask(request) => self.send(from.clone(), &request),
            FetchStep::Done(snapshot) => {
                self.fetch = None;
                let snapshot = *snapshot;
                self.feed(ConfigInput::SnapshotRead { snapshot }, context);
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

/// Reads what is newer than `after`: the newest snapshot if wanted, and the entries after it.
async fn read_newer(
    log: ConfigLog,
    after: u64,
    snapshot: bool,
) -> Result<(Option<ConfigSnapshot>, Vec<LogEntry>), StoreError> {
    // Without the object store, the log alone still leads to the newest version.
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
        self.feed(ConfigInput::Tick, context);
        self.ask_first();
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
            ConfigMessage::AskPiece { version, offset } => self.give_piece(from, version, offset),
            piece @ ConfigMessage::Piece { .. } => self.take_piece(&from, piece, context),
            message => self.feed(ConfigInput::Received { from, message }, context),
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
        self.feed(input, context);
    }
}
