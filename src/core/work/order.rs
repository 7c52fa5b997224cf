//! Orders to workers, and their answers.

use super::spec::Name;
use super::{run, worker};

/// An order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Renew the lease of everything that runs, and list it.
    Renew {
        /// The worker.
        worker: worker::Key,
        /// End of the lease on the worker's clock, in milliseconds; `None` leaves it as it is.
        until_ms: Option<u64>,
        /// Ends up to this number are no longer needed.
        acknowledged: u64,
        /// How long the worker may wait for a new end, in milliseconds.
        wait_ms: u64,
    },
    /// Start a run.
    Start {
        /// The run.
        run: run::Key,
        /// Task.
        name: Name,
        /// Number of the run.
        number: u32,
        /// Text of the job.
        job_text: String,
        /// End of the lease on the worker's clock, in milliseconds.
        until_ms: u64,
        /// Progress to resume from; empty if there is none.
        saved: String,
    },
    /// Stop a run.
    Stop {
        /// The run.
        run: run::Key,
        /// Task.
        name: Name,
        /// Number of the run.
        number: u32,
    },
    /// Let a run work at a share of its speed.
    Pace {
        /// The run.
        run: run::Key,
        /// Task.
        name: Name,
        /// Number of the run.
        number: u32,
        /// Share in percent.
        percent: u32,
    },
}

/// Why a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Another leader has a higher term.
    Fence,
    /// The number of the run is not above one that ended there.
    Old,
    /// The lease that the order names has ended already.
    Late,
    /// The task does not fit.
    Room,
    /// Another life of the worker answers.
    Instance,
    /// The worker is unhealthy and did nothing.
    Busy,
    /// The worker does not understand the order.
    Malformed,
}

/// Answer of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply<T> {
    /// The worker's clock in milliseconds, if the answer has it.
    pub clock_ms: Option<u64>,
    /// What was done.
    pub outcome: Result<T, Refusal>,
}

/// What a worker lists.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Listing {
    /// Start of the worker's life in milliseconds since the Unix epoch.
    pub started_unix_ms: Option<u64>,
    /// What runs.
    pub running: Vec<Running>,
    /// What ended and was not acknowledged.
    pub ended: Vec<Ended>,
}

/// A run that is there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// Task.
    pub name: Name,
    /// Number of the run.
    pub number: u32,
    /// Saved progress.
    pub saved: String,
    /// Progress in percent; of a lasting task, 100 while it is at work.
    pub progress_percent: u32,
    /// Response time in milliseconds of a task that serves; thousandths of a core in use of any other.
    pub observed: Option<u32>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum How {
    /// The work is done.
    Done,
    /// Through a fault of its own or of the worker.
    Failed,
    /// On an order.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Number of the end in this life of the worker, from 1.
    pub number: u64,
    /// Task.
    pub name: Name,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub how: How,
    /// Saved progress.
    pub saved: String,
}
