//! Validation of edits, and differences between configurations.

use plantainmill_config::{ConfigChange, validate::EDIT_LIMIT};
use plantainmill_config::{
    ConfigEdit, DefaultsSpec, ExceptionSpec, FleetConfig, KeySpec, OrganisationSpec, ResourceKind,
    ServiceKind, ServiceSpec, Subject, TargetSpec, describe_edits, edits_between, join_problems,
    validate_edits,
};
use rstest::rstest;

fn service() -> ServiceSpec {
    ServiceSpec {
        kind: ServiceKind::Model,
        open: false,
        repeatable: true,
        hedge: false,
        timeout_ms: 1_000,
        least_replicas: 1,
        most_replicas: 2,
    }
}

fn target() -> TargetSpec {
    TargetSpec {
        service: "assistant".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: "north".into(),
        region: "central".into(),
        concurrency: 8,
        checks_fencing: true,
        leaving: false,
    }
}

fn organisation() -> OrganisationSpec {
    OrganisationSpec {
        rate: 1.0,
        burst: 1,
        weight: 1,
    }
}

fn key(digit: &str) -> KeySpec {
    KeySpec {
        organisation: "kandy".into(),
        hash: digit.repeat(64).into(),
        label: "kiosk".into(),
        expires_at: None,
    }
}

fn exception() -> ExceptionSpec {
    ExceptionSpec {
        subject: Subject::Organisation("kandy".into()),
        setting: "queue_wait_ms".into(),
        value: 10,
        reason: "kiosks".to_owned(),
    }
}

fn put_service(spec: ServiceSpec) -> ConfigEdit {
    ConfigEdit::PutService {
        id: "assistant".into(),
        spec,
    }
}

fn put_target(spec: TargetSpec) -> ConfigEdit {
    ConfigEdit::PutTarget {
        id: "t1".into(),
        spec,
    }
}

fn put_organisation(spec: OrganisationSpec) -> ConfigEdit {
    ConfigEdit::PutOrganisation {
        id: "kandy".into(),
        spec,
    }
}

fn put_key(id: &str, spec: KeySpec) -> ConfigEdit {
    ConfigEdit::PutKey {
        id: id.into(),
        spec,
    }
}

fn put_exception(spec: ExceptionSpec) -> ConfigEdit {
    ConfigEdit::PutException {
        id: "e1".into(),
        spec,
    }
}

fn delete(kind: ResourceKind, id: &str) -> ConfigEdit {
    ConfigEdit::Delete {
        kind,
        id: id.into(),
    }
}

fn apply_edits(config: &FleetConfig, edits: Vec<ConfigEdit>) -> FleetConfig {
    config.applied(&ConfigChange {
        version: config.version + 1,
        operation: "op".into(),
        author: "operator".into(),
        time: 0,
        reason: "test".to_owned(),
        edits,
    })
}

fn full_edits() -> Vec<ConfigEdit> {
    vec![
        put_key("k1", key("0")),
        put_target(target()),
        put_exception(exception()),
        put_service(service()),
        put_organisation(organisation()),
    ]
}

/// Resources may refer to others of the same change, in any order.
#[test]
fn references_accepted() {
    assert_eq!(validate_edits(&FleetConfig::default(), &full_edits()), []);
}

