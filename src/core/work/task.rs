//! Tasks of the jobs that have not ended.

use slotmap::SlotMap;

use super::spec::Name;
use super::{job, run, worker};
use crate::core::time::Instant;

slotmap::new_key_type! {
    /// A task.
    pub struct Key;
}

/// State of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Steps before it are not done.
    Blocked,
    /// It waits for a worker.
    Ready,
    /// It has a run.
    Active,
    /// It is done.
    Done,
}

/// A task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Name.
    pub name: Name,
    /// Job.
    pub job: job::Key,
    /// State.
    pub phase: Phase,
    /// Runs that are not surely gone.
    pub runs: Vec<run::Key>,
    /// Number of the next run.
    pub next_run: u32,
    /// Numbers of the runs that failed; an end that is read twice counts once.
    pub failed_runs: Vec<u32>,
    /// Progress to resume from.
    pub checkpoint: String,
    /// Worker where the last run failed or made no progress.
    pub avoid_worker: Option<worker::Key>,
    /// When it became ready.
    pub ready_at: Instant,
    /// Before this it is not started again.
    pub not_before: Instant,
    /// Whether a run under an earlier leader may exist that this one has not seen.
    pub may_have_unseen_run: bool,
}

impl Task {
    /// Step of one occurrence that the task belongs to.
    pub fn group(&self) -> job::Group {
        job::Group { job: self.job, occurrence: self.name.occurrence, step: self.name.step }
    }
}

/// Tasks of the deployment.
pub type Table = SlotMap<Key, Task>;
