//! Command line of plantainmill.

mod commands;

use clap::{Parser, Subcommand, ValueEnum};
use plantainmill_logs::LogOutput;
use std::io::IsTerminal as _;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// Serving system for online and batch inference on one shared fleet.
///
/// Start with `plantainmill dev`: it runs a whole fleet with its platform and engines on loopback.
#[derive(Debug, Parser)]
#[command(version, max_term_width = 100)]
struct CommandLine {
    /// Form of the log lines: text goes to standard error, JSON to standard output.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// What is logged, such as `info` or `plantainmill_config=debug`.
    #[arg(
        long,
        global = true,
        env = "PLANTAINMILL_LOG",
        default_value = "info,actix_server=warn"
    )]
    log: String,
    #[command(subcommand)]
    command: Command,
}

/// Form of the log lines.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogFormat {
    /// For people.
    Text,
    /// One JSON object per line.
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run one VM of the fleet.
    Serve(commands::serve::ServeArgs),
    /// Run a whole fleet on loopback in this process, with stand-ins for platform and engines.
    Dev(commands::dev::DevArgs),
    /// Check a settings file or a fleet configuration and name every error.
    Check(commands::check::CheckArgs),
    /// Read and change the fleet through the administration API of any VM.
    Admin(commands::admin::AdminArgs),
    /// Print the state of one VM as JSON.
    Dump(commands::dump::DumpArgs),
    /// Print the trace of one request, item or job from the logs of several VMs.
    Explain(commands::explain::ExplainArgs),
    /// Print the table of result codes.
    Codes(commands::codes::CodesArgs),
    /// Drive VMs with a scenario and report the four measures.
    Bench(commands::bench::BenchArgs),
}

fn main() -> ExitCode {
    let line = CommandLine::parse();
    let done = start_logs(&line).and_then(|output| run(line.command, output));
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command, output: Option<LogOutput>) -> anyhow::Result<()> {
    match command {
        Command::Serve(args) => commands::serve::run(&args, output),
        Command::Dev(args) => commands::dev::run(&args),
        Command::Check(args) => commands::check::run(&args),
        Command::Admin(args) => commands::admin::run(&args),
        Command::Dump(args) => commands::dump::run(&args),
        Command::Explain(args) => commands::explain::run(&args),
        Command::Codes(args) => {
            commands::codes::run(args);
            Ok(())
        }
        Command::Bench(args) => commands::bench::run(&args),
    }
}

/// Starts the logs. JSON lines go to standard output with a bound on their volume.
fn start_logs(line: &CommandLine) -> anyhow::Result<Option<LogOutput>> {
    let filter = EnvFilter::try_new(&line.log).unwrap_or_else(|_| EnvFilter::new("info"));
    if let LogFormat::Json = line.log_format {
        return Ok(Some(LogOutput::start(filter)?));
    }
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr)
        .init();
    Ok(None)
}
