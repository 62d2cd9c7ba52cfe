//! A VM that runs as a child process.

use crate::vm_exit::catches_stop;
use anyhow::{Context as _, ensure};
use plantainmill_adapter::SETTINGS_VARIABLE;
use plantainmill_stand_in::VmPlan;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io::Read as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// A VM that runs as a child process. Dropping it kills the process.
pub struct VmProcess {
    /// Settings, in force after `write_settings` and a reload or restart.
    pub plan: VmPlan,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    start_count: u32,
    logs: Vec<LogTail>,
}

/// A log of which a part has been read.
struct LogTail {
    file: File,
    /// The start of a line whose end has not been written yet.
    line_start: String,
}

impl LogTail {
    /// Reads the lines that were written since the last call.
    fn read_lines(&mut self) -> std::io::Result<Vec<String>> {
        let mut read = Vec::new();
        self.file.read_to_end(&mut read)?;
        self.line_start.push_str(&String::from_utf8_lossy(&read));
        let end = self.line_start.rfind('\n').map_or(0, |end| end + 1);
        let rest = self.line_start.split_off(end);
        let lines = std::mem::replace(&mut self.line_start, rest);
        Ok(lines.lines().map(str::to_owned).collect())
    }
}

impl VmProcess {
    /// Starts `program`, with its settings file and logs in `folder`.
    ///
    /// # Errors
    ///
    /// Fails when the settings cannot be written or the process cannot be started.
    pub fn start(program: &Path, folder: &Path, plan: VmPlan) -> anyhow::Result<VmProcess> {
        let mut process = VmProcess {
            plan,
            program: program.to_owned(),
            folder: folder.to_owned(),
            child: None,
            start_count: 0,
            logs: Vec::new(),
        };
        process.write_settings()?;
        process.restart()?;
        Ok(process)
    }

    /// Writes the settings file from `plan`.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be written.
    pub fn write_settings(&self) -> anyhow::Result<()> {
        std::fs::write(self.settings_path(), self.plan.text())
            .with_context(|| format!("cannot write the settings of {}", self.plan.id))
    }

    fn log_path(&self) -> PathBuf {
        let name = format!("{}.{}.log", self.plan.id, self.start_count);
        self.folder.join(name)
    }

    /// Returns the last line of the current log, which has the reason of an unexpected exit.
    #[must_use]
    pub fn last_line(&self) -> String {
        let log = std::fs::read_to_string(self.log_path());
        match log {
            Ok(log) => log.lines().last().unwrap_or_default().to_owned(),
            Err(error) => format!("cannot read its log: {error}"),
        }
    }

    /// Returns the lines written to the logs since the last call.
    ///
    /// # Errors
    ///
    /// Fails when a log cannot be read.
    pub fn new_lines(&mut self) -> std::io::Result<Vec<String>> {
        let mut lines = Vec::new();
        for log in &mut self.logs {
            lines.extend(log.read_lines()?);
        }
        Ok(lines)
    }

    /// Whether the process has been started and its exit has not been seen.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.toml", self.plan.id))
    }

    /// Starts the process, with a new log, unless it is running.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        self.start_count += 1;
        let log = File::create(self.log_path())?;
        let errors = log.try_clone()?;
        self.logs.push(LogTail {
            file: File::open(self.log_path())?,
            line_start: String::new(),
        });
        let child = Command::new(&self.program)
            .args(["--log-format", "json", "serve", "--platform"])
            .env(SETTINGS_VARIABLE, self.settings_path())
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .with_context(|| format!("cannot start {}", self.program.display()))?;
        self.child = Some(child);
        Ok(())
    }

    /// Whether the process, if it is running, has come so far that it catches SIGTERM.
    #[must_use]
    pub fn catches_stop(&self) -> bool {
        self.child
            .as_ref()
            .is_none_or(|child| catches_stop(child.id()))
    }

    /// Sends a signal to the process, if it is running.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let pid = Pid::from_child(child);
        kill_process(pid, signal).with_context(|| format!("cannot signal {}", self.plan.id))
    }

    /// Returns the exit status once after the process has exited.
    ///
    /// # Errors
    ///
    /// Fails when the status of the process cannot be read.
    pub fn take_exit(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait()?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Kills the process and waits for its exit.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be killed, or had already exited successfully.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            let status = child.wait()?;
            ensure!(
                !status.success(),
                "{} exited before it was killed",
                self.plan.id
            );
        }
        Ok(())
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        if let Err(error) = self.kill() {
            eprintln!("{}: {error:#}", self.plan.id);
        }
    }
}
