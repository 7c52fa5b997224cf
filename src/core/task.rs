//! Batch tasks and their life cycle.
//!
//! The committed state of a task ([`journal::TaskState`]) changes only when a record is committed to the log of its
//! cell. The [`Stage`] holds what this process knows beyond the log. It is not stored; a new owner rebuilds it from the
//! workers' replies.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use slotmap::{SlotMap, new_key_type};

use super::cell::{self, Adopted};
use super::control::{Checkpoint, Command, Outcome, Start, Work};
use super::effect::Effect;
use super::journal::{self, Adoption, Record, TaskSnapshot, TaskState};
use super::state::{State, record};
use super::time::Instant;
use super::trace::Subject;
use super::{place, worker};
use crate::declare::job::{self, Job};
use crate::declare::size::Size;

new_key_type! {
    /// Key of a task, valid in this process only.
    pub struct Key;
}

/// Identity of a task, the same in all processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id {
    /// Job of the task.
    pub job: job::Id,
    /// Number of the task in its job, counted from 0.
    pub index: u32,
}

/// Why a task failed for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// More attempts failed than the job has `retries`.
    AlwaysFails,
    /// It exceeds the worker size of all pools that its job may use in the zone.
    FitsNothing,
}

/// State of a task that this process knows beyond the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a worker, or it ended.
    Idle,
    /// Its `Assign` record is not committed yet; resources are reserved on the worker.
    Proposed(worker::Key),
    /// Its assignment is committed; the worker has not reported that it runs.
    Starting,
    /// The worker reports that it runs.
    Running,
    /// A stop command is queued or sent.
    Stopping,
    /// The record of its outcome is not committed yet.
    Reported,
}

/// A batch task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Identity, the same in all processes.
    pub id: Id,
    /// Cell that owns it.
    pub cell: cell::Key,
    /// Number of the last committed attempt; 0 before the first assignment.
    pub attempt: u32,
    /// Number of committed failed attempts.
    pub failures: u32,
    /// State after the last committed record.
    pub committed_state: TaskState,
    /// State beyond the log.
    pub stage: Stage,
    /// When this process added it; determines its deadline and its place in the queue.
    pub adopted_at: Instant,
}

impl Task {
    /// Entry of the task in a snapshot; `None` before its first attempt, since the adopted job implies it.
    pub fn snapshot(&self) -> Option<TaskSnapshot> {
        let is_new = self.attempt == 0 && self.committed_state == (TaskState::Queued { checkpoint: None });
        let Self { id, attempt, failures, committed_state, .. } = *self;
        (!is_new).then_some(TaskSnapshot { task: id, attempt, failures, state: committed_state })
    }

    /// Whether it finished, failed for good or was cancelled, and does not run again.
    pub fn is_ended(&self) -> bool {
        matches!(self.committed_state, TaskState::Finished | TaskState::Failed(_) | TaskState::Cancelled)
    }

    /// Whether the committed state assigns this attempt to `worker`.
    pub fn is_assigned_to(&self, worker: Option<worker::Id>, attempt: u32) -> bool {
        let TaskState::Assigned { worker: assigned, .. } = self.committed_state else { return false };
        Some(assigned) == worker && self.attempt == attempt
    }

    /// Instance of `worker` that the committed state assigns it to; `None` if it is not assigned to `worker`.
    pub fn assigned_instance(&self, worker: worker::Id) -> Option<u64> {
        match self.committed_state {
            TaskState::Assigned { worker: assigned, instance, .. } if assigned == worker => Some(instance),
            _ => None,
        }
    }

    /// Whether the committed state assigns it to this instance of `worker`.
    pub fn is_assigned_to_instance(&self, worker: worker::Id, instance: u64) -> bool {
        self.assigned_instance(worker) == Some(instance)
    }

    /// Checkpoint that the next attempt resumes from; `None` if the attempt starts anew or the task ended.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        match self.committed_state {
            TaskState::Queued { checkpoint } | TaskState::Assigned { checkpoint, .. } => checkpoint,
            _ => None,
        }
    }
}

/// Batch tasks of the cells that this process acts for.
#[derive(Debug, Clone, Default)]
pub struct Table {
    arena: SlotMap<Key, Task>,
}

impl Table {
    /// The task with this key.
    pub fn get(&self, key: Key) -> Option<&Task> {
        self.arena.get(key)
    }

