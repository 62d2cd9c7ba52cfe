//! The limit on the volume of logs.

use plantainmill_logs::{BudgetFilter, LineBudget};
use rstest::rstest;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tracing_subscriber::layer::SubscriberExt as _;
use tracing_subscriber::{Layer as _, Registry};

/// Guards against a log volume that grows with the load, and against a flood from one call site that suppresses the
/// lines of others.
#[rstest]
#[case(10, 10)]
#[case(400, 50)]
fn lines_per_second(#[case] attempted: u64, #[case] expected: usize) {
    let mut budget = LineBudget::default();
    for second in 0..3 {
        let start = Duration::from_secs(second);
        let times =
            (0..attempted).map(|number| start + Duration::from_millis(number * 1_000 / attempted));
        let written = times.filter(|now| budget.admit(("a.rs", 1), *now)).count();
        assert_eq!(written, expected);
        assert!(budget.admit(("b.rs", 1), start));
    }
    let dropped: u64 = budget.take_dropped().iter().map(|lines| lines.count).sum();
    assert_eq!(dropped, 3 * (attempted - expected as u64));
    assert!(budget.take_dropped().is_empty());
}

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0
            .lock()
            .expect("not poisoned")
            .extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a filter that is not applied to events, or that does not count the lines it drops.
#[test]
fn filter_in_place() {
    let buffer = SharedBuffer::default();
    let writer = buffer.clone();
    let filter = BudgetFilter::default();
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(move || writer.clone())
        .with_filter(filter.clone());
    tracing::subscriber::with_default(Registry::default().with(lines), || {
        for number in 0..200 {
            tracing::info!(event = "flood", number);
        }
    });
    let text = String::from_utf8(buffer.0.lock().expect("not poisoned").clone()).expect("text");
    assert_eq!(text.lines().count(), 50);
    assert_eq!(filter.take_dropped()[0].count, 150);
}
