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

/// Guards against a closed link whose connects succeed, for which a VM would not ask another one, and one that stays closed.
#[actix_rt::test]
async fn closed_link() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let proxy = LinkProxy::start(listener.local_addr().expect("an address"));
    let proxy = proxy.await.expect("a proxy");
    let mut caller = TcpStream::connect(proxy.address).await.expect("a link");
    let _target = listener.accept().await.expect("a connection");
    proxy.set_mode(LinkMode::Closed);
    let cut = caller.read(&mut [0]).await.expect_err("a reset");
    assert_eq!(cut.kind(), ErrorKind::ConnectionReset);
    let refused = TcpStream::connect(proxy.address).await;
    let refused = refused.expect_err("no connection");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    proxy.set_mode(LinkMode::Open);
    while TcpStream::connect(proxy.address).await.is_err() {
        tokio::task::yield_now().await;
    }
}
