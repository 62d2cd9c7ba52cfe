//! Membership traffic of the largest supported fleet: 350 VMs in 15 domains.

use crate::common::TestNetwork;
use std::time::Duration;

/// Budget of one VM for all of its control traffic.
const BUDGET_BYTES_PER_S: usize = 4_096;
/// Overhead per message: mesh frame with tag and field names, plus transport headers including the acknowledgement.
const FRAME_OVERHEAD_BYTES: usize = 100 + 112;
/// Length of the counted interval.
const INTERVAL_SECONDS: usize = 30;

/// No VM exceeds its traffic budget while one VM is replaced every 10 s; the fleet replaces one every 51 s.
#[test]
fn traffic_bounded() {
    let mut sizes = vec![23; 15];
    sizes[..5].fill(24);
    let mut network = TestNetwork::new(&sizes, 1);
    assert_eq!(network.nodes.len(), 350);
    network.run(Duration::from_secs(20));
    let before: Vec<(usize, usize)> = network
        .nodes
        .iter()
        .map(|node| (node.bytes, node.messages))
        .collect();
    for replaced in [10, 100, 200] {
        network.replace(replaced, 2_000);
        network.run(Duration::from_secs(10));
    }
    let sent = network
        .nodes
        .iter()
        .zip(&before)
        .map(|(node, (bytes, messages))| {
            let frames = node.messages.saturating_sub(*messages);
            node.bytes.saturating_sub(*bytes) + frames * FRAME_OVERHEAD_BYTES
        });
    let most = sent.max().unwrap_or(0) / INTERVAL_SECONDS;
    assert!(most < BUDGET_BYTES_PER_S, "{most} B/s");
    println!("at most {most} B/s");
}
