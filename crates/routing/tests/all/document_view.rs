//! Tests of the current document and its age.

use plantainmill_routing::{CallerLimits, DocumentView, FleetDocument};
use std::collections::BTreeMap;
use std::time::Duration;

fn document(version: u64) -> FleetDocument {
    FleetDocument::new(
        version,
        Vec::new(),
        BTreeMap::new(),
        CallerLimits::default(),
    )
}

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against returning to an older version, which a slow read may deliver after a newer one.
#[test]
fn older_version() {
    let view = DocumentView::default();
    assert!(view.replace_if_newer(document(5), at(100)));
    assert!(!view.replace_if_newer(document(4), at(900)));
    assert_eq!(view.version(), 5);
    assert_eq!(view.age(at(1_000)), Some(at(900)));
}

/// Guards against an age that is too low: only confirmations of the current version count, from the time of the
/// request.
#[test]
fn confirmed_age() {
    let view = DocumentView::default();
    assert_eq!(view.age(at(0)), None);
    assert!(view.replace_if_newer(document(5), at(100)));
    assert!(!view.replace_if_newer(document(5), at(300)));
    view.confirm(4, at(800));
    assert_eq!(view.age(at(1_000)), Some(at(700)));
    view.confirm(5, at(600));
    view.confirm(5, at(400));
    assert_eq!(view.age(at(1_000)), Some(at(400)));
}
