//! Planned stops cut no request.

use crate::support::{chat_body, with_fleet};
use plantainmill_devfleet::DevOptions;
use std::time::Duration;

/// Guards against a stop that closes the connection of a stream that is under way.
#[test]
fn running_stream() {
    let options = DevOptions {
        decode_per_token: Duration::from_millis(10),
        ..DevOptions::default()
    };
    with_fleet(options, async |mut fleet| {
        let key = fleet.key("kandy");
        let body = chat_body("assistant", 60, true);
        let streamed = fleet.post(0, "/v1/chat/completions", Some(&key), &body);
        let delay = actix_rt::time::sleep(Duration::from_millis(150));
        let (answer, ()) = futures_util::future::join(streamed, delay).await;
        assert!(
            answer.text.trim_end().ends_with("data: [DONE]"),
            "{}",
            answer.text
        );
        let body = chat_body("assistant", 60, true);
        let url = format!("{}/v1/chat/completions", fleet.callers(0));
        let request = awc::Client::new().post(url).bearer_auth(&key);
        let sent =
            actix_rt::spawn(
                async move { crate::support::read(request.send_json(&body).await).await },
            );
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let cut = fleet.fleet.stop_vm(0).await;
        assert_eq!(cut, 0, "the stop cut a request");
        let answer = sent.await.expect("the call's task");
        assert!(
            answer.text.trim_end().ends_with("data: [DONE]"),
            "{}",
            answer.text
        );
        fleet
    });
}
