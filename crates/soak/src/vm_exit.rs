//! Which exits of a process are expected.

use std::os::unix::process::ExitStatusExt as _;
use std::process::ExitStatus;

/// Number of SIGTERM.
const SIGTERM: i32 = 15;

/// Reason for which a process is expected to exit.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ExpectedExit {
    /// It was not told to.
    #[default]
    None,
    /// It got SIGTERM.
    Stop,
    /// It got SIGTERM before it could catch it: in its first milliseconds, when it has accepted nothing.
    EarlyStop,
    /// It got SIGKILL.
    Kill,
}

/// Describes the exit of a process if it was not expected.
#[must_use]
pub fn check_exit(id: &str, expected: ExpectedExit, status: ExitStatus) -> Option<String> {
    let is_expected = match expected {
        ExpectedExit::None => false,
        ExpectedExit::Stop => status.success(),
        ExpectedExit::EarlyStop => status.success() || status.signal() == Some(SIGTERM),
        ExpectedExit::Kill => true,
    };
    (!is_expected).then(|| format!("{id} exited unexpectedly: {status} (expected: {expected:?})"))
}

/// Whether the process with this id catches SIGTERM. True where that cannot be read, so that checks stay strict.
#[must_use]
pub fn catches_stop(pid: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"));
    let caught = status.ok().and_then(|status| {
        let mask = status
            .lines()
            .find_map(|line| line.strip_prefix("SigCgt:"))?;
        u64::from_str_radix(mask.trim(), 16).ok()
    });
    caught.is_none_or(|mask| mask & (1 << (SIGTERM - 1)) != 0)
}
