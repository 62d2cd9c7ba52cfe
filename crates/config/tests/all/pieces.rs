//! Transfer of a snapshot between VMs.

use plantainmill_config::pieces::{FetchStep, PIECE_BYTES, SnapshotFetch, SnapshotSource};
use plantainmill_config::{
    ConfigChange, ConfigEdit, ConfigMessage, ConfigSnapshot, FleetConfig, OrganisationSpec,
};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);

/// A snapshot that takes several pieces.
fn snapshot() -> ConfigSnapshot {
    let spec = OrganisationSpec {
        rate: 1.0,
        burst: 5,
        weight: 1,
    };
    let edits = (0..5_000).map(|number| ConfigEdit::PutOrganisation {
        id: format!("organisation-{number}").into(),
        spec: spec.clone(),
    });
    let config = FleetConfig::default().applied(&ConfigChange {
        version: 1,
        operation: "op1".into(),
        author: "operator".into(),
        time: 0,
        reason: "test".to_owned(),
        edits: edits.collect(),
    });
    let operation = "op1".into();
    ConfigSnapshot { operation, config }
}

fn piece(source: &mut SnapshotSource, request: &ConfigMessage) -> ConfigMessage {
    let ConfigMessage::AskPiece { version, offset } = request else {
        panic!("expected a request for a piece, got {request:?}");
    };
    let piece = source.piece(*version, *offset, snapshot, NOW);
    piece.expect("the piece exists")
}

/// The pieces add up to the snapshot. Duplicate pieces and those of other peers are ignored.
#[test]
fn pieces_joined() {
    let mut source = SnapshotSource::default();
    let (mut fetch, mut request) = SnapshotFetch::start("a".into(), NOW);
    let mut count = 0;
    loop {
        let piece = piece(&mut source, &request);
        count += 1;
        assert_eq!(
            fetch.handle_piece(&"b".into(), piece.clone(), NOW),
            FetchStep::Ignored
        );
        match fetch.handle_piece(&"a".into(), piece.clone(), NOW) {
            FetchStep::Request(next) => request = next,
            FetchStep::Complete(found) => {
                assert_eq!(*found, snapshot());
                break;
            }
            step => panic!("unexpected {step:?}"),
        }
        assert_eq!(
            fetch.handle_piece(&"a".into(), piece, NOW),
            FetchStep::Ignored
        );
    }
    assert_eq!(count, snapshot().encode().len().div_ceil(PIECE_BYTES));
    assert!(count > 1);
}

/// A damaged piece is detected by the hash of the complete snapshot, and a transfer without progress counts as stalled.
#[test]
fn damage_found() {
    let mut source = SnapshotSource::default();
    let (mut fetch, mut request) = SnapshotFetch::start("a".into(), NOW);
    let failed = loop {
        let mut piece = piece(&mut source, &request);
        if let ConfigMessage::Piece {
            content, offset: 0, ..
        } = &mut piece
        {
            let mut bytes = content.to_vec();
            bytes[100] ^= 1;
            *content = bytes.into();
        }
        match fetch.handle_piece(&"a".into(), piece, NOW) {
            FetchStep::Request(next) => request = next,
            step => break step,
        }
    };
    assert_eq!(failed, FetchStep::Failed);
    assert!(!fetch.is_stalled(NOW));
    assert!(fetch.is_stalled(NOW + Duration::from_secs(5)));
}

/// A request beyond the end, or for a version that the VM does not hold, gets no piece.
#[test]
fn bad_requests() {
    let mut source = SnapshotSource::default();
    assert_eq!(source.piece(None, u64::MAX, snapshot, NOW), None);
    assert_eq!(source.piece(Some(7), 0, snapshot, NOW), None);
}
