//! Crashes of VMs.

use crate::support::{batch_lines, with_fleet};
use plantainmill_devfleet::DevOptions;
use serde_json::{Value, json};
use std::collections::BTreeSet;

/// Guards against items that are lost or duplicated when the VM that accepted and runs a job crashes.
#[test]
fn accepted_job() {
    with_fleet(DevOptions::default(), async |mut fleet| {
        let key = fleet.key("kandy");
        let file = fleet.upload(0, &key, &batch_lines(600)).await.json();
        let body = json!({"input_file_id": file["id"], "endpoint": "/v1/chat/completions", "completion_window": "24h"});
        let created = fleet.post(0, "/v1/batches", Some(&key), &body).await.json();
        let path = format!("/v1/batches/{}", created["id"].as_str().expect("a job id"));
        fleet.fleet.kill_vm(0).await;
        let completed_job = fleet
            .poll(1, &path, &key, |job| job["status"] == "completed")
            .await;
        let output = format!(
            "/v1/files/{}/content",
            completed_job["output_file_id"]
                .as_str()
                .expect("an output file")
        );
        let lines = fleet.get(2, &output, Some(&key)).await.text;
        let ids: Vec<String> = lines
            .lines()
            .map(|line| serde_json::from_str::<Value>(line).expect("a JSON line"))
            .map(|line| line["custom_id"].as_str().expect("an id").to_owned())
            .collect();
        assert_eq!(ids.len(), 600);
        assert_eq!(ids.iter().collect::<BTreeSet<_>>().len(), 600);
        fleet
    });
}
