//! `plantainmill bench`: load generation and comparison of reports.

use anyhow::Context as _;
use clap::{Args, Subcommand};
use plantainmill_bench::{BenchEndpoints, BenchReport, BenchScenario, LatencyPlan};
use std::path::{Path, PathBuf};
use std::time::Duration;

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
        /// Scenario file, in TOML.
        scenario: PathBuf,
        /// File with the JSON line that `plantainmill dev --json` prints: URLs and keys.
        #[arg(long)]
        endpoints: PathBuf,
        /// Write the report to this file as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Write the report to this file as an HTML page with plots.
        #[arg(long)]
        html: Option<PathBuf>,
    },
    /// Measure the latency that one VM adds to a call, compared with calling the target directly.
    Latency {
        /// File with the JSON line that `plantainmill dev --json` prints: URLs and keys.
        #[arg(long)]
        endpoints: PathBuf,
        /// URL of a target of the service `charges`.
        #[arg(long)]
        target: String,
        /// Organisation whose key is used.
        #[arg(long, default_value = "kandy")]
        organisation: String,
        /// Number of calls through the VM, and of calls to the target.
        #[arg(long, default_value_t = 2_000)]
        calls: usize,
        /// Milliseconds between pairs of calls. The rate limit of the organisation must allow this rate.
        #[arg(long, default_value_t = 8)]
        pause_ms: u64,
    },
    /// Compare the JSON reports of two runs.
    Compare {
        /// Report of the earlier run.
        before: PathBuf,
        /// Report of the later run.
        after: PathBuf,
    },
}

/// Runs the selected action and prints its table to standard output.
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
                serde_json::from_str(&read(endpoints)?).context("malformed endpoints file")?;
            let bench_run = plantainmill_bench::run(&scenario, &endpoints);
            let report = actix_rt::System::new().block_on(bench_run)?;
            print!("{}", report.table());
            if let Some(path) = json {
                write(path, &serde_json::to_string_pretty(&report)?)?;
            }
            if let Some(path) = html {
                write(path, &report.html())?;
            }
        }
        BenchAction::Latency {
            endpoints,
            target,
            organisation,
            calls,
            pause_ms,
        } => {
            let plan = LatencyPlan {
                organisation: organisation.clone(),
                service: "charges".to_owned(),
                target: target.clone(),
                calls: *calls,
                pause: Duration::from_millis(*pause_ms),
            };
            let endpoints: BenchEndpoints =
                serde_json::from_str(&read(endpoints)?).context("malformed endpoints file")?;
            let measurement = plantainmill_bench::latency::measure(&plan, &endpoints);
            let report = actix_rt::System::new().block_on(measurement)?;
            print!("{}", report.table());
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
