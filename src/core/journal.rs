//! Log of a cell: the durable records of its batch tasks.
//!
//! The log is one chain of segments in the store, kept in a ring of [`SLOTS`] values. A segment replaces its slot only if
//! the slot has the revision that the writer knows. That makes the chain the fence between two owners: a former owner,
//! however late, finds that the slot of its next position was changed by its successor.

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

/// Values that the log of a cell is kept in. A segment may replace one of an earlier lap only if a snapshot includes it.
pub const SLOTS: u64 = 256;

/// One durable fact.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Record {
    /// A member became the owner.
    Takeover {
        /// New epoch.
        epoch: u64,
        /// New owner.
        member: member::Id,
    },
    /// Tasks of a job were accepted by this cell.
    Adopt {
        /// The job.
        job: job::Id,
        /// Number of tasks with their home here.
        count: u32,
        /// Configuration version that declared it.
        version: u64,
    },
    /// A task may start on a worker, and nowhere else.
    Assign {
        /// The task.
        task: task::Id,
        /// Attempt, from 1.
        attempt: u32,
        /// The worker.
        worker: worker::Id,
        /// Instance of the worker.
        instance: u64,
        /// Checkpoint to resume from.
        checkpoint: Option<Checkpoint>,
    },
    /// An attempt ended for good or failed.
    Done {
        /// The task.
        task: task::Id,
        /// Attempt.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
    },
    /// An attempt was stopped; the task is queued again.
    Release {
        /// The task.
        task: task::Id,
        /// Attempt.
        attempt: u32,
        /// Checkpoint to resume from.
        checkpoint: Option<Checkpoint>,
    },
    /// A job was cancelled.
    Cancel {
        /// The job.
        job: job::Id,
    },
    /// A task is given up.
    Failed {
        /// The task.
        task: task::Id,
        /// Why.
        reason: task::Reason,
    },
}

/// A batch of records, appended at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Position in the log.
    pub position: u64,
    /// Random number of the write, to recognise it after a lost answer.
    pub write_id: u64,
    /// Epoch of the writer.
    pub epoch: u64,
    /// Records, in order.
    pub records: Vec<Record>,
}

/// State of one task in a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskSnapshot {
    /// The task.
    pub task: task::Id,
    /// Last attempt; 0 when never assigned.
    pub attempt: u32,
    /// Failed attempts so far.
    pub failures: u32,
    /// Where it stands.
    pub state: TaskState,
}

/// Where a task stands, as far as the log knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// Waits for a worker.
    Queued {
        /// Checkpoint to resume from.
        checkpoint: Option<Checkpoint>,
    },
    /// Assigned to a worker.
    Assigned {
        /// The worker.
        worker: worker::Id,
        /// Its instance.
        instance: u64,
        /// Checkpoint it started from.
        checkpoint: Option<Checkpoint>,
    },
    /// Finished with success.
    Finished,
    /// Given up.
    Failed(task::Reason),
    /// Cancelled.
    Cancelled,
}

/// A job in a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Adoption {
    /// The job.
    pub job: job::Id,
    /// Number of tasks with their home here; 0 once all of them finished, without lines.
    pub count: u32,
    /// Configuration version that declared it.
    pub version: u64,
    /// Whether it was cancelled.
    pub cancelled: bool,
}

/// All facts of a cell up to a position of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Position of the first segment that is not included.
    pub next: u64,
    /// Epoch of the last takeover included.
    pub epoch: u64,
    /// Adopted jobs.
    pub jobs: Vec<Adoption>,
    /// Tasks that are not simply queued for the first time.
    pub tasks: Vec<TaskSnapshot>,
    /// Position of the last snapshot that was in the store when this one was made.
    pub stored_position: u64,
}

/// Most records in one segment; keeps a segment far below the store's limit of 1 MB a value.
const MAX_SEGMENT_RECORDS: usize = 4000;

/// Step of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Reading the slot, whose revision is not known or not as expected.
    Read,
    /// Replacing the slot.
    Write,
}

/// An append whose outcome is not known yet.
#[derive(Debug, Clone)]
struct Append {
    segment: Segment,
    step: Step,
}

