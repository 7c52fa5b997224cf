//! Effects of the reducer: messages, calls and other actions, as data that a front end executes.

use std::net::SocketAddr;

use super::time::Instant;
use super::{admin, control, exchange, peer, store, trace, work, worker};

/// An action to execute.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a request to a replica; once this effect is emitted, the request may have run.
    Send(exchange::Send),
    /// Forward a request to another entry VM.
    Forward(exchange::Forward),
    /// Send the result of a request to its caller.
    Reply {
        /// Handle of the request at the port.
        ticket: exchange::Ticket,
        /// Result of the request.
        completion: exchange::Completion,
    },
    /// Send a message to another entry VM.
    Peer {
        /// Peer address of the entry VM.
        to: SocketAddr,
        /// The message.
        message: peer::Message,
    },
    /// Call the store.
    Store {
        /// Number of the call, which its reply repeats.
        call: store::Call,
        /// Operation to execute.
        request: store::Request,
    },
    /// Call a worker's control interface.
    Worker {
        /// The worker.
        worker: worker::Key,
        /// Control address of the worker.
        address: SocketAddr,
        /// The call.
        call: control::Call,
        /// Time after which the call is not written any more and is reported as unsent.
        not_after: Instant,
    },
    /// Send the answer to an operator's command.
    Admin {
        /// Handle of the operator's call.
        ticket: admin::Ticket,
        /// The answer.
        answer: admin::Answer,
    },
    /// An effect for the jobs that callers submit.
    Work(work::effect::Effect),
    /// Add an entry to the timeline.
    Record(trace::Entry),
    /// Set the result of the readiness check.
    Ready(bool),
    /// Stop accepting connections of callers.
    StopListening,
    /// End the process.
    Exit,
}
