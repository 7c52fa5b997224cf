//! Batch jobs.

use std::time::Duration;

use super::pool::Filter;
use super::size::Size;
use super::team;
use crate::core::cell;

/// Index of a job in the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u32);

/// Stable identity of a job: a hash of its name and run number, the same in every version of the configuration.
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
    /// Run number; a new number runs the job again.
    pub run: u32,
    /// Team that owns it.
    pub team: team::Key,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that one task takes, including one slot.
    pub size: Size,
    /// Expected run time of a task.
    pub run_time: Duration,
    /// Time from acceptance until all tasks should be finished; `None` if the job has no deadline.
    pub deadline: Option<Duration>,
    /// Maximum number of attempts of a task after the first one.
    pub retries: u32,
    /// Whether a task can be stopped with a checkpoint and resumed.
    pub is_checkpointable: bool,
    /// Priority; tasks with a higher value are placed first.
    pub priority: u8,
    /// Kind of work, for interference estimates; the job name if the document sets none.
    pub kind: String,
    /// VMs its tasks may use.
    pub filter: Filter,
    /// Whether its document cancels it.
    pub is_cancelled: bool,
    /// Home cells: task `i` belongs to `homes[i % homes.len()]`. They do not change after the job first appears.
    pub homes: Vec<cell::Id>,
}
