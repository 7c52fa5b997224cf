//! Monotonic time of one process.
//!
//! Monotonic times of different processes are not comparable, so messages carry durations or return the receiver's own
//! time.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds since the process started, by its monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Instant(pub u64);

impl Instant {
    /// Duration from `earlier` to `self`; zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, span: Duration) -> Instant {
        Instant(self.0.saturating_add(span.as_micros() as u64))
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;

    fn sub(self, span: Duration) -> Instant {
        Instant(self.0.saturating_sub(span.as_micros() as u64))
    }
}
