//! `plantainmill serve --platform`: one VM on the users' platform.

use super::serve::report_problems;
use anyhow::Context as _;
use plantainmill_edge::{EdgeSettings, EdgeVm};
use plantainmill_logs::LogOutput;
use std::path::Path;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::interval;

/// Time between looks at the settings file: it may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// Time between reports on log lines that were left out.
const DROPPED_INTERVAL: Duration = Duration::from_secs(5);

/// Serves until SIGTERM or SIGINT, then stops gracefully.
pub fn run(output: Option<LogOutput>) -> anyhow::Result<()> {
    let path = plantainmill_adapter::settings_path();
    let path = path.context("the platform names no settings file")?;
    let settings = EdgeSettings::load(&path).map_err(|problems| report_problems(&problems))?;
    log_unknown(&settings);
    actix_rt::System::new().block_on(serve(settings, &path, output))
}

async fn serve(
    settings: EdgeSettings,
    path: &Path,
    output: Option<LogOutput>,
) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("cannot wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("cannot wait for SIGINT")?;
    let mut hangup = signal(SignalKind::hangup()).context("cannot wait for SIGHUP")?;
    let mut file_time = modified(path);
    let mut looks = interval(SETTINGS_INTERVAL);
    let mut reports = interval(DROPPED_INTERVAL);
    let platform = plantainmill_adapter::connect(settings.store.address);
    let vm = EdgeVm::start(settings, platform).await?;
    tracing::info!(event = "started", settings = %path.display());
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&vm, path),
            _ = looks.tick() => {
                let time = modified(path);
                if time != file_time {
                    file_time = time;
                    reload(&vm, path);
                }
            }
            _ = reports.tick() => report_dropped(output.as_ref()),
        }
    }
    vm.stop().await;
    Ok(())
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|file| file.modified())
        .ok()
}

/// Takes changed settings. Wrong ones change nothing.
fn reload(vm: &EdgeVm, path: &Path) {
    match EdgeSettings::load(path) {
        Ok(settings) => {
            log_unknown(&settings);
            vm.reload(&settings);
        }
        Err(problems) => {
            for problem in problems {
                tracing::warn!(
                    event = "settings_refused",
                    error = %problem,
                    "the former settings stay in force"
                );
            }
        }
    }
}

fn log_unknown(settings: &EdgeSettings) {
    for field in &settings.unknown {
        tracing::info!(event = "setting_ignored", line = field.line, field = %field.field, reason = %field.reason);
    }
}

fn report_dropped(output: Option<&LogOutput>) {
    let dropped = output.map(|output| output.filter.take_dropped());
    for lines in dropped.into_iter().flatten() {
        let (file, line) = lines.call_site;
        tracing::warn!(event = "lines_left_out", file, line, count = lines.count);
    }
}
