//! Arena of the tasks whose jobs have not ended.

use slotmap::SlotMap;

use super::spec::Name;
use super::{job, run, worker};
use crate::core::time::Instant;

slotmap::new_key_type! {
    /// Key of a task.
    pub struct Key;
}

/// Phase of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// A step that the task depends on is not done.
    Blocked,
    /// The task waits for placement on a worker.
    Ready,
    /// The task has at least one run.
    Active,
    /// A run of the task succeeded.
    Done,
}

/// State of one task.
#[derive(Debug, Clone)]
pub struct Task {
    /// Identity of the task.
    pub name: Name,
    /// Job that the task belongs to.
    pub job: job::Key,
    /// Current phase.
    pub phase: Phase,
    /// Runs that may still exist on a worker.
    pub runs: Vec<run::Key>,
    /// Number of the next run.
    pub next_run: u32,
    /// Numbers of the failed runs, which makes a failure that is reported twice count once.
    pub failed_runs: Vec<u32>,
    /// Numbers of the runs that may have crashed their workers.
    pub crashed_runs: Vec<u32>,
    /// Those of them whose worker had no other run that may have crashed it.
    pub sole_crashes: Vec<u32>,
    /// Change that must be durable before the next run starts; 0 if there is none.
    pub awaited_change: u64,
    /// Checkpoint from which the next run resumes; empty if there is none.
    pub checkpoint: String,
    /// Worker on which the last run failed or stalled.
    pub avoid_worker: Option<worker::Key>,
    /// Worker on which the room of its last run may be kept for the next one.
    pub kept_on: Option<worker::Key>,
    /// When the task last became ready.
    pub ready_at: Instant,
    /// Earliest start of the next run.
    pub not_before: Instant,
    /// When its last run was taken as lost; `None` if none was. The next run starts once a commit that was sent after that
    /// has taken effect, since a later leader may have read the end of the lost run.
    pub lost_at: Option<Instant>,
    /// Number of the last run that is no longer at work, and why it is not; `None` if this leader has known no such run.
    pub last_exit: Option<(u32, run::Exit)>,
    /// Whether an earlier leader may have started the task.
    pub is_inherited: bool,
    /// Whether an earlier leader may have started a run that this leader has not seen.
    pub may_have_unseen_run: bool,
}

impl Task {
    /// Whether a run of the task may have crashed its worker.
    pub fn is_suspect(&self) -> bool {
        !self.crashed_runs.is_empty()
    }

    /// Group of the task: its step in its occurrence of the job.
    pub fn group(&self) -> job::Group {
        job::Group { job: self.job, occurrence: self.name.occurrence, step: self.name.step }
    }
}

/// Arena of all tasks.
pub type Table = SlotMap<Key, Task>;
