//! Targets whose responses say that they leave: one VM's decisions, and what a fleet of VMs knows. Virtual time, no network.

use plantainmill_dispatch::notice::ReportScope;
use plantainmill_dispatch::shared::{LeavingEntry, LeavingLedger, LeavingReport};
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;
use std::time::Duration;

const BORN: u64 = 1_773_082_075_000;
const VMS: usize = 300;
const DOMAIN_VMS: usize = 20;
/// Interval between notices with news, and between those of readers without.
const NEWS_INTERVAL: u64 = 100;
const REPEAT_INTERVAL: u64 = 500;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a target that is taken for one that leaves after it has started again, and against the opposite.
#[rstest]
#[case::same_start(BORN, BORN, true)]
#[case::restarted(BORN, BORN + 1, false)]
#[case::old_entry(BORN, BORN - 1, true)]
#[case::unknown_start(0, BORN, true)]
#[case::unknown_entry(BORN, 0, true)]
fn target_starts(#[case] said: u64, #[case] born: u64, #[case] is_leaving: bool) {
    let mut ledger = LeavingLedger::default();
    assert!(ledger.record_response(&"i-1".into(), said, at(0)));
    assert!(!ledger.record_response(&"i-1".into(), said, at(1)));
    assert_eq!(ledger.is_leaving(&"i-1".into(), born), is_leaving);
    assert!(!ledger.is_leaving(&"i-2".into(), born));
}

/// Guards against a late report about an earlier start of a target that ends what is known of the present one.
#[test]
fn earlier_start() {
    let mut ledger = LeavingLedger::default();
    ledger.record_response(&"i-1".into(), BORN + 5, at(0));
    let entry = LeavingEntry {
        target: "i-1".into(),
        born: BORN,
        age_ms: 0,
    };
    let report = LeavingReport {
        entries: vec![entry],
    };
    assert!(ledger.record_report(&report, at(1)).is_empty());
    assert!(ledger.is_leaving(&"i-1".into(), BORN + 5));
}

/// Guards against beliefs without an end and memory without a bound.
#[test]
fn bounded_marks() {
    let mut ledger = LeavingLedger::default();
    for number in 0..5_000 {
        ledger.record_response(&format!("i-{number}").into(), BORN, at(0));
    }
    assert_eq!(ledger.count(), 1_024);
    assert!(!ledger.tick(at(599_999)));
    assert!(ledger.tick(at(600_000)));
    assert_eq!(ledger.count(), 0);
}

/// Guards against reports that keep a belief alive in a circle: the time counts from the last response, at all VMs.
#[test]
fn circling_reports() {
    let mut ledgers = [LeavingLedger::default(), LeavingLedger::default()];
    ledgers[0].record_response(&"i-1".into(), BORN, at(0));
    for now in (0..601_000).step_by(500) {
        for (sender, receiver) in [(0, 1), (1, 0)] {
            let report = ledgers[sender].report(ReportScope::All, at(now));
            ledgers[receiver].record_report(&report, at(now));
            ledgers[receiver].tick(at(now));
        }
    }
    assert_eq!((ledgers[0].count(), ledgers[1].count()), (0, 0));
}

/// Guards against VMs that do not learn in time what another one was told, while notices are lost and domains are out of touch
/// at first.
#[rstest]
#[case(7)]
#[case(21)]
#[case(1_005)]
fn told_fleet(#[case] seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut ledgers: Vec<LeavingLedger> = (0..VMS).map(|_| LeavingLedger::default()).collect();
    ledgers[57].record_response(&"i-1".into(), BORN, at(0));
    let is_reader = |vm: usize| vm % DOMAIN_VMS < 2;
    for now in (0..2_500).step_by(usize::try_from(NEWS_INTERVAL).expect("fits")) {
        for sender in 0..VMS {
            let scope = if is_reader(sender) {
                ReportScope::All
            } else {
                ReportScope::Own
            };
            let is_repeat = is_reader(sender) && now % REPEAT_INTERVAL == 0;
            if !is_repeat && !ledgers[sender].has_news(scope, at(now)) {
                continue;
            }
            let report = ledgers[sender].report(scope, at(now));
            let domain = sender / DOMAIN_VMS;
            for (receiver, ledger) in ledgers.iter_mut().enumerate() {
                let is_same = receiver / DOMAIN_VMS == domain;
                // Domain 9 is out of touch for a second.
                let is_far = receiver % DOMAIN_VMS == 0
                    && sender % DOMAIN_VMS == 0
                    && (now >= 1_000 || receiver / DOMAIN_VMS != 9);
                let is_lost = random.random_range(0..10) < 3;
                if receiver != sender && (is_same || is_far) && !is_lost {
                    ledger.record_report(&report, at(now));
                }
            }
        }
    }
    let told = ledgers
        .iter()
        .filter(|ledger| ledger.is_leaving(&"i-1".into(), BORN));
    assert_eq!(told.count(), VMS);
}
