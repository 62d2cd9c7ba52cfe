//! `plantainmill dev`: a complete fleet on loopback.

use anyhow::Context as _;
use clap::Args;
use plantainmill_devfleet::{DevFleet, DevOptions, DevReady};
use std::io::Write as _;
use std::path::PathBuf;
use tokio::signal::unix::{SignalKind, signal};

/// Options of `dev`.
#[derive(Args, Debug)]
pub struct DevArgs {
    /// Number of VMs. With 0, only the platform and the targets start, for VMs that run as separate processes.
    #[arg(long, default_value_t = 3)]
    vms: usize,
    /// Number of engines that serve the model `assistant`.
    #[arg(long, default_value_t = 3)]
    engines: usize,
    /// Fleet configuration in TOML, applied on top of the built-in one.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// Print URLs and keys as one line of JSON once the fleet is ready.
    #[arg(long)]
    json: bool,
}

/// Runs the fleet until SIGINT or SIGTERM, then stops it gracefully. Fails when the stop aborted requests.
pub fn run(args: &DevArgs) -> anyhow::Result<()> {
    actix_rt::System::new().block_on(run_fleet(args))
}

async fn run_fleet(args: &DevArgs) -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("cannot install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("cannot install the SIGINT handler")?;
    let fleet_file = match &args.settings {
        Some(path) => {
            let text = std::fs::read_to_string(path);
            Some(text.with_context(|| format!("cannot read {}", path.display()))?)
        }
        None => None,
    };
    let fleet = DevFleet::start(DevOptions {
        vms: args.vms,
        engines: args.engines,
        fleet_file,
        ..DevOptions::default()
    })
    .await?;
    if args.json {
        println!("{}", serde_json::to_string(fleet.ready())?);
    } else {
        print_ready(&fleet);
    }
    std::io::stdout().flush()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!("stopping");
    let aborted = fleet.stop().await;
    anyhow::ensure!(aborted == 0, "the stop aborted {aborted} requests");
    Ok(())
}

fn print_ready(fleet: &DevFleet) {
    let DevReady {
        callers,
        operators,
        organisations,
        operator_key,
        platform,
        targets,
        ..
    } = fleet.ready();
    println!("callers:   {}", callers.join(" "));
    println!("operators: {}", operators.join(" "));
    println!("operator key: {operator_key}");
    for (organisation, key) in organisations {
        println!("key of {organisation}: {key}");
    }
    for (target, url) in targets {
        println!("target {target}: {url}");
    }
    println!("platform: {platform}");
    let key = organisations.values().next().map_or("KEY", String::as_str);
    let base = callers.first().map_or("URL", String::as_str);
    println!("\nTry:\n");
    println!("  curl {base}/services/hours/today");
    println!("  curl {base}/v1/models -H 'Authorization: Bearer {key}'");
    println!(
        "  curl {base}/v1/chat/completions -H 'Authorization: Bearer {key}' -d '{{\"model\":\"assistant\",\"max_tokens\":16,\"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'"
    );
    println!("\nThe README has more calls. Ctrl-C stops the fleet.");
}
