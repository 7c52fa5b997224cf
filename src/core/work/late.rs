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
//! A later leader has to know of these orders, too. Each commit writes those under way to the tip, before they are sent
//! ([`super::dispatch`]). One without an answer is stored with the progress of its job before the task starts again, so that the
//! tip stays small while many orders get none.

use super::journal::{self, Change};
use super::order::{Ended, How};
use super::run::{self, Phase, Run};
use super::spec::{Id, Name};
use super::store::TaskProgress;
use super::task::{self, Task};
use super::worker::{self, Worker};
use super::{control, renewal, speculate, store};
use crate::core::time::Instant;
use crate::hash::Map;

/// An order to start that may still be carried out by the next process of its worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Start {
    /// Worker that the order was sent to.
    pub worker: worker::Key,
    /// Its identity.
    pub worker_id: String,
    /// Number of the run; 0 for any, if the order was noted by an earlier leader.
    pub number: u32,
    /// Time from which on it is not carried out any more.
    pub until: Instant,
    /// Whether the task starts on no other worker until then.
    pub binds_task: bool,
    /// Whether the order was sent again, so that a listing of the run does not show that it was carried out for the last time.
    pub is_repeated: bool,
    /// What stores it.
    pub stored_by: Record,
}

/// Record in the store by which a later leader knows an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Record {
    /// Progress of its job, once the change with this sequence number is durable.
    Progress(u64),
    /// Only the tip.
    Tip,
}

/// Orders that may still be carried out, by task. Some of them may be too old for that.
#[derive(Debug, Clone, Default)]
pub struct Table {
    starts: Map<Name, Vec<Start>>,
    /// Runs whose orders are in the newest commits, and some of which may have been answered since.
    followed: Vec<run::Key>,
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

    /// Number of runs whose orders may be under way, and which no answer has been noted for.
    pub fn under_way_count(&self) -> usize {
        self.followed.len()
    }

    /// Adds runs whose orders the next commit stores.
    pub fn follow(&mut self, runs: Vec<run::Key>) {
        self.followed.extend(runs);
    }

    /// Removes runs whose orders were not stored.
    pub fn unfollow(&mut self, runs: &[run::Key]) {
        self.followed.retain(|run| !runs.contains(run));
    }

    /// Whether an order to start a run is noted.
    fn has_noted(&self, run: &Run) -> bool {
        self.of(run.name).iter().any(|late| late.worker == run.worker && late.number == run.number)
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
    let (name, is_repeated) = (run.name, run.is_resent);
    let stored_by = match run.task.filter(|task| state.jobs.tasks.contains_key(*task)) {
        Some(task) => {
            let change = journal::enqueue(state, Change::Progress(state.jobs.tasks[task].job));
            state.jobs.tasks[task].awaited_change = change;
            Record::Progress(change)
        }
        None => Record::Tip,
    };
    let start = Start { worker, worker_id, number, until, binds_task: true, is_repeated, stored_by };
    state.late.add(name, start);
    state.placement.wake_at([until]);
}

/// Notes that the order to start a run, which got no answer, is sent again.
pub(super) fn note_repetition(state: &mut super::State, key: run::Key) {
    let Some(run) = state.runs.get(key) else { return };
    let starts = state.late.starts.get_mut(&run.name).into_iter().flatten();
    let of_run = starts.filter(|late| late.worker == run.worker && late.number == run.number);
    of_run.for_each(|late| late.is_repeated = true);
}

/// Orders to start that may be under way, or may still be carried out, and that no progress of a job has in the store.
pub(super) fn under_way(state: &mut super::State) -> Vec<store::Start> {
    let mut followed = std::mem::take(&mut state.late.followed);
    let (runs, late) = (&state.runs, &state.late);
    let is_open = |run: &Run| run.phase == Phase::Planned || (run.has_open_start && !late.has_noted(run));
    followed.retain(|key| runs.get(*key).is_some_and(is_open));
    let of_run = |run: &Run| {
        let worker_id = state.workers.all.get(run.worker)?.id.clone();
        Some(store::Start { task: run.name, worker_id, number: run.number })
    };
    let of_runs = followed.iter().filter_map(|key| of_run(runs.get(*key)?));
    let durable = state.journal.durable_sequence;
    let is_unstored = |late: &&Start| match late.stored_by {
        Record::Progress(change) => change > durable,
        Record::Tip => true,
    };
    let noted = late.starts.iter().flat_map(|(task, starts)| starts.iter().map(move |late| (*task, late)));
    let noted = noted
        .filter(|(_, late)| late.until > state.now && is_unstored(late))
        .map(|(task, late)| store::Start { task, worker_id: late.worker_id.clone(), number: late.number });
    let starts = of_runs.chain(noted).collect();
    state.late.followed = followed;
    starts
}

/// Notes the orders that may have been under way when the earlier leader ended.
pub(super) fn inherit(state: &mut super::State, mut starts: Vec<store::Start>) {
    // The newest order of a task decides on which worker it may start.
    starts.sort_by_key(|start| start.number);
    let until = state.earlier_orders_until;
    if !starts.is_empty() {
        state.placement.wake_at([until]);
    }
    for store::Start { task, worker_id, number } in starts {
        // No worker is offered for a task that waits for one that is not known.
        let worker = state.workers.by_id.get(&worker_id).copied().unwrap_or_default();
        let (binds_task, is_repeated, stored_by) = (true, false, Record::Tip);
        state.late.add(task, Start { worker, worker_id, number, until, binds_task, is_repeated, stored_by });
    }
}

/// Time until which an order of an earlier leader may be carried out, at the begin of a term. That leader may still send orders
/// until its proof ends.
pub(super) fn earlier_orders_until(state: &super::State, begun: Instant) -> Instant {
    let is_over = state.leadership.has_predecessor_ended;
    let last_sent = if is_over { begun } else { begun + worker::PROOF_MAX };
    last_sent + state.tuning.order_delay_max
}

/// Notes the orders that an earlier leader has stored with the progress of a job.
pub(super) fn restore(state: &mut super::State, job: Id, progress: &[TaskProgress]) {
    let until = state.earlier_orders_until;
    for TaskProgress { occurrence, step, index, late_on, .. } in progress {
        let task = Name { job, occurrence: *occurrence, step: *step, index: *index };
        for worker_id in late_on {
            let worker = state.workers.by_id.get(worker_id).copied();
            let (binds_task, worker) = (worker.is_some(), worker.unwrap_or_default());
            let worker_id = worker_id.clone();
            let (is_repeated, stored_by) = (true, Record::Progress(0));
            let start = Start { worker, worker_id, number: 0, until, binds_task, is_repeated, stored_by };
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
pub(super) fn settle(state: &mut super::State, worker: worker::Key, name: Name, number: u32) {
    let run = control::find_run(state, worker, name, number).and_then(|key| state.runs.get_mut(key));
    if let Some(run) = run {
        run.has_open_start &= run.is_resent;
    }
    state.late.retain(name, |late| late.worker != worker || late.number != number || late.is_repeated);
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
    let late = members.iter().flat_map(|member| state.late.of(*member)).map(|late| late.until);
    // The steps of an ended job that was loaded are not known, and so neither are the members of a gang.
    let of_job = job.phase.has_ended().then(|| latest_of_job(state, job.id));
    late.chain(of_job).chain([job.late_until]).max().filter(|until| *until > state.now)
}
