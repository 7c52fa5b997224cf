//! Counts of executed work and of invariant violations, as observed by the stand-ins.
//!
//! The workers of one run share one [`Audit`], which uses no state of the scheduler.

use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};

use super::lock;
use crate::core::task;
use crate::hash::{Map, Set};

/// Counts since the start of the run. The first four count violations and must stay 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Batch attempts started while the task was already executing, or after it had finished.
    pub tasks_run_twice: u64,
    /// Start commands that needed more resources than the worker had free.
    pub slots_overcommitted: u64,
    /// Requests that arrived while all connections of the worker were in use.
    pub connections_overcommitted: u64,
    /// Repeated executions of non-idempotent requests.
    pub requests_run_twice: u64,
    /// Batch attempts started.
    pub tasks_started: u64,
    /// Batch tasks finished successfully.
    pub tasks_finished: u64,
    /// Batch attempts stopped before they finished.
    pub tasks_evicted: u64,
    /// Batch attempts that failed.
    pub tasks_failed: u64,
    /// Requests executed.
    pub requests_run: u64,
    /// Requests refused without execution.
    pub requests_refused: u64,
}

/// Recorder of executed work; clones share the same counts.
#[derive(Debug, Clone, Default)]
pub struct Audit {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    counts: Counts,
    /// Number of workers that are executing each task.
    executing_workers: Map<task::Id, u32>,
    finished_tasks: Set<task::Id>,
    /// Identities of the non-idempotent requests that were executed.
    executed_requests: Set<String>,
}

impl Audit {
    /// Counts since the start of the run.
    pub fn counts(&self) -> Counts {
        lock(&self.state).counts
    }

    /// Records that a worker starts to execute a batch attempt.
    pub(crate) fn record_start(&self, task: task::Id) {
        let mut state = lock(&self.state);
        state.counts.tasks_started += 1;
        let executing = state.executing_workers.entry(task).or_default();
        *executing += 1;
        if *executing > 1 || state.finished_tasks.contains(&task) {
            state.counts.tasks_run_twice += 1;
        }
    }

    /// Records that a worker stops executing a batch attempt.
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

    /// Records that a worker lost the result of a finished task before it was acknowledged, so the task must run again.
    pub(crate) fn record_lost_result(&self, task: task::Id) {
        let mut state = lock(&self.state);
        state.finished_tasks.remove(&task);
        state.counts.tasks_finished = state.counts.tasks_finished.saturating_sub(1);
    }

    /// Records a start command that needs more resources than the worker has free.
    pub(crate) fn record_overcommit(&self) {
        lock(&self.state).counts.slots_overcommitted += 1;
    }

    /// Records a request over the connection limit of a worker.
    pub(crate) fn record_excess_connection(&self) {
        lock(&self.state).counts.connections_overcommitted += 1;
    }

    /// Records a request that is refused without execution.
    pub(crate) fn record_refusal(&self) {
        lock(&self.state).counts.requests_refused += 1;
    }

    /// Records the execution of a request; `non_idempotent_id` is its identity if it must not be executed twice.
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

/// How the execution of a batch attempt ended.
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

    /// Guards against an audit that misses a violation, so that tests with a duplicate execution pass.
    #[test]
    fn each_violation_is_counted() {
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
