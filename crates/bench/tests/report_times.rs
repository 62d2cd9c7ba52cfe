//! Times of a report: guards against histograms that clamp them to their first bounds.

use plantainmill_bench::PhaseReport;
use plantainmill_bench::online::{ContractBucket, OnlineCounts, OnlineOutcome};
use plantainmill_bench::scenario::OnlineLoad;
use std::collections::BTreeMap;
use std::time::Duration;

fn load() -> OnlineLoad {
    OnlineLoad {
        name: "kandy".into(),
        offered_per_s: 1.0,
        rate_per_s: 1.0,
        burst: 1.0,
        model: "assistant".into(),
        prompt_words: 1,
        max_tokens: 1,
        one_vm: false,
    }
}

#[test]
fn long_times() {
    let mut counts = OnlineCounts::new();
    let outcome = OnlineOutcome::Served {
        first_token: Duration::from_millis(1_300),
        gaps: vec![Duration::from_millis(30)],
    };
    counts.record(&outcome, true);
    let all = BTreeMap::from([("kandy".into(), counts)]);
    let report = PhaseReport::new(&all, &[load()], 0, 1.0);
    assert!(
        (report.first_token.p95_ms - 1_300.0).abs() < 2.0,
        "{report:?}"
    );
    assert!((report.gap.p95_ms - 30.0).abs() < 0.1, "{report:?}");
}

/// Guards against counting one token as refused many times: an organisation far over its rate that gets all of it
/// has no wrongful refusals.
#[test]
fn greedy_organisation() {
    let mut counts = OnlineCounts::new();
    let mut bucket = ContractBucket::new(1.0, 1.0, Duration::ZERO);
    let served = OnlineOutcome::Served {
        first_token: Duration::ZERO,
        gaps: Vec::new(),
    };
    for second in 0..10 {
        for call in 0..5 {
            let within = bucket.take(Duration::from_secs(second));
            // The fleet serves another of the five requests than the contract's bucket would.
            let outcome = if call == 4 {
                &served
            } else {
                &OnlineOutcome::Limited
            };
            counts.record(outcome, within);
        }
    }
    assert_eq!((counts.limited, counts.wrongful()), (40, 0));
}

#[test]
fn wrongful_refusal() {
    let mut counts = OnlineCounts::new();
    let mut bucket = ContractBucket::new(1.0, 1.0, Duration::ZERO);
    for _ in 0..2 {
        let within = bucket.take(Duration::ZERO);
        counts.record(&OnlineOutcome::Limited, within);
    }
    assert_eq!((counts.limited, counts.wrongful()), (2, 1));
}
