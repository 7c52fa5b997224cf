//! Batch jobs.

use std::time::Duration;

use super::pool::Filter;
use super::size::Size;
use super::team;
use crate::core::cell;

/// Index of a job in the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u32);

/// Stable identity of a job: a hash of its name and its `run` number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);

impl Id {
    /// Identity of run `run` of the job called `name`.
    pub fn of(name: impl AsRef<str>, run: u32) -> Self {
        Self(crate::hash::numbers([crate::hash::name(name), u64::from(run)]))
    }
}

/// A batch job: a number of equal tasks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Stable identity.
    pub id: Id,
    /// Name, unique over all documents.
    pub name: String,
    /// Run number; raising it runs the job again.
    pub run: u32,
    /// Team that owns it.
    pub team: team::Key,
    /// Number of tasks.
    pub tasks: u32,
    /// Size of a task; one slot.
    pub size: Size,
    /// Expected run time of a task.
    pub run_time: Duration,
    /// Time after acceptance by which all tasks should be finished.
    pub deadline: Option<Duration>,
    /// Attempts after the first one.
    pub retries: u32,
    /// Whether a task can be stopped with a checkpoint and resumed.
    pub is_checkpointable: bool,
    /// Higher is more important.
    pub priority: u8,
    /// Kind of work, for interference estimates; the job name by default.
    pub kind: String,
    /// VMs its tasks may use.
    pub filter: Filter,
    /// Cancelled by a later version of its document.
    pub is_cancelled: bool,
    /// Home cells: task `i` belongs to `homes[i % homes.len()]`. Fixed when the job first appears.
    pub homes: Vec<cell::Id>,
}
