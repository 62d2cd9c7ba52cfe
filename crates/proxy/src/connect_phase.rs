//! How far a send has got: whether its connection is still being opened.

use std::cell::Cell;
use std::rc::Rc;

tokio::task_local! {
    static CURRENT_PHASE: ConnectPhase;
}

/// Progress of the connection of one send. Clones share the same progress.
#[derive(Clone, Debug, Default)]
pub struct ConnectPhase {
    is_connecting: Rc<Cell<bool>>,
}

impl ConnectPhase {
    /// Whether the connection is still being opened, so that nothing has been sent on it. A send on a connection that was
    /// open before is never in this phase.
    #[must_use]
    pub fn is_connecting(&self) -> bool {
        self.is_connecting.get()
    }

    /// Runs a send whose connects are recorded here.
    pub(crate) async fn observe<T>(&self, send: impl Future<Output = T>) -> T {
        CURRENT_PHASE.scope(self.clone(), send).await
    }

    /// Runs a connect of the current send. It stays in this phase unless the connect succeeds.
    pub(crate) async fn record_connect<T, E>(
        connect: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        let set = |is_connecting| {
            // Connects outside of an observed send are not recorded.
            let _ = CURRENT_PHASE.try_with(|phase| phase.is_connecting.set(is_connecting));
        };
        set(true);
        let connected = connect.await;
        set(connected.is_err());
        connected
    }
}
