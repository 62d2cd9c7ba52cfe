//! Rate limit per client address on open routes.

use plantainmill_admission::AddressLimiter;
use plantainmill_admission::address::MAX_ADDRESSES;
use plantainmill_core::ResultCode;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

/// Calls per second and address.
const RATE: u32 = 50;

fn address(number: u32) -> IpAddr {
    IpAddr::V4(Ipv4Addr::from_bits(number))
}

/// Guards against one client that exceeds the rate of an open route, and against refusals of other clients.
#[test]
fn one_client() {
    let limiter = AddressLimiter::default();
    let now = Duration::from_secs(5);
    for _ in 0..RATE {
        limiter.admit(address(1), RATE, now).unwrap();
    }
    let problem = limiter.admit(address(1), RATE, now).unwrap_err();
    assert_eq!(problem.code, ResultCode::AddressRateExceeded);
    assert_eq!(problem.retry_after, Some(Duration::from_millis(20)));
    limiter.admit(address(2), RATE, now).unwrap();
    limiter
        .admit(address(1), RATE, now + Duration::from_millis(20))
        .unwrap();
}

/// Guards against a client that gets a new, full bucket when the generations rotate.
#[test]
fn steady_client() {
    let limiter = AddressLimiter::default();
    let mut admitted = 0;
    for step in 0..10_000_u32 {
        let now = Duration::from_millis(u64::from(step));
        admitted += u32::from(limiter.admit(address(1), RATE, now).is_ok());
    }
    assert!(admitted <= RATE * 10 + RATE, "{admitted} admitted in 10 s");
}

/// Guards against unbounded memory when calls come from many addresses.
#[test]
fn many_addresses() {
    let limiter = AddressLimiter::default();
    for number in 0..200_000 {
        let _ = limiter.admit(address(number), RATE, Duration::from_secs(1));
    }
    assert!(limiter.address_count() <= MAX_ADDRESSES);
}

/// Guards against a client that evades the limit by using many addresses of its IPv6 network.
#[test]
fn one_network() {
    let limiter = AddressLimiter::default();
    let now = Duration::from_secs(1);
    let mut admitted = 0;
    for number in 0..200 {
        let client: IpAddr = format!("2001:db8::{number:x}").parse().unwrap();
        admitted += u32::from(limiter.admit(client, RATE, now).is_ok());
    }
    assert_eq!(admitted, RATE);
}
