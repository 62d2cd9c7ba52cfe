//! Parsing of fleet files, and the location of each error.

use plantainmill_config::{ConfigEdit, FileError, FleetConfig, parse_fleet_file};
use rstest::rstest;

const VALID_FILE: &str = r#"
[defaults]
queue_wait_ms = 1500

[services.assistant]
kind = "model"

[targets.t1]
service = "assistant"
address = "127.0.0.1:9000"
domain = "north"
region = "central"

[organisations.kandy]
rate = 4
burst = 8

[keys.k1]
organisation = "kandy"
hash = "0000000000000000000000000000000000000000000000000000000000000000"
label = "kiosk"

[exceptions.e1]
subject = "organisation/kandy"
setting = "key_recheck_limit_s"
value = 60
reason = "kiosks"
"#;

fn errors_of(text: &str) -> Vec<FileError> {
    parse_fleet_file("fleet.toml", text, &FleetConfig::default()).expect_err("the file has errors")
}

/// A valid file gives one edit for each resource.
#[test]
fn valid_file() {
    let file = parse_fleet_file("fleet.toml", VALID_FILE, &FleetConfig::default());
    let edits = file.expect("the file is valid").edits;
    assert_eq!(edits.len(), 6);
    let has_defaults = edits
        .iter()
        .any(|edit| matches!(edit, ConfigEdit::PutDefaults { spec } if spec.queue_wait_ms == 1500));
    assert!(has_defaults);
}

/// Each kind of error is reported with its line and field, so that an operator can locate it.
#[rstest]
#[case::syntax("a = \n", 1, "")]
#[case::table("\n[service.x]\nkind = \"model\"\n", 2, "service")]
#[case::unknown(
    "[organisations.k]\nrate = 1\nburst = 1\nrates = 2\n",
    4,
    "organisations.k.rates"
)]
#[case::kind("[services.s]\nkind = \"engine\"\n", 2, "services.s.kind")]
#[case::number(
    "[organisations.k]\nrate = \"x\"\nburst = 1\n",
    2,
    "organisations.k.rate"
)]
#[case::range("[organisations.k]\nburst = 1\nrate = -1\n", 3, "organisations.k.rate")]
#[case::missing("\n[organisations.k]\nrate = 1\n", 2, "organisations.k")]
#[case::address(
    "[targets.t]\nservice = \"s\"\naddress = \"host\"\ndomain = \"d\"\nregion = \"r\"\n",
    3,
    "targets.t.address"
)]
#[case::reference(
    "[exceptions.e]\nreason = \"r\"\nsubject = \"service/s\"\nsetting = \"queue_wait_ms\"\nvalue = 1\n",
    3,
    "exceptions.e.subject"
)]
fn error_located(#[case] text: &str, #[case] line: usize, #[case] field: &str) {
    let errors = errors_of(text);
    let found: Vec<(usize, &str)> = errors
        .iter()
        .map(|error| (error.line, error.field.as_str()))
        .collect();
    assert_eq!(found, [(line, field)], "{errors:?}");
    assert!(
        errors[0]
            .to_string()
            .starts_with(&format!("fleet.toml:{line}: "))
    );
}

/// All errors are reported at once, including several in one table.
#[test]
fn all_errors() {
    let text = "[organisations.k]\nrate = \"x\"\nburst = 0\nwidth = 1\n[services.s]\nkind = 1\n";
    let lines: Vec<usize> = errors_of(text).iter().map(|error| error.line).collect();
    assert_eq!(lines, [2, 3, 4, 6]);
}

/// Guards against parsing time that is quadratic in the length of the file: this file then takes a minute.
#[test]
fn large_file() {
    let entries =
        (0..23_000).map(|index| format!("[organisations.org-{index}]\nrate = 1.0\nburst = 5\n"));
    let mut text: String = entries.collect();
    let file =
        parse_fleet_file("fleet.toml", &text, &FleetConfig::default()).expect("the file is valid");
    assert_eq!(file.edits.len(), 23_000);
    text.push_str("[organisations.last]\nrate = 1.0\nburst = 0\n");
    let errors = errors_of(&text);
    let places: Vec<(usize, &str)> = errors
        .iter()
        .map(|error| (error.line, error.field.as_str()))
        .collect();
    assert_eq!(places, [(69_003, "organisations.last.burst")]);
}
