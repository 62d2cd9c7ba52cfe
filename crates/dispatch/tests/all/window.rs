//! Adaptive concurrency window of a target.

use plantainmill_dispatch::window::ConcurrencyWindow;
use plantainmill_provider::LoadReport;
use rstest::rstest;
use std::collections::VecDeque;
use std::time::Duration;

fn report(present: u32, width: u32, capacity: u32) -> LoadReport {
    LoadReport {
        running: present.min(width),
        waiting: present.saturating_sub(width),
        capacity,
        models: Vec::new(),
        leaving: false,
    }
}

/// Guards against a window that oscillates or grows without bound when load reports are one second old. The engine
/// decodes 12 requests and reports no capacity, so the window must adapt to the requests that wait inside the engine.
#[rstest]
fn lagging_reports() {
    let mut window = ConcurrencyWindow::new(32);
    let mut reports = VecDeque::new();
    let mut sizes = Vec::new();
    for step in 0..240_u64 {
        let now = Duration::from_millis(500 * step);
        let present = window.size();
        reports.push_back(report(present, 12, 0));
        if reports.len() > 2 {
            let old = reports.pop_front().unwrap();
            window.on_report(&old, present, now);
        }
        assert!(window.size() <= 32);
        sizes.push(window.size());
    }
    let late = &sizes[60..];
    assert!(late.iter().all(|size| (8..=16).contains(size)), "{late:?}");
}

/// Guards against a window above the reported capacity of the engine or above the configured concurrency.
#[rstest]
#[case(10, 16, 10)]
#[case(32, 16, 16)]
fn limits_kept(#[case] concurrency: u32, #[case] capacity: u32, #[case] expected: u32) {
    let mut window = ConcurrencyWindow::new(concurrency);
    for step in 0..200_u64 {
        let size = window.size();
        window.on_report(
            &report(size, 64, capacity),
            size,
            Duration::from_millis(500 * step),
        );
        window.on_first_byte(
            Duration::from_millis(50),
            size,
            Duration::from_millis(500 * step),
        );
    }
    assert_eq!(window.size(), expected);
}

/// Guards against the window of an engine without congestion shrinking because prompts differ in length, also when the
/// first prompt was the shortest.
#[rstest]
fn prompts_differ() {
    let mut window = ConcurrencyWindow::with_size(16, 16);
    for step in 0..2_000_u64 {
        let first_byte = Duration::from_millis(100 + step * 37 % 200);
        window.on_first_byte(first_byte, 16, Duration::from_millis(50 * step));
    }
    assert_eq!(window.size(), 16);
}

/// Guards against a window that does not shrink when the time to first byte rises.
#[rstest]
fn slow_responses() {
    let mut window = ConcurrencyWindow::with_size(16, 16);
    for step in 0..400_u64 {
        let millis = if step < 100 { 100 } else { 400 };
        let now = Duration::from_millis(50 * step);
        window.on_first_byte(Duration::from_millis(millis), 16, now);
    }
    assert!(window.size() <= 8, "{}", window.size());
}

/// Guards against a new owner that starts a busy engine at half its window. The first report shows the running
/// requests.
#[rstest]
fn takeover_of_busy_engine() {
    let mut window = ConcurrencyWindow::with_size(32, 16);
    window.on_report(&report(28, 32, 32), 0, Duration::ZERO);
    assert_eq!(window.size(), 28);
    window.on_rejected(Duration::from_secs(1));
    window.on_report(&report(28, 32, 32), 28, Duration::from_secs(2));
    assert!(window.size() < 20);
}
