//! Batches with what targets state about their load, between VMs of this release and of the one before.

use crate::support::row;
use plantainmill_core::{DomainName, Incarnation, RegionName, VmId, encode_cbor};
use plantainmill_dispatch::shared::StatedEntry;
use plantainmill_edge::{PeerMessage, ReportBatch};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A batch of the release before: without statements. Only batches without reports and updates are compared.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct FormerBatch(
    (VmId, Incarnation, SocketAddr, SocketAddr, u32),
    DomainName,
    RegionName,
    bool,
    Vec<()>,
    Vec<()>,
);

#[derive(Debug, Deserialize, PartialEq, Serialize)]
enum FormerMessage {
    Batch(FormerBatch),
}

fn batch(stated: Vec<StatedEntry>) -> PeerMessage {
    PeerMessage::Batch(ReportBatch {
        sender: row("a", 1),
        is_relayed: true,
        reports: Vec::new(),
        domains: Vec::new(),
        stated,
    })
}

fn former_batch() -> FormerMessage {
    let sender = row("a", 1);
    FormerMessage::Batch(FormerBatch(
        (
            sender.vm,
            sender.incarnation,
            sender.peers,
            sender.control,
            sender.processor_percent,
        ),
        sender.domain,
        sender.region,
        true,
        Vec::new(),
        Vec::new(),
    ))
}

/// Guards against a batch that VMs of the release before cannot read because targets state their load.
#[test]
fn former_reader() {
    let message = batch(vec![StatedEntry("t1".into(), 9, 250, 70)]);
    let decoded: FormerMessage =
        ciborium::from_reader(message.encode().as_slice()).expect("a former batch");
    assert_eq!(decoded, former_batch());
}

/// Guards against more bytes between VMs where no target states its load, and against former batches that are refused.
#[test]
fn unstated_batch() {
    let message = batch(Vec::new());
    let former = encode_cbor(&former_batch());
    assert_eq!(message.encode(), former);
    assert_eq!(PeerMessage::decode(&former), Some(message));
}
