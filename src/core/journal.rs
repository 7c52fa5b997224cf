//! Log of a cell: the durable records of its batch tasks.
//!
//! The log is one chain of segments in the store, each created only if it does not exist. That makes the chain the fence
//! between two owners: whoever appended the last [`Record::Takeover`] is the only one that can go on.

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
    /// Random number of the write, to recognise it after a lost answer.
    pub write_id: u64,
    /// Epoch of the writer.
    pub epoch: u64,
    /// Records, in order.
    pub records: Vec<Record>,
}

impl Segment {
    /// Whether a member becomes the owner in it.
    pub fn has_takeover(&self) -> bool {
        self.records.iter().any(|record| matches!(record, Record::Takeover { .. }))
    }
}

/// State of one task in a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Line {
    /// The task.
    pub task: task::Id,
    /// Last attempt; 0 when never assigned.
    pub attempt: u32,
    /// Failed attempts so far.
    pub failures: u32,
    /// Where it stands.
    pub standing: Standing,
}

/// Where a task stands, as far as the log knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
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
    pub lines: Vec<Line>,
    /// Positions of takeovers. Their segments are never deleted: a former owner, however late, appends at the position
    /// where it was succeeded, and must find that position taken.
    pub takeovers: Vec<u64>,
}

/// Most records in one segment; keeps a segment far below the store's limit of 1 MB a value.
const SEGMENT_RECORDS: usize = 4000;

/// An append whose outcome is not known yet.
#[derive(Debug, Clone)]
struct Flight {
    segment: Segment,
    /// Reading what stands at the position, after a conflict.
    is_reading: bool,
}

/// This process's end of the log.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// Next position.
    pub next: u64,
    pending: Vec<Record>,
    flight: Option<Flight>,
    is_scheduled: bool,
    not_before: Instant,
    backoff: Duration,
    since_snapshot: u64,
    /// Positions of the newest takeovers.
    pub takeovers: Vec<u64>,
}

impl Log {
    /// Whether no record waits and no append is in flight.
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty() && self.flight.is_none()
    }

    /// Records that wait for an append.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}

/// Notes that the segment at the next position of the log holds a takeover.
pub(crate) fn note_takeover(log: &mut Log) {
    /// About 50 days of takeovers at the planned rate of replacements; a process is never paused for that long.
    const KEPT: usize = 1000;
    log.takeovers.push(log.next);
    let surplus = log.takeovers.len().saturating_sub(KEPT);
    log.takeovers.drain(..surplus);
}

/// Adds a record, to be appended with the next segment.
pub(crate) fn push(state: &mut State, key: cell::Key, record: Record) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    cell.log.pending.push(record);
    if cell.log.flight.is_none() {
        let at = cell.log.not_before.max(state.now);
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
    if log.flight.is_none() {
        if log.pending.is_empty() {
            return;
        }
        let count = log.pending.len().min(SEGMENT_RECORDS);
        let records = log.pending.drain(..count).collect();
        let segment = Segment { write_id, epoch: cell.epoch, records };
        log.flight = Some(Flight { segment, is_reading: false });
        log.not_before = now + interval;
    }
    send(state, key, out);
}

fn send(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get(key) else { return };
    let Some(flight) = &cell.log.flight else { return };
    let (id, position) = (cell.id, cell.log.next);
    let request = if flight.is_reading {
        Request::ReadSegment { cell: id, position }
    } else {
        Request::Append { cell: id, position, segment: flight.segment.clone() }
    };
    if !state.store.is_pending(Purpose::Journal(key)) {
        store::call(state, Purpose::Journal(key), request, out);
    }
}

/// Takes over the store's answer about the append in flight.
pub(crate) fn answered(state: &mut State, key: cell::Key, reply: Reply, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    let Some(flight) = &mut cell.log.flight else { return };
    let write_id = flight.segment.write_id;
    match reply {
        Reply::Written { .. } => commit(state, key, out),
        Reply::Segment(segment) if segment.write_id == write_id => commit(state, key, out),
        Reply::Segment(segment) => overtaken(state, key, segment, out),
        Reply::Conflict => {
            flight.is_reading = true;
            send(state, key, out);
        }
        Reply::Missing => {
            flight.is_reading = false;
            retry_later(state, key);
        }
        Reply::Corrupt(reason) => {
            record(out, Subject::Cell(cell.id), "corrupt-segment", reason);
            retry_later(state, key);
        }
        _ => retry_later(state, key),
    }
}

/// Repeats the append after a jittered wait that doubles each time, so an outage causes no retry storm.
fn retry_later(state: &mut State, key: cell::Key) {
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
    let Some(flight) = cell.log.flight.take() else { return };
    if flight.segment.has_takeover() {
        note_takeover(&mut cell.log);
    }
    cell.log.next += 1;
    cell.log.backoff = Duration::ZERO;
    cell.log.since_snapshot += 1;
    let at = cell.log.not_before;
    for record in flight.segment.records {
        task::committed(state, key, record, out);
    }
    let Some(cell) = state.cells.get(key) else { return };
    if cell.log.pending() > 0 {
        schedule(state, key, at.max(state.now));
    }
    snapshot_if_due(state, key, out);
}

/// Another owner wrote at this position.
fn overtaken(state: &mut State, key: cell::Key, segment: Segment, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    if cell.role == Role::Owner {
        let reason = format!("position {} was written under epoch {}", cell.log.next, segment.epoch);
        return cell::depose(state, key, &reason, out);
    }
    cell.log.flight = None;
    recovery::replay(state, key, segment, out);
}

fn snapshot_if_due(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let due = state.tuning.segments_per_snapshot;
    let Some(cell) = state.cells.get_mut(key) else { return };
    if cell.log.since_snapshot < due || cell.role != Role::Owner {
        return;
    }
    cell.log.since_snapshot = 0;
    let id = cell.id;
    let request = Request::WriteSnapshot { cell: id, snapshot: snapshot(state, key) };
    store::call(state, Purpose::Snapshot, request, out);
}

/// All facts of a cell up to the next position of its log.
pub fn snapshot(state: &State, key: cell::Key) -> Snapshot {
    let Some(cell) = state.cells.get(key) else { return Snapshot::default() };
    let adoption = |(job, adopted): (&job::Id, &cell::Adopted)| {
        let cell::Adopted { count, version, cancelled, .. } = *adopted;
        Adoption { job: *job, count, version, cancelled }
    };
    let mut jobs: Vec<Adoption> = cell.jobs.iter().map(adoption).collect();
    let mut lines: Vec<Line> =
        cell.tasks.values().filter_map(|task| state.tasks.get(*task)?.line()).collect();
    jobs.sort_unstable();
    lines.sort_unstable_by_key(|line| line.task);
    let takeovers = cell.log.takeovers.clone();
    Snapshot { next: cell.log.next, epoch: cell.epoch, jobs, lines, takeovers }
}
