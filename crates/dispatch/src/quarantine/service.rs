//! Actor that exchanges reports about prompt parts over the mesh.

use super::dispatcher::PartQuarantine;
use super::message::{PartReport, ReportScope};
use actix::prelude::*;
use bytes::Bytes;
use plantainmill_core::VmId;
use plantainmill_membership::{MemberState, MemberView};
use plantainmill_mesh::{
    Channel, FrameReceived, RegisterChannel, SendFrame, decode_body, encode_body,
};
use plantainmill_timer::{Subscribe, Tick};
use std::time::Duration;

/// Interval between reports while there are news.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Ticks between reports without news, by which VMs learn what they have missed.
const REPEAT_TICKS: u64 = 5;
/// VMs that get each report without news, by turns.
const REPEAT_RECEIVERS: usize = 2;

/// Dependencies of a [`QuarantineService`].
pub struct QuarantineParts {
    /// The quarantine of this VM.
    pub quarantine: PartQuarantine,
    /// Current member view.
    pub members: MemberView,
    /// Recipient of frames to other VMs.
    pub mesh: Recipient<SendFrame>,
    /// Recipient of the registration for frames from other VMs.
    pub channels: Recipient<RegisterChannel>,
    /// Recipient of the subscription to ticks.
    pub timer: Recipient<Subscribe>,
}

/// Actor that exchanges reports about prompt parts over the mesh.
pub struct QuarantineService {
    parts: QuarantineParts,
    ticks: u64,
}

impl QuarantineService {
    /// A service that is not yet started.
    #[must_use]
    pub fn new(parts: QuarantineParts) -> QuarantineService {
        QuarantineService { parts, ticks: 0 }
    }

    fn live_members(&self) -> Vec<VmId> {
        let members = self.parts.members.load();
        let live = members
            .iter()
            .filter(|member| member.state != MemberState::Dead);
        live.map(|member| member.peer.id.clone()).collect()
    }

    fn send(&self, report: &PartReport, receivers: impl Iterator<Item = VmId>) {
        if report.is_empty() {
            return;
        }
        let body: Bytes = encode_body(report);
        for to in receivers {
            self.parts.mesh.do_send(SendFrame {
                to,
                channel: Channel::Quarantine,
                body: body.clone(),
            });
        }
    }
}

impl Actor for QuarantineService {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.parts.channels.do_send(RegisterChannel {
            channel: Channel::Quarantine,
            recipient: context.address().recipient(),
        });
        self.parts.timer.do_send(Subscribe {
            interval: REPORT_INTERVAL,
            recipient: context.address().recipient(),
        });
    }
}

impl Handler<Tick> for QuarantineService {
    type Result = ();

    fn handle(&mut self, _: Tick, _: &mut Self::Context) {
        self.ticks += 1;
        let quarantine = &self.parts.quarantine;
        quarantine.tick();
        if quarantine.has_news(ReportScope::Own) {
            let report = quarantine.report(ReportScope::Own);
            self.send(&report, self.live_members().into_iter());
        } else if self.ticks.is_multiple_of(REPEAT_TICKS) {
            let members = self.live_members();
            let round = usize::try_from(self.ticks / REPEAT_TICKS).unwrap_or(0);
            let first = (round * REPEAT_RECEIVERS)
                .checked_rem(members.len())
                .unwrap_or(0);
            let turn = members.into_iter().cycle().skip(first);
            let report = quarantine.report(ReportScope::All);
            self.send(&report, turn.take(REPEAT_RECEIVERS));
        }
    }
}

impl Handler<FrameReceived> for QuarantineService {
    type Result = ();

    fn handle(&mut self, frame: FrameReceived, _: &mut Self::Context) {
        if let Some(report) = decode_body::<PartReport>(&frame.body) {
            self.parts.quarantine.record_report(&report);
        } else {
            tracing::debug!(event = "part_report_malformed", from = %frame.from);
        }
    }
}
