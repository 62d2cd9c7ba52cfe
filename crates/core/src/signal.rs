//! Signals between tasks.

use tokio::sync::watch;

/// Waits until `signal` is set. Waits for ever if its sender is gone, since nothing can set it any more.
pub async fn wait_until_set(signal: &mut watch::Receiver<bool>) {
    if signal.wait_for(|set| *set).await.is_err() {
        std::future::pending::<()>().await;
    }
}
