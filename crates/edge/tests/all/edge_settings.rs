//! Settings that are read, and settings that are refused.

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
[store]
address = "10.200.1.7:8688"
[bounds]
key_ms = 5000
stop_s = 8
results_s = 120
"#;

/// Guards against settings that are read from the wrong field, and against new fields that stop a start.
#[test]
fn whole_file() {
    let settings = EdgeSettings::parse(SETTINGS).expect("settings");
    assert_eq!(settings.vm.id, "front-1");
    assert_eq!(settings.listen.readiness.port(), 8687);
    assert_eq!(settings.bounds.key_time(), Duration::from_secs(5));
    assert_eq!(settings.bounds.stop_time(), Duration::from_secs(8));
}

/// Guards against a start with settings that are wrong, and against errors that do not name the field.
#[rstest]
#[case("id = \"front-1\"", "id = \"\"", "vm.id")]
#[case("region = \"north\"", "region = \"south\"", "regions")]
#[case("key_ms = 5000", "key_ms = 0", "bounds.key_ms")]
#[case("key_ms = 5000", "key_ms = -1", "key_ms")]
#[case("stop_s = 8", "stop_s = nan", "bounds.stop_s")]
#[case("10.200.1.7:8688", "store.example", "address")]
#[case("[bounds]", "[others]", "bounds")]
fn wrong_field(#[case] right: &str, #[case] wrong: &str, #[case] named: &str) {
    let text = SETTINGS.replacen(right, wrong, 1);
    let error = EdgeSettings::parse(&text).expect_err("refused");
    let error = format!("{error:#}");
    assert!(error.contains(named), "{error}");
}
