//! Rate limits shared by all VMs.

use crate::support::with_fleet;
use plantainmill_devfleet::DevOptions;

/// Guards against each VM admitting the full burst on its own.
#[test]
fn shared_burst() {
    with_fleet(DevOptions::default(), async |fleet| {
        let mut admitted = 0;
        let mut refused = 0;
        for call in 0..12 {
            let response = fleet.chat(call % 3, "limited", 1).await;
            match response.status {
                200 => admitted += 1,
                429 => {
                    refused += 1;
                    assert_eq!(
                        (response.result.as_str(), response.executed.as_str()),
                        ("2003", "no")
                    );
                    assert!(response.retry_after.is_some(), "a refusal has Retry-After");
                }
                status => panic!("{status}: {}", response.text),
            }
        }
        // The burst is 3 and the rate 0.2 per second, one token in 5 s. The calls normally take far less than that;
        // even a run of 10 s admits only 2 more.
        assert!(admitted <= 5, "{admitted} admitted");
        assert_eq!(admitted + refused, 12);
        fleet
    });
}
