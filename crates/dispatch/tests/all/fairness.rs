//! Fair sharing of capacity between organisations.

use crate::harness::Harness;
use crate::support::{add_organisation, fleet};
use plantainmill_dispatch::TrafficClass::Online;
use plantainmill_dispatch::fair_queue::FairQueue;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

/// Guards against an organisation that displaces others by sending more requests. With one organisation at 5 times its
/// fair share, every other one must be served at least 0.95 of its load.
#[rstest]
fn greedy_organisation() {
    let mut config = fleet(2, 8);
    for id in ["o0", "o1", "o2", "o3"] {
        add_organisation(&mut config, id, 1);
    }
    let mut harness = Harness::new(config, &[("d0", "r0"); 4]);
    // 16 slots of 100 ms serve 160 requests per second, so the fair share of each organisation is 40 per second.
    let mut served: BTreeMap<usize, usize> = BTreeMap::new();
    let mut organisations = BTreeMap::new();
    let mut offered = [0_usize; 4];
    for step in 0..8_000_u64 {
        // The concurrency windows adapt during the first three seconds.
        let counted = step >= 3_000;
        for (organisation, period) in [5, 25, 25, 25].into_iter().enumerate() {
            let phase = u64::try_from(organisation).unwrap();
            if (step + phase).is_multiple_of(period) {
                let vm = usize::try_from(step / period).unwrap() % 4;
                let call = harness.submit(vm, Online, &format!("o{organisation}"));
                organisations.insert(call, organisation);
                offered[organisation] += usize::from(counted);
            }
        }
        harness.run(Duration::from_millis(1));
        let now = harness.now;
        let done = harness.granted_at.iter();
        let done = done.filter(|(_, at)| now >= **at + Duration::from_millis(100));
        let done = done.map(|(call, _)| *call).collect::<Vec<_>>();
        for call in done {
            harness.granted_at.remove(&call);
            harness.complete(call);
            *served.entry(organisations[&call]).or_default() += usize::from(counted);
        }
    }
    for organisation in 1..4 {
        // Excludes requests of the last 100 ms, which are still running, and those that are still queued.
        let due = offered[organisation] - 6;
        assert!(
            served[&organisation] * 100 >= due * 95,
            "{served:?} of {offered:?}"
        );
    }
}

/// Guards against weights that are ignored: the share of each lane must follow its weight within one round.
#[rstest]
fn weights_followed() {
    let mut queue = FairQueue::default();
    for _ in 0..100 {
        queue.push(&"light".into(), 1, 1);
        queue.push(&"heavy".into(), 3, 3);
    }
    let first = (0..80).filter_map(|_| queue.pop()).collect::<Vec<_>>();
    let heavy = first.iter().filter(|weight| **weight == 3).count();
    assert!((59..=61).contains(&heavy), "{heavy}");
}

/// Guards against entries that are lost or returned twice after removals.
#[rstest]
fn removal_consistent() {
    let mut queue = FairQueue::default();
    for index in 0..30 {
        queue.push(&format!("o{}", index % 3).into(), 2, index);
    }
    queue.retain(|index| index % 3 != 1);
    assert_eq!(queue.len(), 20);
    let mut rest = std::iter::from_fn(|| queue.pop()).collect::<Vec<_>>();
    rest.sort_unstable();
    let expected = (0..30).filter(|index| index % 3 != 1).collect::<Vec<_>>();
    assert_eq!(rest, expected);
}
