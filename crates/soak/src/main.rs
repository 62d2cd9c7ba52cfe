//! Runs the soak over a range of seeds, several at a time.

use anyhow::{Context as _, bail, ensure};
use clap::Parser;
use plantainmill_soak::{SoakOptions, SoakProfile, SoakReport, list_faults, run_seed};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Runs VMs as processes under random faults and checks the promises of the system.
#[derive(Debug, Parser)]
struct SoakArgs {
    /// The program of a VM.
    #[arg(long, default_value = "target/release/plantainmill")]
    program: PathBuf,
    /// First seed. Every fourth seed has planned work only.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Seconds with faults.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Runs at a time.
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// Print the faults of the first seed instead: start, length, fault.
    #[arg(long)]
    list: bool,
    /// Folder in which the logs of failed runs are kept.
    #[arg(long, default_value = "target/soak")]
    keep: PathBuf,
}

fn main() -> ExitCode {
    match run(&SoakArgs::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            println!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &SoakArgs) -> anyhow::Result<()> {
    if args.list {
        for fault in list_faults(args.first, Duration::from_secs(args.seconds)) {
            println!("{fault}");
        }
        return Ok(());
    }
    if args.count == 1 {
        return run_one(args);
    }
    let failed = run_many(args)?;
    ensure!(failed.is_empty(), "failed seeds: {failed:?}");
    println!("{} seeds without a broken promise", args.count);
    Ok(())
}

/// Runs each seed in a process of its own.
fn run_many(args: &SoakArgs) -> anyhow::Result<Vec<u64>> {
    let mut seeds = args.first..args.first + args.count;
    let mut running: Vec<(u64, Child)> = Vec::new();
    let mut failed = Vec::new();
    loop {
        while running.len() < args.jobs.max(1)
            && let Some(seed) = seeds.next()
        {
            running.push((seed, start_run(args, seed)?));
        }
        if running.is_empty() {
            return Ok(failed);
        }
        let mut position = 0;
        while position < running.len() {
            let (seed, child) = &mut running[position];
            match child.try_wait()? {
                Some(status) => {
                    failed.extend((!status.success()).then_some(*seed));
                    running.swap_remove(position);
                }
                None => position += 1,
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn start_run(args: &SoakArgs, seed: u64) -> anyhow::Result<Child> {
    Command::new(std::env::current_exe()?)
        .arg("--program")
        .arg(&args.program)
        .arg("--keep")
        .arg(&args.keep)
        .args(["--first", &seed.to_string()])
        .args(["--seconds", &args.seconds.to_string()])
        .spawn()
        .with_context(|| format!("cannot start the run of seed {seed}"))
}

fn run_one(args: &SoakArgs) -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let options = SoakOptions {
        program: std::path::absolute(&args.program)?,
        folder: folder.path().to_owned(),
        seed: args.first,
        profile: SoakProfile::of_seed(args.first),
        time: Duration::from_secs(args.seconds),
    };
    let report = actix_rt::System::new().block_on(run_until_signal(&options))?;
    println!(
        "seed {} {:?}: {} faults, {} requests, {} served, {} cut, {} jobs, {} broken promises",
        options.seed,
        options.profile,
        report.faults,
        report.asks,
        report.served,
        report.cut,
        report.jobs,
        report.broken.len(),
    );
    if report.broken.is_empty() {
        return Ok(());
    }
    let kept = args.keep.join(format!("seed-{}", options.seed));
    keep_logs(folder.path(), &kept, &report.broken)?;
    for line in report.broken.iter().take(20) {
        println!("  {line}");
    }
    bail!(
        "seed {} failed; its logs are in {}",
        options.seed,
        kept.display()
    );
}

/// A run that is interrupted ends its VMs as well.
async fn run_until_signal(options: &SoakOptions) -> anyhow::Result<SoakReport> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        report = run_seed(options) => report,
        _ = terminate.recv() => bail!("interrupted"),
        _ = interrupt.recv() => bail!("interrupted"),
    }
}

fn keep_logs(folder: &Path, kept: &Path, broken: &[String]) -> anyhow::Result<()> {
    std::fs::create_dir_all(kept)?;
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        std::fs::copy(entry.path(), kept.join(entry.file_name()))?;
    }
    std::fs::write(kept.join("broken.txt"), broken.join("\n"))?;
    Ok(())
}
