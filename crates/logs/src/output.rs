//! The log output of a process: JSON lines on standard output, written without blocking the process.

use crate::budget::{DroppedLines, LineBudget};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;
use tracing::subscriber::SetGlobalDefaultError;
use tracing::{Event, Metadata};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt as _};
use tracing_subscriber::{EnvFilter, Layer as _, Registry};

/// Maximum number of lines that wait to be written. Further lines are dropped, because a stalled reader of standard
/// output must not block the process.
const MAX_WAITING_LINES: usize = 4_000;

/// Drops lines beyond the limit of their call site. Clones share the same budget.
#[derive(Clone)]
pub struct BudgetFilter {
    budget: Arc<Mutex<LineBudget>>,
    started: Instant,
}

impl Default for BudgetFilter {
    fn default() -> BudgetFilter {
        BudgetFilter {
            budget: Arc::default(),
            started: Instant::now(),
        }
    }
}

impl BudgetFilter {
    /// The lines dropped since the last call.
    #[must_use]
    pub fn take_dropped(&self) -> Vec<DroppedLines> {
        let budget = self.budget.lock();
        budget
            .unwrap_or_else(PoisonError::into_inner)
            .take_dropped()
    }
}

impl<S> Filter<S> for BudgetFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        let call_site = (
            metadata.file().unwrap_or_default(),
            metadata.line().unwrap_or_default(),
        );
        let budget = self.budget.lock();
        let mut budget = budget.unwrap_or_else(PoisonError::into_inner);
        budget.admit(call_site, self.started.elapsed())
    }
}

/// The log output of a process. Dropping it writes the lines that wait.
pub struct LogOutput {
    /// The filter of this output, which counts the dropped lines.
    pub filter: BudgetFilter,
    _worker: WorkerGuard,
}

impl LogOutput {
    /// Installs the global subscriber that writes JSON lines to standard output, filtered by `levels`.
    ///
    /// # Errors
    ///
    /// Fails when the process already has a global subscriber.
    pub fn start(levels: EnvFilter) -> Result<LogOutput, SetGlobalDefaultError> {
        let (writer, worker): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
            .buffered_lines_limit(MAX_WAITING_LINES)
            .lossy(true)
            .finish(std::io::stdout());
        let filter = BudgetFilter::default();
        let lines = tracing_subscriber::fmt::layer()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_writer(writer)
            .with_filter(filter.clone());
        tracing::subscriber::set_global_default(Registry::default().with(levels).with(lines))?;
        Ok(LogOutput {
            filter,
            _worker: worker,
        })
    }
}
