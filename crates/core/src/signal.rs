//! Waiting for flags that one task sets for others, such as shutdown or preemption.

use tokio::sync::watch;

/// Waits until `signal` is true. Never returns if the sender is dropped while the signal is false, because nothing can
/// set it after that.
pub async fn wait_until_set(signal: &mut watch::Receiver<bool>) {
    if signal.wait_for(|set| *set).await.is_err() {
        std::future::pending::<()>().await;
    }
}
