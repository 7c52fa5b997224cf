//! Time-line entries: one for each decision, with its reason.

use super::{cell, exchange, member, run, task, work, worker};

/// What an entry is about.
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
    /// A job that a caller handed in.
    Job(work::spec::Id),
    /// A version of the configuration.
    Config(u64),
}

/// One decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// What it is about.
    pub subject: Subject,
    /// Decision, a fixed short name such as `assign` or `take-over`.
    pub decision: &'static str,
    /// Reason and figures.
    pub reason: String,
}
