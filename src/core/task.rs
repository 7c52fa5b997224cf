//! Batch tasks and their life cycle.
//!
//! What the log says of a task ([`journal::TaskState`]) changes only when a record is committed. The [`Stage`] adds what
//! this process knows beyond the log and is rebuilt from the workers' replies.

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

new_key_type! {
    /// Key of a task in this process.
    pub struct Key;
}

/// Identity of a task over all processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id {
    /// The job.
    pub job: job::Id,
    /// Number of the task in its job, from 0.
    pub index: u32,
}

/// Why a task was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It failed in `retries` + 1 attempts.
    AlwaysFails,
    /// No worker of the cell can ever hold it.
    FitsNothing,
}

/// What this process knows of a task beyond the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Waits for a worker, or ended.
    Idle,
    /// Its `Assign` waits for the log; resources are reserved on the worker.
    Proposed(worker::Key),
    /// Assigned in the log; whether it runs is not known yet.
    Starting,
    /// The worker reports that it runs.
    Running,
    /// A stop was sent.
    Stopping,
    /// The worker reported the end, which waits for the log.
    Reported,
}

/// A batch task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Identity.
    pub id: Id,
    /// Its home.
    pub cell: cell::Key,
    /// Last attempt in the log; 0 when never assigned.
    pub attempt: u32,
    /// Failed attempts in the log.
    pub failures: u32,
    /// Where it stands in the log.
    pub standing: TaskState,
    /// What is known beyond the log.
    pub stage: Stage,
    /// When it was adopted here, for its deadline and its place in the queue.
    pub since: Instant,
}

impl Task {
    /// Its line in a snapshot; none while it waits for its first attempt.
    pub fn line(&self) -> Option<TaskSnapshot> {
        let is_new = self.attempt == 0 && self.standing == (TaskState::Queued { checkpoint: None });
        let Self { id, attempt, failures, standing, .. } = *self;
        (!is_new).then_some(TaskSnapshot { task: id, attempt, failures, state: standing })
    }

    /// Whether it will not run again.
    pub fn is_over(&self) -> bool {
        matches!(self.standing, TaskState::Finished | TaskState::Failed(_) | TaskState::Cancelled)
    }

    /// Whether the log assigns this attempt to `worker`.
    pub fn is_assigned_to(&self, worker: Option<worker::Id>, attempt: u32) -> bool {
        let TaskState::Assigned { worker: assigned, .. } = self.standing else { return false };
        Some(assigned) == worker && self.attempt == attempt
    }

    /// Instance of `worker` that the log assigns it to.
    pub fn assigned_instance(&self, worker: worker::Id) -> Option<u64> {
        match self.standing {
            TaskState::Assigned { worker: assigned, instance, .. } if assigned == worker => Some(instance),
            _ => None,
        }
    }

    /// Whether the log assigns it to this instance of `worker`.
    pub fn is_assigned_at(&self, worker: worker::Id, instance: u64) -> bool {
        self.assigned_instance(worker) == Some(instance)
    }

    /// Checkpoint to resume from.
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        match self.standing {
            TaskState::Queued { checkpoint } | TaskState::Assigned { checkpoint, .. } => checkpoint,
            _ => None,
        }
    }
}

/// Batch tasks of the cells this process acts for.
#[derive(Debug, Clone, Default)]
pub struct Table {
    arena: SlotMap<Key, Task>,
}

impl Table {
    /// Task behind `key`.
    pub fn get(&self, key: Key) -> Option<&Task> {
        self.arena.get(key)
    }

    /// Task behind `key`.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Task> {
        self.arena.get_mut(key)
    }

    /// All tasks.
    pub fn iter(&self) -> impl Iterator<Item = &Task> {
        self.arena.values()
    }

    pub(crate) fn remove(&mut self, key: Key) {
        self.arena.remove(key);
    }
}

/// Rank of a task in the queue: priority, then deadline, then age.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    priority: Reverse<u8>,
    deadline: Instant,
    since: Instant,
    id: Id,
}

/// Tasks that wait for a worker, in order.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    order: BTreeSet<(Rank, Key)>,
}

impl Queue {
    /// Tasks in order.
    pub fn iter(&self) -> impl Iterator<Item = Key> {
        self.order.iter().map(|(_, key)| *key)
    }

