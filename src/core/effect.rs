//! Effects: everything that the reducer wants done, as data.

use std::net::SocketAddr;

use super::time::Instant;
use super::{admin, control, exchange, peer, store, trace, work, worker};

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a request to a replica. From here on the attempt may have run.
    Send(exchange::Send),
    /// Hand a request to an entry VM of another zone.
    Forward(exchange::Forward),
    /// Give the caller an answer.
    Reply {
        /// Names the request at the port.
        ticket: exchange::Ticket,
        /// What to answer.
        verdict: exchange::Verdict,
    },
    /// Send a message to another entry VM.
    Peer {
        /// Its address.
        to: SocketAddr,
        /// The message.
        message: peer::Message,
    },
    /// Call the store.
    Store {
        /// Number of the call.
        call: store::Call,
        /// What is asked.
        request: store::Request,
    },
    /// Call a worker's control interface.
    Worker {
        /// The worker.
        worker: worker::Key,
        /// Its address.
        address: SocketAddr,
        /// The call.
        call: control::Call,
        /// Drop the call, as unsent, after this time.
        not_after: Instant,
    },
    /// Answer an operator.
    Admin {
        /// Names the operator's call.
        ticket: admin::Ticket,
        /// The answer.
        answer: admin::Answer,
    },
    /// Something about the jobs that callers hand in.
    Work(work::effect::Effect),
    /// Add an entry to the time line.
    Record(trace::Entry),
    /// Change what the readiness check says.
    Ready(bool),
    /// Stop listening for callers.
    StopListening,
    /// End the process.
    Exit,
}
