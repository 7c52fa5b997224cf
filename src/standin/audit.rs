//! Counts of broken promises, as the stand-ins see them.
//!
//! The workers of one run share one [`Audit`]. It knows nothing of the scheduler's view.

use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};

use super::lock;
use crate::core::task;
use crate::hash::{Map, Set};

/// What happened so far; the first four must stay 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Tasks that executed in two places at once, or again after they had finished.
    pub tasks_run_twice: u64,
    /// Start commands that asked for more than the worker had free.
    pub slots_overcommitted: u64,
    /// Requests that came while the worker's connections were all in use.
    pub connections_overcommitted: u64,
    /// Non-idempotent requests that were executed more than once, counting each repetition.
    pub requests_run_twice: u64,
    /// Batch attempts started.
    pub tasks_started: u64,
    /// Batch tasks finished with success.
    pub tasks_finished: u64,
    /// Batch attempts stopped before their end.
    pub tasks_evicted: u64,
    /// Batch attempts that failed.
    pub tasks_failed: u64,
    /// Requests executed.
    pub requests_run: u64,
    /// Requests refused without being executed.
    pub requests_refused: u64,
}

/// Shared by all workers of a run.
#[derive(Debug, Clone, Default)]
pub struct Audit {
    book: Arc<Mutex<Book>>,
}

#[derive(Debug, Default)]
struct Book {
    counts: Counts,
    /// Number of workers that execute a task at this moment.
    executing: Map<task::Id, u32>,
    finished: Set<task::Id>,
    /// Non-idempotent requests executed.
    requests: Set<String>,
}

impl Audit {
    /// Counts so far.
    pub fn counts(&self) -> Counts {
        lock(&self.book).counts
    }

    /// A batch attempt begins to execute.
    pub(crate) fn started(&self, task: task::Id) {
        let mut book = lock(&self.book);
        book.counts.tasks_started += 1;
        let executing = book.executing.entry(task).or_default();
        *executing += 1;
        if *executing > 1 || book.finished.contains(&task) {
            book.counts.tasks_run_twice += 1;
        }
    }

    /// A batch attempt no longer executes.
    pub(crate) fn ended(&self, task: task::Id, ending: Ending) {
        let mut book = lock(&self.book);
        match book.executing.get_mut(&task) {
            Some(executing) if *executing > 1 => *executing -= 1,
            _ => {
                book.executing.remove(&task);
            }
        }
        match ending {
            Ending::Finished => {
                book.counts.tasks_finished += 1;
                book.finished.insert(task);
            }
            Ending::Failed => book.counts.tasks_failed += 1,
            Ending::Evicted => book.counts.tasks_evicted += 1,
        }
    }

    /// A worker lost the result of a finished task before it was acknowledged, so the task has to run again.
    pub(crate) fn result_lost(&self, task: task::Id) {
        let mut book = lock(&self.book);
        book.finished.remove(&task);
        book.counts.tasks_finished = book.counts.tasks_finished.saturating_sub(1);
    }

    /// A start command asked for more than there was.
    pub(crate) fn overcommitted(&self) {
        lock(&self.book).counts.slots_overcommitted += 1;
    }

    /// A request came over the connection limit.
    pub(crate) fn overconnected(&self) {
        lock(&self.book).counts.connections_overcommitted += 1;
    }

    /// A request was refused.
    pub(crate) fn refused(&self) {
        lock(&self.book).counts.requests_refused += 1;
    }

    /// A request is executed; `once` names it if it must not be executed again.
    pub(crate) fn executed(&self, once: Option<&str>) {
        let mut book = lock(&self.book);
        book.counts.requests_run += 1;
        if let Some(id) = once
            && !book.requests.insert(id.to_owned())
        {
            book.counts.requests_run_twice += 1;
        }
    }
}

/// How an attempt stopped executing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    Finished,
    Failed,
    Evicted,
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::declare::job;

    /// Guards against an audit that cannot see the faults it is there for.
    #[test]
    fn each_fault_is_counted() {
        let audit = Audit::default();
        let task = |index| task::Id { job: job::Id(1), index };
        audit.started(task(0));
        audit.started(task(0));
        audit.started(task(1));
        audit.ended(task(1), Ending::Finished);
        audit.started(task(1));
        audit.started(task(2));
        audit.ended(task(2), Ending::Evicted);
        audit.started(task(2));
        assert_eq!(audit.counts().tasks_run_twice, 2);
        audit.executed(Some("a"));
        audit.executed(Some("a"));
        audit.executed(None);
        audit.executed(None);
        assert_eq!(audit.counts().requests_run_twice, 1);
    }
}
