//! Rates over all VMs together.

use crate::support::with_fleet;
use plantainmill_devfleet::DevOptions;

/// Guards against each VM admitting the whole burst on its own.
#[test]
fn shared_burst() {
    with_fleet(DevOptions::default(), async |fleet| {
        let mut admitted = 0;
        let mut refused = 0;
        for call in 0..12 {
            let answer = fleet.chat(call % 3, "limited", 1).await;
            match answer.status {
                200 => admitted += 1,
                429 => {
                    refused += 1;
                    assert_eq!(
                        (answer.result.as_str(), answer.executed.as_str()),
                        ("2003", "no")
                    );
                    assert!(
                        answer.retry_after.is_some(),
                        "a refusal says when to return"
                    );
                }
                status => panic!("{status}: {}", answer.text),
            }
        }
        // Burst 3 and 0.2 per second: the calls take far less than the 5 s in which a token accrues, and
        // even a run of 10 s could admit only 2 more.
        assert!(admitted <= 5, "{admitted} admitted");
        assert_eq!(admitted + refused, 12);
        fleet
    });
}
