//! `plantainmill check`: validates a settings file or a fleet configuration.

use anyhow::{Context as _, bail};
use clap::Args;
use plantainmill_config::{FleetConfig, parse_fleet_file};
use plantainmill_edge::EdgeSettings;
use plantainmill_settings::NodeSettings;
use std::path::PathBuf;

/// Options of `check`.
#[derive(Args, Debug)]
pub struct CheckArgs {
    /// Settings of a VM or a fleet configuration, in TOML. A file with a `[vm]` table is checked as VM
    /// settings, one with `[vm]` and `[store]` tables as settings for the users' platform.
    file: PathBuf,
}

/// Prints every error with its file, line and field. Fails when there is one.
pub fn run(args: &CheckArgs) -> anyhow::Result<()> {
    let file = args.file.display().to_string();
    let text =
        std::fs::read_to_string(&args.file).with_context(|| format!("cannot read {file}"))?;
    let errors = if has_table(&text, "vm") && has_table(&text, "store") {
        check_platform_settings(&file, &text)
    } else if has_table(&text, "vm") {
        check_settings(args)
    } else {
        check_fleet(&file, &text)
    };
    for error in &errors {
        println!("{error}");
    }
    if !errors.is_empty() {
        bail!("{} errors in {file}", errors.len());
    }
    println!("{file}: no errors");
    Ok(())
}

fn has_table(text: &str, name: &str) -> bool {
    let header = format!("[{name}]");
    text.lines().any(|line| line.trim() == header)
}

/// Checks settings for the users' platform. Unknown fields are printed and do not count as errors.
fn check_platform_settings(file: &str, text: &str) -> Vec<String> {
    match EdgeSettings::parse(file, text) {
        Ok(settings) => {
            for field in &settings.unknown {
                println!("ignored: {field}");
            }
            Vec::new()
        }
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

fn check_settings(args: &CheckArgs) -> Vec<String> {
    let problems = NodeSettings::load(&args.file).err().unwrap_or_default();
    problems.iter().map(ToString::to_string).collect()
}

fn check_fleet(file: &str, text: &str) -> Vec<String> {
    let problems = parse_fleet_file(file, text, &FleetConfig::default())
        .err()
        .unwrap_or_default();
    problems.iter().map(ToString::to_string).collect()
}
