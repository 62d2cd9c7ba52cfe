//! How many lines of each kind are written per second.

use std::collections::HashMap;
use std::time::Duration;

/// Lines of one kind per second. A VM of half a core serves some twenty requests a second, with a few lines each.
const LINES_PER_SECOND: u32 = 50;
/// Length of the windows in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// A kind of line: where in the source it is written.
pub type CallSite = (&'static str, u32);

/// Lines that were left out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DroppedLines {
    /// Kind.
    pub call_site: CallSite,
    /// Number since they were last reported.
    pub count: u64,
}

#[derive(Debug, Default)]
struct KindCount {
    window: Duration,
    written: u32,
    dropped: u64,
}

/// Bounds the lines of each kind.
#[derive(Debug, Default)]
pub struct LineBudget {
    kinds: HashMap<CallSite, KindCount>,
}

impl LineBudget {
    /// Whether a line of `kind` is written at `now`.
    pub fn admit(&mut self, kind: CallSite, now: Duration) -> bool {
        let count = self.kinds.entry(kind).or_default();
        if now.saturating_sub(count.window) >= WINDOW {
            count.window = now;
            count.written = 0;
        }
        if count.written < LINES_PER_SECOND {
            count.written += 1;
            return true;
        }
        count.dropped += 1;
        false
    }

    /// The lines left out since the last call.
    pub fn take_dropped(&mut self) -> Vec<DroppedLines> {
        let kinds = self.kinds.iter_mut().filter(|(_, count)| count.dropped > 0);
        kinds
            .map(|(call_site, count)| DroppedLines {
                call_site: *call_site,
                count: std::mem::take(&mut count.dropped),
            })
            .collect()
    }
}
