//! Online calls: answers, streams, open routes, and refusals with their numbers.

use crate::support::{chat_body, with_fleet};
use plantainmill_devfleet::DevOptions;
use rstest::rstest;
use serde_json::json;

#[test]
fn whole_answer() {
    with_fleet(DevOptions::default(), async |fleet| {
        let answer = fleet.chat(0, "kandy", 8).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        assert_eq!(
            (answer.result.as_str(), answer.executed.as_str()),
            ("0", "yes")
        );
        assert!(answer.json()["choices"][0]["message"]["content"].is_string());
        fleet
    });
}

#[test]
fn streamed_answer() {
    with_fleet(DevOptions::default(), async |fleet| {
        let key = fleet.key("kandy");
        let body = chat_body("assistant", 8, true);
        let answer = fleet
            .post(1, "/v1/chat/completions", Some(&key), &body)
            .await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        assert!(
            answer.text.trim_end().ends_with("data: [DONE]"),
            "{}",
            answer.text
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
        let answer = fleet.get(0, "/services/hours/today", None).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
        fleet
    });
}

/// Guards against keys or organisation headers of callers reaching a target.
#[test]
fn hidden_key() {
    with_fleet(DevOptions::default(), async |fleet| {
        let key = fleet.key("kandy");
        let headers = [
            ("x-organisation", "gita"),
            ("cookie", "session=1"),
            ("x-api-key", "abc"),
        ];
        let body = chat_body("assistant", 2, false);
        let path = "/v1/chat/completions";
        let answer = fleet.post_with(0, path, Some(&key), &body, &headers).await;
        assert_eq!(answer.status, 200, "{}", answer.text);
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
        let own = fleet.key("kandy");
        let key = key.map(|given| {
            if given.is_empty() {
                own.as_str()
            } else {
                given
            }
        });
        let answer = fleet.post(0, "/v1/chat/completions", key, &body).await;
        assert_eq!(
            (answer.status, answer.result.as_str()),
            (status, result),
            "{}",
            answer.text
        );
        assert_eq!(answer.executed, "no");
        assert!(
            fleet.fleet.recorded().is_empty(),
            "a refused call reached a target"
        );
        fleet
    });
}

/// Guards against a charge that runs twice when its caller resends it through another VM.
#[test]
fn resent_charge() {
    with_fleet(DevOptions::default(), async |fleet| {
        let key = fleet.key("kandy");
        let headers = [("idempotency-key", "kit-17")];
        let body = json!({"kit": 17});
        let path = "/services/charges/kits";
        let first = fleet.post_with(0, path, Some(&key), &body, &headers).await;
        assert_eq!(first.status, 200, "{}", first.text);
        let again = fleet.post_with(1, path, Some(&key), &body, &headers).await;
        assert_eq!((again.status, &again.text), (200, &first.text));
        assert_eq!(fleet.fleet.recorded().len(), 1, "the charge ran once");
        let other = json!({"kit": 18});
        let reused = fleet.post_with(2, path, Some(&key), &other, &headers).await;
        assert_eq!((reused.status, reused.result.as_str()), (409, "3008"));
        fleet
    });
}

/// Guards against a body above the limit being read into memory or passed on.
#[test]
fn oversized_body() {
    with_fleet(DevOptions::default(), async |fleet| {
        let key = fleet.key("kandy");
        let mut body = chat_body("assistant", 2, false);
        body["padding"] = json!("x".repeat(9 * 1024 * 1024));
        let answer = fleet
            .post(0, "/v1/chat/completions", Some(&key), &body)
            .await;
        assert_eq!(
            (answer.status, answer.result.as_str()),
            (413, "1002"),
            "{}",
            answer.text
        );
        assert!(
            fleet.fleet.recorded().is_empty(),
            "the body reached a target"
        );
        fleet
    });
}
