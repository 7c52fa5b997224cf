//! Orders to start that got no answer, and so may still be carried out.
//!
//! The process of a worker that answers can be made to refuse such an order: it has confirmed that the run is stopped, or it has
//! the run or its end. What a process has confirmed is gone with it, though, and the next process of the worker carries the
//! order out. So until the order is too old for that,
//!
//! - the task starts on the same worker only, where a restart ends its other run first;
//! - no end of the task as done or failed is acknowledged, since the task may not start after that.
//!
//! The orders are kept by the names of their tasks, since an order outlives its task in the memory of the leader: the occurrence
//! may be closed, or the job may have ended.
//!
//! An order without an answer is stored before the task starts again, so that later leaders know of it. They do not know the
//! orders that were under way when an earlier leader ended. So an end of a task of which that leader may have started a run, and
//! none was found, is held back until these orders are too old.

use super::journal::{self, Change};
use super::order::{Ended, How};
use super::spec::{Id, Name};
use super::store::TaskProgress;
use super::task::{self, Task};
use super::worker::{self, Worker};
use super::{control, job, renewal, run, speculate};
use crate::core::time::Instant;
use crate::hash::Map;

/// An order to start that may still be carried out by the next process of its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Worker that the order was sent to.
    pub worker: worker::Key,
    /// Its identity.
    pub worker_id: String,
    /// Number of the run.
    pub number: u32,
    /// Time from which on it is not carried out any more.
    pub until: Instant,
    /// Whether the task starts on no other worker until then.
    pub binds_task: bool,
}

/// Orders that may still be carried out, by task. Some of them may be too old for that.
#[derive(Debug, Clone, Default)]
pub struct Table {
    starts: Map<Name, Vec<Start>>,
}

impl Table {
    /// Orders to start a task.
    fn of(&self, task: Name) -> &[Start] {
        self.starts.get(&task).map_or(&[], Vec::as_slice)
    }

    /// Whether there are orders to start a task.
    pub fn contains(&self, task: Name) -> bool {
        self.starts.contains_key(&task)
    }

    /// Identities of the workers with orders to start a task, for the store.
    pub fn worker_ids(&self, task: Name) -> Vec<String> {
        self.of(task).iter().map(|late| late.worker_id.clone()).collect()
    }

    /// Adds an order, and removes an earlier one to start the same run.
    fn add(&mut self, task: Name, start: Start) {
        let starts = self.starts.entry(task).or_default();
        starts.retain(|late| late.worker != start.worker || late.number != start.number);
        starts.push(start);
    }

    /// Keeps the orders to start a task for which `is_kept` holds.
    fn retain(&mut self, task: Name, is_kept: impl Fn(&Start) -> bool) {
        let Some(starts) = self.starts.get_mut(&task) else { return };
        starts.retain(is_kept);
        if starts.is_empty() {
            self.starts.remove(&task);
        }
    }
}

/// Notes that the newest order to start a run has got no answer. Copies of speculative steps may run beside each other.
pub(super) fn note(state: &mut super::State, key: run::Key) {
    let Some(run) = state.runs.get(key) else { return };
    if control::step_of(state, run.name).is_none_or(speculate::allows) {
        return;
    }
    let (worker, number, until) = (run.worker, run.number, run.started_at + state.tuning.order_delay_max);
    let worker_id = state.workers.all.get(worker).map(|worker| worker.id.clone()).unwrap_or_default();
    let Some(task_key) = run.task.filter(|task| state.jobs.tasks.contains_key(*task)) else { return };
    let start = Start { worker, worker_id, number, until, binds_task: true };
    state.late.add(run.name, start);
    let change = journal::enqueue(state, Change::Progress(state.jobs.tasks[task_key].job));
    state.jobs.tasks[task_key].awaited_change = change;
    state.placement.wake_at([until]);
}

/// Notes the orders that an earlier leader has stored with the progress of a job.
pub(super) fn restore(state: &mut super::State, job: Id, progress: &[TaskProgress]) {
    let until = state.earlier_orders_until;
    for TaskProgress { occurrence, step, index, late_on, .. } in progress {
        let task = Name { job, occurrence: *occurrence, step: *step, index: *index };
        for worker_id in late_on {
            let worker = state.workers.by_id.get(worker_id).copied();
            let (binds_task, worker) = (worker.is_some(), worker.unwrap_or_default());
            let start = Start { worker, worker_id: worker_id.clone(), number: 0, until, binds_task };
            state.late.starts.entry(task).or_default().push(start);
        }
    }
    if progress.iter().any(|task| !task.late_on.is_empty()) {
        state.placement.wake_at([until]);
    }
}

