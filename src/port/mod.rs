//! Ports: adapters that turn effects into library calls and library answers into events.
//!
//! A port makes no decision. It sends what it learns through the [`Inbox`].

pub mod admin;
pub mod body;
pub mod caller;
mod http;
pub mod listing;
pub mod message;
pub mod peer;
pub mod store;
mod stream;
pub mod traffic;
pub mod upstream;
pub mod worker;

use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use crate::core::event::Event;
use crate::core::time::Instant;

/// Sends events to the reducer of this process.
#[derive(Debug, Clone)]
pub struct Inbox {
    sender: UnboundedSender<Event>,
}

impl Inbox {
    /// An inbox and the end that the node reads.
    pub fn new() -> (Self, UnboundedReceiver<Event>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Hands an event over; it is dropped if the node has ended.
    pub fn send(&self, event: Event) {
        if self.sender.send(event).is_err() {
            log::debug!("event dropped: the node has ended");
        }
    }
}

/// Monotonic clock of the process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: std::time::Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { start: std::time::Instant::now() }
    }

    /// Current time.
    pub fn now(self) -> Instant {
        Instant(self.start.elapsed().as_micros() as u64)
    }
}
