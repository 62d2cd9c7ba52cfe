//! A graceful stop aborts no request.

use crate::support::{chat_body, with_fleet};
use plantainmill_devfleet::DevOptions;
use std::time::Duration;

/// Guards against a graceful stop that closes the connection of a stream in flight.
#[test]
fn running_stream() {
    let options = DevOptions {
        decode_per_token: Duration::from_millis(10),
        ..DevOptions::default()
    };
    with_fleet(options, async |mut fleet| {
        let key = fleet.key("kandy");
        let body = chat_body("assistant", 60, true);
        let stream = fleet.post(0, "/v1/chat/completions", Some(&key), &body);
        let delay = actix_rt::time::sleep(Duration::from_millis(150));
        let (response, ()) = futures_util::future::join(stream, delay).await;
        assert!(
            response.text.trim_end().ends_with("data: [DONE]"),
            "{}",
            response.text
        );
        let body = chat_body("assistant", 60, true);
        let url = format!("{}/v1/chat/completions", fleet.callers(0));
        let request = awc::Client::new().post(url).bearer_auth(&key);
        let stream_task =
            actix_rt::spawn(
                async move { crate::support::read(request.send_json(&body).await).await },
            );
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let aborted = fleet.fleet.stop_vm(0).await;
        assert_eq!(aborted, 0, "the stop aborted a request");
        let response = stream_task.await.expect("the task of the call");
        assert!(
            response.text.trim_end().ends_with("data: [DONE]"),
            "{}",
            response.text
        );
        fleet
    });
}
