//! Budget in bytes of one VM for the link between regions.

use plantainmill_core::Uptime;
use std::time::Duration;

/// Bytes counted for the response, the headers and the control messages of a request sent over the link.
const OVERHEAD_BYTES: f64 = 4_096.0;
/// Time over which unused budget accumulates and may be spent at once.
const BURST: Duration = Duration::from_secs(1);

/// Token bucket that limits the bytes sent over the link. The default has a rate of zero and lets nothing through.
#[derive(Clone, Debug, Default)]
pub struct LinkBudget {
    bytes_per_s: f64,
    level: f64,
    filled_at: Uptime,
}

impl LinkBudget {
    /// Sets the rate from the configuration.
    // Budgets stay far below 2^52 bytes per second, so the conversion is exact.
    #[expect(clippy::cast_precision_loss)]
    pub fn set_rate(&mut self, bytes_per_s: u64, now: Uptime) {
        self.fill(now);
        self.bytes_per_s = bytes_per_s as f64;
        self.level = self.level.min(self.capacity());
    }

    /// Whether the budget covers a request with a body of `body_bytes`.
    pub fn fits(&mut self, body_bytes: usize, now: Uptime) -> bool {
        self.fill(now);
        cost(body_bytes) <= self.level
    }

    /// Subtracts a request from the budget, which may become negative.
    pub fn spend(&mut self, body_bytes: usize, now: Uptime) {
        self.fill(now);
        self.level -= cost(body_bytes);
    }

    fn capacity(&self) -> f64 {
        self.bytes_per_s * BURST.as_secs_f64()
    }

    fn fill(&mut self, now: Uptime) {
        let passed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let level = self.level + self.bytes_per_s * passed.as_secs_f64();
        self.level = level.min(self.capacity());
    }
}

// Bodies are bounded to megabytes, so the conversion is exact.
#[expect(clippy::cast_precision_loss)]
fn cost(body_bytes: usize) -> f64 {
    body_bytes as f64 + OVERHEAD_BYTES
}
