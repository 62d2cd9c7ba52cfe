//! Processor time and memory at the size of the largest fleet: 23,000 organisations and 7,300 changes a day.

use plantainmill_config::{
    ConfigChange, ConfigEdit, ConfigInput, ConfigReplica, ConfigView, KeySpec, LogEntry,
    OrganisationSpec,
};
use plantainmill_core::secret::hash_secret;
use std::time::{Duration, Instant};

const ORGANISATIONS: u32 = 23_000;
const CHANGES_A_DAY: u32 = 7_300;
const DAY_MS: u64 = 86_400_000;
/// Number of changes that are timed; each of them costs the same.
const SAMPLE: u32 = 20;
/// Processor budget of one VM: 3.8% of a core.
const CORE_PER_MILLE: u64 = 38;
/// Memory budget of one VM: 64 MB.
const MEMORY_KB: u64 = 64 * 1_024;

fn edits_of(number: u32, rate: f64) -> Vec<ConfigEdit> {
    let id = format!("organisation-{number}");
    let spec = KeySpec {
        organisation: id.as_str().into(),
        hash: hash_secret(&id),
        label: "kiosk".into(),
        expires_at: None,
    };
    let key = ConfigEdit::PutKey {
        id: format!("key-{number}").into(),
        spec,
    };
    let spec = OrganisationSpec {
        rate,
        burst: 10,
        weight: 1,
    };
    let id = id.into();
    vec![ConfigEdit::PutOrganisation { id, spec }, key]
}

fn entry(version: u64, edits: Vec<ConfigEdit>) -> LogEntry {
    LogEntry {
        parent: if version == 1 { "" } else { "op" }.into(),
        change: ConfigChange {
            version,
            operation: "op".into(),
            author: "operator".into(),
            time: 0,
            reason: "a reason of usual length".to_owned(),
            edits,
        },
    }
}

/// Resident memory of this process, from `/proc`; 0 if it cannot be read.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Applying a day's changes to the largest configuration stays within the memory and processor budgets.
///
/// The processor budget allows 449 ms for a change, several times its cost even without optimisation, so a busy
/// machine does not fail the test. Copying the configuration for each reader or each edit exceeds the budget.
#[test]
fn day_within_budget() {
    let before = resident_kb();
    let mut replica = ConfigReplica::default();
    let view = ConfigView::default();
    let organisations: Vec<u32> = (0..ORGANISATIONS).collect();
    for (chunk, version) in organisations.chunks(128).zip(1..) {
        let edits = chunk.iter().flat_map(|number| edits_of(*number, 1.0));
        let entries = vec![entry(version, edits.collect())];
        replica.handle(ConfigInput::EntriesRead { entries }, Duration::ZERO);
        view.publish(replica.config().clone());
    }
    assert_eq!(view.load().organisations.len(), organisations.len());
    let first = replica.config().version;
    let started = Instant::now();
    for number in 0..SAMPLE {
        let version = replica.config().version + 1;
        let edits = edits_of(number, 2.0);
        let entries = vec![entry(version, edits)];
        replica.handle(ConfigInput::EntriesRead { entries }, Duration::ZERO);
        view.publish(replica.config().clone());
    }
    let each = started.elapsed() / SAMPLE;
    let spent = u64::try_from((each * CHANGES_A_DAY).as_millis()).unwrap_or(u64::MAX);
    assert_eq!(view.load().version, first + u64::from(SAMPLE));
    assert!(spent < DAY_MS * CORE_PER_MILLE / 1_000, "{spent} ms");
    let grown = resident_kb().saturating_sub(before);
    assert!(grown < MEMORY_KB, "{grown} kB");
    println!("{spent} ms for a day's changes, {grown} kB");
}