#[rstest]
#[case::id(ConfigEdit::PutService { id: "a b".into(), spec: service() }, "services.a b")]
#[case::timeout(put_service(ServiceSpec { timeout_ms: 0, ..service() }), "services.assistant.timeout_ms")]
#[case::replicas(put_service(ServiceSpec { least_replicas: 3, ..service() }), "services.assistant.least_replicas")]
#[case::hedge(put_service(ServiceSpec { repeatable: false, hedge: true, ..service() }), "services.assistant.hedge")]
#[case::service(put_target(TargetSpec { service: "other".into(), ..target() }), "targets.t1.service")]
#[case::port(put_target(TargetSpec { address: ([127, 0, 0, 1], 0).into(), ..target() }), "targets.t1.address")]
#[case::host(put_target(TargetSpec { address: ([0, 0, 0, 0], 9).into(), ..target() }), "targets.t1.address")]
#[case::domain(put_target(TargetSpec { domain: "".into(), ..target() }), "targets.t1.domain")]
#[case::region(put_target(TargetSpec { region: "-".into(), ..target() }), "targets.t1.region")]
#[case::concurrency(put_target(TargetSpec { concurrency: 0, ..target() }), "targets.t1.concurrency")]
#[case::zero(put_organisation(OrganisationSpec { rate: 0.0, ..organisation() }), "organisations.kandy.rate")]
#[case::nan(put_organisation(OrganisationSpec { rate: f64::NAN, ..organisation() }), "organisations.kandy.rate")]
#[case::burst(put_organisation(OrganisationSpec { burst: 0, ..organisation() }), "organisations.kandy.burst")]
#[case::weight(put_organisation(OrganisationSpec { weight: 0, ..organisation() }), "organisations.kandy.weight")]
#[case::hash(put_key("k2", KeySpec { hash: "AB".into(), ..key("1") }), "keys.k2.hash")]
#[case::duplicate_hash(put_key("k2", key("0")), "keys.k2.hash")]
#[case::owner(put_key("k2", KeySpec { organisation: "x".into(), ..key("1") }), "keys.k2.organisation")]
#[case::label(put_key("k2", KeySpec { label: " ".into(), ..key("1") }), "keys.k2.label")]
#[case::reason(put_exception(ExceptionSpec { reason: String::new(), ..exception() }), "exceptions.e1.reason")]
#[case::setting(put_exception(ExceptionSpec { setting: "x".into(), ..exception() }), "exceptions.e1.setting")]
#[case::value(put_exception(ExceptionSpec { value: u64::MAX, ..exception() }), "exceptions.e1.value")]
#[case::subject(
    put_exception(ExceptionSpec { subject: Subject::Service("x".into()), ..exception() }),
    "exceptions.e1.subject"
)]
#[case::defaults(
    ConfigEdit::PutDefaults { spec: DefaultsSpec { retry_budget_percent: 101, ..DefaultsSpec::default() } },
    "defaults.retry_budget_percent"
)]
#[case::used(delete(ResourceKind::Service, "assistant"), "services.assistant")]
#[case::owned(delete(ResourceKind::Organisation, "kandy"), "organisations.kandy")]
fn field_named(#[case] edit: ConfigEdit, #[case] field: &str) {
    let config = apply_edits(&FleetConfig::default(), full_edits());
    let problems = validate_edits(&config, &[edit]);
    let fields: Vec<&str> = problems
        .iter()
        .filter_map(|problem| problem.field.as_deref())
        .collect();
    assert_eq!(fields, [field], "{problems:?}");
}

/// A change with several invalid fields results in one problem that names all of them.
#[test]
fn all_named() {
    let spec = OrganisationSpec {
        rate: -1.0,
        burst: 0,
        weight: 0,
    };
    let problems = validate_edits(&FleetConfig::default(), &[put_organisation(spec)]);
    let problem = join_problems(problems).expect("the change is invalid");
    let text = problem.to_string();
    for field in ["rate", "burst", "weight"] {
        let path = format!("organisations.kandy.{field}");
        assert!(text.contains(&path), "{text}");
    }
}

/// A change without edits or with too many edits is refused.
#[rstest]
fn size_bounded(#[values(0, EDIT_LIMIT + 1)] count: usize) {
    let edits = vec![put_organisation(organisation()); count];
    let problems = validate_edits(&FleetConfig::default(), &edits);
    assert_eq!(problems[0].field.as_deref(), Some("edits"));
}

/// The diff lists additions, changed fields and deletions, and nothing that is unchanged.
#[test]
fn diff_readable() {
    let config = apply_edits(&FleetConfig::default(), full_edits());
    let raised = OrganisationSpec {
        rate: 2.5,
        ..organisation()
    };
    let edits = [
        put_organisation(raised),
        put_service(service()),
        delete(ResourceKind::Exception, "e1"),
        put_key("k2", key("1")),
    ];
    let lines = describe_edits(&config, &edits);
    assert_eq!(lines[0], "~ organisations.kandy: rate 1.0 -> 2.5");
    assert_eq!(lines[1], "- exceptions.e1");
    assert!(lines[2].starts_with("+ keys.k2: "));
    assert_eq!(lines.len(), 3);
}

/// The edits between two configurations turn one into the other, in both directions.
#[test]
fn edits_between_configs() {
    let empty = FleetConfig::default();
    let full_config = apply_edits(&empty, full_edits());
    let forward = apply_edits(&empty, edits_between(&empty, &full_config));
    assert_eq!(forward, full_config);
    let back = edits_between(&full_config, &empty);
    assert_eq!(validate_edits(&full_config, &back), []);
    assert!(apply_edits(&full_config, back).services.is_empty());
}
