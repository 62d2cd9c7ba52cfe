//! The requests that a connection has carried.

use std::sync::atomic::{AtomicU64, Ordering};
use xxhash_rust::xxh3::xxh3_64;

/// Number of a connection, unique within the process.
pub type ConnectionId = u64;
/// Hash of the id of a request.
pub(crate) type RequestKey = u64;

static NEXT_CONNECTION: AtomicU64 = AtomicU64::new(1);

/// Hash under which a connection remembers the id of a request.
pub(crate) fn request_key(id: &[u8]) -> RequestKey {
    xxh3_64(id)
}

/// The connection of a send, as log lines name it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionUse {
    /// The connection.
    pub connection: ConnectionId,
    /// Requests that the connection has carried, including this one.
    pub requests: usize,
    /// Times that the connection has carried the id of the request, including this one.
    pub id_sends: usize,
}

/// The requests of one connection.
#[derive(Debug)]
pub(crate) struct SentRequests {
    connection: ConnectionId,
    keys: Vec<RequestKey>,
}

impl SentRequests {
    pub fn new() -> SentRequests {
        SentRequests {
            connection: NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed),
            keys: Vec::new(),
        }
    }

    /// Records that the request is written to the connection.
    pub fn record(&mut self, key: RequestKey) -> ConnectionUse {
        self.keys.push(key);
        ConnectionUse {
            connection: self.connection,
            requests: self.keys.len(),
            id_sends: self.keys.iter().filter(|sent| **sent == key).count(),
        }
    }
}
