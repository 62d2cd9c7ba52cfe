//! Limits how many log lines each call site writes per second.

use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of lines per call site and window. A VM with half a core serves about twenty requests per second,
/// with a few lines each.
const MAX_LINES_PER_WINDOW: u32 = 50;
/// Length of the window in which lines are counted. A window starts with the first line after the end of the last one.
const WINDOW: Duration = Duration::from_secs(1);

/// Place in the source that writes a line: file and line number.
pub type CallSite = (&'static str, u32);

/// Lines of one call site that were dropped because its limit was reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DroppedLines {
    /// Place in the source that wrote the lines.
    pub call_site: CallSite,
    /// Number of lines dropped since the last report.
    pub count: u64,
}

#[derive(Debug, Default)]
struct LineCount {
    window_start: Duration,
    written: u32,
    dropped: u64,
}

/// Counts the lines of each call site and decides which are dropped.
#[derive(Debug, Default)]
pub struct LineBudget {
    call_sites: HashMap<CallSite, LineCount>,
}

impl LineBudget {
    /// Whether a line of `call_site` may be written at `now`. A line that may not is counted as dropped.
    pub fn admit(&mut self, call_site: CallSite, now: Duration) -> bool {
        let count = self.call_sites.entry(call_site).or_default();
        if now.saturating_sub(count.window_start) >= WINDOW {
            count.window_start = now;
            count.written = 0;
        }
        if count.written < MAX_LINES_PER_WINDOW {
            count.written += 1;
            return true;
        }
        count.dropped += 1;
        false
    }

    /// The lines dropped since the last call.
    pub fn take_dropped(&mut self) -> Vec<DroppedLines> {
        let call_sites = self
            .call_sites
            .iter_mut()
            .filter(|(_, count)| count.dropped > 0);
        call_sites
            .map(|(call_site, count)| DroppedLines {
                call_site: *call_site,
                count: std::mem::take(&mut count.dropped),
            })
            .collect()
    }
}
