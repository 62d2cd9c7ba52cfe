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

/// Messages that wait for the actor.
const MAILBOX_LIMIT: usize = 1_024;

/// What the membership service needs to start.
pub struct MembershipOptions {
    /// This VM.
    pub own: MeshPeer,
    /// Start of this VM, the same as given to the mesh.
    pub incarnation: Incarnation,
    /// Periods and limits.
    pub timing: MemberTiming,
    /// Drives random choices.
    pub seed: u64,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Mesh.
    pub mesh: Addr<MeshService>,
    /// Timer service.
    pub timer: Addr<TimerService>,
    /// VM list of the platform.
    pub list: Arc<dyn VmList>,
    /// View to publish to.
    pub view: MemberView,
}

/// Tells every [`ReportVersion`] to `recipient`.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SubscribeVersions {
    /// Who gets them.
    pub recipient: Recipient<ReportVersion>,
}

/// A member reported the version of its configuration.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub struct ReportVersion {
    /// Report.
    pub report: PeerVersion,
}

/// Sets the configuration version that this VM's digests carry.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct AnnounceVersion {
    /// Version in force.
    pub version: u64,
    /// When it was last known to be current.
    pub checked_at: Option<Uptime>,
}

/// Tells the fleet that this VM is stopping.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub struct LeaveFleet;

/// Asks for the state of the member table.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "MembershipReport")]
pub struct DumpMembers;

/// State of the member table.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipReport {
    /// This VM.
    pub own: Member,
    /// Other VMs.
    pub members: Vec<Member>,
    /// This VM is a relay of its domain.
    pub relay: bool,
    /// Events counted.
    pub counters: MemberCounters,
    /// Messages that could not be decoded.
    pub malformed: u64,
    /// Failed reads of the VM list.
    pub list_failures: u64,
}

/// Owns the member table of a VM.
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
    fn feed(&mut self, input: MemberInput, now: Uptime, context: &mut Context<Self>) {
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
                service.feed(MemberInput::Listed { entries }, now, context);
            }
            Err(_) => service.list_failures += 1,
        });
        context.spawn(taking);
    }
}

impl Actor for MembershipService {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.set_mailbox_capacity(MAILBOX_LIMIT);
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
        self.feed(MemberInput::Tick, message.uptime, context);
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
        self.feed(input, now, context);
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
        self.feed(input, now, context);
    }
}

impl Handler<LeaveFleet> for MembershipService {
    type Result = ();

    fn handle(&mut self, _message: LeaveFleet, context: &mut Self::Context) {
        let now = self.clock.uptime();
        self.feed(MemberInput::Leave, now, context);
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
