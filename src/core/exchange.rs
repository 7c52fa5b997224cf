//! Exchanges: requests of callers and their answers.

use std::net::SocketAddr;
use std::time::Duration;

use slotmap::new_key_type;

use super::run;
use super::time::Instant;

new_key_type! {
    /// Key of an exchange in this process.
    pub struct Key;
}

/// Identity of a request over all processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);

/// Names a request at the port that holds its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request, without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Names the request at the port.
    pub ticket: Ticket,
    /// Identity; 0 to draw one, else given by the entry VM that forwarded it.
    pub id: Id,
    /// Service name.
    pub service: String,
    /// Path below the service name.
    pub path: String,
    /// Time left; `None` for the service's time-out.
    pub timeout: Option<Duration>,
    /// Body size in bytes.
    pub bytes: u64,
    /// Handed over by another entry VM, so that it is not handed on again.
    pub forwarded: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer is at the port.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body size in bytes.
        bytes: u64,
    },
    /// Nothing was written to the connection.
    NotWritten,
    /// The worker, or the other entry VM, says that the request did not run.
    Refused,
    /// The answer was lost, cut off or late; the request may have run.
    Lost,
}

/// An attempt at a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// The exchange.
    pub exchange: Key,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Names the request at the port.
    pub ticket: Ticket,
    /// Worker's address.
    pub address: SocketAddr,
    /// Replica.
    pub run: run::Id,
    /// Time left for the answer.
    pub timeout: Duration,
    /// Report [`Outcome::NotWritten`] instead of writing after this time.
    pub not_after: Instant,
}

/// A request handed to an entry VM of another zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward {
    /// The exchange.
    pub exchange: Key,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Names the request at the port.
    pub ticket: Ticket,
    /// Identity of the request.
    pub id: Id,
    /// Peer address of the other entry VM.
    pub address: SocketAddr,
    /// Time left for the answer.
    pub timeout: Duration,
}

/// Why a request was refused without running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No such service.
    NoService,
    /// This process has no configuration yet or is shutting down.
    NotReady,
    /// The queue is full, or the deadline passed while waiting.
    Overloaded,
    /// No replica can be reached.
    NoReplica,
}

/// What the caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer of this attempt, which the port holds.
    Deliver {
        /// Number of the attempt.
        attempt: u32,
    },
    /// The request did not run.
    NotRun {
        /// Why.
        refusal: Refusal,
        /// When to try again.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown,
}
