//! Notices: what VMs tell each other about targets and prompts beside their load, and the actor that exchanges them over
//! the mesh.

use actix::prelude::*;
use bytes::Bytes;
use plantainmill_core::VmId;
use plantainmill_membership::{MemberState, MemberView};
use plantainmill_mesh::{Channel, FrameReceived, RegisterChannel, SendFrame};
use plantainmill_timer::{Subscribe, Tick};
use std::time::Duration;

/// Interval between notices while there are news.
const NOTICE_INTERVAL: Duration = Duration::from_millis(200);
/// Ticks between notices without news, by which VMs learn what they have missed.
const REPEAT_TICKS: u64 = 5;
/// VMs that get each notice without news, by turns.
const REPEAT_RECEIVERS: usize = 2;

/// Which knowledge a notice covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportScope {
    /// What this VM has observed and decided itself.
    Own,
    /// Also what it has heard from others, for VMs that those do not reach.
    All,
}

/// Knowledge that VMs share by notices. Notices may come late, twice and in any order.
pub trait NoticeSource: Send + Sync {
    /// Ends what has lasted long enough.
    fn tick(&self);
    /// Whether there are news that a notice of this scope should repeat.
    fn has_news(&self, scope: ReportScope) -> bool;
    /// The encoded notice; `None` if there is nothing to tell.
    fn notice(&self, scope: ReportScope) -> Option<Bytes>;
    /// Records the notice of another VM. Returns false if it is malformed.
    fn record_notice(&self, content: &[u8]) -> bool;
}

/// Dependencies of a [`NoticeService`].
pub struct NoticeParts {
    /// Knowledge that is shared.
    pub source: Box<dyn NoticeSource>,
    /// Mesh channel of the notices.
    pub channel: Channel,
    /// Current member view.
    pub members: MemberView,
    /// Recipient of frames to other VMs.
    pub mesh: Recipient<SendFrame>,
    /// Recipient of the registration for frames from other VMs.
    pub channels: Recipient<RegisterChannel>,
    /// Recipient of the subscription to ticks.
    pub timer: Recipient<Subscribe>,
}

/// Actor that exchanges notices over the mesh.
pub struct NoticeService {
    parts: NoticeParts,
    ticks: u64,
}

impl NoticeService {
    /// A service that is not yet started.
    #[must_use]
    pub fn new(parts: NoticeParts) -> NoticeService {
        NoticeService { parts, ticks: 0 }
    }

    fn live_members(&self) -> Vec<VmId> {
        let members = self.parts.members.load();
        let live = members
            .iter()
            .filter(|member| member.state != MemberState::Dead);
        live.map(|member| member.peer.id.clone()).collect()
    }

    fn send(&self, scope: ReportScope, receivers: impl Iterator<Item = VmId>) {
        let Some(body) = self.parts.source.notice(scope) else {
            return;
        };
        for to in receivers {
            self.parts.mesh.do_send(SendFrame {
                to,
                channel: self.parts.channel,
                body: body.clone(),
            });
        }
    }
}

impl Actor for NoticeService {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        self.parts.channels.do_send(RegisterChannel {
            channel: self.parts.channel,
            recipient: context.address().recipient(),
        });
        self.parts.timer.do_send(Subscribe {
            interval: NOTICE_INTERVAL,
            recipient: context.address().recipient(),
        });
    }
}

impl Handler<Tick> for NoticeService {
    type Result = ();

    fn handle(&mut self, _: Tick, _: &mut Self::Context) {
        self.ticks += 1;
        let source = &self.parts.source;
        source.tick();
        if source.has_news(ReportScope::Own) {
            self.send(ReportScope::Own, self.live_members().into_iter());
        } else if self.ticks.is_multiple_of(REPEAT_TICKS) {
            let members = self.live_members();
            let round = usize::try_from(self.ticks / REPEAT_TICKS).unwrap_or(0);
            let first = (round * REPEAT_RECEIVERS)
                .checked_rem(members.len())
                .unwrap_or(0);
            let turn = members.into_iter().cycle().skip(first);
            self.send(ReportScope::All, turn.take(REPEAT_RECEIVERS));
        }
    }
}

impl Handler<FrameReceived> for NoticeService {
    type Result = ();

    fn handle(&mut self, frame: FrameReceived, _: &mut Self::Context) {
        if !self.parts.source.record_notice(&frame.body) {
            tracing::debug!(event = "notice_malformed", channel = ?self.parts.channel, from = %frame.from);
        }
    }
}
