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
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    counts: Counts,
    /// Number of workers that execute a task at this moment.
    executing_workers: Map<task::Id, u32>,
    finished_tasks: Set<task::Id>,
    /// Non-idempotent requests executed.
    executed_requests: Set<String>,
}

impl Audit {
    /// Counts so far.
    pub fn counts(&self) -> Counts {
        lock(&self.state).counts
    }

    /// A batch attempt begins to execute.
    pub(crate) fn record_start(&self, task: task::Id) {
        let mut state = lock(&self.state);
        state.counts.tasks_started += 1;
        let executing = state.executing_workers.entry(task).or_default();
        *executing += 1;
        if *executing > 1 || state.finished_tasks.contains(&task) {
            state.counts.tasks_run_twice += 1;
        }
    }

    /// A batch attempt no longer executes.
    pub(crate) fn record_end(&self, task: task::Id, ending: Ending) {
        let mut state = lock(&self.state);
        match state.executing_workers.get_mut(&task) {
            Some(executing) if *executing > 1 => *executing -= 1,
            _ => {
                state.executing_workers.remove(&task);
            }
        }
        match ending {
            Ending::Finished => {
                state.counts.tasks_finished += 1;
                state.finished_tasks.insert(task);
            }
            Ending::Failed => state.counts.tasks_failed += 1,
            Ending::Evicted => state.counts.tasks_evicted += 1,
        }
    }

    /// A worker lost the result of a finished task before it was acknowledged, so the task has to run again.
    pub(crate) fn record_lost_result(&self, task: task::Id) {
        let mut state = lock(&self.state);
        state.finished_tasks.remove(&task);
        state.counts.tasks_finished = state.counts.tasks_finished.saturating_sub(1);
    }

    /// A start command asked for more than there was.
    pub(crate) fn record_overcommit(&self) {
        lock(&self.state).counts.slots_overcommitted += 1;
    }

    /// A request came over the connection limit.
    pub(crate) fn record_excess_connection(&self) {
        lock(&self.state).counts.connections_overcommitted += 1;
    }

    /// A request was refused.
    pub(crate) fn record_refusal(&self) {
        lock(&self.state).counts.requests_refused += 1;
    }

    /// A request is executed; `non_idempotent_id` names it if it must not be executed again.
    pub(crate) fn record_request(&self, non_idempotent_id: Option<&str>) {
        let mut state = lock(&self.state);
        state.counts.requests_run += 1;
        if let Some(id) = non_idempotent_id
            && !state.executed_requests.insert(id.to_owned())
        {
            state.counts.requests_run_twice += 1;
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
        audit.record_start(task(0));
        audit.record_start(task(0));
        audit.record_start(task(1));
        audit.record_end(task(1), Ending::Finished);
        audit.record_start(task(1));
        audit.record_start(task(2));
        audit.record_end(task(2), Ending::Evicted);
        audit.record_start(task(2));
        assert_eq!(audit.counts().tasks_run_twice, 2);
        audit.record_request(Some("a"));
        audit.record_request(Some("a"));
        audit.record_request(None);
        audit.record_request(None);
        assert_eq!(audit.counts().requests_run_twice, 1);
    }
}
