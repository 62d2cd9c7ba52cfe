//! Valid and invalid settings.

use plantainmill_core::ResultCode;
use plantainmill_edge::EdgeSettings;
use rstest::rstest;
use std::time::Duration;

const SETTINGS: &str = r#"
new_field = 1
[vm]
id = "front-1"
domain = "a"
region = "north"
processor_percent = 0.5e2
[regions]
"a" = "north"
"b" = "south"
[listen]
callers = "10.1.0.21:8689"
readiness = "10.1.0.21:8687"
control = "10.1.0.21:7360"
peers = "10.1.0.21:7360"
metrics = "10.1.0.21:9464"
[store]
address = "10.200.1.7:8688"
[bounds]
key_ms = 5000
stop_s = 8
results_s = 120
"#;

/// Guards against settings that are read from the wrong field, and against unknown fields that prevent a start.
#[test]
fn valid_settings() {
    let settings = EdgeSettings::parse("settings.toml", SETTINGS).expect("settings");
    assert_eq!(settings.vm.id, "front-1");
    assert_eq!(settings.listen.readiness.port(), 8687);
    assert_eq!(
        settings.listen.metrics.map(|address| address.port()),
        Some(9464)
    );
    let unknown: Vec<&str> = settings
        .unknown
        .iter()
        .map(|field| field.field.as_str())
        .collect();
    assert_eq!(unknown, ["new_field"]);
    assert_eq!(settings.bounds.key_validity, Duration::from_secs(5));
    assert_eq!(settings.bounds.stop_timeout, Duration::from_secs(8));
}

/// Guards against a start with invalid settings, and against errors that do not name line and field.
#[rstest]
#[case("id = \"front-1\"", "id = \"\"", 4, "vm.id")]
#[case("region = \"north\"", "region = \"south\"", 8, "regions.a")]
#[case("key_ms = 5000", "key_ms = 0", 20, "bounds.key_ms")]
#[case("key_ms = 5000", "key_ms = -1", 20, "bounds.key_ms")]
#[case("key_ms = 5000", "key_ms = \"5000\"", 20, "bounds.key_ms")]
#[case("stop_s = 8", "stop_s = nan", 21, "bounds.stop_s")]
#[case("results_s = 120", "cold_excess = -1", 22, "bounds.cold_excess")]
#[case("results_s = 120", "cold_slack = nan", 22, "bounds.cold_slack")]
#[case("results_s = 120", "evacuate_ms = -1", 22, "bounds.evacuate_ms")]
#[case("results_s = 120", "evacuate_ms = \"5000\"", 22, "bounds.evacuate_ms")]
#[case("10.1.0.21:9464", "9464", 16, "listen.metrics")]
#[case("10.200.1.7:8688", "store.example", 18, "store.address")]
#[case("[store]", "[others]", 1, "store.address")]
fn invalid_field(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] line: usize,
    #[case] field: &str,
) {
    let text = SETTINGS.replacen(valid, invalid, 1);
    let problems = EdgeSettings::parse("settings.toml", &text).expect_err("invalid settings");
    let [problem] = problems.as_slice() else {
        panic!("{problems:?}");
    };
    assert_eq!((problem.line, problem.field.as_str()), (line, field));
    let code = ResultCode::SettingsInvalid.number().to_string();
    assert!(problem.to_string().starts_with(&code), "{problem}");
}

/// Guards against VMs that cannot start because the platform's settings file has no bounds.
#[test]
fn default_bounds() {
    let text = SETTINGS.split("[bounds]").next().expect("a part");
    let settings = EdgeSettings::parse("settings.toml", text).expect("settings");
    assert_eq!(settings.bounds.key_validity, Duration::from_secs(5));
    assert_eq!(settings.bounds.stop_timeout, Duration::from_secs(8));
    assert_eq!(settings.bounds.result_retention, Duration::from_mins(2));
    assert_eq!(settings.bounds.evacuation, None);
    assert_eq!(settings.bounds.cold, None);
    assert_eq!(settings.bounds.document_validity(), Duration::from_secs(5));
}

/// Guards against bounds of cold targets that are not read.
#[test]
fn cold_bounds() {
    let text = SETTINGS.replace("results_s = 120", "cold_excess = 1.5\ncold_slack = 5");
    let settings = EdgeSettings::parse("settings.toml", &text).expect("settings");
    let bounds = settings.bounds.cold.expect("bounds");
    assert!((bounds.excess - 1.5).abs() < 1e-9 && (bounds.slack - 5.0).abs() < 1e-9);
}

/// Guards against evacuations that are not read, and against requests served by an older state than their bound allows.
#[test]
fn evacuation_bound() {
    let text = SETTINGS.replace("results_s = 120", "evacuate_ms = 2500");
    let settings = EdgeSettings::parse("settings.toml", &text).expect("settings");
    let bound = Duration::from_millis(2_500);
    assert_eq!(settings.bounds.evacuation, Some(bound));
    assert_eq!(settings.bounds.document_validity(), bound);
}
