//! The binary as a process: the page of result codes, validation, errors and exit status.

use rstest::rstest;
use std::process::Command;

fn run(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_plantainmill"))
        .args(arguments)
        .output()
        .expect("the binary runs");
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    (output.status.success(), text)
}

/// Guards against a committed page of result codes that is out of date.
#[test]
fn codes_page() {
    let (success, page) = run(&["codes", "--markdown"]);
    assert!(success);
    let committed = include_str!("../../docs/result-codes.md");
    assert_eq!(
        page, committed,
        "run: cargo run -- codes --markdown > docs/result-codes.md"
    );
}

#[rstest]
#[case::help(&["--help"], true, "dev")]
#[case::missing_settings(&["serve", "--settings", "none.toml"], false, "cannot be read")]
#[case::missing_file(&["check", "none.toml"], false, "cannot read")]
#[case::unknown_command(&["fly"], false, "unrecognized")]
fn command_output(#[case] arguments: &[&str], #[case] success: bool, #[case] text: &str) {
    let (succeeded, output) = run(arguments);
    assert_eq!(succeeded, success, "{output}");
    assert!(output.contains(text), "{output}");
}

#[test]
fn fleet_errors() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("fleet.toml");
    std::fs::write(&path, "[organisations.kandy]\nrate = 5.0\nburst = 0\n").expect("a file");
    let (success, output) = run(&["check", path.to_str().expect("a path")]);
    assert!(!success);
    assert!(output.contains("burst"), "{output}");
}

/// Guards against settings for the users' platform being checked as those of another kind, and against unknown fields
/// being reported as errors.
#[test]
fn platform_settings() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("settings.toml");
    let valid = "[vm]\nid = \"v1\"\ndomain = \"a\"\nregion = \"r\"\nnew = 1\n[regions]\na = \"r\"\n[listen]\n\
        callers = \"127.0.0.1:1\"\nreadiness = \"127.0.0.1:2\"\ncontrol = \"127.0.0.1:3\"\npeers = \"127.0.0.1:3\"\n\
        [store]\naddress = \"127.0.0.1:4\"\n";
    std::fs::write(&path, valid).expect("a file");
    let name = path.to_str().expect("a path");
    let (success, output) = run(&["check", name]);
    assert!(success && output.contains("vm.new"), "{output}");
    std::fs::write(&path, valid.replace("127.0.0.1:4", "nowhere")).expect("a file");
    let (success, output) = run(&["check", name]);
    assert!(
        !success && output.contains(":14: store.address"),
        "{output}"
    );
}

/// Guards against a VM that keeps running with some of its listeners when one of its ports is in use.
#[test]
fn port_in_use() {
    let directory = tempfile::tempdir().expect("a directory");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address");
    std::fs::write(
        directory.path().join("operators.txt"),
        "ana 0123456789abcdef\n",
    )
    .expect("a file");
    std::fs::write(directory.path().join("fleet.txt"), "0123456789abcdef\n").expect("a file");
    let settings = format!(
        "[vm]\nid = \"vm-1\"\nregion = \"central\"\ndomain = \"a\"\n\
         [listen]\ncallers = \"{address}\"\noperators = \"127.0.0.1:0\"\nmesh = \"127.0.0.1:0\"\n\
         [platform]\ntable = \"http://127.0.0.1:1\"\nobjects = \"http://127.0.0.1:1\"\n\
         [secrets]\noperator_keys_file = \"operators.txt\"\nfleet_secrets_file = \"fleet.txt\"\n"
    );
    let path = directory.path().join("vm.toml");
    std::fs::write(&path, settings).expect("a file");
    let (success, output) = run(&["serve", "--settings", path.to_str().expect("a path")]);
    assert!(!success);
    assert!(
        output.contains("8002") && output.contains("listen.callers"),
        "{output}"
    );
}
