//! The traffic of the largest fleet: 350 VMs in 15 domains.

use crate::common::TestQueue;
use std::time::Duration;

/// Budget of one VM for all control traffic.
const BUDGET_BYTES_PER_S: usize = 4_096;
/// Frame around a message, with tag and names, and the headers of the transport, acknowledgement included.
const FRAME_BYTES: usize = 100 + 112;
/// Seconds that are counted.
const SECONDS: usize = 30;

/// No VM sends more than its budget, with one VM replaced every 10 s; the fleet has one every 51 s.
#[test]
fn bytes_bounded() {
    let mut sizes = vec![23; 15];
    sizes[..5].fill(24);
    let mut queue = TestQueue::new(&sizes, 1);
    assert_eq!(queue.nodes.len(), 350);
    queue.run(Duration::from_secs(20));
    let before: Vec<(usize, usize)> = queue
        .nodes
        .iter()
        .map(|node| (node.bytes, node.messages))
        .collect();
    for replaced in [10, 100, 200] {
        queue.replace(replaced, 2_000);
        queue.run(Duration::from_secs(10));
    }
    let spent = queue
        .nodes
        .iter()
        .zip(&before)
        .map(|(node, (bytes, messages))| {
            let frames = node.messages.saturating_sub(*messages);
            node.bytes.saturating_sub(*bytes) + frames * FRAME_BYTES
        });
    let most = spent.max().unwrap_or(0) / SECONDS;
    assert!(most < BUDGET_BYTES_PER_S, "{most} B/s");
    println!("at most {most} B/s");
}
