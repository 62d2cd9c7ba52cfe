//! Rate limit per client address on open routes, with bounded memory.

use crate::bucket::TokenBucket;
use crate::split::Share;
use plantainmill_core::{Problem, ResultCode, Uptime};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv6Addr};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Maximum number of addresses tracked at a time.
pub const MAX_ADDRESSES: usize = 65_536;
/// IPv6 addresses are limited per network of this prefix length, since a client usually owns a whole /64 network.
const IPV6_PREFIX_BITS: u32 = 64;
/// Time for an idle bucket to become full: its burst is one second of its rate.
const REFILL_TIME: Duration = Duration::from_secs(1);

/// Buckets by address in two generations. The older generation is dropped when the younger one is full or older than
/// [`REFILL_TIME`]. This bounds the memory, and an address that was active within the last second keeps its bucket
/// unless a flood of addresses displaces it.
#[derive(Debug, Default)]
struct AddressTable {
    current: HashMap<IpAddr, TokenBucket>,
    previous: HashMap<IpAddr, TokenBucket>,
    rotated_at: Uptime,
}

impl AddressTable {
    fn rotate(&mut self, now: Uptime) {
        let expired = now.saturating_sub(self.rotated_at) >= REFILL_TIME;
        if expired || self.current.len() >= MAX_ADDRESSES / 2 {
            self.previous = std::mem::take(&mut self.current);
            self.rotated_at = now;
        }
    }

    fn bucket(&mut self, address: IpAddr, share: Share, now: Uptime) -> &mut TokenBucket {
        let previous = &mut self.previous;
        self.current.entry(address).or_insert_with(|| {
            previous
                .remove(&address)
                .unwrap_or_else(|| TokenBucket::full(share, now))
        })
    }
}

/// Limits the rate of calls from each client address on open routes.
#[derive(Debug, Default)]
pub struct AddressLimiter {
    table: Mutex<AddressTable>,
}

impl AddressLimiter {
    /// Admits or refuses one call from `address`, given a limit of `rate` calls per second.
    ///
    /// # Errors
    ///
    /// `AddressRateExceeded`, with the time after which to retry, when the address has exceeded its rate.
    pub fn admit(&self, address: IpAddr, rate: u32, now: Uptime) -> Result<(), Problem> {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.rotate(now);
        let share = Share::whole(f64::from(rate), rate);
        let bucket = table.bucket(network_of(address), share, now);
        bucket.set_share(share, now);
        if bucket.take(now) {
            return Ok(());
        }
        let delay = bucket.time_until_token(now).unwrap_or(REFILL_TIME);
        let reason = "the client address exceeded its rate";
        Err(Problem::new(ResultCode::AddressRateExceeded, reason).with_retry_after(delay))
    }

    /// Number of addresses with a bucket, over both generations.
    #[must_use]
    pub fn address_count(&self) -> usize {
        let table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table.current.len() + table.previous.len()
    }
}

fn network_of(address: IpAddr) -> IpAddr {
    match address.to_canonical() {
        IpAddr::V6(address) => {
            let mask = u128::MAX << (128 - IPV6_PREFIX_BITS);
            IpAddr::V6(Ipv6Addr::from_bits(address.to_bits() & mask))
        }
        address @ IpAddr::V4(_) => address,
    }
}
