//! Caller keys: header parsing, lookup and the re-check limit.

use plantainmill_admission::KeyAuthenticator;
use plantainmill_admission::key::{MAX_HEADER_BYTES, parse_bearer};
use plantainmill_config::{
    ConfigView, ExceptionSpec, FleetConfig, KeySpec, OrganisationSpec, Subject,
};
use plantainmill_core::secret::hash_secret;
use plantainmill_core::{ManualClock, ResultCode};
use rstest::rstest;
use std::sync::Arc;
use std::time::Duration;

/// Default of `key_recheck_limit_s`.
const RECHECK_LIMIT: Duration = Duration::from_mins(15);

fn key(organisation: &str, secret: &str, expires_at: Option<u64>) -> KeySpec {
    KeySpec {
        organisation: organisation.into(),
        hash: hash_secret(secret),
        label: "test".into(),
        expires_at,
    }
}

fn sample() -> FleetConfig {
    let organisation = OrganisationSpec {
        rate: 1.0,
        burst: 1,
        weight: 1,
    };
    let mut config = FleetConfig {
        version: 1,
        organisations: Arc::new([("kandy".into(), organisation)].into()),
        keys: Arc::new(
            [
                ("k1".into(), key("kandy", "secret-1", None)),
                ("k2".into(), key("kandy", "secret-2", Some(100))),
                ("k3".into(), key("missing", "secret-3", None)),
            ]
            .into(),
        ),
        ..FleetConfig::default()
    };
    config.rebuild_index();
    config
}

fn authenticator(config: FleetConfig) -> (KeyAuthenticator, ConfigView, ManualClock) {
    let view = ConfigView::default();
    view.publish(config);
    let clock = ManualClock::default();
    let keys = KeyAuthenticator::new(view.clone(), Arc::new(clock.clone()));
    (keys, view, clock)
}

fn refusal(keys: &KeyAuthenticator, header: &str) -> ResultCode {
    keys.authenticate([header.as_bytes()]).unwrap_err().code
}

/// Guards against a malformed header that is accepted as a key or causes a panic.
#[rstest]
#[case::no_scheme("secret-1")]
#[case::basic("Basic c2VjcmV0")]
#[case::empty("Bearer ")]
#[case::two_words("Bearer secret-1 secret-2")]
#[case::control("Bearer secret\u{1}")]
#[case::not_ascii("Bearer sécret")]
#[case::comma("Bearer secret-1,secret-2")]
fn malformed_header(#[case] header: &str) {
    let problem = parse_bearer([header.as_bytes()]).unwrap_err();
    assert_eq!(problem.code, ResultCode::BadHeader);
    assert_eq!(problem.field.as_deref(), Some("authorization"));
}

/// Guards against a panic or an accepted key when the header is not valid UTF-8.
#[test]
fn broken_bytes() {
    let header: &[u8] = b"Bearer \xff\xfe";
    assert_eq!(
        parse_bearer([header]).unwrap_err().code,
        ResultCode::BadHeader
    );
}

/// Guards against a request with two keys, which could be accounted to either organisation.
#[test]
fn repeated_header() {
    let headers: [&[u8]; 2] = [b"Bearer secret-1", b"Bearer secret-1"];
    assert_eq!(
        parse_bearer(headers).unwrap_err().code,
        ResultCode::BadHeader
    );
}

/// Guards against hashing headers of unbounded length.
#[test]
fn oversized_header() {
    let fits = format!("Bearer {}", "a".repeat(MAX_HEADER_BYTES - 7));
    assert!(parse_bearer([fits.as_bytes()]).is_ok());
    let long = format!("{fits}a");
    let problem = parse_bearer([long.as_bytes()]).unwrap_err();
    assert_eq!(problem.code, ResultCode::BadHeader);
}

/// Guards against a request without a header that is let through.
#[test]
fn missing_header() {
    let problem = parse_bearer([]).unwrap_err();
    assert_eq!(problem.code, ResultCode::KeyMissing);
}

/// A valid key yields its organisation, and the scheme is not case-sensitive.
#[test]
fn good_key() {
    let (keys, _, _) = authenticator(sample());
    let owner = keys.authenticate([b"bEaReR secret-1".as_slice()]).unwrap();
    assert_eq!(owner.organisation, "kandy");
    assert_eq!(owner.key, "k1");
}

/// Guards against keys that remain valid without their organisation, and against keys that differ from a valid one in
/// part.
#[rstest]
#[case::unknown("Bearer secret-9")]
#[case::prefix("Bearer secret-")]
#[case::without_organisation("Bearer secret-3")]
fn unknown_key(#[case] header: &str) {
    let (keys, _, _) = authenticator(sample());
    assert_eq!(refusal(&keys, header), ResultCode::KeyUnknown);
}

/// Guards against a key that is accepted after its expiry.
#[test]
fn expired_key() {
    let (keys, view, clock) = authenticator(sample());
    clock.advance(Duration::from_secs(100));
    view.mark_checked(Duration::from_secs(100));
    assert!(keys.authenticate([b"Bearer secret-2".as_slice()]).is_ok());
    clock.advance(Duration::from_secs(1));
    assert_eq!(refusal(&keys, "Bearer secret-2"), ResultCode::KeyUnknown);
}

/// Guards against a withdrawn key that is still accepted.
#[test]
fn withdrawn_key() {
    let (keys, view, _) = authenticator(sample());
    assert!(keys.authenticate([b"Bearer secret-1".as_slice()]).is_ok());
    let mut next = sample();
    next.version = 2;
    Arc::make_mut(&mut next.keys).remove("k1");
    next.rebuild_index();
    view.publish(next);
    assert_eq!(refusal(&keys, "Bearer secret-1"), ResultCode::KeyUnknown);
    assert_eq!(keys.dump(), serde_json::json!({}));
}

/// Guards against a VM without a confirmed configuration that accepts keys beyond the re-check limit.
#[test]
fn recheck_limit() {
    let (keys, view, clock) = authenticator(sample());
    clock.advance(RECHECK_LIMIT);
    assert!(keys.authenticate([b"Bearer secret-1".as_slice()]).is_ok());
    clock.advance(Duration::from_millis(1));
    assert_eq!(refusal(&keys, "Bearer secret-1"), ResultCode::KeyUnchecked);
    view.mark_checked(RECHECK_LIMIT);
    assert!(keys.authenticate([b"Bearer secret-1".as_slice()]).is_ok());
}

/// Guards against an exception to the re-check limit that is not applied.
#[test]
fn recheck_exception() {
    let mut config = sample();
    let exception = ExceptionSpec {
        subject: Subject::Organisation("kandy".into()),
        setting: "key_recheck_limit_s".into(),
        value: 5,
        reason: "short outings".into(),
    };
    config.exceptions = Arc::new([("e1".into(), exception)].into());
    let (keys, _, clock) = authenticator(config);
    clock.advance(Duration::from_secs(6));
    assert_eq!(refusal(&keys, "Bearer secret-1"), ResultCode::KeyUnchecked);
}

/// The dump contains the last use of each key. Refused requests do not count as a use.
#[test]
fn last_use() {
    let (keys, _, clock) = authenticator(sample());
    clock.advance(Duration::from_secs(7));
    keys.authenticate([b"Bearer secret-1".as_slice()]).unwrap();
    refusal(&keys, "Bearer secret-3");
    assert_eq!(keys.dump(), serde_json::json!({ "k1": 7 }));
}
