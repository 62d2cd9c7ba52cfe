//! Structured logs of bounded volume, and traces of single requests, items and jobs from them.

mod budget;
mod output;
mod trace;

pub use budget::{DroppedLines, LineBudget};
pub use output::{BudgetFilter, LogOutput};
pub use trace::{TraceLine, request_trace};
