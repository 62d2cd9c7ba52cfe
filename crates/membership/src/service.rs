//! The actor that owns the member table of a VM.

use crate::message::MemberMessage;
use crate::options::{MemberTiming, TICK_PERIOD};
use crate::table::{MemberCounters, MemberInput, MemberOutput, MemberTable, PeerVersion};
use crate::view::{Member, MemberView};
use actix::prelude::*;
use plantainmill_core::{Clock, Incarnation, Uptime, VmId};
use plantainmill_mesh::{
    Channel, FrameReceived, MeshPeer, MeshService, RegisterChannel, SendFrame, UpdatePeers,
    decode_body, encode_body,
};
use plantainmill_provider::VmList;
use plantainmill_timer::{Subscribe, Tick, TimerService};
use serde::Serialize;
use std::sync::Arc;

/// Mailbox capacity of the actor, in messages.
const MAILBOX_CAPACITY: usize = 1_024;

/// Parameters of [`start`].
pub struct MembershipOptions {
    /// Identifier, location and mesh address of this VM.
    pub own: MeshPeer,
    /// Incarnation of this VM; must equal the one given to the mesh.
    pub incarnation: Incarnation,
    /// Periods and timeouts of the member table.
    pub timing: MemberTiming,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Clock that timestamps messages; must agree with the ticks of the timer service.
    pub clock: Arc<dyn Clock>,
    /// Mesh that carries the messages and receives the peer set.
    pub mesh: Addr<MeshService>,
    /// Timer service that drives the member table.
    pub timer: Addr<TimerService>,
    /// VM list of the platform, which seeds and prunes the members.
    pub list: Arc<dyn VmList>,
    /// View that changed members are published to.
    pub view: MemberView,
}

/// Subscribes `recipient` to every [`ReportVersion`]. There is no way to unsubscribe.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SubscribeVersions {
    /// Actor that receives the reports.
    pub recipient: Recipient<ReportVersion>,
}

/// A member reported its configuration version.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct ReportVersion {
    /// Version of the member and when it was last known to be current.
    pub report: PeerVersion,
}

/// Sets the configuration version carried by this VM's digests.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct AnnounceVersion {
    /// Version in force at this VM.
    pub version: u64,
    /// When it was last known to be current; `None` if never.
    pub checked_at: Option<Uptime>,
}

/// Announces to the members of the own domain that this VM is stopping.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct LeaveFleet;

/// Requests a [`MembershipReport`] for diagnostics.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "MembershipReport")]
pub struct DumpMembers;

/// Diagnostic state of the member table.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipReport {
    /// This VM as it announces itself.
    pub own: Member,
    /// Members other than this VM, including dead ones that are not yet pruned.
    pub members: Vec<Member>,
    /// Whether this VM is a relay of its domain.
    pub relay: bool,
    /// Event counters of the member table.
    pub counters: MemberCounters,
    /// Received messages that could not be decoded.
    pub malformed: u64,
    /// Failed reads of the VM list.
    pub list_failures: u64,
}

/// Actor that owns the member table of a VM.
pub struct MembershipService {
    table: MemberTable,
    clock: Arc<dyn Clock>,
    mesh: Addr<MeshService>,
    timer: Addr<TimerService>,
    list: Arc<dyn VmList>,
    view: MemberView,
    subscribers: Vec<Recipient<ReportVersion>>,
    malformed: u64,
    list_failures: u64,
}

/// Starts the membership service on the current arbiter.
#[must_use]
pub fn start(options: MembershipOptions) -> Addr<MembershipService> {
    let table = MemberTable::new(
        options.own,
        options.incarnation,
        options.timing,
        options.seed,
    );
    let service = MembershipService {
        table,
        clock: options.clock,
        mesh: options.mesh,
        timer: options.timer,
        list: options.list,
        view: options.view,
        subscribers: Vec::new(),
        malformed: 0,
        list_failures: 0,
    };
    service.start()
}

