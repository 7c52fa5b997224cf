//! Log of a cell: the durable records of its batch tasks.
//!
//! The log is a sequence of segments in the store, kept in a ring of [`SLOTS`] values. A segment is written only if its
//! slot still has the revision that the writer knows. These conditional writes fence off a former owner: the slot of
//! its next position has another revision once its successor has appended there, so a late write fails.

use std::time::Duration;

use super::cell::{self, Role};
use super::control::{Checkpoint, Outcome};
use super::effect::Effect;
use super::state::{State, record};
use super::store::{self, Purpose, Reply, Request};
use super::time::Instant;
use super::timer::Timer;
use super::trace::Subject;
use super::{member, recovery, task, worker};
use crate::declare::job;
use crate::hash::Map;

/// Number of store values in the ring of a cell's log. A segment replaces one of an earlier pass over the ring only if
/// a snapshot includes that one.
pub const SLOTS: u64 = 256;

/// One record of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Record {
    /// A member became the owner of the cell.
    Takeover {
        /// New epoch.
        epoch: u64,
        /// New owner.
        member: member::Id,
    },
    /// The cell adopted its share of a job's tasks.
    Adopt {
        /// The job.
        job: job::Id,
        /// Number of the job's tasks that belong to this cell.
        count: u32,
        /// Version of the configuration that declared the job.
        version: u64,
    },
    /// A task is assigned to one instance of a worker and must not start anywhere else.
    Assign {
        /// The task.
        task: task::Id,
        /// Attempt number, from 1.
        attempt: u32,
        /// The worker.
        worker: worker::Id,
        /// Instance of the worker.
        instance: u64,
        /// Checkpoint to resume from; `None` to start from the beginning.
        checkpoint: Option<Checkpoint>,
    },
    /// An attempt finished or failed.
    Done {
        /// The task.
        task: task::Id,
        /// Attempt number.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
    },
    /// An attempt was stopped, and the task is queued again.
    Release {
        /// The task.
        task: task::Id,
        /// Attempt number.
        attempt: u32,
        /// Checkpoint to resume from; `None` to start from the beginning.
        checkpoint: Option<Checkpoint>,
    },
    /// A job was cancelled.
    Cancel {
        /// The job.
        job: job::Id,
    },
    /// A task failed permanently and gets no further attempt.
    Failed {
        /// The task.
        task: task::Id,
        /// Why the task failed.
        reason: task::Reason,
    },
}

/// A batch of records that one store write appends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Position in the log.
    pub position: u64,
    /// Random number of the write, by which the writer recognises its own segment after a lost reply.
    pub write_id: u64,
    /// Epoch of the writer.
    pub epoch: u64,
    /// Records, in order.
    pub records: Vec<Record>,
}

/// One task in a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskSnapshot {
    /// The task.
    pub task: task::Id,
    /// Number of the last attempt; 0 if the task was never assigned.
    pub attempt: u32,
    /// Number of failed attempts.
    pub failures: u32,
    /// State of the task.
    pub state: TaskState,
}

/// State of a task according to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// Waits for a worker.
    Queued {
        /// Checkpoint to resume from; `None` to start from the beginning.
        checkpoint: Option<Checkpoint>,
    },
    /// Assigned to a worker.
    Assigned {
        /// The worker.
        worker: worker::Id,
        /// Instance of the worker.
        instance: u64,
        /// Checkpoint that the attempt resumes from; `None` if it starts from the beginning.
        checkpoint: Option<Checkpoint>,
    },
    /// Finished successfully.
    Finished,
    /// Failed permanently.
    Failed(task::Reason),
    /// Cancelled.
    Cancelled,
}

/// A job in a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Adoption {
    /// The job.
    pub job: job::Id,
    /// Number of the job's tasks that belong to this cell; 0 once all of them finished, and the snapshot then omits
    /// them.
    pub count: u32,
    /// Version of the configuration that declared the job.
    pub version: u64,
    /// Whether the job was cancelled.
    pub cancelled: bool,
}

/// State of a cell's jobs and tasks at a position of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Position of the first segment that is not included.
    pub next: u64,
    /// Epoch of the last takeover record that is included.
    pub epoch: u64,
    /// Adopted jobs.
    pub jobs: Vec<Adoption>,
    /// Tasks of those jobs, without the ones that wait for their first attempt.
    pub tasks: Vec<TaskSnapshot>,
    /// Position of the last snapshot that was in the store when this one was taken.
    pub stored_position: u64,
}

/// Largest number of records in one segment, which keeps a segment far below the store's limit of 1 MB per value.
const MAX_SEGMENT_RECORDS: usize = 4000;

