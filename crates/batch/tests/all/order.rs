//! Order of jobs, distribution of claims, late jobs, expiry of holders, and retention.

use crate::support::{TestFleet, run_virtual};
use plantainmill_batch::holders::{DEAD_HOLDER_TIMEOUT, HolderMonitor, LIVE_HOLDER_TIMEOUT};
use plantainmill_batch::order::{
    JobProgress, ServedShares, choose_chunks, claim_size, is_late, order_jobs,
};
use plantainmill_batch::rows::{HolderId, HolderRow, OpenRow};
use plantainmill_membership::{Member, MemberState};
use rstest::rstest;
use std::collections::BTreeSet;
use std::time::Duration;

const NOW: u64 = 1_000_000;

fn job(name: &str, organisation: &str, items: u64, due_in: u64) -> OpenRow {
    OpenRow {
        job: name.into(),
        organisation: organisation.into(),
        items,
        created_at: NOW - 10,
        due_at: NOW + due_in,
    }
}

fn names(jobs: Vec<OpenRow>) -> Vec<String> {
    jobs.into_iter().map(|job| job.job.to_string()).collect()
}

/// Guards against a large job that is served after a small one although it has less slack, despite its later due time.
#[test]
fn least_slack() {
    let jobs = vec![
        job("small", "kandy", 10, 5_000),
        job("large", "kandy", 300_000, 6_000),
    ];
    let ordered = order_jobs(jobs, NOW, 100, &ServedShares::default(), |_| 1);
    assert_eq!(names(ordered), ["large", "small"]);
}

/// Guards against an organisation with many jobs that starves one with few.
#[test]
fn alternates_organisations() {
    let mut jobs: Vec<_> = (0..4)
        .map(|n| job(&format!("k{n}"), "kandy", 10, 1_000 + n))
        .collect();
    jobs.push(job("g0", "gita", 10, 9_000));
    let mut shares = ServedShares::default();
    let ordered = order_jobs(jobs.clone(), NOW, 100, &shares, |_| 1);
    assert_eq!(names(ordered)[..2], ["k0", "g0"]);
    shares.add(&"kandy".into(), 8);
    let ordered = order_jobs(jobs.clone(), NOW, 100, &shares, |_| 1);
    assert_eq!(names(ordered)[0], "g0");
    let weight = |organisation: &str| if organisation == "kandy" { 100 } else { 1 };
    shares.add(&"gita".into(), 1);
    let ordered = order_jobs(jobs, NOW, 100, &shares, weight);
    assert_eq!(names(ordered)[0], "k0");
}

/// Guards against a job that misses its due time because fair shares put others first.
#[test]
fn urgent_first() {
    let mut urgent = job("urgent", "kandy", 1_000, 60);
    urgent.created_at = NOW - 3_600;
    let mut shares = ServedShares::default();
    shares.add(&"kandy".into(), 500);
    let jobs = vec![job("calm", "gita", 10, 9_000), urgent];
    let ordered = order_jobs(jobs, NOW, 100, &shares, |_| 1);
    assert_eq!(names(ordered)[0], "urgent");
}

/// Guards against VMs that all claim the same chunks.
#[test]
fn distributes_claims() {
    let free: Vec<u32> = (0..400).collect();
    let choices = (0..40).map(|vm| choose_chunks(&format!("vm-{vm}"), "job", free.clone(), 8));
    let distinct: BTreeSet<_> = choices.flatten().collect();
    // 320 random draws out of 400 give about 220 distinct chunks.
    assert!(distinct.len() > 190, "{} distinct chunks", distinct.len());
    assert_eq!(claim_size(400, 40, 8), 8);
    assert_eq!(claim_size(20, 40, 8), 1);
    assert_eq!(claim_size(0, 40, 8), 0);
}

