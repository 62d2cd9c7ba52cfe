//! Changes of the configuration through the administration API.

use crate::support::{chat_body, with_fleet};
use awc::http::Method;
use plantainmill_devfleet::DevOptions;
use serde_json::json;
use std::time::Duration;

#[test]
fn withdrawn_key() {
    with_fleet(DevOptions::default(), async |fleet| {
        let operator = fleet.operator(0);
        let (id, secret) = operator.issue_key("kandy").await.expect("a key");
        for vm in 0..3 {
            assert_eq!(fleet.get(vm, "/v1/models", Some(&secret)).await.status, 200);
        }
        let path = format!("/admin/v1/organisations/kandy/keys/{id}");
        let body = json!({"reason": "kiosk stolen"});
        let answer = operator
            .expect(Method::DELETE, &path, Some(&body))
            .await
            .expect("a withdrawal");
        assert_eq!(answer["unconfirmed"], json!([]), "all VMs are reachable");
        // The answer names the VMs that have confirmed, so the key has to be refused from now on.
        for vm in 0..3 {
            let refused = fleet.get(vm, "/v1/models", Some(&secret)).await;
            assert_eq!(
                (refused.status, refused.result.as_str()),
                (401, "2002"),
                "VM {vm}"
            );
        }
        fleet
    });
}

/// Guards against one of two operators overwriting the other's change unseen.
#[test]
fn racing_operators() {
    with_fleet(DevOptions::default(), async |fleet| {
        let config = fleet
            .operator(0)
            .expect(Method::GET, "/admin/v1/config", None)
            .await
            .expect("the configuration");
        let etag = format!("\"{}\"", config["version"]);
        let path = "/admin/v1/organisations/kandy";
        let first = json!({"rate": 50.0, "burst": 60, "reason": "first"});
        let second = json!({"rate": 70.0, "burst": 80, "reason": "second"});
        let one = fleet.operator(0);
        let two = fleet.operator(1);
        let (first, second) = futures_util::future::join(
            one.send_at(Method::PUT, path, &etag, Some(&first)),
            two.send_at(Method::PUT, path, &etag, Some(&second)),
        )
        .await;
        let mut statuses = [
            first.expect("an answer").status.as_u16(),
            second.expect("an answer").status.as_u16(),
        ];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 412]);
        fleet
    });
}

#[test]
fn named_errors() {
    with_fleet(DevOptions::default(), async |fleet| {
        let operator = fleet.operator(0);
        let path = "/admin/v1/organisations/kandy";
        let no_reason = json!({"rate": 1.0, "burst": 1});
        let answer = operator
            .send(Method::PUT, path, Some(&no_reason))
            .await
            .expect("an answer");
        assert_eq!(answer.body["error"]["result"], 5007);
        let bad_rate = json!({"rate": -1.0, "burst": 1, "reason": "x"});
        let answer = operator
            .send(Method::PUT, path, Some(&bad_rate))
            .await
            .expect("an answer");
        assert_eq!(answer.body["error"]["result"], 5001, "{}", answer.body);
        assert!(
            answer.body["error"]["param"]
                .as_str()
                .is_some_and(|field| field.ends_with("rate")),
            "{}",
            answer.body
        );
        let unknown = json!({"rate": 1.0, "burst": 1, "speed": 3, "reason": "x"});
        let answer = operator
            .send(Method::PUT, path, Some(&unknown))
            .await
            .expect("an answer");
        assert_eq!(answer.status, 400);
        fleet
    });
}

#[test]
fn earlier_version() {
    with_fleet(DevOptions::default(), async |fleet| {
        let operator = fleet.operator(0);
        let before = operator
            .expect(Method::GET, "/admin/v1/config", None)
            .await
            .expect("the configuration");
        let body = json!({"rate": 1.0, "burst": 1, "reason": "trial"});
        operator
            .expect(Method::PUT, "/admin/v1/organisations/gita", Some(&body))
            .await
            .expect("a change");
        let body = json!({"version": before["version"], "reason": "trial is over"});
        operator
            .expect(Method::POST, "/admin/v1/rollback", Some(&body))
            .await
            .expect("a rollback");
        let after = operator
            .expect(Method::GET, "/admin/v1/config", None)
            .await
            .expect("the configuration");
        assert_eq!(after["organisations"], before["organisations"]);
        assert!(after["version"].as_u64() > before["version"].as_u64());
        let history = operator
            .expect(Method::GET, "/admin/v1/history?limit=2", None)
            .await
            .expect("the history");
        assert_eq!(history["changes"][0]["reason"], "trial is over");
        fleet
    });
}

#[test]
fn operator_key() {
    with_fleet(DevOptions::default(), async |fleet| {
        let base = fleet.fleet.ready().operators[0].clone();
        let stranger = plantainmill_devfleet::OperatorClient::new(&base, "not-an-operator");
        let answer = stranger
            .send(Method::GET, "/admin/v1/state", None)
            .await
            .expect("an answer");
        assert_eq!(
            (answer.status.as_u16(), &answer.body["error"]["result"]),
            (401, &json!(5006))
        );
        fleet
    });
}

/// Guards against a fleet file above the limit of one change being refused, and against changes that change nothing.
#[test]
fn large_file() {
    with_fleet(DevOptions::default(), async |fleet| {
        let operator = fleet.operator(0);
        let entries =
            (0..600).map(|index| format!("[organisations.org-{index}]\nrate = 1.0\nburst = 5\n"));
        let toml: String = entries.collect();
        let mut body =
            json!({"file": "fleet.toml", "toml": toml, "reason": "new wards", "dry_run": true});
        let path = "/admin/v1/apply";
        let shown = operator
            .expect(Method::POST, path, Some(&body))
            .await
            .expect("a dry run");
        assert_eq!(shown["diff"].as_array().map(Vec::len), Some(600));
        body["dry_run"] = json!(false);
        let first = operator
            .expect(Method::POST, path, Some(&body))
            .await
            .expect("a change");
        assert_eq!(
            first["version"].as_u64(),
            shown["version"].as_u64().map(|version| version + 3)
        );
        let again = operator
            .expect(Method::POST, path, Some(&body))
            .await
            .expect("no change");
        assert_eq!(
            again["version"], first["version"],
            "what is in force already is left out"
        );
        fleet
    });
}

/// Guards against a stream that goes on after the key that started it was withdrawn.
#[test]
fn withdrawn_midstream() {
    let options = DevOptions {
        decode_per_token: Duration::from_millis(20),
        ..DevOptions::default()
    };
    with_fleet(options, async |fleet| {
        let operator = fleet.operator(1);
        let (id, secret) = operator.issue_key("kandy").await.expect("a key");
        let url = format!("{}/v1/chat/completions", fleet.callers(0));
        let request = awc::Client::new().post(url).bearer_auth(&secret);
        let body = chat_body("assistant", 400, true);
        let mut answer = request.send_json(&body).await.expect("a stream");
        let path = format!("/admin/v1/organisations/kandy/keys/{id}");
        let reason = json!({"reason": "kiosk stolen"});
        operator
            .expect(Method::DELETE, &path, Some(&reason))
            .await
            .expect("a withdrawal");
        let text = answer.body().await.expect("the rest of the stream");
        let text = String::from_utf8_lossy(&text).into_owned();
        let last = text.trim_end().rsplit("\n\n").next().unwrap_or_default();
        assert!(
            last.starts_with("event: error") && last.contains("2002"),
            "{last}"
        );
        assert!(!text.contains("[DONE]"), "the stream ended cleanly");
        fleet
    });
}
