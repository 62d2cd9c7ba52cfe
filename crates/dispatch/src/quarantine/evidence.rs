//! Evidence against one prompt part, or against one request as a whole.

use super::message::QuarantineKind;
use plantainmill_core::{RequestHash, Uptime};
use std::collections::HashSet;
use std::time::Duration;

/// Time after which a loss no longer counts.
pub(super) const LOSS_RETENTION: Duration = Duration::from_mins(1);
/// Largest number of losses that are kept for one part or request. More would not change the decision.
const MAX_LOSSES: usize = 12;
/// Bound on the delay of a report, by which the times of losses at different VMs may be wrong.
pub(super) const REPORT_DELAY: Duration = Duration::from_millis(750);
/// Time in which a lost target cannot have started again: losses of one target within it are one loss.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// A call that was lost together with its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct LossRecord {
    /// Hash of the target.
    pub target: u64,
    /// Hash of the VM that lost the call.
    pub reporter: u64,
    /// Hash of the request; zero if the reporter did not tell it.
    pub request: RequestHash,
    pub sent_at: Uptime,
    pub lost_at: Uptime,
    /// When this VM learned of the loss.
    pub recorded_at: Uptime,
    /// The loss has been included in a report of this VM, or came with one.
    pub is_known: bool,
}

/// Losses of targets under one part since a call with the part last began an answer, or under one request since it last had
/// a complete response.
#[derive(Clone, Debug)]
pub(super) struct PartEvidence {
    /// What the losses may be due to.
    pub kind: QuarantineKind,
    /// Hash of the service whose targets were lost.
    pub service: u64,
    /// Calls of the service without the part, or of other requests, that began an answer since the first loss. They show
    /// that the service works otherwise.
    pub others_started: u32,
    losses: Vec<LossRecord>,
}

impl PartEvidence {
    pub fn new(kind: QuarantineKind, service: u64) -> PartEvidence {
        PartEvidence {
            kind,
            service,
            others_started: 0,
            losses: Vec::new(),
        }
    }

    pub fn losses(&self) -> &[LossRecord] {
        &self.losses
    }

    pub fn losses_mut(&mut self) -> impl Iterator<Item = &mut LossRecord> {
        self.losses.iter_mut()
    }

    /// Adds a loss, unless it is that of a target whose loss is known. Returns whether it was added.
    pub fn add(&mut self, loss: LossRecord) -> bool {
        let is_same = |known: &LossRecord| {
            known.target == loss.target && loss.sent_at < known.lost_at + RESTART_TIME
        };
        let is_repeated = self
            .losses
            .iter()
            .any(|known| known.request == loss.request);
        if let Some(known) = self.losses.iter_mut().find(|known| is_same(known)) {
            // Of the requests that were cut with the target, one that was lost before is the likely cause.
            if is_repeated {
                known.request = loss.request;
            }
            return false;
        }
        if self.losses.len() < MAX_LOSSES {
            self.losses.push(loss);
            return true;
        }
        self.replace(loss)
    }

    /// Adds a loss in place of one that the longest sequence does not need. Returns false if it makes no sequence longer.
    fn replace(&mut self, loss: LossRecord) -> bool {
        let length = self.sequence_length();
        let with_loss = self.losses.iter().copied().chain([loss]);
        let with_loss: Vec<LossRecord> = with_loss.collect();
        let shortened = (0..self.losses.len()).map(|index| {
            let mut shortened = with_loss.clone();
            shortened.remove(index);
            shortened
        });
        let longer = shortened
            .into_iter()
            .find(|losses| sequence_length(losses) > length);
        longer.map(|losses| self.losses = losses).is_some()
    }

    /// Number of different requests that were lost. One whose reporter did not tell the request counts by itself.
    pub fn request_count(&self) -> usize {
        let unknown = self.requests().filter(|request| *request == 0).count();
        let known: HashSet<RequestHash> = self.requests().filter(|request| *request != 0).collect();
        unknown + known.len()
    }

    fn requests(&self) -> impl Iterator<Item = RequestHash> {
        self.losses.iter().map(|loss| loss.request)
    }

    /// Removes the losses of calls that were not sent after `sent_at`. Returns whether others know of any of them.
    pub fn clear_until(&mut self, sent_at: Uptime) -> bool {
        let is_cleared = |loss: &LossRecord| loss.sent_at <= sent_at;
        let mut losses = self.losses.iter();
        let is_known = losses.any(|loss| is_cleared(loss) && loss.is_known);
        self.losses.retain(|loss| !is_cleared(loss));
        is_known
    }

    /// Removes losses that are explained by another part of the same calls, and those that are too old.
    pub fn retain(&mut self, keeps: impl Fn(&LossRecord) -> bool, now: Uptime) {
        self.losses
            .retain(|loss| keeps(loss) && now.saturating_sub(loss.recorded_at) < LOSS_RETENTION);
    }

    pub fn last_recorded(&self) -> Uptime {
        let recorded = self.losses.iter().map(|loss| loss.recorded_at);
        recorded.max().unwrap_or_default()
    }

    pub fn last_sent(&self) -> Uptime {
        let sent = self.losses.iter().map(|loss| loss.sent_at);
        sent.max().unwrap_or_default()
    }

    /// Length of the longest sequence of losses in which each call was sent after the loss before it. Losses at the same
    /// time have one cause, such as the loss of a failure domain, and say little about the part.
    pub fn sequence_length(&self) -> usize {
        sequence_length(&self.losses)
    }
}

fn sequence_length(losses: &[LossRecord]) -> usize {
    let mut losses = losses.to_vec();
    losses.sort_by_key(|loss| loss.lost_at);
    let mut lengths: Vec<usize> = Vec::with_capacity(losses.len());
    for (index, loss) in losses.iter().enumerate() {
        let earlier = losses[..index].iter().zip(&lengths);
        let before = earlier.filter(|(earlier, _)| follows(loss, earlier));
        let longest = before.map(|(_, length)| *length).max();
        lengths.push(longest.unwrap_or(0) + 1);
    }
    lengths.into_iter().max().unwrap_or(0)
}

/// Whether the call of `loss` was certainly sent after the loss of `earlier`.
fn follows(loss: &LossRecord, earlier: &LossRecord) -> bool {
    let margin = if loss.reporter == earlier.reporter {
        Duration::ZERO
    } else {
        REPORT_DELAY
    };
    loss.sent_at >= earlier.lost_at + margin
}
