//! Requests of callers about jobs, and their answers.

use std::time::Duration;

use super::spec::{Id, Spec};

/// Names a request at the port that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What a caller wants.
#[derive(Debug, Clone, PartialEq)]
pub enum Verb {
    /// Accept a job.
    Submit(Spec),
    /// Tell the state of a job, or the length of a queue.
    Read,
    /// Cancel a job.
    Cancel,
}

/// A request.
#[derive(Debug, Clone, PartialEq)]
pub struct Request {
    /// Host that the caller named.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// What is wanted.
    pub verb: Verb,
    /// How long the caller waits.
    pub timeout: Duration,
}

impl Request {
    /// Job that the path ends in, if it ends in one.
    pub fn job(&self) -> Option<Id> {
        match parse_subject(self.path.rsplit('/').next()?) {
            Some(Subject::Job(id)) => Some(id),
            _ => None,
        }
    }
}

/// State of a job as callers see it.
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
    /// Whether nothing of the job runs any more.
    pub fn has_ended(self) -> bool {
        matches!(self, Phase::Completed | Phase::Failed | Phase::Cancelled)
    }
}

/// Answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// State of the job.
    Phase(Phase),
    /// Jobs of the queue of which nothing has started.
    Pending(u64),
    /// There is no such job.
    UnknownJob,
    /// There is no such queue.
    UnknownQueue,
    /// The request has not run; the caller may come back after this many seconds.
    Refused(u32),
    /// Whether the request took effect cannot be known.
    Unknown,
    /// The request cannot be understood.
    Malformed(String),
}

impl Answer {
    /// Short name for logs.
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

/// What the rest of a path below the prefix of its queue names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Subject {
    /// The queue itself.
    Queue,
    /// A job.
    Job(Id),
}

/// Length of a job's identity in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// Subject of a path below its queue's prefix; `None` if it is neither empty nor an identity.
pub fn parse_subject(rest: &str) -> Option<Subject> {
    if rest.is_empty() {
        return Some(Subject::Queue);
    }
    if rest.len() != ID_DIGITS || !rest.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(rest, 16).ok().map(|id| Subject::Job(Id(id)))
}
