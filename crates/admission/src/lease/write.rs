//! Writes of a slot row and what their answers mean for the lease.

use super::{LEASE_TIME, LeasePhase, PendingWrite, SeenRow, SlotLease, TAKEOVER_WAIT, WriteKind};
use crate::message::SlotRow;
use crate::output::{CommitTag, Output};
use plantainmill_core::Uptime;
use plantainmill_provider::{Expected, TableWrite};
use std::time::Duration;

impl SlotLease {
    pub(super) fn write(
        &mut self,
        kind: WriteKind,
        row: SlotRow,
        now: Uptime,
        out: &mut Vec<Output>,
    ) {
        let seen = self.seen.as_ref();
        let expected = seen.map_or(Expected::Absent, |seen| Expected::Revision(seen.revision));
        let current = seen.and_then(|seen| seen.row.witness.as_ref());
        let known_before = self.witness_known;
        if kind == WriteKind::Renew && current != row.witness.as_ref() {
            self.doubt_witness(now);
        }
        let key = self.slot.row_key();
        let value = serde_json::to_value(&row).unwrap_or_default();
        let write = TableWrite::new()
            .expect(key.clone(), expected)
            .put(key, value);
        self.calls += 1;
        let call = self.calls;
        self.last_write = Some(now);
        self.pending = Some(PendingWrite {
            call,
            kind,
            row,
            sent: now,
            known_before,
        });
        let tag = CommitTag::Slot(self.slot.clone(), call);
        out.push(Output::Commit { tag, write });
    }

    /// A write that names another witness is on its way: the old one must not renew any more, and a lease
    /// without a witness, which does not run out, becomes an ordinary one.
    pub(super) fn doubt_witness(&mut self, now: Uptime) {
        self.witness_known = false;
        self.renewal = None;
        self.valid_until = self.valid_until.min(now + LEASE_TIME);
    }

    /// The write certainly had no effect, so the doubt that it raised is over.
    pub(super) fn not_written(&mut self, write: &PendingWrite) {
        self.witness_known = write.known_before;
        let seen = self.seen.as_ref();
        let unwitnessed = seen.is_some_and(|seen| seen.row.witness.is_none());
        if write.kind == WriteKind::Renew && unwitnessed && self.witness_known && self.is_held() {
            self.valid_until = Uptime::MAX;
        }
    }

    pub(super) fn committed(
        &mut self,
        write: PendingWrite,
        revision: u64,
        now: Uptime,
        out: &mut Vec<Output>,
    ) {
        let unwitnessed = write.row.witness.is_none();
        self.seen = Some(SeenRow {
            row: write.row,
            revision,
            since: now,
        });
        self.witness_known = true;
        match write.kind {
            WriteKind::Release => {
                out.push(Output::RowsChanged);
                return;
            }
            WriteKind::Claim { wait } => {
                let delay = if wait { TAKEOVER_WAIT } else { Duration::ZERO };
                self.phase = LeasePhase::Waiting(now + delay);
            }
            WriteKind::Renew => {}
        }
        let end = write.sent + LEASE_TIME;
        self.valid_until = if unwitnessed {
            Uptime::MAX
        } else {
            self.valid_until.max(end)
        };
    }
}
