//! Byte budget of one VM for the link between regions.

use plantainmill_core::Uptime;
use std::time::Duration;

/// Bytes counted for the answer, the headers and the control messages of a request sent over the link.
const OVERHEAD_BYTES: f64 = 4_096.0;
/// Longest stretch of unused budget that may be spent at once.
const BURST: Duration = Duration::from_secs(1);

/// Token bucket in bytes.
#[derive(Clone, Debug, Default)]
pub struct LinkBudget {
    bytes_per_s: f64,
    level: f64,
    filled_at: Uptime,
}

impl LinkBudget {
    /// Applies the budget from the configuration.
    // Budgets stay far below 2^52 bytes per second, so the conversion is exact.
    #[expect(clippy::cast_precision_loss)]
    pub fn set_rate(&mut self, bytes_per_s: u64, now: Uptime) {
        self.fill(now);
        self.bytes_per_s = bytes_per_s as f64;
        self.level = self.level.min(self.capacity());
    }

    /// Whether a request with a body of `body_bytes` fits now.
    pub fn fits(&mut self, body_bytes: usize, now: Uptime) -> bool {
        self.fill(now);
        cost(body_bytes) <= self.level
    }

    /// Takes the bytes of a request out of the budget.
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
