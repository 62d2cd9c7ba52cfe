//! Entry point: parses the command line, starts logging and runs the command.

mod commands;

use clap::{Parser, Subcommand, ValueEnum};
use plantainmill_logs::LogOutput;
use std::io::IsTerminal as _;
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// Serving system for online and batch inference on one shared fleet.
///
/// To try it, run `plantainmill dev`: it starts a complete fleet on loopback, with simulated platform and engines.
#[derive(Debug, Parser)]
#[command(version, max_term_width = 100)]
struct CommandLine {
    /// Log format: text is written to standard error, JSON to standard output.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// Log filter, such as `info` or `plantainmill_config=debug`.
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

#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run one VM of the fleet.
    Serve(commands::serve::ServeArgs),
    /// Run a complete fleet on loopback in this process, with simulated platform and engines.
    Dev(commands::dev::DevArgs),
    /// Validate a settings file or a fleet configuration and list every error.
    Check(commands::check::CheckArgs),
    /// Read and change the fleet configuration through the administration API of any VM.
    Admin(commands::admin::AdminArgs),
    /// Print the state of one VM as JSON.
    Dump(commands::dump::DumpArgs),
    /// Print the trace of one request, item or job from the logs of several VMs.
    Explain(commands::explain::ExplainArgs),
    /// Print the table of result codes.
    Codes(commands::codes::CodesArgs),
    /// Generate load from a scenario, measure latency, and compare reports.
    Bench(commands::bench::BenchArgs),
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    let result = start_logging(&command_line).and_then(|output| run(command_line.command, output));
    match result {
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

/// Starts logging. JSON output is limited in volume; the returned handle reports the lines left out.
fn start_logging(command_line: &CommandLine) -> anyhow::Result<Option<LogOutput>> {
    let filter = EnvFilter::try_new(&command_line.log).unwrap_or_else(|_| EnvFilter::new("info"));
    if let LogFormat::Json = command_line.log_format {
        return Ok(Some(LogOutput::start(filter)?));
    }
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr)
        .init();
    Ok(None)
}
