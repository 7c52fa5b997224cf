//! Orders that the leader sends to workers, and the answers to them.

use super::spec::Name;
use super::{run, worker};

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Order {
    /// Renew the lease of all runs on the worker, and list them and the runs that have ended.
    Renew {
        /// Worker that the order is for.
        worker: worker::Key,
        /// New end of the lease on the worker's clock, in milliseconds; `None` leaves the lease unchanged.
        until_ms: Option<u64>,
        /// Number of the last end that is acknowledged; the worker can discard the ends up to it. 0 acknowledges none.
        acknowledged: u64,
        /// Time that the worker may wait for another run to end before it answers, in milliseconds.
        wait_ms: u64,
    },
    /// Start a run.
    Start {
        /// Key of the run, returned with the answer.
        run: run::Key,
        /// Name of the task.
        name: Name,
        /// Number of the run within its task.
        number: u32,
        /// Text of the job as it was submitted.
        job_text: String,
        /// End of the lease on the worker's clock, in milliseconds.
        until_ms: u64,
        /// Checkpoint to resume from; empty if there is none.
        checkpoint: String,
    },
    /// Stop a run.
    Stop {
        /// Key of the run, returned with the answer.
        run: run::Key,
        /// Name of the task.
        name: Name,
        /// Number of the run within its task.
        number: u32,
    },
    /// Throttle a run to a share of its full speed.
    Pace {
        /// Key of the run, returned with the answer.
        run: run::Key,
        /// Name of the task.
        name: Name,
        /// Number of the run within its task.
        number: u32,
        /// Share of full speed in percent; 0 pauses the run.
        percent: u32,
    },
}

/// Why a worker refused an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The worker has seen a leader of a higher term, which is the fencing token.
    Fence,
    /// The number of the run is not above that of a run of the task that ended on the worker.
    Old,
    /// The lease in the order has already expired.
    Late,
    /// The worker lacks the resources for the task.
    Room,
    /// The process at the address is not the worker that the order is for.
    Instance,
    /// The worker is unhealthy, and has not executed the order.
    Busy,
    /// The worker cannot parse the order.
    Malformed,
}

impl Refusal {
    /// Description for timeline entries.
    pub fn describe(self) -> &'static str {
        match self {
            Self::Fence => "the worker has seen a higher fencing token",
            Self::Old => "the run number is not above that of an ended run",
            Self::Late => "the lease had expired",
            Self::Room => "the worker lacks the resources",
            Self::Instance => "another process has its address",
            Self::Busy => "the worker is unhealthy",
            Self::Malformed => "the worker cannot parse the order",
        }
    }
}

/// Answer of a worker to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply<T> {
    /// The worker's clock in milliseconds; `None` if the answer does not have it.
    pub clock_ms: Option<u64>,
    /// Result of the order, or why it was refused.
    pub outcome: Result<T, Refusal>,
}

/// Runs that a worker lists in its answer to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Listing {
    /// Start of the worker process in milliseconds since the Unix epoch, which identifies its incarnation.
    pub started_unix_ms: Option<u64>,
    /// Active runs.
    pub running: Vec<Running>,
    /// Ended runs that are not acknowledged yet, those with the lowest numbers.
    pub ended: Vec<Ended>,
    /// Whether further runs have ended, which the worker lists once these are acknowledged.
    pub has_more_ends: bool,
}

/// An active run in a worker's listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Running {
    /// Name of the task.
    pub name: Name,
    /// Number of the run within its task.
    pub number: u32,
    /// Last checkpoint of the run; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent; 100 for a long-running task once it is at work.
    pub progress_percent: u32,
    /// Response time of a serving task in milliseconds; processor time that any other task uses, in thousandths of a
    /// core.
    pub reading: Option<u32>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum How {
    /// The work is complete.
    Done,
    /// The run failed, through a fault of the task or of the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
    /// The run of another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

impl How {
    /// Description for timeline entries.
    pub fn describe(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lease expired",
            Self::Broken => "another run of its gang ended",
            Self::Alone => "its gang did not start in time",
        }
    }
}

/// An ended run in a worker's listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// Sequence number of the end within this incarnation of the worker, from 1.
    pub number: u64,
    /// Name of the task.
    pub name: Name,
    /// Number of the run within its task.
    pub run: u32,
    /// How it ended.
    pub how: How,
    /// Last checkpoint of the run; empty if there is none.
    pub checkpoint: String,
}
