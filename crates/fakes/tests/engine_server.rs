//! The engine's stand-in answers, records, and brings about its faults.

use plantainmill_fakes::{
    EngineFault, EngineKind, EngineOptions, EngineServer, FaultKind, RunOutcome, RunningEngine,
};
use plantainmill_provider::http::HttpEngine;
use plantainmill_provider::{EngineOrder, TargetEngine};
use rstest::rstest;
use serde_json::{Value, json};
use std::error::Error;
use std::time::Duration;

type TestResult = Result<(), Box<dyn Error>>;

/// Sends a chat request and gives the status and the body, or nothing if the connection is cut.
async fn chat(engine: &RunningEngine, stream: bool) -> Option<(u16, Vec<u8>)> {
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let body = json!({
        "model": "m", "max_tokens": 3, "stream": stream,
        "messages": [{"role": "user", "content": "hello"}],
    });
    let request = awc::Client::default().post(url);
    let request = request.insert_header(("x-request-id", "r1"));
    let mut answer = request.send_json(&body).await.ok()?;
    let status = answer.status().as_u16();
    let length = answer.headers().get("content-length").cloned();
    let content = answer.body().limit(64 * 1024 * 1024).await.ok()?;
    let expected = length.and_then(|length| length.to_str().ok()?.parse().ok());
    // The client takes the end of the connection for the end of a body, so the length has to be checked here.
    let is_whole = expected.is_none_or(|expected: usize| expected == content.len());
    is_whole.then(|| (status, content.to_vec()))
}

/// Says whether an answer came and has its last event if it is a stream.
fn is_whole(answer: Option<(u16, Vec<u8>)>, stream: bool) -> bool {
    answer.is_some_and(|(_, content)| !stream || content.ends_with(b"data: [DONE]\n\n"))
}

#[rstest]
#[actix_web::test]
async fn whole_answer() -> TestResult {
    let engine = EngineServer::start(EngineOptions::default())?;
    let (status, content) = chat(&engine, false).await.ok_or("cut")?;
    let answer: Value = serde_json::from_slice(&content)?;
    assert_eq!(status, 200);
    assert_eq!(answer["id"], "chatcmpl-r1");
    assert_eq!(answer["choices"][0]["message"]["content"], "w1 w2 w3 ");
    assert_eq!(engine.recorded()[0].request_id, "r1");
    assert_eq!(engine.recorded()[0].outcome, RunOutcome::Completed);
    engine.stop().await;
    Ok(())
}

#[rstest]
#[case(FaultKind::None, true, 3)]
#[case(FaultKind::NoEnd, false, 3)]
#[actix_web::test]
async fn streamed_answer(
    #[case] fault: FaultKind,
    #[case] has_end: bool,
    #[case] tokens: usize,
) -> TestResult {
    let engine = EngineServer::start(EngineOptions::default())?;
    engine.set_fault(EngineFault::once(fault));
    let (_, content) = chat(&engine, true).await.ok_or("cut")?;
    let text = String::from_utf8(content)?;
    assert_eq!(text.matches("chatcmpl-r1").count(), tokens);
    assert_eq!(text.ends_with("data: [DONE]\n\n"), has_end);
    engine.stop().await;
    Ok(())
}

/// Guards against a fault that does not happen, or that runs a request it should not run.
#[rstest]
#[case::request_cut(EngineFault::once(FaultKind::CutRequest), false, 0)]
#[case::answer_cut(EngineFault::once(FaultKind::CutBefore), false, 1)]
#[case::whole_cut(EngineFault::once(FaultKind::CutStream), false, 1)]
#[case::stream_cut(EngineFault::once(FaultKind::CutStream).after(2), true, 1)]
#[case::crash(EngineFault::once(FaultKind::Crash), false, 1)]
#[actix_web::test]
async fn connection_cut(
    #[case] fault: EngineFault,
    #[case] stream: bool,
    #[case] executed: u64,
) -> TestResult {
    let engine = EngineServer::start(EngineOptions::default())?;
    engine.set_fault(fault);
    assert!(!is_whole(chat(&engine, stream).await, stream));
    assert_eq!(engine.counts().executed, executed);
    engine.stop().await;
    Ok(())
}

#[rstest]
#[actix_web::test]
async fn crash_restart() -> TestResult {
    let engine = EngineServer::start(EngineOptions::default())?;
    engine.crash().await;
    assert!(chat(&engine, false).await.is_none());
    // Guards against another stand-in that gets the port meanwhile and answers in this one's place.
    assert!(std::net::TcpListener::bind(engine.address()).is_err());
    engine.restart().await?;
    assert!(chat(&engine, false).await.is_some());
    assert_eq!(engine.counts().executed, 1);
    engine.stop().await;
    Ok(())
}

/// Guards against work that goes on after its client has gone away.
#[rstest]
#[case(true)]
#[case(false)]
#[actix_web::test]
async fn client_gone(#[case] stream: bool) -> TestResult {
    let engine = EngineServer::start(EngineOptions::default())?;
    engine.set_fault(EngineFault::always(FaultKind::Hang));
    let call = tokio::time::timeout(Duration::from_millis(200), chat(&engine, stream));
    assert!(call.await.is_err());
    while engine.counts().cancelled == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(engine.recorded()[0].outcome, RunOutcome::Cancelled);
    engine.stop().await;
    Ok(())
}

#[rstest]
#[case(true, false)]
#[case(false, true)]
#[actix_web::test]
async fn old_fencing(#[case] checks: bool, #[case] accepted: bool) -> TestResult {
    let engine = EngineServer::start(EngineOptions {
        checks_fencing: checks,
        ..EngineOptions::default()
    })?;
    let order = |fencing| EngineOrder {
        load: true,
        model: "m".into(),
        fencing,
    };
    assert!(HttpEngine.order(engine.address(), order(2)).await?);
    assert_eq!(
        HttpEngine.order(engine.address(), order(1)).await?,
        accepted
    );
    let report = HttpEngine.load_report(engine.address()).await?;
    assert_eq!(report.models, vec!["m"]);
    engine.stop().await;
    Ok(())
}

#[rstest]
#[actix_web::test]
async fn plain_echo() -> TestResult {
    let engine = EngineServer::start(EngineOptions {
        kind: EngineKind::Plain,
        ..EngineOptions::default()
    })?;
    let url = format!("http://{}/charge/7?x=1", engine.address());
    let request = awc::Client::default().post(url);
    let mut answer = request.send().await.map_err(|error| error.to_string())?;
    let body: Value = answer.json().await?;
    assert_eq!(body["path"], "/charge/7?x=1");
    assert_eq!(body["method"], "POST");
    assert_eq!(body["execution"], 1);
    engine.stop().await;
    Ok(())
}
