//! How far a send has got, and which way it takes.

use crate::connection_log::{ConnectionLog, ConnectionUse, RequestKey, request_key};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

tokio::task_local! {
    static CURRENT_SEND: SendTrace;
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ConnectPhase {
    /// The connection was open before.
    #[default]
    Kept,
    Connecting,
    Connected,
}

/// Progress of one send. Clones share the same progress, so that it is known after the send was given up.
#[derive(Clone, Debug, Default)]
pub struct SendTrace {
    phase: Rc<Cell<ConnectPhase>>,
    sent_at: Rc<Cell<Option<Instant>>>,
    forwarder: Rc<Cell<Option<SocketAddr>>>,
    request: Rc<Cell<RequestKey>>,
    connection: Rc<RefCell<Option<Rc<ConnectionLog>>>>,
}

impl SendTrace {
    /// Whether the connection is still being opened, so that nothing has been sent on it.
    #[must_use]
    pub fn is_connecting(&self) -> bool {
        self.phase.get() == ConnectPhase::Connecting
    }

    /// Whether a connection was opened for the send.
    pub(crate) fn has_connected(&self) -> bool {
        self.phase.get() == ConnectPhase::Connected
    }

    /// When the request could be written to its connection; `None` before.
    pub(crate) fn sent_at(&self) -> Option<Instant> {
        self.sent_at.get()
    }

    /// The VM that was asked to forward the request; `None` for a direct send.
    pub(crate) fn forwarder(&self) -> Option<SocketAddr> {
        self.forwarder.get()
    }

    /// The connection on which the request was written; `None` before.
    #[must_use]
    pub fn connection(&self) -> Option<ConnectionUse> {
        let connection = self.connection.borrow();
        let usage = |log: &Rc<ConnectionLog>| log.usage(self.request.get());
        connection.as_ref().map(usage)
    }

    /// Excludes the connection from further sends, because a response to an earlier one may still arrive on it.
    pub(crate) fn retire_connection(&self) {
        if let Some(connection) = &*self.connection.borrow() {
            connection.retire();
        }
    }

    /// Starts a send of the request `id` to the target itself, or to the VM that is to forward it.
    pub(crate) fn start(&self, id: &[u8], forwarder: Option<SocketAddr>) {
        self.enter(ConnectPhase::Kept);
        self.forwarder.set(forwarder);
        self.request.set(request_key(id));
        self.connection.take();
    }

    fn enter(&self, phase: ConnectPhase) {
        self.phase.set(phase);
        let is_open = phase != ConnectPhase::Connecting;
        self.sent_at.set(is_open.then(Instant::now));
    }

    /// Runs a send whose connects are recorded here.
    pub(crate) async fn observe<T>(&self, send: impl Future<Output = T>) -> T {
        CURRENT_SEND.scope(self.clone(), send).await
    }

    /// Runs a connect of the current send.
    pub(crate) async fn record_connect<T, E>(
        connect: impl Future<Output = Result<T, E>>,
    ) -> Result<T, E> {
        let set = |phase| {
            // Connects outside of an observed send are not recorded.
            let _ = CURRENT_SEND.try_with(|trace| trace.enter(phase));
        };
        set(ConnectPhase::Connecting);
        let connected = connect.await;
        if connected.is_ok() {
            set(ConnectPhase::Connected);
        }
        connected
    }

    /// Request of the current send, while the pool chooses a connection for it; `None` once it is written, and outside of a send.
    pub(crate) fn unsent_request() -> Option<RequestKey> {
        let unsent = |trace: &SendTrace| {
            let is_unsent = trace.connection.borrow().is_none();
            is_unsent.then(|| trace.request.get())
        };
        CURRENT_SEND.try_with(unsent).ok().flatten()
    }

    /// Records that the request of the current send is written to a connection, and returns whether there is such a send.
    pub(crate) fn record_write(log: &Rc<ConnectionLog>) -> bool {
        let recorded = CURRENT_SEND.try_with(|trace| {
            let mut connection = trace.connection.borrow_mut();
            if connection.is_none() {
                log.record(trace.request.get());
                *connection = Some(Rc::clone(log));
            }
        });
        recorded.is_ok()
    }
}
