//! Timers of the scheduling of jobs.

use super::store::Range;
use super::{job, worker};

/// What is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// List or watch a range of the store.
    Follow(Range),
    /// Try to become the leader.
    Campaign,
    /// Renew the leadership of a term.
    Renew(u64),
    /// Go on with reading the records after a fault.
    Load,
    /// Write waiting records.
    Commit,
    /// Contact a worker.
    RenewWorker(worker::Key),
    /// Store what is known of images, in a term.
    StoreImages(u64),
    /// Start tasks.
    Place,
    /// Release the next occurrence of a job.
    Release(job::Key),
    /// Remove a job that ended long ago.
    Forget(job::Key),
    /// End of the graceful stop.
    Stop,
}
