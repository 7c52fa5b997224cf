//! Events: everything that the reducer reacts to.

use std::net::SocketAddr;

use super::time::Instant;
use super::{admin, control, exchange, listing, member, peer, store, work, worker};

/// One step of the reducer.
#[derive(Debug, Clone)]
pub struct Input {
    /// Monotonic time of the process.
    pub at: Instant,
    /// Time of day in milliseconds since the Unix epoch; only for times that callers name.
    pub unix_ms: u64,
    /// Random number drawn by the caller; the reducer has no other source of randomness.
    pub entropy: u64,
    /// What happened.
    pub event: Event,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A timer is due.
    Wake,
    /// A caller, or another entry VM, sent a request.
    Request(exchange::Request),
    /// The caller of a request is gone.
    Abandoned(exchange::Ticket),
    /// An attempt of an exchange ended.
    Attempt {
        /// The exchange.
        exchange: exchange::Key,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        outcome: exchange::Outcome,
    },
    /// A message from another entry VM.
    Peer {
        /// Sender.
        from: member::Id,
        /// Address to answer to.
        address: SocketAddr,
        /// The message.
        message: peer::Message,
    },
    /// The store answered a call.
    Store {
        /// Number of the call.
        call: store::Call,
        /// The answer.
        reply: store::Reply,
    },
    /// A worker answered a control call.
    Worker {
        /// The worker.
        worker: worker::Key,
        /// Sequence number of the call.
        sequence: u64,
        /// The answer; `None` when it was lost or never sent.
        reply: Option<control::Reply>,
        /// Whether the call surely was not written.
        is_unsent: bool,
    },
    /// The platform's VM list was read.
    Listing(Vec<listing::Vm>),
    /// An operator asked for something.
    Admin {
        /// Names the operator's call.
        ticket: admin::Ticket,
        /// What is asked.
        command: admin::Command,
    },
    /// Something about the jobs that callers hand in.
    Work(work::event::Event),
    /// Start a graceful shutdown.
    Stop,
}
