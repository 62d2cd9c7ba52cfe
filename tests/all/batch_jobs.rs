//! Batch jobs from upload to output file.

use crate::support::{batch_lines, with_fleet};
use plantainmill_devfleet::DevOptions;
use serde_json::{Value, json};
use std::collections::BTreeSet;

fn create_body(file: &str) -> Value {
    json!({"input_file_id": file, "endpoint": "/v1/chat/completions", "completion_window": "24h"})
}

#[test]
fn every_item() {
    with_fleet(DevOptions::default(), async |fleet| {
        let key = fleet.key("kandy");
        let file = fleet.upload(0, &key, &batch_lines(100)).await.json();
        let file = file["id"].as_str().expect("a file id").to_owned();
        let created = fleet
            .post(1, "/v1/batches", Some(&key), &create_body(&file))
            .await;
        assert_eq!(created.status, 200, "{}", created.text);
        let job = created.json()["id"].as_str().expect("a job id").to_owned();
        let path = format!("/v1/batches/{job}");
        let completed_job = fleet
            .poll(2, &path, &key, |job| job["status"] == "completed")
            .await;
        assert_eq!(
            completed_job["request_counts"],
            json!({"total": 100, "completed": 100, "failed": 0})
        );
        let output = format!(
            "/v1/files/{}/content",
            completed_job["output_file_id"]
                .as_str()
                .expect("an output file")
        );
        let lines = fleet.get(0, &output, Some(&key)).await.text;
        let ids: Vec<String> = lines
            .lines()
            .map(|line| serde_json::from_str::<Value>(line).expect("a JSON line"))
            .map(|line| line["custom_id"].as_str().expect("an id").to_owned())
            .collect();
        assert_eq!(ids.len(), 100, "each item once");
        assert_eq!(
            ids.iter().collect::<BTreeSet<_>>().len(),
            100,
            "each item once"
        );
        let other = fleet.key("gita");
        assert_eq!(
            fleet.get(0, &path, Some(&other)).await.status,
            404,
            "a job is visible only to its organisation"
        );
        fleet
    });
}

#[test]
fn cancelled_job() {
    with_fleet(DevOptions::default(), async |fleet| {
        let key = fleet.key("kandy");
        let file = fleet.upload(0, &key, &batch_lines(5_000)).await.json();
        let file = file["id"].as_str().expect("a file id").to_owned();
        let created = fleet
            .post(0, "/v1/batches", Some(&key), &create_body(&file))
            .await
            .json();
        let path = format!("/v1/batches/{}", created["id"].as_str().expect("a job id"));
        let cancelled = fleet
            .post(1, &format!("{path}/cancel"), Some(&key), &json!({}))
            .await;
        assert_eq!(cancelled.status, 200, "{}", cancelled.text);
        fleet
            .poll(2, &path, &key, |job| job["status"] == "cancelled")
            .await;
        fleet
    });
}

#[test]
fn malformed_line() {
    with_fleet(DevOptions::default(), async |fleet| {
        let key = fleet.key("kandy");
        let mut lines = batch_lines(3);
        lines.push_str("{not json\n");
        let file = fleet.upload(0, &key, &lines).await;
        let mut response = file.text.clone();
        if file.status == 200 {
            let id = file.json()["id"].as_str().expect("a file id").to_owned();
            let created = fleet
                .post(0, "/v1/batches", Some(&key), &create_body(&id))
                .await;
            assert_eq!(created.status, 400, "{}", created.text);
            response = created.text;
        }
        assert!(response.contains("line 4"), "{response}");
        fleet
    });
}

/// Guards against a repeated create request that starts a second job because it reaches another VM.
#[test]
fn repeated_create() {
    with_fleet(DevOptions::default(), async |fleet| {
        let key = fleet.key("kandy");
        let file = fleet.upload(0, &key, &batch_lines(5)).await.json();
        let file = file["id"].as_str().expect("a file id").to_owned();
        let headers = [("idempotency-key", "night-1")];
        let body = create_body(&file);
        let path = "/v1/batches";
        let first = fleet
            .post_with_headers(0, path, Some(&key), &body, &headers)
            .await
            .json();
        let again = fleet
            .post_with_headers(1, path, Some(&key), &body, &headers)
            .await
            .json();
        assert_eq!(first["id"], again["id"]);
        let mut other = body.clone();
        other["completion_window"] = json!("48h");
        let reused = fleet
            .post_with_headers(2, path, Some(&key), &other, &headers)
            .await;
        assert_eq!(reused.status, 409, "{}", reused.text);
        fleet
    });
}