    /// The task with this key, for changes.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Task> {
        self.arena.get_mut(key)
    }

    /// Iterates over all tasks, in no defined order.
    pub fn iter(&self) -> impl Iterator<Item = &Task> {
        self.arena.values()
    }

    pub(crate) fn remove(&mut self, key: Key) {
        self.arena.remove(key);
    }
}

/// Sort key of a task in the queue: higher priority first, then earlier deadline, then age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: Reverse<u8>,
    deadline: Instant,
    adopted_at: Instant,
    id: Id,
}

/// Queued tasks of a cell in order of [`Rank`].
#[derive(Debug, Clone, Default)]
pub struct Queue {
    order: BTreeSet<(Rank, Key)>,
}

impl Queue {
    /// Iterates over the tasks in order.
    pub fn iter(&self) -> impl Iterator<Item = Key> {
        self.order.iter().map(|(_, key)| *key)
    }

    /// Number of queued tasks.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no task is queued.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

fn rank(task: &Task, job: &Job) -> Rank {
    // Within a priority, jobs without a deadline come last.
    let deadline = job.deadline.map_or(Instant(u64::MAX), |deadline| task.adopted_at + deadline);
    Rank { priority: Reverse(job.priority), deadline, adopted_at: task.adopted_at, id: task.id }
}

/// Indices of the tasks of `job` whose home is `cell`; the homes of a job repeat over its task indices.
pub fn home_indices(job: &Job, cell: cell::Id) -> impl Iterator<Item = u32> + use<> {
    let period = job.homes.len() as u32;
    let tasks = job.tasks;
    let offsets: Vec<u32> = (0..period).filter(|at| job.homes[*at as usize] == cell).collect();
    offsets.into_iter().flat_map(move |offset| (offset..tasks).step_by(period.max(1) as usize))
}

/// Orders the queue of a cell by the ranks of a changed plan, under which [`dequeue`] looks for a task.
///
/// A task that stays in the queue under a former rank would be assigned again while it runs.
pub(crate) fn reorder_queue(state: &mut State, cell: cell::Key) {
    let plan = state.config.plan.clone();
    let tasks = &state.tasks;
    let Some(cell) = state.cells.get_mut(cell) else { return };
    let current_rank = |(former, key): (Rank, Key)| {
        let task = tasks.get(key)?;
        let rank = plan.job(task.id.job).map_or(former, |(_, job)| rank(task, job));
        Some((rank, key))
    };
    cell.queue.order = std::mem::take(&mut cell.queue.order).into_iter().filter_map(current_rank).collect();
}

/// Whether a task that a worker reports belongs to another cell: the plan has its home there, or lacks its job while the
/// log of this cell does not name the task either. Only the owner knows the whole log.
pub(crate) fn is_foreign(state: &State, cell: cell::Key, id: Id) -> bool {
    let Some(home) = state.cells.get(cell) else { return true };
    if home.tasks.contains_key(&id) {
        return false;
    }
    match state.config.plan.job(id.job) {
        Some((_, job)) => job.homes.get(id.index as usize % job.homes.len().max(1)) != Some(&home.id),
        None => home.role == cell::Role::Owner,
    }
}

/// Adds a task to the queue of its cell, if its job is declared.
fn enqueue(state: &mut State, key: Key) {
    let plan = state.config.plan.clone();
    let Some(task) = state.tasks.get(key) else { return };
    let Some((_, job)) = plan.job(task.id.job) else { return };
    let (rank, cell) = (rank(task, job), task.cell);
    if let Some(cell) = state.cells.get_mut(cell) {
        cell.queue.order.insert((rank, key));
    }
    place::schedule_pass(state, cell);
}

/// Removes a task from the queue of its cell.
pub(crate) fn dequeue(state: &mut State, key: Key) {
    let plan = state.config.plan.clone();
    let Some(task) = state.tasks.get(key) else { return };
    let job = plan.job(task.id.job).map(|(_, job)| job);
    let Some(cell) = state.cells.get_mut(task.cell) else { return };
    match job {
        Some(job) => {
            cell.queue.order.remove(&(rank(task, job), key));
        }
        None => cell.queue.order.retain(|(_, queued)| *queued != key),
    }
}

/// Adopts a job in a cell and adds its tasks whose home is that cell.
pub(crate) fn adopt(state: &mut State, cell: cell::Key, adoption: Adoption) {
    let Some(home) = state.cells.get_mut(cell) else { return };
    let Adoption { job, count, version, cancelled } = adoption;
    let is_closed = count == 0 || cancelled;
    let adopted = Adopted { count, open: count, version, cancelled, expanded: is_closed };
    home.jobs.entry(job).or_insert(adopted);
    add_missing_tasks(state, cell, job);
}

/// Adds the tasks of jobs that were adopted before this process had a configuration that declares them, and completes
/// those that the log named.
pub(crate) fn add_missing_tasks_of_all_jobs(state: &mut State, cell: cell::Key) {
    let Some(home) = state.cells.get(cell) else { return };
    let mut waiting: Vec<job::Id> =
        home.jobs.iter().filter(|(_, adopted)| !adopted.expanded).map(|(job, _)| *job).collect();
    waiting.sort_unstable();
    for job in waiting {
        add_missing_tasks(state, cell, job);
    }
}

fn add_missing_tasks(state: &mut State, cell: cell::Key, job: job::Id) {
    let plan = state.config.plan.clone();
    let now = state.now;
    let Some((_, declared)) = plan.job(job) else { return };
    let Some(home) = state.cells.get_mut(cell) else { return };
    let Some(adopted) = home.jobs.get_mut(&job).filter(|adopted| !adopted.expanded) else { return };
    adopted.expanded = true;
    let indices = home_indices(declared, home.id).map(|index| Id { job, index });
    let (known, missing): (Vec<Id>, Vec<Id>) = indices.partition(|id| home.tasks.contains_key(id));
    for id in missing {
        let key = insert(state, cell, id, now);
        enqueue(state, key);
    }
    for id in known {
        complete_loaded(state, cell, id, declared.size);
    }
}

/// Queues a waiting task that the log named before the plan did, or sets the size of its reservation. Neither is known
/// without the declaration of its job.
fn complete_loaded(state: &mut State, cell: cell::Key, id: Id, size: Size) {
    let Some(key) = state.cells.get(cell).and_then(|home| home.tasks.get(&id)).copied() else { return };
    let Some(task) = state.tasks.get(key) else { return };
    match (task.committed_state, task.stage) {
        (TaskState::Queued { .. }, Stage::Idle) => requeue(state, cell, key),
        (TaskState::Assigned { worker, .. }, _) => worker::resize(state, worker, Work::Batch(id), size),
        _ => {}
    }
}

fn insert(state: &mut State, cell: cell::Key, id: Id, adopted_at: Instant) -> Key {
    let key = state.tasks.arena.insert(Task {
        id,
        cell,
        attempt: 0,
        failures: 0,
        committed_state: TaskState::Queued { checkpoint: None },
        stage: Stage::Idle,
        adopted_at,
    });
    if let Some(cell) = state.cells.get_mut(cell) {
        cell.tasks.insert(id, key);
    }
    key
}

/// Restores a task from its entry in a snapshot.
pub(crate) fn restore(state: &mut State, cell: cell::Key, line: &TaskSnapshot) {
    let key = find_or_insert(state, cell, line.task);
    dequeue(state, key);
    let is_cancelled = is_cancelled(state, cell, line.task.job);
    let Some(task) = state.tasks.get_mut(key) else { return };
    task.attempt = line.attempt;
    task.failures = line.failures;
    task.committed_state = line.state;
    match line.state {
        TaskState::Queued { .. } => requeue(state, cell, key),
        TaskState::Assigned { worker, instance, .. } => {
            task.stage = stage_of_assigned(is_cancelled);
            reserve(state, key, worker, instance);
        }
        TaskState::Finished | TaskState::Failed(_) | TaskState::Cancelled => {
            count_ended_task(state, cell, line.task.job)
        }
    }
}

fn find_or_insert(state: &mut State, cell: cell::Key, id: Id) -> Key {
    let now = state.now;
    match state.cells.get(cell).and_then(|cell| cell.tasks.get(&id)) {
        Some(key) => *key,
        None => insert(state, cell, id, now),
    }
}

/// Reserves the task's resources on the worker of its committed assignment, until the worker is known not to have it.
fn reserve(state: &mut State, key: Key, worker: worker::Id, instance: u64) {
    let Some(task) = state.tasks.get(key) else { return };
    let plan = state.config.plan.clone();
    let size = plan.job(task.id.job).map(|(_, job)| job.size).unwrap_or_default();
    let (work, attempt) = (Work::Batch(task.id), task.attempt);
    let Some(cell) = state.cells.get(task.cell).map(|cell| cell.id) else { return };
    worker::reserve_from_log(state, cell, (worker, instance), work, worker::Reservation::new(size, attempt));
}

/// Applies a committed record.
pub(crate) fn apply_record(state: &mut State, cell: cell::Key, fact: Record, out: &mut Vec<Effect>) {
    match fact {
        Record::Takeover { epoch, .. } => {
            if let Some(home) = state.cells.get_mut(cell) {
                home.epoch = epoch;
            }
        }
        Record::Adopt { job, count, version } => {
            adopt(state, cell, Adoption { job, count, version, cancelled: false });
            if let Some(home) = state.cells.get(cell) {
                record(out, Subject::Cell(home.id), "adopt", format!("{count} task(s) of job {:x}", job.0));
            }
        }
        Record::Assign { task, attempt, worker, instance, checkpoint } => {
            apply_assign(
                state,
                cell,
                task,
                attempt,
                TaskState::Assigned { worker, instance, checkpoint },
                out,
            );
        }
        Record::Done { task, attempt, outcome } => apply_done(state, cell, task, attempt, outcome, out),
        Record::Release { task, attempt, checkpoint } => {
            apply_release(state, cell, task, attempt, checkpoint, out);
        }
        Record::Cancel { job } => apply_cancel(state, cell, job, out),
        Record::Failed { task, reason } => apply_failed(state, cell, task, reason, out),
    }
}

fn apply_assign(
    state: &mut State,
    cell: cell::Key,
    id: Id,
    attempt: u32,
    standing: TaskState,
    out: &mut Vec<Effect>,
) {
    let TaskState::Assigned { worker, instance, checkpoint } = standing else { return };
    let key = find_or_insert(state, cell, id);
    dequeue(state, key);
    let is_cancelled = is_cancelled(state, cell, id.job);
    let Some(task) = state.tasks.get_mut(key) else { return };
    let was_proposed = matches!(task.stage, Stage::Proposed(_));
    task.attempt = attempt;
    task.committed_state = standing;
    task.stage = stage_of_assigned(is_cancelled);
    let is_reserved = worker::is_reserved(state, worker, instance, Work::Batch(id));
    if was_proposed && (!is_reserved || is_cancelled) {
        // No start command was sent, so the task does not run.
        propose_outcome(state, cell, id, attempt, Outcome::Refused);
    } else if was_proposed {
        let reason = format!("attempt {attempt} on worker {:x}, checkpoint {checkpoint:?}", worker.0);
        record(out, Subject::Task(id), "assign", reason);
        send_start(state, key);
    } else {
        reserve(state, key, worker, instance);
    }
}

/// Stage of a task that the log assigns to a worker which has not reported it to this process. The task of a cancelled
/// job must not start, and is stopped if it runs.
fn stage_of_assigned(is_cancelled: bool) -> Stage {
    if is_cancelled { Stage::Stopping } else { Stage::Starting }
}

/// Queues the start command of an assigned task for its worker.
pub(crate) fn send_start(state: &mut State, key: Key) {
    let plan = state.config.plan.clone();
    let Some(task) = state.tasks.get(key) else { return };
    let TaskState::Assigned { worker, checkpoint, .. } = task.committed_state else { return };
    let Some((_, job)) = plan.job(task.id.job) else { return };
    let start = Start {
        work: Work::Batch(task.id),
        attempt: task.attempt,
        size: job.size,
        checkpoint,
        name: job.name.clone(),
        kind: job.kind.clone(),
        run_time_ms: job.run_time.as_millis() as u64,
        concurrency: 0,
    };
    worker::queue_command(state, worker, Command::Start(start));
}

/// Queues the stop command of an assigned task for its worker, with a checkpoint if its job is checkpointable and not
/// cancelled.
pub(crate) fn send_stop(state: &mut State, key: Key) {
    let plan = state.config.plan.clone();
    let Some(task) = state.tasks.get(key) else { return };
    let TaskState::Assigned { worker, .. } = task.committed_state else { return };
    let is_checkpointable = plan.job(task.id.job).is_some_and(|(_, job)| job.is_checkpointable);
    let checkpoint = is_checkpointable && !is_cancelled(state, task.cell, task.id.job);
    let stop = Command::Stop { work: Work::Batch(task.id), attempt: task.attempt, checkpoint };
    worker::queue_command(state, worker, stop);
}

fn apply_done(
    state: &mut State,
    cell: cell::Key,
    id: Id,
    attempt: u32,
    outcome: Outcome,
    out: &mut Vec<Effect>,
) {
    let key = find_or_insert(state, cell, id);
    release_worker(state, key);
    let Some(task) = state.tasks.get_mut(key) else { return };
    task.attempt = task.attempt.max(attempt);
    task.stage = Stage::Idle;
    if outcome == Outcome::Finished {
        task.committed_state = TaskState::Finished;
        record(out, Subject::Task(id), "finish", format!("attempt {attempt}"));
        return count_ended_task(state, cell, id.job);
    }
    task.failures += 1;
    let failures = task.failures;
    task.committed_state = TaskState::Queued { checkpoint: task.checkpoint() };
    record(out, Subject::Task(id), "fail-attempt", format!("attempt {attempt}, failure {failures}"));
    requeue(state, cell, key);
}

fn apply_release(
    state: &mut State,
    cell: cell::Key,
    id: Id,
    attempt: u32,
    checkpoint: Option<Checkpoint>,
    out: &mut Vec<Effect>,
) {
    let key = find_or_insert(state, cell, id);
    release_worker(state, key);
    let Some(task) = state.tasks.get_mut(key) else { return };
    task.attempt = task.attempt.max(attempt);
    task.stage = Stage::Idle;
    task.committed_state = TaskState::Queued { checkpoint };
    record(out, Subject::Task(id), "release", format!("attempt {attempt}, checkpoint {checkpoint:?}"));
    requeue(state, cell, key);
}

fn is_cancelled(state: &State, cell: cell::Key, job: job::Id) -> bool {
    state.cells.get(cell).and_then(|cell| cell.jobs.get(&job)).is_some_and(|job| job.cancelled)
}

/// Queues a task again, cancels it if its job is cancelled, or proposes its end if no attempt is left.
fn requeue(state: &mut State, cell: cell::Key, key: Key) {
    let Some(task) = state.tasks.get(key) else { return };
    let id = task.id;
    if is_cancelled(state, cell, id.job) {
        let Some(task) = state.tasks.get_mut(key) else { return };
        task.committed_state = TaskState::Cancelled;
        return count_ended_task(state, cell, id.job);
    }
    let is_owner = state.cells.get(cell).is_some_and(|cell| cell.role == cell::Role::Owner);
    if is_owner && has_no_attempt_left(state, key) {
        return journal::push(state, cell, Record::Failed { task: id, reason: Reason::AlwaysFails });
    }
    enqueue(state, key);
}

/// Whether more attempts of a task failed than its job has retries. Unknown, and so false, while the plan lacks the job.
fn has_no_attempt_left(state: &State, key: Key) -> bool {
    let Some(task) = state.tasks.get(key) else { return false };
    state.config.plan.job(task.id.job).is_some_and(|(_, job)| task.failures > job.retries)
}

/// Proposes the end of the queued tasks without an attempt left, whose end a former owner did not get into the log.
pub(crate) fn end_exhausted(state: &mut State, cell: cell::Key) {
    let Some(home) = state.cells.get(cell) else { return };
    let exhausted: Vec<Key> = home.queue.iter().filter(|key| has_no_attempt_left(state, *key)).collect();
    for key in exhausted {
        dequeue(state, key);
        requeue(state, cell, key);
    }
}

fn apply_failed(state: &mut State, cell: cell::Key, id: Id, reason: Reason, out: &mut Vec<Effect>) {
    let key = find_or_insert(state, cell, id);
    dequeue(state, key);
    let Some(task) = state.tasks.get_mut(key) else { return };
    task.committed_state = TaskState::Failed(reason);
    task.stage = Stage::Idle;
    record(out, Subject::Task(id), "give-up", format!("{reason:?} after {} failure(s)", task.failures));
    count_ended_task(state, cell, id.job);
}

fn apply_cancel(state: &mut State, cell: cell::Key, job: job::Id, out: &mut Vec<Effect>) {
    let Some(home) = state.cells.get_mut(cell) else { return };
    let Some(adopted) = home.jobs.get_mut(&job) else { return };
    adopted.cancelled = true;
    adopted.expanded = true;
    record(out, Subject::Cell(home.id), "cancel", format!("job {:x}, {} open task(s)", job.0, adopted.open));
    let keys: Vec<Key> = home.tasks.iter().filter(|(id, _)| id.job == job).map(|(_, key)| *key).collect();
    home.queue.order.retain(|(rank, _)| rank.id.job != job);
    for key in keys {
        cancel_task(state, cell, key);
    }
}

fn cancel_task(state: &mut State, cell: cell::Key, key: Key) {
    let Some(task) = state.tasks.get_mut(key) else { return };
    let job = task.id.job;
    match (task.committed_state, task.stage) {
        // The `Assign` record is not committed yet. `apply_assign` releases the task without a start once it is.
        (TaskState::Queued { .. }, Stage::Proposed(_)) => {}
        (TaskState::Queued { .. }, _) => {
            task.committed_state = TaskState::Cancelled;
            count_ended_task(state, cell, job);
        }
        (TaskState::Assigned { .. }, stage) if stage != Stage::Reported => {
            task.stage = Stage::Stopping;
            send_stop(state, key);
        }
        _ => {}
    }
}

/// Frees the task's resources on the worker of its committed assignment and acknowledges the result to the worker.
fn release_worker(state: &mut State, key: Key) {
    let Some(task) = state.tasks.get(key) else { return };
    let TaskState::Assigned { worker, .. } = task.committed_state else { return };
    let (work, attempt, cell) = (Work::Batch(task.id), task.attempt, task.cell);
    worker::unreserve(state, worker, work);
    worker::acknowledge(state, worker, work, attempt);
    place::schedule_pass(state, cell);
}

/// Counts a task of a job as ended. Once all tasks of the job have finished, they are removed, so that snapshots no
/// longer contain them.
fn count_ended_task(state: &mut State, cell: cell::Key, job: job::Id) {
    let Some(home) = state.cells.get_mut(cell) else { return };
    let Some(adopted) = home.jobs.get_mut(&job) else { return };
    adopted.open = adopted.open.saturating_sub(1);
    if adopted.open > 0 || adopted.count == 0 {
        return;
    }
    let keys: Vec<(Id, Key)> =
        home.tasks.iter().filter(|(id, _)| id.job == job).map(|(id, key)| (*id, *key)).collect();
    let tasks = &state.tasks;
    if keys
        .iter()
        .any(|(_, key)| tasks.get(*key).is_some_and(|task| task.committed_state != TaskState::Finished))
    {
        return;
    }
    adopted.count = 0;
    // No tasks are added to a finished job when the plan names it later.
    adopted.expanded = true;
    for (id, key) in keys {
        home.tasks.remove(&id);
        state.tasks.arena.remove(key);
    }
}

/// Proposes the record of an attempt's outcome to the log.
///
/// Ignored if the attempt is not the current one or has a proposed outcome.
pub(crate) fn propose_outcome(state: &mut State, cell: cell::Key, id: Id, attempt: u32, outcome: Outcome) {
    let Some(key) = state.cells.get(cell).and_then(|cell| cell.tasks.get(&id)).copied() else { return };
    let Some(task) = state.tasks.get_mut(key) else { return };
    if task.attempt != attempt || task.stage == Stage::Reported {
        return;
    }
    let TaskState::Assigned { checkpoint, .. } = task.committed_state else { return };
    task.stage = Stage::Reported;
    let record = match outcome {
        Outcome::Finished | Outcome::Failed => Record::Done { task: id, attempt, outcome },
        Outcome::Stopped(taken) => Record::Release { task: id, attempt, checkpoint: taken.or(checkpoint) },
        Outcome::Refused => Record::Release { task: id, attempt, checkpoint },
    };
    journal::push(state, cell, record);
}

/// Proposes the release of an attempt that the worker no longer has, as its reply or its replacement shows.
pub(crate) fn propose_lost(state: &mut State, cell: cell::Key, id: Id, attempt: u32) {
    propose_outcome(state, cell, id, attempt, Outcome::Stopped(None));
}
