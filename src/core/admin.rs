//! Operators' commands and their answers.

use super::{cell, member};

/// Names an operator's call at its port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Apply a document as a whole.
    Apply {
        /// Name of the document.
        name: String,
        /// Its text.
        text: String,
        /// Version of the document that the operator worked from; `None` takes the newest.
        base: Option<u64>,
        /// Who applies it.
        author: String,
        /// Time of day, in seconds since the Unix epoch.
        applied_s: u64,
    },
    /// Report the state of this process.
    Status,
    /// Explain the state of a task.
    Why {
        /// Name of the job.
        job: String,
        /// Index of the task.
        index: u32,
    },
    /// Give a VM no new work.
    Drain {
        /// Name of the VM.
        vm: String,
    },
}

/// Answer to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The document is accepted.
    Accepted {
        /// Global version.
        version: u64,
    },
    /// Another operator changed the document first.
    Conflict {
        /// Version the operator worked from.
        expected: u64,
        /// Version found.
        found: u64,
    },
    /// The document has faults.
    Invalid(Vec<crate::finding::Finding>),
    /// Nothing was changed.
    NotAccepted(String),
    /// The change may have taken effect.
    Unknown {
        /// Write id to look for.
        write_id: u64,
    },
    /// State of this process.
    Status(Box<Status>),
    /// Why a task is where it is.
    Why(String),
    /// Done.
    Done,
    /// There is no such thing.
    NotFound(String),
}

/// State of a process.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Status {
    /// Name of the VM.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Configuration version in force.
    pub version: u64,
    /// Whether callers may be sent here.
    pub ready: bool,
    /// Members seen, with their health in words and version.
    pub members: Vec<(member::Id, String, String, u64)>,
    /// Cells owned here.
    pub cells: Vec<Cell>,
    /// Exchanges in flight.
    pub in_flight: u64,
    /// Exchanges answered since the start.
    pub answered: u64,
    /// Exchanges refused as "not run" since the start.
    pub refused: u64,
    /// Exchanges with an unknown outcome since the start.
    pub unknown: u64,
    /// Documents in force: name, version, author.
    pub documents: Vec<(String, u64, String)>,
}

/// State of an owned cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    /// The cell.
    pub id: cell::Id,
    /// Role in words.
    pub role: &'static str,
    /// Epoch.
    pub epoch: u64,
    /// Workers under a lease, of all known.
    pub workers: (u32, u32),
    /// Batch tasks by phase: queued, running, unknown, finished, failed, cancelled.
    pub tasks: [u64; 6],
    /// Service replicas running, of those declared.
    pub replicas: (u32, u32),
}
