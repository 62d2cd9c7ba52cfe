//! Measures the rate check of a request that finds a token in an own bucket, and ticks without load.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use plantainmill_admission::message::VmIncarnation;
use plantainmill_admission::output::{CommitTag, Output};
use plantainmill_admission::state::{RateSettings, RateState};
use plantainmill_config::{FleetConfig, OrganisationSpec};
use plantainmill_core::{OrganisationId, Uptime};
use plantainmill_provider::{CommitOutcome, RowEntry, TableWrite};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

/// Rate and burst that the benchmark does not exhaust.
const AMPLE_RATE: f64 = 1e8;
const AMPLE_BURST: u32 = 1_000_000;
/// Virtual time between two requests.
const STEP: Duration = Duration::from_micros(1);

/// In-memory table that responds immediately.
#[derive(Default)]
struct DirectTable {
    rows: BTreeMap<String, RowEntry>,
    revision: u64,
}

impl DirectTable {
    fn commit(&mut self, write: TableWrite) -> CommitOutcome {
        self.revision += 1;
        for (key, value) in write.puts {
            let row = RowEntry {
                key: key.clone(),
                revision: self.revision,
                value,
            };
            self.rows.insert(key.to_string(), row);
        }
        CommitOutcome::Committed {
            revision: self.revision,
        }
    }
}

fn perform(state: &mut RateState, table: &mut DirectTable, out: Vec<Output>, now: Uptime) {
    let mut more = Vec::new();
    for output in out {
        match output {
            Output::ReadRows { read } => {
                let rows = table.rows.values().cloned().collect();
                state.handle_rows_result(read, Ok(rows), now, &mut more);
            }
            Output::ReadVms => state.handle_vms_result(Ok(Vec::new()), now),
            Output::Commit { tag, write } => {
                let tag: CommitTag = tag;
                let outcome = table.commit(write);
                state.handle_commit_result(&tag, &Ok(outcome), now, &mut more);
            }
            _ => {}
        }
    }
    if !more.is_empty() {
        perform(state, table, more, now);
    }
}

/// State of a VM that holds all slots of its domain, with `organisations` configured organisations.
fn converged_state(organisations: u32) -> (RateState, Uptime) {
    let spec = OrganisationSpec {
        rate: AMPLE_RATE,
        burst: AMPLE_BURST,
        weight: 1,
    };
    let ids = (0..organisations).map(|number| OrganisationId::from(format!("org-{number}")));
    let config = FleetConfig {
        version: 1,
        organisations: Arc::new(ids.map(|id| (id, spec.clone())).collect()),
        ..FleetConfig::default()
    };
    let own = VmIncarnation {
        vm: "vm-0".into(),
        incarnation: 1,
    };
    let mut state = RateState::new(own, "domain-0".into(), RateSettings::default());
    let mut table = DirectTable::default();
    let mut now = Uptime::ZERO;
    state.set_config(Arc::new(config), now);
    for _ in 0..200 {
        now += Duration::from_millis(20);
        let mut out = Vec::new();
        state.tick(now, &mut out);
        perform(&mut state, &mut table, out, now);
    }
    assert!(state.is_converged());
    (state, now)
}

fn admit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit");
    for organisations in [8, 23_000] {
        let (mut state, mut now) = converged_state(organisations);
        let ids: Vec<OrganisationId> = (0..organisations.min(512))
            .map(|number| OrganisationId::from(format!("org-{number}")))
            .collect();
        let mut out = Vec::new();
        let mut turn = 0;
        group.bench_function(BenchmarkId::from_parameter(organisations), |bencher| {
            bencher.iter(|| {
                now += STEP;
                turn = (turn + 1) % ids.len();
                out.clear();
                black_box(state.admit(&ids[turn], now, &mut out))
            });
        });
    }
    group.finish();
}

/// A tick with 23,000 organisations and no requests.
fn tick_at_rest(criterion: &mut Criterion) {
    let (mut state, mut now) = converged_state(23_000);
    let mut out = Vec::new();
    criterion.bench_function("tick/23000 at rest", |bencher| {
        bencher.iter(|| {
            now += Duration::from_millis(20);
            out.clear();
            state.tick(now, &mut out);
        });
    });
}

criterion_group!(benches, admit, tick_at_rest);
criterion_main!(benches);
