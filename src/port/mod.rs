//! Ports: adapters between the reducer and the network.
//!
//! A port executes effects as calls of libraries, and sends their results to the reducer as events through the
//! [`Inbox`]. It makes no decisions.

pub mod admin;
pub mod admission;
pub mod body;
pub mod caller;
pub(crate) mod http;
pub mod job;
pub mod listing;
pub mod message;
pub mod operator;
pub mod peer;
pub mod pending;
pub mod pipeline;
pub mod server;
pub mod store;
mod stream;
pub mod traffic;
pub mod upstream;
pub mod worker;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use crate::core::event::Event;
use crate::core::time::Instant;

/// Sends events to the reducer of this process.
#[derive(Debug, Clone)]
pub struct Inbox {
    sender: UnboundedSender<Event>,
}

impl Inbox {
    /// Returns an inbox, and the receiver from which the node reads its events.
    pub fn new() -> (Self, UnboundedReceiver<Event>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Sends an event to the reducer; the event is dropped if the node has ended.
    pub fn send(&self, event: Event) {
        if self.sender.send(event).is_err() {
            log::debug!("event dropped: the node has ended");
        }
    }
}

/// Wall clock time in milliseconds since the Unix epoch; 0 if the clock is set to a time before the epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Monotonic clock of the process, which includes the time that the VM is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Returns a clock that reads zero now.
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Time since the start of the clock.
    pub fn now(self) -> Instant {
        Instant(boot_time().saturating_sub(self.start).as_micros() as u64)
    }
}

fn boot_time() -> Duration {
    clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux provides CLOCK_BOOTTIME").into()
}
