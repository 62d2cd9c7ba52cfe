//! `plantainmill serve --platform`: one VM on the users' platform.

use super::serve::print_problems;
use anyhow::Context as _;
use plantainmill_edge::{EdgeSettings, EdgeVm};
use plantainmill_logs::LogOutput;
use std::path::Path;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::interval;

/// Interval between checks of the settings file's modification time: the platform may change it without SIGHUP.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between log lines that count the lines dropped by the volume limit.
const DROPPED_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Serves until SIGTERM or SIGINT, then stops gracefully. SIGHUP reloads the settings file.
pub fn run(output: Option<LogOutput>) -> anyhow::Result<()> {
    let path = plantainmill_adapter::settings_path();
    let path = path.context("the platform did not set the path of the settings file")?;
    let settings = EdgeSettings::load(&path).map_err(|problems| print_problems(&problems))?;
    log_ignored_fields(&settings);
    actix_rt::System::new().block_on(serve(settings, &path, output))
}

async fn serve(
    settings: EdgeSettings,
    path: &Path,
    output: Option<LogOutput>,
) -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("cannot install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("cannot install the SIGINT handler")?;
    let mut hangup = signal(SignalKind::hangup()).context("cannot install the SIGHUP handler")?;
    let mut modified_at = modification_time(path);
    let mut settings_polls = interval(SETTINGS_POLL_INTERVAL);
    let mut dropped_reports = interval(DROPPED_REPORT_INTERVAL);
    let platform = plantainmill_adapter::connect(settings.store.address);
    let vm = EdgeVm::start(settings, platform).await?;
    tracing::info!(event = "started", settings = %path.display());
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&vm, path),
            _ = settings_polls.tick() => {
                let time = modification_time(path);
                if time != modified_at {
                    modified_at = time;
                    reload(&vm, path);
                }
            }
            _ = dropped_reports.tick() => log_dropped_lines(output.as_ref()),
        }
    }
    vm.stop().await;
    Ok(())
}

fn modification_time(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|metadata| metadata.modified())
        .ok()
}

/// Applies the settings file again. Invalid settings are logged and leave the current ones in force.
fn reload(vm: &EdgeVm, path: &Path) {
    match EdgeSettings::load(path) {
        Ok(settings) => {
            log_ignored_fields(&settings);
            vm.reload(&settings);
        }
        Err(problems) => {
            for problem in problems {
                tracing::warn!(
                    event = "settings_refused",
                    error = %problem,
                    "the previous settings stay in force"
                );
            }
        }
    }
}

fn log_ignored_fields(settings: &EdgeSettings) {
    for field in &settings.unknown {
        tracing::info!(event = "setting_ignored", line = field.line, field = %field.field, reason = %field.reason);
    }
}

fn log_dropped_lines(output: Option<&LogOutput>) {
    let dropped = output.map(|output| output.filter.take_dropped());
    for lines in dropped.into_iter().flatten() {
        let (file, line) = lines.call_site;
        tracing::warn!(event = "lines_left_out", file, line, count = lines.count);
    }
}
