//! How the shared policy answers each load pattern.
//!
//! The bars are the stated ones: 95 of 100 online requests in time where the slots suffice, batch items against idle
//! capacity 0.90. Where slots do not suffice, the policy has to do better than the baselines.

use plantainmill_patterns::{LoadPattern, PatternReport, PolicyKind, run_pattern};
use rstest::rstest;

const SEEDS: [u64; 3] = [7, 21, 1_005];
const ONLINE_BAR: f64 = 0.95;
const BATCH_BAR: f64 = 0.90;

fn pattern(name: &str) -> LoadPattern {
    let found = LoadPattern::all()
        .into_iter()
        .find(|pattern| pattern.name == name);
    found.expect("a pattern of this name")
}

fn reports(name: &str, kind: PolicyKind) -> Vec<PatternReport> {
    let pattern = pattern(name);
    SEEDS
        .iter()
        .map(|seed| run_pattern(&pattern, kind, *seed))
        .collect()
}

/// Guards against online requests that wait behind batch items or where slots are taken, and against batch items that
/// starve, in loads that the slots suffice for.
#[rstest]
#[case("periodic peak")]
#[case("trough filling")]
#[case("rolling replacement")]
#[case("callers that leave early")]
#[case("VMs killed and back")]
fn enough_slots(#[case] name: &str) {
    for report in reports(name, PolicyKind::Shared) {
        assert!(report.online_share() >= ONLINE_BAR, "{name}: {report:?}");
        assert!(report.batch_share() >= BATCH_BAR, "{name}: {report:?}");
    }
}

/// Guards against one organisation that takes the slots of all others by sending many times its usual load: it bears the
/// shortage that it makes.
#[test]
fn surge_of_one() {
    let name = "one organisation's surge";
    let shared = reports(name, PolicyKind::Shared);
    for report in &shared {
        assert!(report.others_share() > report.online_share(), "{report:?}");
    }
    for kind in [PolicyKind::Alone, PolicyKind::RandomTwo] {
        for (report, baseline) in shared.iter().zip(reports(name, kind)) {
            let (others, before) = (report.others_share(), baseline.others_share());
            assert!(others > before, "{report:?} {baseline:?}");
        }
    }
}

/// Guards against others that are late during the surge although the slots suffice for them.
#[test]
fn others_in_a_surge() {
    for report in reports("one organisation's surge", PolicyKind::Shared) {
        assert!(report.others_share() >= ONLINE_BAR, "{report:?}");
    }
}

/// Guards against a policy that is no better than one without knowledge of its peers, in any load.
#[rstest]
#[case("periodic peak")]
#[case("trough filling")]
#[case("overload at the peak")]
#[case("batch burst")]
#[case("target loss at the peak")]
#[case("rolling replacement")]
#[case("callers that leave early")]
#[case("VMs killed and back")]
#[case("one organisation's surge")]
fn against_baselines(#[case] name: &str) {
    let shared = reports(name, PolicyKind::Shared);
    for kind in [PolicyKind::Alone, PolicyKind::RandomTwo] {
        for (report, baseline) in shared.iter().zip(reports(name, kind)) {
            assert!(
                report.online_share() > baseline.online_share(),
                "{name}: {report:?} {baseline:?}"
            );
            assert!(report.batch_share() >= BATCH_BAR, "{name}: {report:?}");
        }
    }
}

/// Guards against a comparison that a change of the order of maps or of the machine's load would turn.
#[rstest]
#[case("periodic peak")]
#[case("callers that leave early")]
#[case("VMs killed and back")]
fn same_every_time(#[case] name: &str) {
    let pattern = pattern(name);
    let run = || run_pattern(&pattern, PolicyKind::Shared, 7);
    assert_eq!(run(), run());
}