    /// Number of tasks.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}

fn rank(task: &Task, job: &Job) -> Rank {
    // A job without a deadline comes after those with one of the same priority.
    let deadline = job.deadline.map_or(Instant(u64::MAX), |deadline| task.since + deadline);
    Rank { priority: Reverse(job.priority), deadline, since: task.since, id: task.id }
}

/// Indices of the tasks of `job` that have their home in `cell`.
pub fn home_indices(job: &Job, cell: cell::Id) -> impl Iterator<Item = u32> + use<> {
    let period = job.homes.len() as u32;
    let tasks = job.tasks;
    let offsets: Vec<u32> = (0..period).filter(|at| job.homes[*at as usize] == cell).collect();
    offsets.into_iter().flat_map(move |offset| (offset..tasks).step_by(period.max(1) as usize))
}

/// Puts a task into the queue of its cell, if its job is still declared.
fn enqueue(state: &mut State, key: Key) {
    let plan = state.config.plan.clone();
    let Some(task) = state.tasks.get(key) else { return };
    let Some((_, job)) = plan.job(task.id.job) else { return };
    let (rank, cell) = (rank(task, job), task.cell);
    if let Some(cell) = state.cells.get_mut(cell) {
        cell.queue.order.insert((rank, key));
    }
    place::schedule(state, cell);
}

/// Takes a task out of the queue of its cell.
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

/// Adopts the tasks of a job that have their home in a cell.
pub(crate) fn adopt(state: &mut State, cell: cell::Key, adoption: Adoption) {
    let Some(home) = state.cells.get_mut(cell) else { return };
    let Adoption { job, count, version, cancelled } = adoption;
    let is_closed = count == 0 || cancelled;
    let adopted = Adopted { count, open: count, version, cancelled, expanded: is_closed };
    home.jobs.entry(job).or_insert(adopted);
    expand(state, cell, job);
}

/// Adds the tasks of adopted jobs that the configuration did not yet describe.
pub(crate) fn expand_jobs(state: &mut State, cell: cell::Key) {
    let Some(home) = state.cells.get(cell) else { return };
    let mut waiting: Vec<job::Id> =
        home.jobs.iter().filter(|(_, adopted)| !adopted.expanded).map(|(job, _)| *job).collect();
    waiting.sort_unstable();
    for job in waiting {
        expand(state, cell, job);
    }
}

fn expand(state: &mut State, cell: cell::Key, job: job::Id) {
    let plan = state.config.plan.clone();
    let now = state.now;
    let Some((_, declared)) = plan.job(job) else { return };
    let Some(home) = state.cells.get_mut(cell) else { return };
    let Some(adopted) = home.jobs.get_mut(&job).filter(|adopted| !adopted.expanded) else { return };
    adopted.expanded = true;
    let indices = home_indices(declared, home.id).map(|index| Id { job, index });
    let missing: Vec<Id> = indices.filter(|id| !home.tasks.contains_key(id)).collect();
    for id in missing {
        let key = insert(state, cell, id, now);
        enqueue(state, key);
    }
}

fn insert(state: &mut State, cell: cell::Key, id: Id, since: Instant) -> Key {
    let key = state.tasks.arena.insert(Task {
        id,
        cell,
        attempt: 0,
        failures: 0,
        standing: TaskState::Queued { checkpoint: None },
        stage: Stage::Idle,
        since,
    });
    if let Some(cell) = state.cells.get_mut(cell) {
        cell.tasks.insert(id, key);
    }
    key
}

/// Takes over a line of a snapshot.
pub(crate) fn restore(state: &mut State, cell: cell::Key, line: &TaskSnapshot) {
    let key = find_or_insert(state, cell, line.task);
    dequeue(state, key);
    let Some(task) = state.tasks.get_mut(key) else { return };
    task.attempt = line.attempt;
    task.failures = line.failures;
    task.standing = line.state;
    match line.state {
        TaskState::Queued { .. } => enqueue(state, key),
        TaskState::Assigned { worker, instance, .. } => {
            task.stage = Stage::Starting;
            reserve(state, key, worker, instance);
        }
        TaskState::Finished | TaskState::Failed(_) | TaskState::Cancelled => {
            ended(state, cell, line.task.job)
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

/// Counts the task's resources on the worker that the log names, until the worker is known not to have it.
fn reserve(state: &mut State, key: Key, worker: worker::Id, instance: u64) {
    let Some(task) = state.tasks.get(key) else { return };
    let plan = state.config.plan.clone();
    let size = plan.job(task.id.job).map(|(_, job)| job.size).unwrap_or_default();
    let (work, attempt) = (Work::Batch(task.id), task.attempt);
    let Some(cell) = state.cells.get(task.cell).map(|cell| cell.id) else { return };
    worker::reserve_from_log(state, cell, (worker, instance), work, worker::Reservation::new(size, attempt));
}

/// Applies a record that is in the log.
pub(crate) fn committed(state: &mut State, cell: cell::Key, fact: Record, out: &mut Vec<Effect>) {
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
            assigned(state, cell, task, attempt, TaskState::Assigned { worker, instance, checkpoint }, out);
        }
        Record::Done { task, attempt, outcome } => done(state, cell, task, attempt, outcome, out),
        Record::Release { task, attempt, checkpoint } => {
            released(state, cell, task, attempt, checkpoint, out);
        }
        Record::Cancel { job } => cancelled(state, cell, job, out),
        Record::Failed { task, reason } => failed(state, cell, task, reason, out),
    }
}

fn assigned(
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
    let Some(task) = state.tasks.get_mut(key) else { return };
    let was_proposed = matches!(task.stage, Stage::Proposed(_));
    task.attempt = attempt;
    task.standing = standing;
    task.stage = Stage::Starting;
    let is_reserved = worker::is_reserved(state, worker, instance, Work::Batch(id));
    if was_proposed && (!is_reserved || is_cancelled(state, cell, id.job)) {
        // No start was sent, so the task surely does not run.
        reported(state, cell, id, attempt, Outcome::Refused);
    } else if was_proposed {
        let reason = format!("attempt {attempt} on worker {:x}, checkpoint {checkpoint:?}", worker.0);
        record(out, Subject::Task(id), "assign", reason);
        send_start(state, key);
    } else {
        reserve(state, key, worker, instance);
    }
}

/// Sends the start of an assigned task to its worker.
pub(crate) fn send_start(state: &mut State, key: Key) {
    let plan = state.config.plan.clone();
    let Some(task) = state.tasks.get(key) else { return };
    let TaskState::Assigned { worker, checkpoint, .. } = task.standing else { return };
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

fn done(state: &mut State, cell: cell::Key, id: Id, attempt: u32, outcome: Outcome, out: &mut Vec<Effect>) {
    let key = find_or_insert(state, cell, id);
    leave_worker(state, key);
    let Some(task) = state.tasks.get_mut(key) else { return };
    task.attempt = task.attempt.max(attempt);
    task.stage = Stage::Idle;
    if outcome == Outcome::Finished {
        task.standing = TaskState::Finished;
        record(out, Subject::Task(id), "finish", format!("attempt {attempt}"));
        return ended(state, cell, id.job);
    }
    task.failures += 1;
    let failures = task.failures;
    task.standing = TaskState::Queued { checkpoint: task.checkpoint() };
    record(out, Subject::Task(id), "fail-attempt", format!("attempt {attempt}, failure {failures}"));
    let retries = state.config.plan.job(id.job).map_or(0, |(_, job)| job.retries);
    let is_owner = state.cells.get(cell).is_some_and(|cell| cell.role == cell::Role::Owner);
    match (failures > retries, is_owner) {
        (true, true) => journal::push(state, cell, Record::Failed { task: id, reason: Reason::AlwaysFails }),
        _ => requeue(state, cell, key),
    }
}

fn released(
    state: &mut State,
    cell: cell::Key,
    id: Id,
    attempt: u32,
    checkpoint: Option<Checkpoint>,
    out: &mut Vec<Effect>,
) {
    let key = find_or_insert(state, cell, id);
    leave_worker(state, key);
    let Some(task) = state.tasks.get_mut(key) else { return };
    task.attempt = task.attempt.max(attempt);
    task.stage = Stage::Idle;
    task.standing = TaskState::Queued { checkpoint };
    record(out, Subject::Task(id), "release", format!("attempt {attempt}, checkpoint {checkpoint:?}"));
    requeue(state, cell, key);
}

fn is_cancelled(state: &State, cell: cell::Key, job: job::Id) -> bool {
    state.cells.get(cell).and_then(|cell| cell.jobs.get(&job)).is_some_and(|job| job.cancelled)
}

/// Queues a task again, or ends it if its job was cancelled.
fn requeue(state: &mut State, cell: cell::Key, key: Key) {
    let Some(task) = state.tasks.get(key) else { return };
    let job = task.id.job;
    if is_cancelled(state, cell, job) {
        let Some(task) = state.tasks.get_mut(key) else { return };
        task.standing = TaskState::Cancelled;
        return ended(state, cell, job);
    }
    enqueue(state, key);
}

fn failed(state: &mut State, cell: cell::Key, id: Id, reason: Reason, out: &mut Vec<Effect>) {
    let key = find_or_insert(state, cell, id);
    dequeue(state, key);
    let Some(task) = state.tasks.get_mut(key) else { return };
    task.standing = TaskState::Failed(reason);
    task.stage = Stage::Idle;
    record(out, Subject::Task(id), "give-up", format!("{reason:?} after {} failure(s)", task.failures));
    ended(state, cell, id.job);
}

fn cancelled(state: &mut State, cell: cell::Key, job: job::Id, out: &mut Vec<Effect>) {
    let Some(home) = state.cells.get_mut(cell) else { return };
    let Some(adopted) = home.jobs.get_mut(&job) else { return };
    adopted.cancelled = true;
    adopted.expanded = true;
    record(out, Subject::Cell(home.id), "cancel", format!("job {:x}, {} open task(s)", job.0, adopted.open));
    let keys: Vec<Key> = home.tasks.iter().filter(|(id, _)| id.job == job).map(|(_, key)| *key).collect();
    home.queue.order.retain(|(rank, _)| rank.id.job != job);
    for key in keys {
        cancel_one(state, cell, key);
    }
}

fn cancel_one(state: &mut State, cell: cell::Key, key: Key) {
    let Some(task) = state.tasks.get_mut(key) else { return };
    let (id, attempt) = (task.id, task.attempt);
    match (task.standing, task.stage) {
        // The `Assign` in flight decides; the task is stopped once it is committed or never starts.
        (TaskState::Queued { .. }, Stage::Proposed(_)) => {}
        (TaskState::Queued { .. }, _) => {
            task.standing = TaskState::Cancelled;
            ended(state, cell, id.job);
        }
        (TaskState::Assigned { worker, .. }, stage) if stage != Stage::Reported => {
            task.stage = Stage::Stopping;
            let stop = Command::Stop { work: Work::Batch(id), attempt, checkpoint: false };
            worker::queue_command(state, worker, stop);
        }
        _ => {}
    }
}

/// Frees the resources the task holds on the worker that the log names, and lets the worker forget the result.
fn leave_worker(state: &mut State, key: Key) {
    let Some(task) = state.tasks.get(key) else { return };
    let TaskState::Assigned { worker, .. } = task.standing else { return };
    let (work, attempt, cell) = (Work::Batch(task.id), task.attempt, task.cell);
    worker::unreserve(state, worker, work);
    worker::acknowledge(state, worker, work, attempt);
    place::schedule(state, cell);
}

/// One task of a job ended; when it was the last one and all finished, the job needs no lines any more.
fn ended(state: &mut State, cell: cell::Key, job: job::Id) {
    let Some(home) = state.cells.get_mut(cell) else { return };
    let Some(adopted) = home.jobs.get_mut(&job) else { return };
    adopted.open = adopted.open.saturating_sub(1);
    if adopted.open > 0 || adopted.count == 0 {
        return;
    }
    let keys: Vec<(Id, Key)> =
        home.tasks.iter().filter(|(id, _)| id.job == job).map(|(id, key)| (*id, *key)).collect();
    let tasks = &state.tasks;
    if keys.iter().any(|(_, key)| tasks.get(*key).is_some_and(|task| task.standing != TaskState::Finished)) {
        return;
    }
    adopted.count = 0;
    for (id, key) in keys {
        home.tasks.remove(&id);
        state.tasks.arena.remove(key);
    }
}

/// A worker reported how an attempt ended; the report waits for the log.
pub(crate) fn reported(state: &mut State, cell: cell::Key, id: Id, attempt: u32, outcome: Outcome) {
    let Some(key) = state.cells.get(cell).and_then(|cell| cell.tasks.get(&id)).copied() else { return };
    let Some(task) = state.tasks.get_mut(key) else { return };
    if task.attempt != attempt || task.stage == Stage::Reported {
        return;
    }
    let TaskState::Assigned { checkpoint, .. } = task.standing else { return };
    task.stage = Stage::Reported;
    let record = match outcome {
        Outcome::Finished | Outcome::Failed => Record::Done { task: id, attempt, outcome },
        Outcome::Stopped(taken) => Record::Release { task: id, attempt, checkpoint: taken.or(checkpoint) },
        Outcome::Refused => Record::Release { task: id, attempt, checkpoint },
    };
    journal::push(state, cell, record);
}

/// A worker confirmed that it does not have the task, or surely lost it.
pub(crate) fn lost(state: &mut State, cell: cell::Key, id: Id, attempt: u32) {
    reported(state, cell, id, attempt, Outcome::Stopped(None));
}
