//! Timers of the job scheduler.

use super::store::Range;
use super::{job, worker};

/// Action to run when a timer expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// List or watch a range of the store.
    Watch(Range),
    /// Take the next step of the search for a newer configuration.
    AskConfig,
    /// Answer the requests of other entry VMs for a newer configuration whose wait is over.
    AnswerConfig,
    /// Refuse the requests whose wait for a newer configuration is over.
    RefuseOutdated,
    /// End the wait of requests for a confirmation of the configuration.
    EndConfirmWait,
    /// Try to become the leader.
    Campaign,
    /// Renew the leadership of a term.
    Renew(u64),
    /// Retry reading the records at the start of a term after a fault.
    Load,
    /// Write the queued records.
    Commit,
    /// Renew the lease of a worker.
    RenewWorker(worker::Key),
    /// Store the image estimates, as the leader of a term.
    StoreImages(u64),
    /// Run a placement pass.
    Place,
    /// Report why ready tasks are not placed.
    ReportWaits,
    /// Release the next occurrence of a job.
    Release(job::Key),
    /// Remove an ended job whose retention is over.
    Forget(job::Key),
    /// Check whether the graceful shutdown is complete.
    Stop,
}
