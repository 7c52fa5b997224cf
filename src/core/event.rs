//! Inputs of the reducer: events, each with a time and a random number.

use std::net::SocketAddr;
use std::time::Duration;

use super::time::Instant;
use super::{admin, control, exchange, listing, member, peer, store, work, worker};

/// Input of one step of the reducer.
#[derive(Debug, Clone)]
pub struct Input {
    /// Monotonic time of the process at this step.
    pub at: Instant,
    /// Time of day in milliseconds since the Unix epoch, used only for times that callers give.
    pub unix_ms: u64,
    /// Random number; the reducer has no other source of randomness.
    pub entropy: u64,
    /// Time that the process took to handle the previous input and to carry out its effects; zero if it was not measured.
    pub spent: Duration,
    /// Event to process.
    pub event: Event,
}

/// An event that the reducer processes.
#[derive(Debug, Clone)]
pub enum Event {
    /// A timer is due.
    Wake,
    /// A caller or another entry VM sent a request.
    Request(exchange::Request),
    /// The caller of a request disconnected.
    Abandoned(exchange::Ticket),
    /// An attempt of an exchange ended.
    Attempt {
        /// The exchange.
        exchange: exchange::Key,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// How it ended.
        outcome: exchange::Outcome,
    },
    /// A message arrived from another entry VM.
    Peer {
        /// Sender.
        from: member::Id,
        /// Peer address of the sender.
        address: SocketAddr,
        /// The message.
        message: peer::Message,
    },
    /// The store replied to a call, or the call failed.
    Store {
        /// Number given with the call.
        call: store::Call,
        /// The reply.
        reply: store::Reply,
    },
    /// A control call to a worker ended.
    Worker {
        /// The worker.
        worker: worker::Key,
        /// Sequence number of the call.
        sequence: u64,
        /// The reply; `None` if it was lost or the call was not sent.
        reply: Option<control::Reply>,
        /// Whether the call certainly was not written.
        is_unsent: bool,
    },
    /// The platform's VM list was read.
    Listing(Vec<listing::Vm>),
    /// An operator sent a command.
    Admin {
        /// Handle of the operator's call.
        ticket: admin::Ticket,
        /// The command.
        command: admin::Command,
    },
    /// An event of the jobs that callers submit.
    Work(work::event::Event),
    /// Start a graceful shutdown.
    Stop,
}
