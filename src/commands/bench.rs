//! `plantainmill bench`: the load driver.

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
    /// Measure the latency that one VM adds to a call, against calling the target directly.
    Latency {
        /// File with the line that `plantainmill dev --json` prints: URLs and keys.
        #[arg(long)]
        endpoints: PathBuf,
        /// URL of a target of the service `charges`.
        #[arg(long)]
        target: String,
        /// Organisation whose key is used.
        #[arg(long, default_value = "kandy")]
        organisation: String,
        /// Calls of each kind.
        #[arg(long, default_value_t = 2_000)]
        calls: usize,
        /// Milliseconds between pairs of calls; the organisation's rate has to allow the calls.
        #[arg(long, default_value_t = 8)]
        pause_ms: u64,
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
                serde_json::from_str(&read(endpoints)?).context("malformed endpoints")?;
            let measuring = plantainmill_bench::latency::measure(&plan, &endpoints);
            let report = actix_rt::System::new().block_on(measuring)?;
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
