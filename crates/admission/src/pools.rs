//! Exact fleet-wide rate limits by token pools.
//!
//! Rate and burst of an organisation are divided evenly over a few pools. Each pool belongs to a failure domain and is held
//! by one VM of it. Tokens exist only at the holder, in transit, or at the one VM that asked for them, so that the sum of
//! admissions is bounded at any number of VMs. All types are state machines: input and time in, decisions out.

mod book;
mod holder;
mod memory;
mod placement;
mod pool;
mod search;
mod share;
mod view;

pub use book::{BookCounts, PoolBook};
pub use memory::SILENCE_SKIP;
pub use placement::{holder_of, pool_count, pool_domains};
pub use pool::TokenPool;
pub use search::{
    AskOutcome, RateLimit, TokenAsk, TokenKind, TokenReceipt, TokenReply, TokenSearch, TokenStep,
};
pub use view::FleetView;
