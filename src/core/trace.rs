//! Timeline entries: one for each decision, with its reason.

use super::{cell, exchange, member, run, task, work, worker};

/// Subject of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// This process.
    Process,
    /// A member.
    Member(member::Id),
    /// A cell.
    Cell(cell::Id),
    /// A worker.
    Worker(worker::Id),
    /// A batch task.
    Task(task::Id),
    /// A service replica.
    Replica(run::Id),
    /// A request.
    Exchange(exchange::Id),
    /// A job submitted by a caller.
    Job(work::spec::Id),
    /// A version of the configuration.
    Config(u64),
}

/// A decision of the reducer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Subject that the decision applies to.
    pub subject: Subject,
    /// Fixed short name of the decision, such as `assign` or `take-over`.
    pub decision: &'static str,
    /// Reason, with the values behind it.
    pub reason: String,
}
