//! Authentication, addressing and replay checks of received frames.

use bytes::Bytes;
use plantainmill_mesh::{Channel, DropReason, FleetSecret, FrameGuard, MeshFrame};
use proptest::prelude::*;
use rstest::rstest;

fn secret(words: &[&str]) -> FleetSecret {
    FleetSecret::new(words.iter().copied().map(Into::into).collect())
}

fn frame(to: &str, incarnation: u64) -> MeshFrame {
    MeshFrame {
        version: 1,
        from: "a".into(),
        to: to.into(),
        incarnation,
        channel: Channel::Config,
        body: Bytes::from_static(b"body"),
    }
}

fn guard() -> FrameGuard {
    FrameGuard::new("b".into(), secret(&["old"]))
}

/// A recorded frame must not be accepted by a third VM, and a VM must not accept its own frames.
#[rstest]
#[case::third(frame("c", 1), DropReason::Misaddressed)]
#[case::reflected(MeshFrame { from: "b".into(), ..frame("b", 1) }, DropReason::Replayed)]
#[case::format(MeshFrame { version: 2, ..frame("b", 1) }, DropReason::Version)]
fn frame_dropped(#[case] frame: MeshFrame, #[case] reason: DropReason) {
    let content = secret(&["old"]).seal(&frame);
    assert_eq!(guard().accept(&content), Err(reason));
}

/// Once a replacement VM with the same id has sent, frames of the earlier incarnation are replays.
#[test]
fn older_incarnation() {
    let mut guard = guard();
    let sealed = |incarnation| secret(&["old"]).seal(&frame("b", incarnation));
    assert!(guard.accept(&sealed(5)).is_ok());
    assert!(guard.accept(&sealed(6)).is_ok());
    assert_eq!(guard.accept(&sealed(5)), Err(DropReason::Replayed));
    assert!(guard.accept(&sealed(6)).is_ok());
    assert_eq!(guard.incarnation_of(&"a".into()), Some(6));
}

/// An unauthenticated frame with a later incarnation must not cause frames of the real sender to be dropped.
#[test]
fn forged_incarnation() {
    let mut guard = guard();
    let forged = secret(&["guess"]).seal(&frame("b", 99));
    assert_eq!(guard.accept(&forged), Err(DropReason::Foreign));
    assert!(guard.accept(&secret(&["old"]).seal(&frame("b", 1))).is_ok());
}

/// In each step of a secret rotation, VMs before and after the step accept each other's frames.
#[test]
fn secret_rotation() {
    let steps = [&["old"][..], &["old", "new"], &["new", "old"], &["new"]];
    for pair in steps.windows(2) {
        for (sender, receiver) in [(0, 1), (1, 0)] {
            let mut guard = FrameGuard::new("b".into(), secret(pair[receiver]));
            let content = secret(pair[sender]).seal(&frame("b", 1));
            assert!(guard.accept(&content).is_ok(), "{pair:?}");
        }
    }
    let mut guard = FrameGuard::new("b".into(), secret(&["new"]));
    let content = secret(&["old"]).seal(&frame("b", 1));
    assert_eq!(guard.accept(&content), Err(DropReason::Foreign));
}

proptest! {
    /// Arbitrary bytes are rejected without a panic.
    #[test]
    fn garbage_dropped(content in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(guard().accept(&content).is_err());
    }

    /// A single changed byte anywhere in a frame fails authentication.
    #[test]
    fn changed_byte_rejected(position in 0_usize..80, flip in 1_u8..=255) {
        let mut content = secret(&["old"]).seal(&frame("b", 1)).to_vec();
        let index = position % content.len();
        content[index] ^= flip;
        prop_assert_eq!(guard().accept(&content), Err(DropReason::Foreign));
    }

    /// Correctly signed bytes that are not a frame, for example from an incompatible build, are malformed.
    #[test]
    fn signed_garbage(body in proptest::collection::vec(any::<u8>(), 0..60)) {
        use hmac::{Hmac, KeyInit as _, Mac as _};
        let mut mac = Hmac::<sha2::Sha256>::new_from_slice(b"old").expect("any length");
        mac.update(&body);
        let content = [mac.finalize().into_bytes().as_slice(), &body].concat();
        prop_assert_eq!(guard().accept(&content), Err(DropReason::Malformed));
    }
}
