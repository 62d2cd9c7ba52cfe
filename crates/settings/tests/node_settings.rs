//! Parsing of a VM's settings: all errors are reported with their line and field.

use plantainmill_settings::{NodeSettings, SettingsProblem};
use rstest::rstest;
use std::path::Path;

const VALID_SETTINGS: &str = r#"
[vm]
id = "vm-1"
region = "central"
domain = "central-a"

[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
mesh = "127.0.0.1:8082"

[platform]
table = "http://127.0.0.1:7000"
objects = "http://127.0.0.1:7000"

[secrets]
operator_keys_file = "operators.txt"
fleet_secrets_file = "fleet.txt"
"#;

fn parse(text: &str) -> Result<NodeSettings, Vec<SettingsProblem>> {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let operators = "# day shift\nana 0123456789abcdef-ana\n";
    std::fs::write(directory.path().join("operators.txt"), operators).expect("a file");
    std::fs::write(directory.path().join("fleet.txt"), "0123456789abcdef\n").expect("a file");
    NodeSettings::parse("vm.toml", text, directory.path())
}

#[test]
fn accepts_complete() {
    let settings = parse(VALID_SETTINGS).expect("good settings");
    assert_eq!(settings.vm.id, "vm-1");
    assert_eq!(settings.operator_keys[0].name, "ana");
}

#[rstest]
#[case::unknown_key("mesh = ", "mash = ", "listen.mash", "is not a known setting")]
#[case::missing_key("mesh = ", "mash = ", "listen.mesh", "is missing")]
#[case::bad_address("127.0.0.1:8080", "kiosk:80", "listen.callers", "is not an address")]
#[case::bad_url(
    "http://127.0.0.1:7000",
    "ftp://x",
    "platform.table",
    "is not a base URL"
)]
#[case::bad_id("vm-1", "vm 1", "vm.id", "is not an identifier")]
#[case::wrong_type("\"vm-1\"", "7", "vm.id", "must be a string")]
#[case::missing_file(
    "fleet.txt",
    "none.txt",
    "secrets.fleet_secrets_file",
    "cannot be read"
)]
#[case::unknown_table("[platform]", "[platfrom]", "platfrom", "is not a known table")]
fn names_error(#[case] from: &str, #[case] to: &str, #[case] field: &str, #[case] reason: &str) {
    let problems = parse(&VALID_SETTINGS.replace(from, to)).expect_err("bad settings");
    let found = problems
        .iter()
        .any(|problem| problem.field == field && problem.reason.contains(reason));
    assert!(found, "{problems:?}");
}

#[test]
fn names_all_errors() {
    let text = VALID_SETTINGS
        .replace("vm-1", "")
        .replace("127.0.0.1:8081", "x");
    let problems = parse(&text).expect_err("bad settings");
    let locations: Vec<(usize, &str)> = problems
        .iter()
        .map(|problem| (problem.line, problem.field.as_str()))
        .collect();
    assert_eq!(locations, [(3, "vm.id"), (9, "listen.operators")]);
}

#[test]
fn names_syntax_line() {
    let problems =
        NodeSettings::parse("vm.toml", "[vm]\nid = ", Path::new(".")).expect_err("not TOML");
    assert_eq!(problems[0].line, 2, "{problems:?}");
}

#[test]
fn rejects_out_of_range() {
    let text = format!("{VALID_SETTINGS}\n[limits]\ndrain_ms = -5\n");
    let problems = parse(&text).expect_err("bad settings");
    assert_eq!(problems[0].field, "limits.drain_ms");
}
