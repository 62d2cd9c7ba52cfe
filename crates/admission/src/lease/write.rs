//! Writes of a slot row, and the effect of their results on the lease.

use super::{
    LEASE_DURATION, LeasePhase, ObservedRow, PendingWrite, SlotLease, TAKEOVER_WAIT, WriteKind,
};
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
        let observed = self.observed.as_ref();
        let expected = observed.map_or(Expected::Absent, |row| Expected::Revision(row.revision));
        let current = observed.and_then(|observed| observed.row.witness.as_ref());
        let witness_known_before = self.witness_known;
        if kind == WriteKind::Renew && current != row.witness.as_ref() {
            self.invalidate_witness(now);
        }
        let key = self.slot.row_key();
        let value = serde_json::to_value(&row).unwrap_or_default();
        let write = TableWrite::new()
            .expect(key.clone(), expected)
            .put(key, value);
        self.write_count += 1;
        let write_number = self.write_count;
        self.last_write = Some(now);
        self.pending = Some(PendingWrite {
            write_number,
            kind,
            row,
            sent_at: now,
            witness_known_before,
        });
        let tag = CommitTag::Slot(self.slot.clone(), write_number);
        out.push(Output::Commit { tag, write });
    }

    /// Called when a write that changes the witness is issued: the old witness must not renew any more, and a lease
    /// without a witness, which does not expire, becomes one that does.
    pub(super) fn invalidate_witness(&mut self, now: Uptime) {
        self.witness_known = false;
        self.renewal = None;
        self.valid_until = self.valid_until.min(now + LEASE_DURATION);
    }

    /// Restores the state from before a write that certainly had no effect.
    pub(super) fn revert_write(&mut self, write: &PendingWrite) {
        self.witness_known = write.witness_known_before;
        let observed = self.observed.as_ref();
        let has_no_witness = observed.is_some_and(|observed| observed.row.witness.is_none());
        if write.kind == WriteKind::Renew && has_no_witness && self.witness_known && self.is_held()
        {
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
        let has_no_witness = write.row.witness.is_none();
        self.observed = Some(ObservedRow {
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
        let end = write.sent_at + LEASE_DURATION;
        self.valid_until = if has_no_witness {
            Uptime::MAX
        } else {
            self.valid_until.max(end)
        };
    }
}
