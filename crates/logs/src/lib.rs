//! Structured logs of bounded volume, and the trace of one request from them.

mod budget;
mod output;
mod trace;

pub use budget::{DroppedLines, LineBudget};
pub use output::{BudgetFilter, LogOutput};
pub use trace::{TraceLine, request_trace};
