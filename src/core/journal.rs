//! Log of a cell: the durable records of its batch tasks.
//!
//! The log is one chain of segments in the store, each created only if it does not exist. That makes the chain the fence
//! between two owners: whoever appended the last [`Record::Takeover`] is the only one that can go on.

use super::control::{Checkpoint, Outcome};
use super::{member, task, worker};
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

/// All facts of a cell up to a position of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Snapshot {
    /// Position of the first segment that is not included.
    pub next: u64,
    /// Epoch of the last takeover included.
    pub epoch: u64,
    /// Adopted jobs with the number of tasks that have their home here; a job whose tasks all ended needs no lines.
    pub jobs: Vec<(job::Id, u32)>,
    /// Tasks that are not simply queued for the first time.
    pub lines: Vec<Line>,
}
