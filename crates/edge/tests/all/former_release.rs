//! Rows and datagrams between VMs of this release and of the one before, which knows no confirmed job heads.

use crate::support::row;
use plantainmill_admission::pools::{TokenKind, TokenReply};
use plantainmill_core::{Incarnation, VmId, encode_cbor};
use plantainmill_edge::{PeerMessage, TokenQuestion, VmRow};
use plantainmill_jobs::{HeadChanges, HeadUpdate};
use plantainmill_routing::{EvacuationReport, EvacuationState};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// The messages of the release before that concern job heads and ages.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum FormerMessage {
    Jobs(Vec<HeadUpdate>),
    Age {
        nonce: u64,
        version: u64,
        age: Duration,
        targets_stamp: u64,
        targets_age: Duration,
        reaches_store: bool,
        control: SocketAddr,
    },
}

/// The part of the former row that all releases need.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct FormerRow {
    vm: VmId,
    incarnation: Incarnation,
    reads_batches: bool,
}

const AGE: Duration = Duration::from_millis(300);

fn control() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], 1))
}

fn age_message(jobs: Option<(u64, Duration)>) -> PeerMessage {
    PeerMessage::Age {
        nonce: 5,
        version: 7,
        age: AGE,
        targets_stamp: 9,
        targets_age: AGE,
        reaches_store: true,
        control: control(),
        jobs,
        sends_target_changes: false,
        evacuations: None,
    }
}

fn former_age() -> FormerMessage {
    FormerMessage::Age {
        nonce: 5,
        version: 7,
        age: AGE,
        targets_stamp: 9,
        targets_age: AGE,
        reaches_store: true,
        control: control(),
    }
}

fn read_former(message: &PeerMessage) -> Option<FormerMessage> {
    ciborium::from_reader(message.encode().as_slice()).ok()
}

/// Guards against an answer about ages that the other release cannot read, in either direction.
#[test]
fn age_answers() {
    let encoded = encode_cbor(&former_age());
    assert_eq!(PeerMessage::decode(&encoded), Some(age_message(None)));
    let message = age_message(Some((40, AGE)));
    assert_eq!(PeerMessage::decode(&message.encode()), Some(message));
    let mut message = age_message(Some((40, AGE)));
    if let PeerMessage::Age { evacuations, .. } = &mut message {
        *evacuations = Some(EvacuationReport {
            state: EvacuationState {
                version: 31,
                domains: [("b".into(), 30)].into(),
            },
            age: Some(AGE),
            revoked: [("a".into(), (20, AGE))].into(),
        });
    }
    assert_eq!(
        PeerMessage::decode(&message.encode()),
        Some(message.clone())
    );
    assert_eq!(read_former(&message), Some(former_age()));
}

/// Guards against job heads that the other release cannot read, and against changes that it takes for something else.
#[test]
fn job_heads() {
    let former = FormerMessage::Jobs(Vec::new());
    let decoded = PeerMessage::decode(&encode_cbor(&former));
    assert_eq!(decoded, Some(PeerMessage::Jobs(Vec::new())));
    assert_eq!(read_former(&PeerMessage::Jobs(Vec::new())), Some(former));
    let changes = PeerMessage::JobChanges(HeadChanges {
        after: 3,
        until: 8,
        heads: Vec::new(),
    });
    assert_eq!(read_former(&changes), None);
    assert_eq!(PeerMessage::decode(&changes.encode()), Some(changes));
}

/// Guards against questions for tokens that a VM of the release before takes for something else.
#[test]
fn token_questions() {
    let question = TokenQuestion {
        asker: "a1".into(),
        nonce: 7,
        domain: "a".into(),
        organisation: "ward".into(),
        kind: TokenKind::Request,
        valid_ms: 40,
    };
    let reply = TokenReply::Empty { wait_ms: 125 };
    let messages = [
        PeerMessage::AskToken(question.clone()),
        PeerMessage::Token { nonce: 7, reply },
        PeerMessage::ReturnToken(question),
        PeerMessage::AskPoolVms,
    ];
    for message in messages {
        assert_eq!(read_former(&message), None);
        assert_eq!(PeerMessage::decode(&message.encode()), Some(message));
    }
}

/// Guards against a VM that does not find VMs of the other release by their rows, or takes them for holders of pools.
#[test]
fn vm_rows() {
    let mut newer = row("a", 1);
    newer.reads_job_changes = true;
    let former: FormerRow =
        ciborium::from_reader(encode_cbor(&newer).as_slice()).expect("a former row");
    assert_eq!((&former.vm, former.reads_batches), (&newer.vm, true));
    let mut fields: ciborium::Value =
        ciborium::from_reader(encode_cbor(&newer).as_slice()).expect("a row");
    if let Some(entries) = fields.as_map_mut() {
        let later = [Some("reads_job_changes"), Some("holds_pools")];
        entries.retain(|(name, _)| !later.contains(&name.as_text()));
    }
    let read: VmRow =
        ciborium::from_reader(encode_cbor(&fields).as_slice()).expect("a row of this release");
    newer.reads_job_changes = false;
    newer.holds_pools = false;
    assert_eq!(read, newer);
}
