//! Runs the soak test over a range of seeds, several at a time.

use anyhow::{Context as _, bail, ensure};
use clap::Parser;
use plantainmill_soak::{SoakOptions, SoakProfile, SoakReport, list_faults, run_seed};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode};
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Runs VMs as processes, injects random faults and checks the guarantees of the system.
#[derive(Debug, Parser)]
struct SoakArgs {
    /// Path of the VM executable.
    #[arg(long, default_value = "target/release/plantainmill")]
    program: PathBuf,
    /// First seed. Multiples of four have planned work only; from 1000 on, targets refuse, from 2000 on, they send foreign bytes, and from 3000 on, excess events.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of seeds.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Seconds in which faults start.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Number of seeds that run at a time.
    #[arg(long, default_value_t = 2)]
    jobs: usize,
    /// Print the faults of the first seed instead of running it: start, duration and fault.
    #[arg(long)]
    list: bool,
    /// Folder to which the logs of failed runs are copied.
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
        return run_single_seed(args);
    }
    let failed = run_seeds(args)?;
    ensure!(failed.is_empty(), "failed seeds: {failed:?}");
    println!("{} seeds without a violated guarantee", args.count);
    Ok(())
}

/// Runs each seed in its own process and returns the seeds that failed.
fn run_seeds(args: &SoakArgs) -> anyhow::Result<Vec<u64>> {
    let mut seeds = args.first..args.first + args.count;
    let mut running: Vec<(u64, Child)> = Vec::new();
    let mut failed = Vec::new();
    loop {
        while running.len() < args.jobs.max(1)
            && let Some(seed) = seeds.next()
        {
            running.push((seed, spawn_run(args, seed)?));
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

fn spawn_run(args: &SoakArgs, seed: u64) -> anyhow::Result<Child> {
    Command::new(std::env::current_exe()?)
        .arg("--program")
        .arg(&args.program)
        .arg("--keep")
        .arg(&args.keep)
        .args(["--first", &seed.to_string()])
        .args(["--seconds", &args.seconds.to_string()])
        .spawn()
        .with_context(|| format!("cannot start the process for seed {seed}"))
}

fn run_single_seed(args: &SoakArgs) -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let options = SoakOptions {
        program: std::path::absolute(&args.program)?,
        folder: folder.path().to_owned(),
        seed: args.first,
        profile: SoakProfile::of_seed(args.first),
        run_time: Duration::from_secs(args.seconds),
    };
    let report = actix_rt::System::new().block_on(run_until_signal(&options))?;
    println!(
        "seed {} {:?}: {} faults, {} requests, {} served, {} failed, {} jobs, {} violated guarantees",
        options.seed,
        options.profile,
        report.faults,
        report.requests,
        report.served,
        report.failed,
        report.jobs,
        report.violations.len(),
    );
    if report.violations.is_empty() {
        return Ok(());
    }
    let log_folder = args.keep.join(format!("seed-{}", options.seed));
    copy_logs(folder.path(), &log_folder, &report.violations)?;
    for line in report.violations.iter().take(20) {
        println!("  {line}");
    }
    bail!(
        "seed {} failed; its logs are in {}",
        options.seed,
        log_folder.display()
    );
}

/// Runs one seed. SIGTERM and SIGINT end the run and drop its VMs, which kills their processes.
async fn run_until_signal(options: &SoakOptions) -> anyhow::Result<SoakReport> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        report = run_seed(options) => report,
        _ = terminate.recv() => bail!("interrupted"),
        _ = interrupt.recv() => bail!("interrupted"),
    }
}

fn copy_logs(folder: &Path, log_folder: &Path, violations: &[String]) -> anyhow::Result<()> {
    std::fs::create_dir_all(log_folder)?;
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        std::fs::copy(entry.path(), log_folder.join(entry.file_name()))?;
    }
    std::fs::write(log_folder.join("broken.txt"), violations.join("\n"))?;
    Ok(())
}
