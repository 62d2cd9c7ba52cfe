//! What a connection has carried.
//!
//! A response names its request by the id. That tells which send it answers only if the connection has carried the id once: a target
//! may write the response to an earlier send once more.

use std::cell::{Cell, RefCell};
use std::sync::atomic::{AtomicU64, Ordering};
use xxhash_rust::xxh3::xxh3_64;

/// Number of a connection, unique within the process.
pub type ConnectionId = u64;
/// Hash of the id of a request.
pub(crate) type RequestKey = u64;

/// Requests that one connection carries at most, which bounds the ids that it remembers.
const MAX_REQUESTS: usize = 1_000;

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
    /// Times that the connection has carried the id of the request, including this one.
    pub id_sends: usize,
}

/// The requests of one connection.
#[derive(Debug)]
pub(crate) struct ConnectionLog {
    id: ConnectionId,
    keys: RefCell<Vec<RequestKey>>,
    is_retired: Cell<bool>,
}

impl ConnectionLog {
    pub fn new() -> ConnectionLog {
        ConnectionLog {
            id: NEXT_CONNECTION.fetch_add(1, Ordering::Relaxed),
            keys: RefCell::default(),
            is_retired: Cell::new(false),
        }
    }

    /// Whether the request may be sent on the connection: a response would then tell by its id whether it answers this send.
    pub fn may_carry(&self, key: RequestKey) -> bool {
        let keys = self.keys.borrow();
        !self.is_retired.get() && keys.len() < MAX_REQUESTS && !keys.contains(&key)
    }

    /// Records that the request is written to the connection.
    pub fn record(&self, key: RequestKey) {
        self.keys.borrow_mut().push(key);
    }

    /// Excludes the connection from further sends.
    pub fn retire(&self) {
        self.is_retired.set(true);
    }

    /// How the connection has been used for the request.
    pub fn usage(&self, key: RequestKey) -> ConnectionUse {
        let keys = self.keys.borrow();
        ConnectionUse {
            connection: self.id,
            id_sends: keys.iter().filter(|sent| **sent == key).count(),
        }
    }
}
