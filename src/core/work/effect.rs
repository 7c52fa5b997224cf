//! Effects of the scheduling of jobs, as data.

use std::net::SocketAddr;

use super::order::Order;
use super::request::{Answer, Request, Ticket};
use super::store::{self, Call};
use crate::core::time::Instant;

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answer a request.
    Answer {
        /// Names the request.
        ticket: Ticket,
        /// The answer.
        answer: Answer,
    },
    /// Hand a request to another entry VM.
    Forward {
        /// Names the request.
        ticket: Ticket,
        /// Its address.
        to: SocketAddr,
        /// The request.
        request: Request,
    },
    /// Call the store.
    Store {
        /// Number of the call.
        call: Call,
        /// What is asked.
        request: store::Request,
    },
    /// Call a worker.
    Worker {
        /// Identity of the worker that is meant.
        id: String,
        /// Its address.
        address: SocketAddr,
        /// Term of the sender; workers refuse a lower one than they have seen.
        fence: u64,
        /// The order.
        order: Order,
        /// When it was decided; the answer to a renewal names it.
        sent: Instant,
        /// Drop the order, as not sent, after this time.
        not_after: Instant,
    },
}