/// Guards against jobs that are reported as late only after their due time, and against false reports.
#[rstest]
#[case::on_pace(100, 60, false)]
#[case::too_slow(100, 40, true)]
#[case::not_started(40, 0, false)]
#[case::still_not_started(60, 0, true)]
#[case::past_due(100, 99, true)]
fn lateness_report(#[case] elapsed_or_window: u64, #[case] finished: u64, #[case] expected: bool) {
    let elapsed = match (elapsed_or_window, finished) {
        (100, 99) => 101,
        (100, _) => 50,
        (elapsed, _) => elapsed,
    };
    let progress = JobProgress {
        created_at: NOW,
        due_at: NOW + 100,
        ended_at: None,
        items: 100,
        finished,
    };
    assert_eq!(is_late(progress, NOW + elapsed), expected);
}

/// Guards against taking chunks from a holder that only lost the store or only misses probes, and against waiting for
/// one that is lost.
#[rstest]
#[case::alive_and_silent(Some((1, MemberState::Live)), DEAD_HOLDER_TIMEOUT, false)]
#[case::alive_and_stuck(Some((1, MemberState::Live)), LIVE_HOLDER_TIMEOUT, true)]
#[case::dead_and_silent(Some((1, MemberState::Dead)), DEAD_HOLDER_TIMEOUT, true)]
#[case::dead_for_a_moment(Some((1, MemberState::Dead)), Duration::from_secs(30), false)]
#[case::unknown_and_silent(None, DEAD_HOLDER_TIMEOUT, true)]
#[case::restarted(Some((2, MemberState::Live)), Duration::ZERO, true)]
fn holder_gone(
    #[case] member: Option<(u64, MemberState)>,
    #[case] silent: Duration,
    #[case] expected: bool,
) {
    let holder = HolderId {
        vm: "vm-1".into(),
        incarnation: 1,
    };
    let members: Vec<_> = member
        .into_iter()
        .map(|(incarnation, state)| to_member(incarnation, state))
        .collect();
    let mut monitor = HolderMonitor::default();
    let start = Duration::from_secs(500);
    let row = |beat| {
        Some(HolderRow {
            incarnation: 1,
            beat,
            written_at: 0,
        })
    };
    monitor.observe(&holder.vm, row(4), Duration::ZERO);
    monitor.observe(&holder.vm, row(5), start);
    monitor.observe(&holder.vm, row(5), start + silent);
    assert_eq!(
        monitor.is_expired(&holder, &members, start + silent),
        expected
    );
}

fn to_member(incarnation: u64, state: MemberState) -> Member {
    Member {
        peer: plantainmill_mesh::MeshPeer {
            id: "vm-1".into(),
            domain: "central-1".into(),
            region: "central".into(),
            address: "127.0.0.1:1".parse().unwrap(),
        },
        incarnation,
        state,
    }
}

/// Guards against results that are never deleted, or deleted before their retention ends.
#[test]
fn retention_ends() {
    run_virtual(async {
        let fleet = TestFleet::new();
        let retention = 8 * 3_600;
        fleet.set_retention(retention);
        fleet.start_vm("vm-1", 1);
        let job = fleet.submit(300).await;
        fleet.check_completed(&job, 300).await;
        let before_end = Duration::from_secs(retention - 3_600);
        tokio::time::sleep(before_end).await;
        assert_eq!(fleet.lines(&format!("file-{job}-output")).await.len(), 300);
        tokio::time::sleep(Duration::from_hours(3)).await;
        assert!(fleet.reader().read_job(&job).await.unwrap().is_none());
        let left = plantainmill_provider::ObjectStore::list(&fleet.platform, "")
            .await
            .unwrap();
        assert!(left.is_empty(), "{left:?}");
        let rows = plantainmill_provider::TableStore::range(&fleet.platform, "", "~", 100)
            .await
            .unwrap();
        let left: Vec<_> = rows
            .iter()
            .filter(|row| !row.key.starts_with("holder/"))
            .collect();
        assert!(left.is_empty(), "{left:?}");
    });
}
