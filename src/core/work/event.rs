//! Input events of the job scheduler.

use std::net::SocketAddr;
use std::time::Duration;

use super::config::Update;
use super::request::{Answer, Request, Ticket};
use super::store::{Call, Reply};
use super::{order, run, worker};
use crate::core::time::Instant;

/// Reason why a call to another process has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The connection was refused, so no process listens at the address.
    Refused,
    /// The call was not sent, so it was not executed.
    NotSent,
    /// The call may have been executed, but its answer is lost.
    Lost,
}

/// An input event.
#[derive(Debug, Clone)]
pub enum Event {
    /// A request of a caller arrived.
    Request {
        /// Identifies the request for its answer.
        ticket: Ticket,
        /// The request.
        request: Request,
        /// Whether another entry VM forwarded the request.
        is_forwarded: bool,
    },
    /// A forwarded request was answered, or the call to the other entry VM failed.
    Forwarded {
        /// Identifies the request for its answer.
        ticket: Ticket,
        /// The answer, or the reason why there is none.
        result: Result<Answer, Fault>,
    },
    /// Another entry VM asks for a newer configuration.
    ConfigAsked {
        /// Identifies the request for its answer.
        ticket: Ticket,
        /// Version that the other VM has; 0 if none.
        known: u64,
        /// Longest wait for a newer version.
        wait: Duration,
    },
    /// A request for a newer configuration was answered, or the call to the other entry VM failed.
    ConfigUpdated {
        /// Address of the other entry VM.
        from: SocketAddr,
        /// The changes, or `None` if there is no newer version; or the reason why there is no answer.
        result: Result<Option<Update>, Fault>,
        /// Size of the answer before compression.
        bytes: usize,
    },
    /// A store call completed or failed.
    Store {
        /// Number of the call.
        call: Call,
        /// The answer, which includes failures.
        reply: Reply,
    },
    /// An order to renew a worker's lease completed or failed.
    LeaseRenewed {
        /// The worker.
        worker: worker::Key,
        /// When the order was issued; answers to earlier orders are discarded.
        sent: Instant,
        /// The worker's runs and their ends, or the reason why there is no answer.
        result: Result<order::Reply<order::Listing>, Fault>,
    },
    /// An order to start a run completed or failed.
    Started {
        /// The run.
        run: run::Key,
        /// The answer, or the reason why there is none.
        result: Result<order::Reply<()>, Fault>,
    },
    /// An order to stop a run completed or failed.
    Stopped {
        /// The run.
        run: run::Key,
        /// When the order was issued.
        sent: Instant,
        /// The answer, or the reason why there is none.
        result: Result<order::Reply<()>, Fault>,
    },
    /// An order to change the pace of a run completed or failed.
    PaceChanged {
        /// The run.
        run: run::Key,
        /// Ordered share of the full speed in percent.
        percent: u32,
        /// The answer, or the reason why there is none.
        result: Result<order::Reply<()>, Fault>,
    },
}
