//! Timers of the reducer and the queue that orders them.
//!
//! Timers are not cancelled. The handler of a timer checks whether there is still work to do.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::time::Instant;
use super::{cell, exchange, worker};

/// Action to run when a timer expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Send heartbeats and review the health of members.
    Heartbeat,
    /// Poll the configuration index in the store.
    ReadIndex,
    /// Request or renew the connection grants of this process.
    RenewGrants,
    /// Review which cells of the zone this process owns.
    ReviewOwnership,
    /// Renew or claim the control lease of a worker.
    RenewLease(worker::Key),
    /// Append pending records to the log of a cell.
    Append(cell::Key),
    /// Resume the recovery of a cell after a backoff.
    Recover(cell::Key),
    /// Run a placement pass of a cell.
    Place(cell::Key),
    /// End an exchange at its deadline.
    Deadline(exchange::Key),
    /// Repeat the store call of the apply in progress after a backoff.
    RetryApply,
    /// Advance the graceful shutdown.
    Shutdown,
}

/// Priority queue of timers, earliest due time first.
#[derive(Debug, Clone)]
pub struct Queue<T: Ord> {
    heap: BinaryHeap<Reverse<(Instant, T)>>,
}

impl<T: Ord> Default for Queue<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new() }
    }
}

impl<T: Ord> Queue<T> {
    /// Adds a timer that is due at `at`.
    pub fn set(&mut self, at: Instant, timer: T) {
        self.heap.push(Reverse((at, timer)));
    }

    /// Earliest due time; `None` when there is no timer.
    pub fn next_due(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