/// Next store call of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Read the slot, because its revision is unknown or not the expected one.
    Read,
    /// Replace the slot.
    Write,
}

/// An append with an unknown outcome.
#[derive(Debug, Clone)]
struct Append {
    segment: Segment,
    step: Step,
}

/// State of a cell's log in this process.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// Next position to read during recovery, or to append to.
    pub next: u64,
    /// Positions of the last snapshot in the store and of the one before it.
    pub snapshot_positions: (u64, u64),
    /// Known revisions by slot number; 0 for an absent value.
    revisions: Map<u64, u64>,
    pending: Vec<Record>,
    in_flight: Option<Append>,
    is_scheduled: bool,
    earliest_append: Instant,
    backoff: Duration,
}

impl Log {
    /// Whether no record waits for an append and no append is in flight.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    /// Stores the revision of the slot that holds `position`; 0 means that the slot is absent.
    pub(crate) fn set_revision(&mut self, position: u64, revision: u64) {
        self.revisions.insert(position % SLOTS, revision);
    }

    /// Whether the next segment would overwrite one that the last snapshot does not include.
    fn is_full(&self) -> bool {
        self.next >= self.snapshot_positions.0 + SLOTS
    }

    /// Number of records that wait for an append.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }
}

/// Queues a record for the next segment.
pub(crate) fn push(state: &mut State, key: cell::Key, record: Record) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    cell.log.pending.push(record);
    if cell.log.in_flight.is_none() {
        let at = cell.log.earliest_append.max(state.now);
        schedule(state, key, at);
    }
}

fn schedule(state: &mut State, key: cell::Key, at: Instant) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    if !cell.log.is_scheduled {
        cell.log.is_scheduled = true;
        state.timers.set(at, Timer::Append(key));
    }
}

/// Interval between appends of a cell. All cells of the deployment share the store's write budget, so it grows with
/// their number.
pub fn append_interval(state: &State) -> Duration {
    let share = f64::from(cell::total(state)) / f64::from(state.tuning.appends_per_second);
    state.tuning.append_interval_min.max(Duration::from_secs_f64(share))
}

/// Starts an append of the queued records, or retries the append in flight.
pub(crate) fn flush(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let interval = append_interval(state);
    let (now, write_id) = (state.now, state.next_random());
    let Some(cell) = state.cells.get_mut(key) else { return };
    let log = &mut cell.log;
    log.is_scheduled = false;
    if log.in_flight.is_none() {
        if log.pending.is_empty() {
            return;
        }
        if log.is_full() {
            write_snapshot_if_due(state, key, out);
            return schedule_retry(state, key);
        }
        let count = log.pending.len().min(MAX_SEGMENT_RECORDS);
        let records = log.pending.drain(..count).collect();
        let segment = Segment { position: log.next, write_id, epoch: cell.epoch, records };
        let is_known = log.revisions.contains_key(&(log.next % SLOTS));
        log.in_flight = Some(Append { segment, step: if is_known { Step::Write } else { Step::Read } });
        log.earliest_append = now + interval;
    }
    send(state, key, out);
}

fn send(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get(key) else { return };
    let Some(append) = &cell.log.in_flight else { return };
    let (id, position) = (cell.id, cell.log.next);
    let expect = cell.log.revisions.get(&(position % SLOTS)).copied();
    let request = match (append.step, expect) {
        (Step::Write, Some(expect)) => Request::Append { cell: id, expect, segment: append.segment.clone() },
        _ => Request::ReadSegment { cell: id, position },
    };
    if !state.store.is_pending(Purpose::Journal(key)) {
        store::call(state, Purpose::Journal(key), request, out);
    }
}

/// Continues the append in flight with the store's reply.
pub(crate) fn handle_reply(state: &mut State, key: cell::Key, reply: Reply, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    let (id, log) = (cell.id, &mut cell.log);
    let Some(append) = &mut log.in_flight else { return };
    let (position, write_id) = (append.segment.position, append.segment.write_id);
    match reply {
        Reply::Written { revision } => {
            log.set_revision(position, revision);
            commit(state, key, out);
        }
        Reply::Segment { revision, segment } if segment.write_id == write_id => {
            log.set_revision(position, revision);
            commit(state, key, out);
        }
        Reply::Segment { revision, segment } if segment.position < position => {
            append.step = Step::Write;
            write_if_changed(state, key, position, revision, out);
        }
        Reply::Segment { revision, segment } => {
            log.set_revision(position, revision);
            handle_foreign_segment(state, key, segment, out);
        }
        Reply::Missing => {
            append.step = Step::Write;
            write_if_changed(state, key, position, 0, out);
        }
        Reply::Conflict => {
            append.step = Step::Read;
            send(state, key, out);
        }
        Reply::Corrupt(reason) => {
            record(out, Subject::Cell(id), "corrupt-segment", reason);
            schedule_retry(state, key);
        }
        _ => schedule_retry(state, key),
    }
}

