//! Configuration changes through the administration API.

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
        let response = operator
            .expect(Method::DELETE, &path, Some(&body))
            .await
            .expect("a withdrawal");
        assert_eq!(response["unconfirmed"], json!([]), "all VMs are reachable");
        // The response lists the VMs without a confirmation. The list is empty, so all VMs refuse the key from now on.
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

/// Guards against a lost update: two operators change the same version at once, and only one may succeed.
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
        let first_operator = fleet.operator(0);
        let second_operator = fleet.operator(1);
        let (first, second) = futures_util::future::join(
            first_operator.send_at(Method::PUT, path, &etag, Some(&first)),
            second_operator.send_at(Method::PUT, path, &etag, Some(&second)),
        )
        .await;
        let mut statuses = [
            first.expect("a response").status.as_u16(),
            second.expect("a response").status.as_u16(),
        ];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 412]);
        fleet
    });
}

#[test]
fn invalid_changes() {
    with_fleet(DevOptions::default(), async |fleet| {
        let operator = fleet.operator(0);
        let path = "/admin/v1/organisations/kandy";
        let no_reason = json!({"rate": 1.0, "burst": 1});
        let response = operator
            .send(Method::PUT, path, Some(&no_reason))
            .await
            .expect("a response");
        assert_eq!(response.body["error"]["result"], 5007);
        let bad_rate = json!({"rate": -1.0, "burst": 1, "reason": "x"});
        let response = operator
            .send(Method::PUT, path, Some(&bad_rate))
            .await
            .expect("a response");
        assert_eq!(response.body["error"]["result"], 5001, "{}", response.body);
        assert!(
            response.body["error"]["param"]
                .as_str()
                .is_some_and(|field| field.ends_with("rate")),
            "{}",
            response.body
        );
        let unknown = json!({"rate": 1.0, "burst": 1, "speed": 3, "reason": "x"});
        let response = operator
            .send(Method::PUT, path, Some(&unknown))
            .await
            .expect("a response");
        assert_eq!(response.status, 400);
        fleet
    });
}

#[test]
fn version_rollback() {
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
fn unknown_operator() {
    with_fleet(DevOptions::default(), async |fleet| {
        let base = fleet.fleet.ready().operators[0].clone();
        let unauthorized = plantainmill_devfleet::OperatorClient::new(&base, "not-an-operator");
        let response = unauthorized
            .send(Method::GET, "/admin/v1/state", None)
            .await
            .expect("a response");
        assert_eq!(
            (response.status.as_u16(), &response.body["error"]["result"]),
            (401, &json!(5006))
        );
        fleet
    });
}

/// Guards against a fleet file that is refused because it exceeds the limit of one change, and against new versions for
/// entries that are already in force.
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
        let dry_run = operator
            .expect(Method::POST, path, Some(&body))
            .await
            .expect("a dry run");
        assert_eq!(dry_run["diff"].as_array().map(Vec::len), Some(600));
        body["dry_run"] = json!(false);
        let first = operator
            .expect(Method::POST, path, Some(&body))
            .await
            .expect("a change");
        assert_eq!(
            first["version"].as_u64(),
            dry_run["version"].as_u64().map(|version| version + 3)
        );
        let again = operator
            .expect(Method::POST, path, Some(&body))
            .await
            .expect("no change");
        assert_eq!(
            again["version"], first["version"],
            "entries already in force make no new version"
        );
        fleet
    });
}

/// Guards against a stream that continues after the withdrawal of the key that started it.
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
        let mut response = request.send_json(&body).await.expect("a stream");
        let path = format!("/admin/v1/organisations/kandy/keys/{id}");
        let reason = json!({"reason": "kiosk stolen"});
        operator
            .expect(Method::DELETE, &path, Some(&reason))
            .await
            .expect("a withdrawal");
        let text = response.body().await.expect("the rest of the stream");
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
