//! How the link proxy forwards the end of a connection.

use plantainmill_soak::{LinkMode, LinkProxy};
use rstest::rstest;
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

/// Guards against a reset that reaches the caller as a clean end: a truncated body without a length would look complete.
#[rstest]
#[case::clean_end(false, LinkMode::Open, false)]
#[case::reset_by_target(true, LinkMode::Open, true)]
#[case::reset_by_link(false, LinkMode::Reset, true)]
#[actix_rt::test]
async fn forwarded_end(
    #[case] target_resets: bool,
    #[case] mode: LinkMode,
    #[case] is_reset: bool,
) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let proxy = LinkProxy::start(listener.local_addr().expect("an address"));
    let proxy = proxy.await.expect("a proxy");
    let mut caller = TcpStream::connect(proxy.address).await.expect("a link");
    let (mut target, _) = listener.accept().await.expect("a connection");
    target.write_all(b"part").await.expect("written");
    let mut data = [0; 4];
    caller.read_exact(&mut data).await.expect("the first bytes");
    if target_resets {
        target.set_zero_linger().expect("a reset");
    }
    proxy.set_mode(mode);
    // A reset by the link itself has to arrive before the target closes its connection.
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(target);
    match caller.read(&mut data).await {
        Ok(size) => assert!(!is_reset && size == 0, "{size} bytes"),
        Err(error) => assert!(
            is_reset && error.kind() == ErrorKind::ConnectionReset,
            "{error}"
        ),
    }
}
