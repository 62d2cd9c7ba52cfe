//! `plantainmill bench`: the load driver.

use anyhow::Context as _;
use clap::{Args, Subcommand};
use plantainmill_bench::{BenchEndpoints, BenchReport, BenchScenario};
use std::path::{Path, PathBuf};

/// Options of `bench`.
#[derive(Args, Debug)]
pub struct BenchArgs {
    #[command(subcommand)]
    action: BenchAction,
}

#[derive(Debug, Subcommand)]
enum BenchAction {
    /// Run a scenario against a fleet.
    Run {
        /// Scenario in TOML.
        scenario: PathBuf,
        /// File with the line that `plantainmill dev --json` prints: URLs and keys.
        #[arg(long)]
        endpoints: PathBuf,
        /// Write the report as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Write the report as an HTML page with plots.
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// Compare the JSON reports of two runs.
    Compare {
        /// Earlier run.
        before: PathBuf,
        /// Later run.
        after: PathBuf,
    },
}

/// Runs or compares.
pub fn run(args: &BenchArgs) -> anyhow::Result<()> {
    match &args.action {
        BenchAction::Run {
            scenario,
            endpoints,
            json,
            html,
        } => {
            let scenario = BenchScenario::parse(&read(scenario)?)?;
            let endpoints: BenchEndpoints =
                serde_json::from_str(&read(endpoints)?).context("malformed endpoints")?;
            let running = plantainmill_bench::run(&scenario, &endpoints);
            let report = actix_rt::System::new().block_on(running)?;
            print!("{}", report.table());
            if let Some(path) = json {
                write(path, &serde_json::to_string_pretty(&report)?)?;
            }
            if let Some(path) = html {
                write(path, &report.html())?;
            }
        }
        BenchAction::Compare { before, after } => {
            let before: BenchReport = serde_json::from_str(&read(before)?)?;
            let after: BenchReport = serde_json::from_str(&read(after)?)?;
            print!("{}", plantainmill_bench::compare(&before, &after));
        }
    }
    Ok(())
}

fn read(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

fn write(path: &Path, text: &str) -> anyhow::Result<()> {
    std::fs::write(path, text).with_context(|| format!("cannot write {}", path.display()))
}