/// Writes with the revision that was read. A revision equal to the one that led to the conflict comes from a stale
/// read, so the append is then retried after a backoff.
fn write_if_changed(state: &mut State, key: cell::Key, position: u64, revision: u64, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    let known = cell.log.revisions.get(&(position % SLOTS)).copied();
    cell.log.set_revision(position, revision);
    if known == Some(revision) {
        return schedule_retry(state, key);
    }
    send(state, key, out);
}

/// Schedules a retry with jittered exponential backoff, so that a store outage causes no retry storm.
fn schedule_retry(state: &mut State, key: cell::Key) {
    let (shortest, longest) = state.tuning.store_backoff;
    let jitter = 0.5 + (state.next_random() % 1000) as f64 / 1000.0;
    let now = state.now;
    let Some(cell) = state.cells.get_mut(key) else { return };
    cell.log.backoff = (cell.log.backoff * 2).clamp(shortest, longest);
    let at = now + cell.log.backoff.mul_f64(jitter);
    schedule(state, key, at);
}

/// Applies the records of the append in flight, which is now in the log.
fn commit(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    let Some(append) = cell.log.in_flight.take() else { return };
    cell.log.next += 1;
    cell.log.backoff = Duration::ZERO;
    let at = cell.log.earliest_append;
    let takeover = append.segment.records.iter().find_map(|record| match record {
        Record::Takeover { epoch, .. } => Some(*epoch),
        _ => None,
    });
    for record in append.segment.records {
        task::apply_record(state, key, record, out);
    }
    // Only a committed append makes this process the owner. A takeover record that recovery reads can be an earlier one
    // of this process.
    if let Some(epoch) = takeover {
        recovery::complete_takeover(state, key, epoch, out);
    }
    let Some(cell) = state.cells.get(key) else { return };
    if cell.log.pending_len() > 0 {
        schedule(state, key, at.max(state.now));
    }
    write_snapshot_if_due(state, key, out);
}

/// Handles a segment of another writer at the position of the append in flight: an owner steps down, and a recovering
/// member reads on.
fn handle_foreign_segment(state: &mut State, key: cell::Key, segment: Segment, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    if cell.role == Role::Owner {
        let reason = format!("position {} was written under epoch {}", cell.log.next, segment.epoch);
        return cell::step_down(state, key, &reason, out);
    }
    cell.log.in_flight = None;
    recovery::handle_segment(state, key, segment, out);
}

fn write_snapshot_if_due(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let interval = state.tuning.segments_per_snapshot;
    let Some(cell) = state.cells.get(key).filter(|cell| cell.role == Role::Owner) else { return };
    let (id, next) = (cell.id, cell.log.next);
    let is_pending =
        state.store.is_pending_where(|purpose| matches!(purpose, Purpose::Snapshot(k, _) if *k == key));
    if next < cell.log.snapshot_positions.0 + interval || is_pending {
        return;
    }
    let request = Request::WriteSnapshot { cell: id, snapshot: build_snapshot(state, key) };
    store::call(state, Purpose::Snapshot(key, next), request, out);
}

/// Stores the positions of the last two snapshots after a successful write. A failed write is repeated after the next
/// append.
pub(crate) fn handle_snapshot_reply(state: &mut State, key: cell::Key, next: u64, reply: &Reply) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    if let Reply::Written { .. } = reply {
        cell.log.snapshot_positions = (next, cell.log.snapshot_positions.0);
    }
}

/// Snapshot of a cell up to the next position of its log.
pub fn build_snapshot(state: &State, key: cell::Key) -> Snapshot {
    let Some(cell) = state.cells.get(key) else { return Snapshot::default() };
    let adoption = |(job, adopted): (&job::Id, &cell::Adopted)| {
        let cell::Adopted { count, version, cancelled, .. } = *adopted;
        Adoption { job: *job, count, version, cancelled }
    };
    let mut jobs: Vec<Adoption> = cell.jobs.iter().map(adoption).collect();
    let mut tasks: Vec<TaskSnapshot> =
        cell.tasks.values().filter_map(|task| state.tasks.get(*task)?.snapshot()).collect();
    jobs.sort_unstable();
    tasks.sort_unstable_by_key(|task| task.task);
    Snapshot {
        next: cell.log.next,
        epoch: cell.epoch,
        jobs,
        tasks,
        stored_position: cell.log.snapshot_positions.0,
    }
}
