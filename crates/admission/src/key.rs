//! Caller keys: parsing of the `Authorization` header, lookup by hash, and the limit on how long a VM accepts keys
//! without re-checking the configuration.

use compact_str::CompactString;
use plantainmill_config::{ConfigView, FleetConfig, KeySpec};
use plantainmill_core::secret::hash_secret;
use plantainmill_core::{Clock, KeyId, OrganisationId, Problem, ResultCode};
use serde_json::Value;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::UNIX_EPOCH;
use subtle::ConstantTimeEq as _;

/// Longest `Authorization` header accepted, in bytes.
pub const MAX_HEADER_BYTES: usize = 512;
/// Hex digits of the hash that select the candidates. The comparison of the whole hash takes constant time.
const HASH_PREFIX_DIGITS: usize = 8;
/// Field name in the problems that report a bad header.
const HEADER_FIELD: &str = "authorization";

/// An accepted key and its organisation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// Id of the key.
    pub key: KeyId,
    /// Organisation that the request is accounted to.
    pub organisation: OrganisationId,
}

/// Extracts the secret from the values of all `Authorization` headers of a request.
///
/// # Errors
///
/// `KeyMissing` without a header; `BadHeader` for a repeated, oversized or malformed one.
pub fn parse_bearer<'a>(headers: impl IntoIterator<Item = &'a [u8]>) -> Result<&'a str, Problem> {
    let mut headers = headers.into_iter();
    let header = headers
        .next()
        .ok_or_else(|| Problem::new(ResultCode::KeyMissing, "missing Authorization header"))?;
    if headers.next().is_some() {
        return Err(bad_header("the header is repeated"));
    }
    if header.len() > MAX_HEADER_BYTES {
        return Err(bad_header("the header is longer than 512 bytes"));
    }
    let text = std::str::from_utf8(header).map_err(|_| bad_header("the header is not ASCII"))?;
    let (scheme, token) = text
        .split_once(' ')
        .ok_or_else(|| bad_header("the expected form is: Bearer KEY"))?;
    if !scheme.eq_ignore_ascii_case("bearer") {
        return Err(bad_header("the scheme is not Bearer"));
    }
    let token = token.trim_matches(' ');
    if token.is_empty() || !token.bytes().all(is_token_byte) {
        return Err(bad_header(
            "the key contains characters that are not allowed in a token",
        ));
    }
    Ok(token)
}

/// Bytes of the `token68` syntax of RFC 9110.
fn is_token_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~+/=".contains(&byte)
}

fn bad_header(reason: &str) -> Problem {
    Problem::new(ResultCode::BadHeader, reason).with_field(HEADER_FIELD)
}

/// Finds the key with the hash of `secret`. Keys of organisations that do not exist are ignored.
#[must_use]
pub fn find_key<'a>(config: &'a FleetConfig, secret: &str) -> Option<(&'a KeyId, &'a KeySpec)> {
    let hash = hash_secret(secret);
    let prefix = CompactString::from(&hash[..HASH_PREFIX_DIGITS]);
    let candidates = config
        .keys_by_hash
        .range(prefix.clone()..)
        .take_while(|(candidate, _)| candidate.starts_with(prefix.as_str()));
    let mut found = None;
    for (candidate, id) in candidates {
        if bool::from(candidate.as_bytes().ct_eq(hash.as_bytes())) {
            found = Some(id);
        }
    }
    let (id, key) = config.keys.get_key_value(found?)?;
    let exists = config.organisations.contains_key(&key.organisation);
    exists.then_some((id, key))
}

/// Authenticates caller keys against the configuration in force, and records the last use of each key.
pub struct KeyAuthenticator {
    view: ConfigView,
    clock: Arc<dyn Clock>,
    /// Unix seconds of the last use of each key. Only configured keys are entered, which bounds the map.
    last_uses: Mutex<HashMap<KeyId, u64>>,
}

impl KeyAuthenticator {
    /// Creates an authenticator for the configuration that `view` publishes.
    #[must_use]
    pub fn new(view: ConfigView, clock: Arc<dyn Clock>) -> KeyAuthenticator {
        KeyAuthenticator {
            view,
            clock,
            last_uses: Mutex::default(),
        }
    }

    /// Finds the owner of the key in the values of all `Authorization` headers.
    ///
    /// # Errors
    ///
    /// `KeyMissing`, `BadHeader`, `KeyUnknown` (also for a withdrawn or expired key), or `KeyUnchecked` when this VM
    /// has had no confirmed configuration for longer than the organisation's re-check limit.
    pub fn authenticate<'a>(
        &self,
        headers: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<KeyOwner, Problem> {
        let secret = parse_bearer(headers)?;
        let config = self.view.load();
        let seconds = self.now_unix();
        let (id, key) = find_key(&config, secret)
            .filter(|(_, key)| key.expires_at.is_none_or(|expiry| seconds <= expiry))
            .ok_or_else(|| Problem::new(ResultCode::KeyUnknown, "the key is not valid"))?;
        self.check_recheck_limit(&config, &key.organisation)?;
        self.record_use(id, seconds);
        Ok(KeyOwner {
            key: id.clone(),
            organisation: key.organisation.clone(),
        })
    }

    /// Unix seconds of the last accepted use of each key that is still configured, for the diagnostic dump.
    #[must_use]
    pub fn dump(&self) -> Value {
        let config = self.view.load();
        let mut last_uses = self
            .last_uses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_uses.retain(|id, _| config.keys.contains_key(id));
        let entries = last_uses.iter();
        let entries = entries.map(|(id, seconds)| (id.to_string(), Value::from(*seconds)));
        Value::Object(entries.collect())
    }

    fn check_recheck_limit(&self, config: &FleetConfig, organisation: &str) -> Result<(), Problem> {
        let unchecked = self.view.unchecked_for(self.clock.uptime());
        if unchecked <= config.key_recheck_limit(organisation) {
            return Ok(());
        }
        let reason = "the VM could not re-check keys within the limit";
        Err(Problem::new(ResultCode::KeyUnchecked, reason))
    }

    fn record_use(&self, id: &KeyId, seconds: u64) {
        let mut last_uses = self
            .last_uses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match last_uses.get_mut(id) {
            Some(last) => *last = seconds.max(*last),
            None => {
                last_uses.insert(id.clone(), seconds);
            }
        }
    }

    fn now_unix(&self) -> u64 {
        let since_epoch = self.clock.wall().duration_since(UNIX_EPOCH);
        since_epoch.map_or(0, |duration| duration.as_secs())
    }
}
