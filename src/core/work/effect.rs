//! Effects of the job scheduler, as data.

use std::net::SocketAddr;
use std::time::Duration;

use super::config::Update;
use super::meter::Report;
use super::order::Order;
use super::request::{Answer, Request, Ticket};
use super::store::{self, Call};
use crate::core::time::Instant;

/// An output of the reducer that a port executes.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answer a request.
    Answer {
        /// Identifies the request.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Forward a request to another entry VM.
    Forward {
        /// Identifies the request.
        ticket: Ticket,
        /// Address of the other entry VM.
        to: SocketAddr,
        /// The request.
        request: Request,
    },
    /// Ask another entry VM for a newer configuration.
    AskConfig {
        /// Address of the other entry VM.
        to: SocketAddr,
        /// Version that this process has; 0 if none.
        known: u64,
        /// Longest wait for a newer version.
        wait: Duration,
    },
    /// Answer another entry VM that asked for a newer configuration.
    AnswerConfig {
        /// Identifies the request.
        ticket: Ticket,
        /// The changes; `None` if there is no newer version.
        update: Option<Update>,
    },
    /// Show in the metrics since when a newer configuration is known that is not in force; `None` if there is none.
    ConfigPending(Option<Instant>),
    /// Call the store.
    Store {
        /// Number of the call, which its reply repeats.
        call: Call,
        /// The operation.
        request: store::Request,
    },
    /// Call a worker.
    Worker {
        /// Identity of the expected worker.
        id: String,
        /// Address for the order.
        address: SocketAddr,
        /// Fencing token: the sender's term. Workers refuse a term below the highest that they have seen.
        fence: u64,
        /// The order.
        order: Order,
        /// When the order was issued; the event for a lease renewal repeats it.
        sent: Instant,
        /// Latest time at which the order may be sent; it is dropped and reported as not sent after that.
        not_after: Instant,
    },
    /// Record the work and backlog of this leader in the metrics.
    Report(Box<Report>),
}
