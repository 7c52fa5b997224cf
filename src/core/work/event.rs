//! Events of the scheduling of jobs.

use super::request::{Answer, Request, Ticket};
use super::store::{Call, Reply};
use super::{order, run, worker};
use crate::core::time::Instant;

/// Why a call to another process has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing listens at the address, so no process runs there.
    Refused,
    /// Nothing was written.
    NotSent,
    /// The call may have been executed.
    Lost,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller asks.
    Request {
        /// Names the request.
        ticket: Ticket,
        /// The request.
        request: Request,
        /// Whether another entry VM handed it on.
        is_forwarded: bool,
    },
    /// The entry VM that was asked for an answer gave one, or none.
    Forwarded {
        /// Names the request.
        ticket: Ticket,
        /// The answer.
        result: Result<Answer, Fault>,
    },
    /// The store answered.
    Store {
        /// Number of the call.
        call: Call,
        /// The answer.
        reply: Reply,
    },
    /// A worker answered a renewal.
    LeaseRenewed {
        /// The worker.
        worker: worker::Key,
        /// When the call was made.
        sent: Instant,
        /// The answer.
        result: Result<order::Reply<order::Listing>, Fault>,
    },
    /// A worker answered a start.
    Started {
        /// The run.
        run: run::Key,
        /// The answer.
        result: Result<order::Reply<()>, Fault>,
    },
    /// A worker answered a stop.
    Stopped {
        /// The run.
        run: run::Key,
        /// The answer.
        result: Result<order::Reply<()>, Fault>,
    },
    /// A worker answered a change of pace.
    PaceChanged {
        /// The run.
        run: run::Key,
        /// Share in percent.
        percent: u32,
        /// The answer.
        result: Result<order::Reply<()>, Fault>,
    },
}
