//! Timers of the reducer.
//!
//! A timer is never cancelled: its handler checks whether there is still something to do.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::time::Instant;
use super::{cell, exchange, worker};

/// What is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// Send heartbeats and look for silent members.
    Heartbeat,
    /// Read the configuration index.
    ReadIndex,
    /// Renew the connection grants this process holds.
    RenewGrants,
    /// Look at the ownership of cells in this zone.
    ReviewOwnership,
    /// Renew or claim the control lease of a worker.
    RenewLease(worker::Key),
    /// Append waiting records to the log of a cell.
    Append(cell::Key),
    /// Go on with the recovery of a cell after a wait.
    Recover(cell::Key),
    /// Place queued tasks of a cell and look for tasks that can be taken as stopped.
    Place(cell::Key),
    /// Deadline of an exchange.
    Deadline(exchange::Key),
    /// Go on with the apply in progress after a wait.
    RetryApply,
    /// A step of the graceful shutdown.
    Shutdown,
}

/// Timers ordered by due time.
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
    /// Adds a timer.
    pub fn set(&mut self, at: Instant, timer: T) {
        self.heap.push(Reverse((at, timer)));
    }

    /// Earliest due time.
    pub fn next_due(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes one timer that is due at `now`.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        if self.next_due()? > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