/// Forgets the orders that are too old, once a listing shows whether they were carried out.
pub(super) fn prune(state: &mut super::State) {
    let (now, workers) = (state.now, &state.workers.all);
    state.late.starts.retain(|_, starts| {
        starts.retain(|late| late.until > now || is_unlisted(workers.get(late.worker), late.until));
        !starts.is_empty()
    });
}

/// Whether a worker answers and has made no listing since the time from which on an order is not carried out any more.
fn is_unlisted(worker: Option<&Worker>, until: Instant) -> bool {
    let worker = worker.filter(|worker| worker.silent_since.is_none());
    worker.is_some_and(|worker| !worker.has_listed_since(until))
}

/// Time until which an order to start a task of a job may be carried out.
pub(super) fn latest_of_job(state: &super::State, job: Id) -> Instant {
    let late = state.late.starts.iter().filter(|(name, _)| name.job == job).flat_map(|(_, starts)| starts);
    late.map(|late| late.until).filter(|until| *until > state.now).max().unwrap_or_default()
}

/// Notes that a worker has carried out the order to start a run, unless another order to start it may follow.
pub(super) fn settle(state: &mut super::State, key: run::Key) {
    let Some(run) = state.runs.get_mut(key).filter(|run| !run.is_resent) else { return };
    run.has_open_start = false;
    let (worker, number) = (run.worker, run.number);
    state.late.retain(run.name, |late| late.worker != worker || late.number != number);
}

/// Lets a task start on other workers than the ones that were sent late orders: the leases there have expired, whichever process
/// has carried the orders out.
pub(super) fn unbind(state: &mut super::State, key: task::Key) {
    let starts = state.jobs.tasks.get(key).and_then(|task| state.late.starts.get_mut(&task.name));
    starts.into_iter().flatten().for_each(|late| late.binds_task = false);
}

/// The only worker on which a task may start, if there is one. A worker that answers has to list its runs once more when the
/// order is too old, since it may have carried it out just before.
pub(super) fn bound_worker(state: &super::State, task: &Task) -> Option<worker::Key> {
    let is_open = |late: &&Start| {
        let is_unlisted = || is_unlisted(state.workers.all.get(late.worker), late.until);
        late.binds_task && (late.until > state.now || is_unlisted())
    };
    state.late.of(task.name).iter().rev().find(is_open).map(|late| late.worker)
}

/// Asks the worker with a late order for its runs if the order is too old and the task waits for the answer.
pub(super) fn seek_listing(state: &mut super::State, key: task::Key, worker: worker::Key) {
    let now = state.now;
    let task = state.jobs.tasks.get(key);
    if task.is_some_and(|task| state.late.of(task.name).iter().all(|late| late.until <= now)) {
        renewal::schedule_now(state, worker);
    }
}

/// Time until which an end of a task is not acknowledged; `None` if it may be at once.
pub(super) fn hold_until(state: &super::State, end: &Ended) -> Option<Instant> {
    let job = state.jobs.find(end.name.job).and_then(|job| state.jobs.all.get(job))?;
    if !matches!(end.how, How::Done | How::Failed) {
        return None;
    }
    let members = job.spec.gang_of(end.name);
    let tasks = || members.iter().filter_map(|member| state.jobs.tasks.get(state.jobs.find_task(*member)?));
    // A run that this leader has found is that of the order, so only its own runs can be others.
    let is_own_run = job.inherited_in.is_some_and(|term| end.run >= job::first_run(Some(term)));
    let may_be_under_way = is_own_run && tasks().any(|task| task.may_have_unseen_run);
    let earlier = Some(state.earlier_orders_until).filter(|_| may_be_under_way);
    let late = members.iter().flat_map(|member| state.late.of(*member)).map(|late| late.until);
    late.chain(earlier).chain([job.late_until]).max().filter(|until| *until > state.now)
}
