//! `plantainmill serve`: one VM of the fleet.

use anyhow::{Context as _, bail};
use clap::Args;
use plantainmill_logs::LogOutput;
use plantainmill_node::{Node, StopReport};
use plantainmill_settings::{NodeSettings, SettingsProblem};
use std::path::PathBuf;
use tokio::signal::unix::{SignalKind, signal};

/// Options of `serve`.
#[derive(Args, Debug)]
pub struct ServeArgs {
    /// Settings file of the VM, in TOML.
    #[arg(long, required_unless_present = "platform")]
    settings: Option<PathBuf>,
    /// Serve on the users' platform, with the settings file whose path the platform provides.
    #[arg(long, conflicts_with = "settings")]
    platform: bool,
}

/// Serves until SIGTERM, SIGINT or a drain request, then stops gracefully. A second signal ends the process at once.
pub fn run(args: &ServeArgs, output: Option<LogOutput>) -> anyhow::Result<()> {
    let Some(path) = &args.settings else {
        return super::edge::run(output);
    };
    let settings = NodeSettings::load(path).map_err(|problems| print_problems(&problems))?;
    actix_rt::System::new().block_on(serve(settings))
}

/// Prints every error of a settings file to standard error and returns an error with their number.
pub fn print_problems(problems: &[SettingsProblem]) -> anyhow::Error {
    for problem in problems {
        eprintln!("{problem}");
    }
    anyhow::anyhow!("{} errors in the settings", problems.len())
}

async fn serve(settings: NodeSettings) -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("cannot install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("cannot install the SIGINT handler")?;
    let node = Node::start(settings)?;
    tracing::info!(
        callers = %node.addresses().callers,
        operators = %node.addresses().operators,
        mesh = %node.addresses().mesh,
        "serving"
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.stop_requested() => {}
    }
    tracing::info!("stopping");
    let in_flight = node.in_flight();
    tokio::select! {
        report = node.stop() => check_stop(report),
        _ = terminate.recv() => bail!("second signal: {in_flight} requests that were in flight at the first one may be aborted"),
        _ = interrupt.recv() => bail!("second signal: {in_flight} requests that were in flight at the first one may be aborted"),
    }
}

fn check_stop(report: StopReport) -> anyhow::Result<()> {
    if report.aborted_requests > 0 {
        bail!(
            "{} requests were aborted at the stop time limit",
            report.aborted_requests
        );
    }
    tracing::info!("stopped, no request was aborted");
    Ok(())
}
