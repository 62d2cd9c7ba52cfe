//! The platform's stand-in speaks the wire format of the clients and keeps its rates.

use bytes::Bytes;
use plantainmill_fakes::{MemoryPlatform, PlatformFault, PlatformOptions, PlatformServer};
use plantainmill_provider::http::{ClientSettings, HttpObjects, HttpPlatform};
use plantainmill_provider::{
    CommitOutcome, Expected, ObjectStore, StoreError, TableStore, TableWrite, VmEntry, VmList,
    VmState, WeightGrant, WeightStore,
};
use rstest::rstest;
use serde_json::json;
use std::error::Error;

type TestResult = Result<(), Box<dyn Error>>;

#[rstest]
#[actix_web::test]
async fn rows_travel() -> TestResult {
    let server = PlatformServer::start(&PlatformOptions::default(), MemoryPlatform::default())?;
    let client = HttpPlatform::new(&server.url(), ClientSettings::default());
    let write = TableWrite::new()
        .expect("a/1", Expected::Absent)
        .put("a/1", json!({"n": 1}));
    let first = client.commit(write.clone()).await?;
    let second = client.commit(write).await?;
    let row = client.get("a/1").await?.ok_or("row missing")?;
    assert_eq!(
        first,
        CommitOutcome::Committed {
            revision: row.revision
        }
    );
    assert_eq!(second, CommitOutcome::Conflict { key: "a/1".into() });
    assert_eq!(client.range("a/", "a0", 10).await?, vec![row]);
    assert_eq!(client.get("a/2").await?, None);
    server.stop().await;
    Ok(())
}

#[rstest]
#[actix_web::test]
async fn objects_travel() -> TestResult {
    let server = PlatformServer::start(&PlatformOptions::default(), MemoryPlatform::default())?;
    let client = HttpObjects::new(&server.url(), ClientSettings::default());
    client.put("file/a", Bytes::from_static(b"text")).await?;
    assert_eq!(
        client.get("file/a").await?,
        Some(Bytes::from_static(b"text"))
    );
    assert_eq!(client.list("file/").await?, vec!["file/a"]);
    client.delete("file/a").await?;
    assert_eq!(client.get("file/a").await?, None);
    server.stop().await;
    Ok(())
}

#[rstest]
#[actix_web::test]
async fn vms_travel() -> TestResult {
    let server = PlatformServer::start(&PlatformOptions::default(), MemoryPlatform::default())?;
    let client = HttpPlatform::new(&server.url(), ClientSettings::default());
    let body = json!({"vms": [{"id": "v1", "domain": "d", "region": "r", "mesh": "127.0.0.1:9", "state": "leaving"}]});
    let put = awc::Client::default().put(format!("{}/vms", server.url()));
    let answer = put
        .send_json(&body)
        .await
        .map_err(|error| error.to_string())?;
    assert_eq!(answer.status(), 204);
    let expected = VmEntry {
        id: "v1".into(),
        domain: "d".into(),
        region: "r".into(),
        mesh: "127.0.0.1:9".parse()?,
        state: VmState::Leaving,
    };
    assert_eq!(client.list().await?, vec![expected]);
    server.memory.set_weight_grants(Some(0));
    assert!(matches!(client.request("m").await?, WeightGrant::Wait(_)));
    server.stop().await;
    Ok(())
}

#[rstest]
#[case(PlatformFault::Down, false)]
#[case(PlatformFault::AnswerLost, true)]
#[actix_web::test]
async fn faults_travel(#[case] fault: PlatformFault, #[case] takes_effect: bool) -> TestResult {
    let server = PlatformServer::start(&PlatformOptions::default(), MemoryPlatform::default())?;
    let client = HttpPlatform::new(&server.url(), ClientSettings::default());
    server.memory.script_faults([fault]);
    let result = client.commit(TableWrite::new().put("k", json!(1))).await;
    let is_unknown = matches!(result, Err(StoreError::Unknown(_)));
    assert!(result.is_err());
    assert_eq!(is_unknown, takes_effect);
    assert_eq!(client.get("k").await?.is_some(), takes_effect);
    server.stop().await;
    Ok(())
}

/// Guards against calls above the rate taking effect: a refusal has to mean that nothing was written.
#[rstest]
#[actix_web::test]
async fn rate_kept() -> TestResult {
    let options = PlatformOptions {
        writes_per_s: 0,
        ..PlatformOptions::default()
    };
    let server = PlatformServer::start(&options, MemoryPlatform::default())?;
    let client = HttpPlatform::new(&server.url(), ClientSettings::default());
    let result = client.commit(TableWrite::new().put("k", json!(1))).await;
    assert!(matches!(result, Err(StoreError::Unavailable(_))));
    assert_eq!(client.get("k").await?, None);
    server.stop().await;
    Ok(())
}
