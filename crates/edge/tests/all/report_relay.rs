//! Batches of relayed reports: what they keep, how large they get, and how they are encoded.

use crate::support::{load, owner, report, row, update, usage};
use plantainmill_dispatch::shared::StatedEntry;
use plantainmill_edge::{PeerMessage, ReportBatch, ReportRelay, split_updates};

/// Largest datagram that a VM receives, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_000;

fn entries(message: &ReportBatch) -> Vec<(String, u64)> {
    let reports = message.reports.iter().flat_map(|report| &report.usage);
    let updates = message.domains.iter().flat_map(|update| &update.usage);
    reports
        .chain(updates)
        .map(|entry| (entry.organisation.to_string(), entry.admitted))
        .collect()
}

/// Guards against a report that is forwarded without the changes of the one that it replaces.
#[test]
fn replaced_report() {
    let mut relay = ReportRelay::default();
    relay.add_report(report(2, 1, vec![usage(1, 5), usage(2, 7)]));
    relay.add_report(report(2, 2, vec![usage(1, 6)]));
    let batches = relay.take_batches(&row("a", 1));
    assert_eq!(batches.len(), 1);
    assert_eq!(batches[0].reports.len(), 1);
    assert_eq!(batches[0].reports[0].sequence, 2);
    let expected = [
        ("organisation-1".to_owned(), 6),
        ("organisation-2".to_owned(), 7),
    ];
    assert_eq!(entries(&batches[0]), expected);
    assert!(relay.take_batches(&row("a", 1)).is_empty());
}

/// Guards against counts of an earlier incarnation that are forwarded as those of a restarted VM.
#[test]
fn restarted_sender() {
    let mut relay = ReportRelay::default();
    relay.add_report(report(2, 9, vec![usage(1, 50)]));
    let mut restarted = report(2, 1, vec![usage(2, 1)]);
    restarted.row.incarnation = 2;
    relay.add_report(restarted);
    let batches = relay.take_batches(&row("a", 1));
    assert_eq!(entries(&batches[0]), [("organisation-2".to_owned(), 1)]);
}

/// Guards against a list of members that is dropped because a later update without one arrives before it is forwarded.
#[test]
fn kept_members() {
    let mut relay = ReportRelay::default();
    let mut first = update(1, vec![usage(1, 5)]);
    first.members = Some(vec![owner("b", 1), owner("b", 2)]);
    relay.add_update(first);
    relay.add_update(update(2, vec![usage(2, 3)]));
    let batches = relay.take_batches(&row("a", 1));
    let forwarded = &batches[0].domains[0];
    assert_eq!(forwarded.sequence, 2);
    assert_eq!(forwarded.members.as_ref().map(Vec::len), Some(2));
    assert_eq!(forwarded.usage.len(), 2);
}

/// Guards against batches that exceed a datagram and are lost whole, at the number of organisations of a large fleet.
#[test]
fn datagram_limit() {
    const ORGANISATIONS: u64 = 23_000;
    let all: Vec<_> = (0..ORGANISATIONS)
        .map(|number| usage(number, number))
        .collect();
    let mut large = update(1, all.clone());
    large.members = Some((0..50).map(|number| owner("b", number)).collect());
    let mut relay = ReportRelay::default();
    relay.add_update(large.clone());
    (2..=60).for_each(|number| relay.add_report(report(number, 1, all[..40].to_vec())));
    let relayed = relay.take_batches(&row("a", 1));
    let sent = split_updates(&row("b", 1), false, vec![large]);
    for batch in relayed.iter().chain(&sent) {
        let size = PeerMessage::Batch(batch.clone()).encode().len();
        assert!(size <= MAX_DATAGRAM_BYTES, "{size} bytes");
    }
    let listed: usize = sent.iter().map(|batch| entries(batch).len()).sum();
    assert_eq!(listed as u64, ORGANISATIONS);
    let with_members = sent.iter().flat_map(|batch| &batch.domains);
    let with_members = with_members.filter(|update| update.members.is_some());
    assert_eq!(with_members.count(), 1);
    let reports: usize = relayed.iter().map(|batch| batch.reports.len()).sum();
    assert_eq!(reports, 59);
}

/// Guards against fields that the array encoding exchanges or drops.
#[test]
fn batch_encoding() {
    let mut with_members = update(7, vec![usage(1, 2)]);
    with_members.members = Some(vec![owner("b", 4)]);
    with_members.load.batch_waiting_vms = 3;
    with_members.load.online_waiting_vms = 4;
    with_members.load.busiest = Some(("large".into(), 9));
    let mut sent = report(2, 5, vec![usage(3, 4)]);
    sent.load = load(6);
    let message = PeerMessage::Batch(ReportBatch {
        sender: row("a", 1),
        is_relayed: true,
        reports: vec![sent],
        domains: vec![with_members],
        stated: vec![StatedEntry("t1".into(), 9, 250, 70)],
    });
    assert_eq!(PeerMessage::decode(&message.encode()), Some(message));
}

/// Guards against a standby relay that forwards again what the first one has, or that drops a report which the first one
/// has not forwarded.
#[test]
fn forwarded_reports() {
    let mut relay = ReportRelay::default();
    relay.add_report(report(2, 5, Vec::new()));
    relay.add_report(report(3, 5, Vec::new()));
    relay.add_report(report(4, 5, Vec::new()));
    relay.remove_report(&row("a", 2), 5);
    relay.remove_report(&row("a", 3), 4);
    let mut former = row("a", 4);
    former.incarnation = 0;
    relay.remove_report(&former, 9);
    let batches = relay.take_batches(&row("a", 1));
    let waiting: Vec<_> = batches[0]
        .reports
        .iter()
        .map(|report| &report.row.vm)
        .collect();
    assert_eq!(waiting, ["a3", "a4"]);
}
