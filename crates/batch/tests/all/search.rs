//! Exhaustive state search of the lease code: two holders, one chunk, commits, a cancel, a takeover, lost responses.

use pathfinding::directed::bfs::bfs_reach;
use plantainmill_batch::items::ItemSet;
use plantainmill_batch::lease::{ChunkLease, LeaseInput, LeaseOutput, LeasePhase, LeaseWrite};
use plantainmill_batch::rows::{ChunkRow, HolderId, SegmentEntry};

/// Maximum number of responses lost on one path.
const MAX_LOST_RESPONSES: u8 = 2;

/// A holder with its requests in flight.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Holder {
    lease: ChunkLease,
    /// Writes in flight to the table; each takes effect at most once, at any time.
    writes: Vec<(Option<u64>, u64, ChunkRow)>,
    /// Response to the last write, not yet received by the holder.
    response: Option<WriteResponse>,
    reading: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum WriteResponse {
    Committed(u64),
    Conflict,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Model {
    row: Option<(u64, ChunkRow)>,
    job_revision: u64,
    cancelled: bool,
    next_revision: u64,
    holders: [Option<Holder>; 2],
    lost_responses: u8,
    /// Chunk row at the time of the cancel.
    at_cancel: Option<ChunkRow>,
}

fn holder_id(index: usize) -> HolderId {
    HolderId {
        vm: format!("vm-{index}").into(),
        incarnation: 1,
    }
}

impl Model {
    fn start() -> Model {
        Model {
            row: None,
            job_revision: 1,
            cancelled: false,
            next_revision: 2,
            holders: [None, None],
            lost_responses: 0,
            at_cancel: None,
        }
    }

    fn successors(&self) -> Vec<Model> {
        let mut next = Vec::new();
        for index in 0..2 {
            self.claim(index, &mut next);
            self.save(index, &mut next);
            self.deliver(index, &mut next);
            self.receive_response(index, &mut next);
            self.read(index, &mut next);
        }
        self.cancel(&mut next);
        next
    }

    /// A holder claims the chunk as it is in the table; the other holder may be alive, paused or lost.
    fn claim(&self, index: usize, next: &mut Vec<Model>) {
        let done = self.row.as_ref().is_some_and(|(_, row)| row.done);
        if self.holders[index].is_some() || self.cancelled || done {
            return;
        }
        let mut model = self.clone();
        let mut lease = ChunkLease::new(holder_id(index), self.row.clone(), self.job_revision);
        let output = lease.step(LeaseInput::Claim);
        let mut holder = Holder {
            lease,
            writes: Vec::new(),
            response: None,
            reading: false,
        };
        holder.apply(output);
        model.holders[index] = Some(holder);
        next.push(model);
    }

    /// A holder commits the single item of the chunk.
    fn save(&self, index: usize, next: &mut Vec<Model>) {
        let Some(holder) = &self.holders[index] else {
            return;
        };
        if holder.lease.phase() != LeasePhase::Held {
            return;
        }
        let mut model = self.clone();
        let holder = model.holders[index].as_mut().unwrap();
        let mut row = holder.lease.next_row().unwrap();
        row.segments.push(SegmentEntry {
            name: format!("vm-{index}").into(),
            completed: ItemSet::first(1),
            failed: ItemSet::default(),
            output_bytes: 1,
            error_bytes: 0,
        });
        row.charges += 1;
        row.done = true;
        let output = holder.lease.step(LeaseInput::Save(row));
        holder.apply(output);
        next.push(model);
    }

    /// The table handles a write in flight, and responds to the last one.
    fn deliver(&self, index: usize, next: &mut Vec<Model>) {
        let Some(holder) = &self.holders[index] else {
            return;
        };
        for position in 0..holder.writes.len() {
            let mut model = self.clone();
            let holder = model.holders[index].as_mut().unwrap();
            let (revision, job_revision, row) = holder.writes.remove(position);
            let holds = model.row.as_ref().map(|(revision, _)| *revision) == revision
                && model.job_revision == job_revision;
            let response = if holds {
                let revision = model.next_revision;
                model.next_revision += 1;
                model.row = Some((revision, row));
                WriteResponse::Committed(revision)
            } else {
                WriteResponse::Conflict
            };
            let holder = model.holders[index].as_mut().unwrap();
            if holder.lease.phase() == LeasePhase::Writing
                && holder.response.is_none()
                && position + 1 == self.holders[index].as_ref().unwrap().writes.len()
            {
                holder.response = Some(response);
            }
            next.push(model);
        }
    }

    /// The holder receives its response or loses it; a write without a response may still be in flight.
    fn receive_response(&self, index: usize, next: &mut Vec<Model>) {
        let Some(holder) = &self.holders[index] else {
            return;
        };
        if let Some(response) = holder.response {
            let mut model = self.clone();
            let holder = model.holders[index].as_mut().unwrap();
            holder.response = None;
            let input = match response {
                WriteResponse::Committed(revision) => LeaseInput::Committed { revision },
                WriteResponse::Conflict => LeaseInput::Conflict,
            };
            let output = holder.lease.step(input);
            holder.apply(output);
            next.push(model);
        }
        if holder.lease.phase() == LeasePhase::Writing && self.lost_responses < MAX_LOST_RESPONSES {
            let mut model = self.clone();
            model.lost_responses += 1;
            let holder = model.holders[index].as_mut().unwrap();
            holder.response = None;
            let output = holder.lease.step(LeaseInput::Unknown);
            holder.apply(output);
            next.push(model);
        }
    }

    /// The holder reads the job row and the chunk row.
    fn read(&self, index: usize, next: &mut Vec<Model>) {
        if !self.holders[index]
            .as_ref()
            .is_some_and(|holder| holder.reading)
        {
            return;
        }
        let mut model = self.clone();
        let input = LeaseInput::RowsRead {
            chunk: self.row.clone(),
            job_revision: (!self.cancelled).then_some(self.job_revision),
        };
        let holder = model.holders[index].as_mut().unwrap();
        holder.reading = false;
        let output = holder.lease.step(input);
        let writes = matches!(output, LeaseOutput::Write(_));
        assert!(
            !(writes && self.cancelled),
            "a write is retried after the job has ended"
        );
        holder.apply(output);
        next.push(model);
    }

    fn cancel(&self, next: &mut Vec<Model>) {
        if self.cancelled {
            return;
        }
        let mut model = self.clone();
        model.cancelled = true;
        model.job_revision = model.next_revision;
        model.next_revision += 1;
        model.at_cancel = self.row.as_ref().map(|(_, row)| row.clone());
        next.push(model);
    }

    fn check(&self) {
        if let Some((_, row)) = &self.row {
            assert!(
                row.segments.len() <= 1,
                "an item is committed twice: {self:?}"
            );
            assert_eq!(
                row.charges,
                row.segments.len() as u64,
                "charges differ: {self:?}"
            );
        }
        if self.cancelled {
            let row = self.row.as_ref().map(|(_, row)| row);
            let at_cancel = self.at_cancel.as_ref();
            assert_eq!(row, at_cancel, "the row changed after the cancel");
        }
        for (index, holder) in self.holders.iter().enumerate() {
            let Some(holder) = holder else {
                continue;
            };
            if holder.lease.phase() == LeasePhase::Closed {
                let own = self
                    .row
                    .as_ref()
                    .is_some_and(|(_, row)| row.holder == holder_id(index) && row.done);
                assert!(own, "a holder reports a lost result as committed: {self:?}");
            }
        }
    }
}

impl Holder {
    fn apply(&mut self, output: LeaseOutput) {
        match output {
            LeaseOutput::Write(LeaseWrite {
                revision,
                job_revision,
                row,
            }) => self.writes.push((revision, job_revision, row)),
            LeaseOutput::Read => self.reading = true,
            LeaseOutput::Saved | LeaseOutput::Lost | LeaseOutput::Stopped => {}
            LeaseOutput::Ignored => {
                panic!("the search sent an input that the phase does not accept")
            }
        }
    }
}

/// Guards against any order of events that commits an item twice, changes a row after a cancel, or reports a write as
/// committed that did not take effect.
#[test]
fn lease_search() {
    let mut states = 0;
    let mut done = 0;
    for model in bfs_reach(Model::start(), Model::successors) {
        model.check();
        states += 1;
        done += usize::from(model.row.is_some_and(|(_, row)| row.done));
    }
    // A search that reaches few states would prove nothing.
    assert!(states > 1_000, "{states} states");
    assert!(done > 100, "{done} states with a committed item");
    println!("{states} states, {done} with a committed item");
}
