//! Requests of callers about jobs, and the answers to them.

use std::time::Duration;

use super::spec::{Id, Spec};

/// Identifies a request within the process that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Operation that a caller requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Verb {
    /// Submit a job.
    Submit(Spec),
    /// Read the phase of a job, or the number of queued jobs of a queue.
    Read,
    /// Cancel a job.
    Cancel,
}

/// A request about a job or a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Host in the caller's request; compared without regard to case.
    pub host: String,
    /// Path of the request; the queue with the longest matching prefix gets it.
    pub path: String,
    /// Requested operation.
    pub verb: Verb,
    /// Time that the caller waits for the answer.
    pub timeout: Duration,
    /// Oldest version of the configuration by which the request may be handled; 0 for any.
    pub min_config: u64,
}

impl Request {
    /// Job whose identity is the last segment of the path, if there is one.
    pub fn job(&self) -> Option<Id> {
        match parse_subject(self.path.rsplit('/').next()?) {
            Some(Subject::Job(id)) => Some(id),
            _ => None,
        }
    }
}

/// Phase of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Phase {
    /// No task has started.
    #[default]
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

impl Phase {
    /// Whether the phase is terminal.
    pub fn has_ended(self) -> bool {
        matches!(self, Phase::Completed | Phase::Failed | Phase::Cancelled)
    }
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The job is durably stored.
    Accepted,
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// Phase of the job.
    Phase(Phase),
    /// Number of jobs in the queue that have not started.
    Pending(u64),
    /// There is no such job.
    UnknownJob,
    /// There is no such queue.
    UnknownQueue,
    /// The request was not executed; the caller may retry after this many seconds.
    Refused(u32),
    /// Whether the request took effect cannot be known.
    Unknown,
    /// The request is invalid; the text says why.
    Malformed(String),
}

impl Answer {
    /// Whether a request with this answer changed nothing, so that it can be refused instead.
    pub fn is_without_effect(&self) -> bool {
        !matches!(self, Answer::Accepted | Answer::Cancelled | Answer::Unknown)
    }

    /// Short name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Accepted => "accepted",
            Answer::Cancelled => "cancelled",
            Answer::Phase(_) => "phase",
            Answer::Pending(_) => "pending",
            Answer::UnknownJob => "unknown-job",
            Answer::UnknownQueue => "unknown-queue",
            Answer::Refused(_) => "refused",
            Answer::Unknown => "unknown",
            Answer::Malformed(_) => "malformed",
        }
    }
}

/// Subject of a request: what the path names after the prefix of the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// The queue itself.
    Queue,
    /// A job.
    Job(Id),
}

/// Length of a job's identity in a path, in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// Parses the part of a path after the queue's prefix; `None` if it is neither empty nor a job's identity.
pub fn parse_subject(rest: &str) -> Option<Subject> {
    if rest.is_empty() {
        return Some(Subject::Queue);
    }
    if rest.len() != ID_DIGITS || !rest.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(rest, 16).ok().map(|id| Subject::Job(Id(id)))
}
