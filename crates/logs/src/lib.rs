//! Structured logs of bounded volume, and the story of one request from them.

mod budget;
mod output;
mod story;

pub use budget::{DroppedLines, LineBudget};
pub use output::{BudgetFilter, LogOutput};
pub use story::{StoryLine, request_story};