impl MembershipService {
    fn handle_input(&mut self, input: MemberInput, now: Uptime, context: &mut Context<Self>) {
        for output in self.table.handle(input, now) {
            match output {
                MemberOutput::Send { to, message } => self.send(to, &message),
                MemberOutput::Changed => self.publish(),
                MemberOutput::ReadList => self.read_list(context),
                MemberOutput::PeerVersion(report) => self.report(&report),
            }
        }
    }

    fn send(&self, to: VmId, message: &MemberMessage) {
        self.mesh.do_send(SendFrame {
            to,
            channel: Channel::Membership,
            body: encode_body(message),
        });
    }

    fn publish(&self) {
        let members = self.table.members();
        let peers = members.iter().map(|member| member.peer.clone()).collect();
        self.view.publish(members);
        self.mesh.do_send(UpdatePeers { peers });
    }

    fn report(&self, report: &PeerVersion) {
        for subscriber in &self.subscribers {
            let report = report.clone();
            subscriber.do_send(ReportVersion { report });
        }
    }

    fn read_list(&self, context: &mut Context<Self>) {
        let list = Arc::clone(&self.list);
        let reading = async move { list.list().await }.into_actor(self);
        let taking = reading.map(|outcome, service, context| match outcome {
            Ok(entries) => {
                let now = service.clock.uptime();
                service.handle_input(MemberInput::Listed { entries }, now, context);
            }
            Err(_) => service.list_failures += 1,
        });
        context.spawn(taking);
    }
}

impl Actor for MembershipService {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(MAILBOX_CAPACITY);
        self.mesh.do_send(RegisterChannel {
            channel: Channel::Membership,
            recipient: context.address().recipient(),
        });
        self.timer.do_send(Subscribe {
            interval: TICK_PERIOD,
            recipient: context.address().recipient(),
        });
    }
}

impl Handler<Tick> for MembershipService {
    type Result = ();

    fn handle(&mut self, message: Tick, context: &mut Self::Context) {
        self.handle_input(MemberInput::Tick, message.uptime, context);
    }
}

impl Handler<FrameReceived> for MembershipService {
    type Result = ();

    fn handle(&mut self, message: FrameReceived, context: &mut Self::Context) {
        let Some(decoded) = decode_body(&message.body) else {
            self.malformed += 1;
            return;
        };
        let input = MemberInput::Received {
            from: message.from,
            incarnation: message.incarnation,
            message: decoded,
        };
        let now = self.clock.uptime();
        self.handle_input(input, now, context);
    }
}

impl Handler<SubscribeVersions> for MembershipService {
    type Result = ();

    fn handle(&mut self, message: SubscribeVersions, _context: &mut Self::Context) {
        self.subscribers.push(message.recipient);
    }
}

impl Handler<AnnounceVersion> for MembershipService {
    type Result = ();

    fn handle(&mut self, message: AnnounceVersion, context: &mut Self::Context) {
        let input = MemberInput::Version {
            version: message.version,
            checked_at: message.checked_at,
        };
        let now = self.clock.uptime();
        self.handle_input(input, now, context);
    }
}

impl Handler<LeaveFleet> for MembershipService {
    type Result = ();

    fn handle(&mut self, _message: LeaveFleet, context: &mut Self::Context) {
        let now = self.clock.uptime();
        self.handle_input(MemberInput::Leave, now, context);
    }
}

impl Handler<DumpMembers> for MembershipService {
    type Result = MessageResult<DumpMembers>;

    fn handle(&mut self, _message: DumpMembers, _context: &mut Self::Context) -> Self::Result {
        MessageResult(MembershipReport {
            own: self.table.own_record().member.clone(),
            members: self.table.members(),
            relay: self.table.is_relay(),
            counters: self.table.counters(),
            malformed: self.malformed,
            list_failures: self.list_failures,
        })
    }
}