/// This process's end of the log.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// Next position.
    pub next: u64,
    /// Position of the last snapshot in the store, and of the one before.
    pub snapshot_positions: (u64, u64),
    /// Known revisions of slots; 0 for absent.
    revisions: Map<u64, u64>,
    pending: Vec<Record>,
    in_flight: Option<Append>,
    is_scheduled: bool,
    earliest_append: Instant,
    backoff: Duration,
}

impl Log {
    /// Whether no record waits and no append is in flight.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    /// Notes the revision of the slot of `position`.
    pub(crate) fn set_revision(&mut self, position: u64, revision: u64) {
        self.revisions.insert(position % SLOTS, revision);
    }

    /// Whether the next segment would replace one that the last snapshot does not include.
    fn is_full(&self) -> bool {
        self.next >= self.snapshot_positions.0 + SLOTS
    }

    /// Records that wait for an append.
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }
}

/// Adds a record, to be appended with the next segment.
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

/// Interval between appends of a cell: all cells of the fleet share one write budget.
pub fn append_interval(state: &State) -> Duration {
    let share = f64::from(cell::total(state)) / f64::from(state.tuning.append_budget);
    state.tuning.append_interval_min.max(Duration::from_secs_f64(share))
}

/// Appends waiting records, or repeats the append in flight after a wait.
pub(crate) fn flush(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let interval = append_interval(state);
    let (now, write_id) = (state.now, state.draw());
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

/// Takes over the store's answer about the append in flight.
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

/// Goes on to write with the revision that was read. If it is the one that already led to a conflict, the read was
/// stale, so the next try waits.
fn write_if_changed(state: &mut State, key: cell::Key, position: u64, revision: u64, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    let known = cell.log.revisions.get(&(position % SLOTS)).copied();
    cell.log.set_revision(position, revision);
    if known == Some(revision) {
        return schedule_retry(state, key);
    }
    send(state, key, out);
}

/// Repeats the append after a jittered wait that doubles each time, so an outage causes no retry storm.
fn schedule_retry(state: &mut State, key: cell::Key) {
    let (shortest, longest) = state.tuning.store_backoff;
    let jitter = 0.5 + (state.draw() % 1000) as f64 / 1000.0;
    let now = state.now;
    let Some(cell) = state.cells.get_mut(key) else { return };
    cell.log.backoff = (cell.log.backoff * 2).clamp(shortest, longest);
    let at = now + cell.log.backoff.mul_f64(jitter);
    schedule(state, key, at);
}

/// The append in flight took effect.
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
        task::committed(state, key, record, out);
    }
    // Only the append itself makes an owner: a takeover that is read may be an earlier one of this process.
    if let Some(epoch) = takeover {
        recovery::complete_takeover(state, key, epoch, out);
    }
    let Some(cell) = state.cells.get(key) else { return };
    if cell.log.pending_len() > 0 {
        schedule(state, key, at.max(state.now));
    }
    write_snapshot_if_due(state, key, out);
}

/// Another owner wrote at this position.
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

/// Takes over the outcome of a snapshot write; one that failed is repeated after the next append.
pub(crate) fn handle_snapshot_reply(state: &mut State, key: cell::Key, next: u64, reply: &Reply) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    if let Reply::Written { .. } = reply {
        cell.log.snapshot_positions = (next, cell.log.snapshot_positions.0);
    }
}

/// All facts of a cell up to the next position of its log.
pub fn build_snapshot(state: &State, key: cell::Key) -> Snapshot {
    let Some(cell) = state.cells.get(key) else { return Snapshot::default() };
    let adoption = |(job, adopted): (&job::Id, &cell::Adopted)| {
        let cell::Adopted { count, version, cancelled, .. } = *adopted;
        Adoption { job: *job, count, version, cancelled }
    };
    let mut jobs: Vec<Adoption> = cell.jobs.iter().map(adoption).collect();
    let mut tasks: Vec<TaskSnapshot> =
        cell.tasks.values().filter_map(|task| state.tasks.get(*task)?.line()).collect();
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
