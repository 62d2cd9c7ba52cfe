//! Clients of the platform whose responses stall in their bodies.

use plantainmill_provider::http::{ClientSettings, HttpObjects, HttpPlatform};
use plantainmill_provider::{ObjectStore as _, StoreError, TableStore as _};
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

const SETTINGS: ClientSettings = ClientSettings {
    timeout: Duration::from_millis(300),
    response_limit_bytes: 1 << 20,
};
/// Time within which a call ends whose response stalls.
const STALL_LIMIT: Duration = Duration::from_secs(3);
/// Pause before each byte of a slow response.
const BYTE_PAUSE: Duration = Duration::from_millis(100);

/// Starts a server that responds with a body of ten bytes, of which it sends `sent`, and returns its URL.
async fn stalling_server(sent: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let mut request = [0; 1_024];
                drop(stream.read(&mut request).await);
                let head = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n";
                drop(stream.write_all(head).await);
                for _ in 0..sent {
                    sleep(BYTE_PAUSE).await;
                    drop(stream.write_all(b" ").await);
                }
                drop(stream.read(&mut request).await);
            });
        }
    });
    format!("http://{address}")
}

/// Guards against calls that wait for good for the rest of a response.
#[actix_web::test]
async fn stalled_call() {
    let url = stalling_server(4).await;
    let read = HttpObjects::new(&url, SETTINGS);
    let read = timeout(STALL_LIMIT, read.get("file/a")).await;
    assert!(matches!(
        read.expect("the end"),
        Err(StoreError::Unknown(_))
    ));
    let platform = HttpPlatform::new(&url, SETTINGS);
    let read = timeout(STALL_LIMIT, platform.get("a/1")).await;
    assert!(matches!(
        read.expect("the end"),
        Err(StoreError::Unknown(_))
    ));
}

/// Guards against responses that are cut off although they make progress.
#[actix_web::test]
async fn slow_call() {
    let url = stalling_server(10).await;
    let read = HttpObjects::new(&url, SETTINGS).get("file/a").await;
    assert_eq!(
        read.expect("an object").as_deref(),
        Some(&b"          "[..])
    );
}
