//! Online calls: responses, streams, open routes, and refusals with their result codes.

use crate::support::{chat_body, with_fleet};
use plantainmill_devfleet::DevOptions;
use rstest::rstest;
use serde_json::json;

#[test]
fn complete_response() {
    with_fleet(DevOptions::default(), async |fleet| {
        let response = fleet.chat(0, "kandy", 8).await;
        assert_eq!(response.status, 200, "{}", response.text);
        assert_eq!(
            (response.result.as_str(), response.executed.as_str()),
            ("0", "yes")
        );
        assert!(response.json()["choices"][0]["message"]["content"].is_string());
        fleet
    });
}

#[test]
fn streamed_response() {
    with_fleet(DevOptions::default(), async |fleet| {
        let key = fleet.key("kandy");
        let body = chat_body("assistant", 8, true);
        let response = fleet
            .post(1, "/v1/chat/completions", Some(&key), &body)
            .await;
        assert_eq!(response.status, 200, "{}", response.text);
        assert!(
            response.text.trim_end().ends_with("data: [DONE]"),
            "{}",
            response.text
        );
        fleet
    });
}

#[test]
fn model_list() {
    with_fleet(DevOptions::default(), async |fleet| {
        let key = fleet.key("gita");
        let models = fleet.get(2, "/v1/models", Some(&key)).await.json();
        assert_eq!(models["data"][0]["id"], "assistant");
        fleet
    });
}

#[test]
fn open_route() {
    with_fleet(DevOptions::default(), async |fleet| {
        let response = fleet.get(0, "/services/hours/today", None).await;
        assert_eq!(response.status, 200, "{}", response.text);
        fleet
    });
}

/// Guards against credentials or organisation headers of a caller being forwarded to a target.
#[test]
fn stripped_credentials() {
    with_fleet(DevOptions::default(), async |fleet| {
        let key = fleet.key("kandy");
        let headers = [
            ("x-organisation", "gita"),
            ("cookie", "session=1"),
            ("x-api-key", "abc"),
        ];
        let body = chat_body("assistant", 2, false);
        let path = "/v1/chat/completions";
        let response = fleet
            .post_with_headers(0, path, Some(&key), &body, &headers)
            .await;
        assert_eq!(response.status, 200, "{}", response.text);
        let recorded = fleet.fleet.recorded();
        assert!(!recorded.is_empty(), "the call was recorded");
        for text in [
            key.as_str(),
            "authorization",
            "x-organisation",
            "session=1",
            "x-api-key",
        ] {
            let seen = recorded
                .iter()
                .any(|request| request.to_lowercase().contains(&text.to_lowercase()));
            assert!(!seen, "a target saw {text}");
        }
        fleet
    });
}

#[rstest]
#[case::no_key(None, json!({"model": "assistant"}), 401, "2001")]
#[case::bad_key(Some("pm-wrong"), json!({"model": "assistant"}), 401, "2002")]
#[case::unknown_model(Some(""), json!({"model": "none"}), 404, "1004")]
#[case::plain_service(Some(""), json!({"model": "charges"}), 404, "1004")]
#[case::no_model(Some(""), json!({"messages": []}), 400, "1001")]
fn refused_calls(
    #[case] key: Option<&str>,
    #[case] body: serde_json::Value,
    #[case] status: u16,
    #[case] result: &str,
) {
    with_fleet(DevOptions::default(), async |fleet| {
        let valid_key = fleet.key("kandy");
        let key = key.map(|given| {
            if given.is_empty() {
                valid_key.as_str()
            } else {
                given
            }
        });
        let response = fleet.post(0, "/v1/chat/completions", key, &body).await;
        assert_eq!(
            (response.status, response.result.as_str()),
            (status, result),
            "{}",
            response.text
        );
        assert_eq!(response.executed, "no");
        assert!(
            fleet.fleet.recorded().is_empty(),
            "a refused call reached a target"
        );
        fleet
    });
}

/// Guards against a charge that runs twice when its caller repeats it through another VM.
#[test]
fn resent_charge() {
    with_fleet(DevOptions::default(), async |fleet| {
        let key = fleet.key("kandy");
        let headers = [("idempotency-key", "kit-17")];
        let body = json!({"kit": 17});
        let path = "/services/charges/kits";
        let first = fleet
            .post_with_headers(0, path, Some(&key), &body, &headers)
            .await;
        assert_eq!(first.status, 200, "{}", first.text);
        let again = fleet
            .post_with_headers(1, path, Some(&key), &body, &headers)
            .await;
        assert_eq!((again.status, &again.text), (200, &first.text));
        assert_eq!(fleet.fleet.recorded().len(), 1, "the charge ran once");
        let other = json!({"kit": 18});
        let reused = fleet
            .post_with_headers(2, path, Some(&key), &other, &headers)
            .await;
        assert_eq!((reused.status, reused.result.as_str()), (409, "3008"));
        fleet
    });
}

/// Guards against a body above the size limit being buffered or forwarded.
#[test]
fn oversized_body() {
    with_fleet(DevOptions::default(), async |fleet| {
        let key = fleet.key("kandy");
        let mut body = chat_body("assistant", 2, false);
        body["padding"] = json!("x".repeat(9 * 1024 * 1024));
        let response = fleet
            .post(0, "/v1/chat/completions", Some(&key), &body)
            .await;
        assert_eq!(
            (response.status, response.result.as_str()),
            (413, "1002"),
            "{}",
            response.text
        );
        assert!(
            fleet.fleet.recorded().is_empty(),
            "the body reached a target"
        );
        fleet
    });
}
