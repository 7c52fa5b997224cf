//! Delay with which this process handles events, as its own timers show it.

use std::time::Duration;

use crate::core::time::Instant;

/// Time for which a delay is remembered.
const MEMORY: Duration = Duration::from_secs(3);

/// Longest delay in the last seconds.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lag {
    longest: Duration,
    seen_at: Instant,
}

impl Lag {
    /// Records that a timer which was due at `due` is handled at `now`.
    pub fn record(&mut self, due: Instant, now: Instant) {
        let delay = now.since(due);
        if delay >= self.longest || now.since(self.seen_at) > MEMORY {
            *self = Self { longest: delay, seen_at: now };
        }
    }

    /// Longest delay that is remembered.
    pub fn longest(&self) -> Duration {
        self.longest
    }
}
