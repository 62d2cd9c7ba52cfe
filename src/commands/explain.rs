//! `plantainmill explain`: the trace of one request, item or job from the logs of several VMs.

use anyhow::Context as _;
use clap::Args;
use plantainmill_logs::request_trace;
use std::path::PathBuf;

/// Options of `explain`.
#[derive(Args, Debug)]
pub struct ExplainArgs {
    /// Id of a request, item or job.
    id: String,
    /// JSON log files of the VMs, one object per line.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
}

/// Prints every log line that names the id, ordered by time.
pub fn run(args: &ExplainArgs) -> anyhow::Result<()> {
    let mut texts = Vec::new();
    for path in &args.logs {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read {}", path.display()))?;
        texts.push((path.display().to_string(), text));
    }
    let logs = texts
        .iter()
        .map(|(name, text)| (name.as_str(), text.as_str()));
    let trace = request_trace(&args.id, logs);
    anyhow::ensure!(!trace.is_empty(), "no log line names {}", args.id);
    for line in trace {
        println!(
            "{} {} {} {}",
            line.time, line.source, line.event, line.fields
        );
    }
    Ok(())
}
