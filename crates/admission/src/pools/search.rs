//! The search of one request for a token, and the messages between the VM that asks and the holder of a pool.

use plantainmill_core::{DomainName, OrganisationId, Uptime, VmId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Rate limit of an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests per second. Zero or less means unlimited.
    pub rate: f64,
    /// Capacity of the token bucket, in requests. Values below 1 count as 1.
    pub burst: f64,
}

/// What a token is for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TokenKind {
    /// A new request.
    Request,
    /// A stream that goes on after the VM that admitted it was lost. It may borrow from the rate to come.
    Continuation,
}

/// A question for a token, to the holder of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TokenAsk {
    /// Failure domain of the pool.
    pub domain: DomainName,
    /// VM that holds the pool, by the view of the VM that asks.
    pub holder: VmId,
    /// Organisation that the token is for.
    pub organisation: OrganisationId,
    /// What the token is for.
    pub kind: TokenKind,
    /// Number of the question, which its answer repeats.
    pub nonce: u64,
    /// Time from the question within which the token has to be used.
    pub valid: Duration,
}

/// Answer of a VM that is asked for a token.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TokenReply {
    /// One token.
    Granted {
        /// Time until the pool is half full again, in milliseconds; zero if it is. Until then the other pools are asked
        /// first, so that all of them keep a reserve.
        low_ms: u32,
    },
    /// The pool is empty.
    Empty {
        /// Time until its next token, in milliseconds.
        wait_ms: u32,
    },
    /// The VM does not hold the pool.
    NotHeld,
}

/// Outcome of a question, at the VM that asked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AskOutcome {
    /// The holder answered in time.
    Answered(TokenReply),
    /// No answer came in time.
    Silent,
}

/// A token by which a request was admitted. It can be returned if the request provably did not run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TokenReceipt {
    /// The organisation has no limit.
    Unlimited,
    /// Token of a pool that this VM holds.
    Held {
        /// Organisation that the token is for.
        organisation: OrganisationId,
        /// Failure domain of the pool.
        domain: DomainName,
        /// Number of the grant.
        nonce: u64,
    },
    /// Token of a pool that another VM holds.
    Granted(TokenAsk),
    /// Token of this VM's own share.
    Share {
        /// Organisation that the token is for.
        organisation: OrganisationId,
    },
}

/// What a request does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TokenStep {
    /// It is admitted.
    Admitted(TokenReceipt),
    /// It asks a holder, and continues with the outcome.
    Ask(TokenAsk),
    /// It is refused.
    Refused {
        /// Time after which a retry may be admitted, by what the pools have named.
        retry_after: Duration,
    },
}

/// State of the search of one request.
#[derive(Debug)]
pub struct TokenSearch {
    pub(super) organisation: OrganisationId,
    pub(super) limit: RateLimit,
    pub(super) kind: TokenKind,
    /// Number of the organisation's pools.
    pub(super) pools: usize,
    /// Failure domains whose pools have not been considered yet.
    pub(super) remaining: VecDeque<DomainName>,
    /// Failure domains whose pools are less than half full. They are asked after the others.
    pub(super) low: VecDeque<DomainName>,
    /// Failure domains whose holders were skipped because they did not answer former questions.
    pub(super) skipped: VecDeque<DomainName>,
    /// Question without an outcome.
    pub(super) asked: Option<TokenAsk>,
    /// Earliest time of a token that a pool has named.
    pub(super) next_token_at: Option<Uptime>,
    /// All pools that are at least half full have been considered.
    pub(super) asks_low: bool,
    /// Holders that did not answer once are asked again, because no other pool has a token.
    pub(super) is_last_resort: bool,
}
