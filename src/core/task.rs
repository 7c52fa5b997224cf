//! Batch tasks and their life cycle.

use slotmap::new_key_type;

use crate::declare::job;

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
