//! Targets that write the copy of a refusal later.

use plantainmill_fakes::{CopyTiming, RefusalCopy, StreamTarget, TargetAct, TargetNames};
use rstest::rstest;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

const NAMES: TargetNames = TargetNames {
    request_id: "id",
    not_executed: "not-executed",
    limit: "limit",
    leaving: "leaving",
};
/// Time after which a connection has nothing more to read.
const QUIET_TIME: Duration = Duration::from_millis(100);

/// Ids and statuses of the responses that arrive after a request.
async fn responses(connection: &mut TcpStream, id: &str) -> Vec<String> {
    let request = format!("POST / HTTP/1.1\r\nid: {id}\r\n\r\n");
    connection
        .write_all(request.as_bytes())
        .await
        .expect("a send");
    let mut received = Vec::new();
    while let Ok(read) = timeout(QUIET_TIME, connection.read_buf(&mut received)).await {
        assert!(read.expect("a read") > 0);
    }
    let text = String::from_utf8(received).expect("text");
    let heads = text.split("HTTP/1.1 ").skip(1).map(|head| {
        let id = head.lines().find_map(|line| line.strip_prefix("id: "));
        format!("{} {}", &head[..3], id.unwrap_or("none"))
    });
    heads.collect()
}

/// Guards against copies that come too early to be taken for the response to a later request, or not at all.
#[rstest]
#[case::idle(503, CopyTiming::Idle(Duration::from_millis(10)), ["503 a 503 a", "200 b", "200 c"])]
#[case::next_request(429, CopyTiming::NextRequest, ["429 a", "429 a 200 b", "200 c"])]
#[case::after_answer(421, CopyTiming::AfterAnswer, ["421 a", "200 b", "421 a 200 c"])]
#[case::behind_answer(503, CopyTiming::BehindAnswer, ["503 a", "200 b 503 a", "200 c"])]
#[actix_rt::test]
async fn copy_times(#[case] status: u16, #[case] timing: CopyTiming, #[case] expected: [&str; 3]) {
    let target = StreamTarget::start(NAMES, 1).await.expect("a target");
    let copy = RefusalCopy { timing, count: 1 };
    target.plan([TargetAct::CopyRefusal(status, copy)]);
    let mut connection = TcpStream::connect(target.address)
        .await
        .expect("a connection");
    for (id, expected) in ["a", "b", "c"].into_iter().zip(expected) {
        assert_eq!(responses(&mut connection, id).await.join(" "), expected);
    }
    let seen = target.seen();
    let ran: Vec<bool> = seen.iter().map(|request| request.ran).collect();
    assert_eq!(ran, [false, true, true]);
}
