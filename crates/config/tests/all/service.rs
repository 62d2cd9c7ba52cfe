//! The configuration service over real actors and loopback connections.

use crate::common::{start_fleet, wait_until};
use plantainmill_config::{
    ChangeReceipt, ConfigEdit, DumpConfig, ListHistory, OrganisationSpec, ProposeChange,
    ReadySource, ReadyState, RollbackTo,
};
use plantainmill_core::{Problem, ResultCode};
use plantainmill_fakes::{MemoryPlatform, PlatformFault};
use rstest::rstest;

fn put_organisation(id: &str, rate: f64) -> ConfigEdit {
    ConfigEdit::PutOrganisation {
        id: id.into(),
        spec: OrganisationSpec {
            rate,
            burst: 5,
            weight: 1,
        },
    }
}

fn change(edits: Vec<ConfigEdit>) -> ProposeChange {
    ProposeChange {
        edits,
        author: "operator".into(),
        reason: "test".to_owned(),
        expected_version: None,
        dry_run: false,
    }
}

async fn propose(
    vm: &crate::common::TestVm,
    message: ProposeChange,
) -> Result<ChangeReceipt, Problem> {
    vm.config.send(message).await.expect("the service runs")
}

async fn ready_fleet(platform: &MemoryPlatform) -> Vec<crate::common::TestVm> {
    let fleet = start_fleet(&["a", "b", "c"], platform);
    for vm in &fleet {
        vm.wait_ready().await;
    }
    fleet
}

/// A change that one VM accepts reaches the others, and the receipt lists them as confirmed.
#[actix_rt::test]
async fn change_confirmed() {
    let platform = MemoryPlatform::default();
    let fleet = ready_fleet(&platform).await;
    let receipt = propose(&fleet[0], change(vec![put_organisation("kandy", 4.0)])).await;
    let receipt = receipt.expect("the change is valid");
    assert_eq!(receipt.version, 1);
    assert_eq!(receipt.confirmed, ["a", "b", "c"]);
    assert!(receipt.unconfirmed.is_empty());
    for vm in &fleet {
        assert!(vm.view.load().organisations.contains_key("kandy"));
    }
}

/// The receipt lists an unreachable member as unconfirmed. The change is committed, so the member reads it from the
/// table.
#[actix_rt::test]
async fn unreachable_member_listed() {
    let platform = MemoryPlatform::default();
    let fleet = ready_fleet(&platform).await;
    fleet[2].stop_mesh().await;
    let receipt = propose(&fleet[0], change(vec![put_organisation("kandy", 4.0)])).await;
    let receipt = receipt.expect("the change is valid");
    assert_eq!(receipt.unconfirmed, ["c"]);
    // Without the mesh, the VM still reads the head from the table itself.
    wait_until("c holds version 1", || fleet[2].view.load().version == 1).await;
}

/// A rollback commits the old content as a new version and never lowers the version.
#[actix_rt::test]
async fn rollback_forward() {
    let platform = MemoryPlatform::default();
    let fleet = ready_fleet(&platform).await;
    for rate in [1.0, 2.0] {
        let outcome = propose(&fleet[0], change(vec![put_organisation("kandy", rate)])).await;
        outcome.expect("the change is valid");
    }
    let rollback = RollbackTo {
        version: 1,
        author: "operator".into(),
        reason: "wrong rate".to_owned(),
        expected_version: Some(2),
        dry_run: false,
    };
    let receipt = fleet[1]
        .config
        .send(rollback)
        .await
        .expect("the service runs");
    assert_eq!(receipt.expect("the rollback is valid").version, 3);
    let config = fleet[1].view.load();
    assert!((config.organisations["kandy"].rate - 1.0).abs() < f64::EPSILON);
    let history = fleet[2].config.send(ListHistory { limit: 2 }).await;
    let history = history
        .expect("the service runs")
        .expect("the log is readable");
    let versions: Vec<u64> = history.iter().map(|change| change.version).collect();
    assert_eq!(versions, [3, 2]);
}

/// A stale version, an invalid edit and a store outage each result in their own code, and nothing is written.
#[rstest]
#[case::stale(
    Some(7),
    put_organisation("kandy", 1.0),
    PlatformFault::None,
    ResultCode::VersionMismatch
)]
#[case::invalid(None, put_organisation("kandy", -1.0), PlatformFault::None, ResultCode::ConfigInvalid)]
#[case::down(
    None,
    put_organisation("kandy", 1.0),
    PlatformFault::Down,
    ResultCode::StoreUnavailable
)]
#[actix_rt::test]
async fn refusal_code(
    #[case] expected_version: Option<u64>,
    #[case] edit: ConfigEdit,
    #[case] fault: PlatformFault,
    #[case] code: ResultCode,
) {
    let platform = MemoryPlatform::default();
    let fleet = ready_fleet(&platform).await;
    platform.set_fault(fault);
    let mut message = change(vec![edit]);
    message.expected_version = expected_version;
    let problem = propose(&fleet[0], message)
        .await
        .expect_err("the change is refused");
    assert_eq!(problem.code, code);
    assert_eq!(fleet[0].view.load().version, 0);
}

/// While the store is down, a starting VM becomes ready with the newest version of its peers, and reports them as the
/// source.
#[actix_rt::test]
async fn ready_from_peers() {
    let platform = MemoryPlatform::default();
    let fleet = ready_fleet(&platform).await;
    let outcome = propose(&fleet[0], change(vec![put_organisation("kandy", 1.0)])).await;
    outcome.expect("the change is valid");
    let listener = crate::common::bind();
    let peer = crate::common::peer_at("d", "north", &listener);
    let mut entries: Vec<_> = fleet
        .iter()
        .map(|vm| crate::common::list_entry(&vm.peer))
        .collect();
    entries.push(crate::common::list_entry(&peer));
    platform.set_vms(entries);
    let stores = MemoryPlatform::default();
    stores.set_fault(PlatformFault::Down);
    let late = crate::common::start_vm(peer, listener, &platform, &stores, 9);
    late.wait_ready().await;
    let report = late
        .config
        .send(ReadyState)
        .await
        .expect("the service runs");
    assert_eq!(report.version, 1);
    assert_eq!(report.source, ReadySource::Peers);
    let dump = late
        .config
        .send(DumpConfig)
        .await
        .expect("the service runs");
    assert_eq!(dump["sizes"]["organisations"], 1);
}
