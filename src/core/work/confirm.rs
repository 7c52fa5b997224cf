//! Confirmation that the configuration in force is the newest one, before a caller is told that a queue does not exist.
//!
//! A watch that went silent shows no new version until it times out. So the answer rests on a confirmation that is younger
//! than `AGE_MAX` when the request arrives. Without one the request waits for a read of the store, which is one call for
//! all waiting requests.

use std::time::Duration;

use super::request::{Request, Ticket};
use crate::core::time::Instant;

/// Longest time from a confirmation to the arrival of a request that is answered by it.
const AGE_MAX: Duration = Duration::from_secs(1);

/// Shortest time from the start of a confirmation to that of the next one, since calls to the store are priced.
const INTERVAL: Duration = Duration::from_secs(1);

/// Calls of a confirmation. The first one may take a connection that has gone silent; the port opens a new one after that.
const ATTEMPTS: u32 = 2;

/// Most requests that wait, so that callers who ask for unknown queues do not fill the memory of a small VM.
const WAITING_MAX: usize = 256;

/// A request for a queue that the configuration in force does not have.
#[derive(Debug, Clone)]
pub struct Waiting {
    /// Identifies the request.
    pub ticket: Ticket,
    /// The request.
    pub request: Request,
    /// Whether another entry VM forwarded the request.
    pub is_forwarded: bool,
    /// When it arrived.
    pub arrived: Instant,
}

impl Waiting {
    /// End of its wait: the second half of the caller's timeout is left to forward it.
    pub fn until(&self) -> Instant {
        self.arrived + self.request.timeout / 2
    }

    /// The request with the rest of the caller's timeout.
    pub fn into_request(self, now: Instant) -> Request {
        let timeout = self.request.timeout.saturating_sub(now.since(self.arrived));
        Request { timeout, ..self.request }
    }
}

/// What happens to a request for an unknown queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The queue does not exist.
    Answer,
    /// The request waits for the confirmation in progress.
    Wait,
    /// The request waits for a confirmation that begins now.
    Begin,
    /// The configuration cannot be confirmed now.
    Fail,
}

/// Confirmations, and the requests that wait for one.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Latest time at which the configuration in force is known to have been the newest one.
    confirmed_at: Option<Instant>,
    /// When the last confirmation began.
    began_at: Option<Instant>,
    /// Calls of the confirmation in progress; 0 if there is none.
    attempts: u32,
    waiting: Vec<Waiting>,
}

impl State {
    /// Takes note that the configuration in force was the newest one at `at`.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Whether a request that arrived at `arrived` may be told that a queue does not exist.
    pub fn covers(&self, arrived: Instant) -> bool {
        self.confirmed_at.is_some_and(|at| at + AGE_MAX >= arrived)
    }

    /// Decides on a request that arrives now.
    pub fn decide(&self, now: Instant) -> Decision {
        if self.covers(now) {
            Decision::Answer
        } else if self.waiting.len() >= WAITING_MAX {
            Decision::Fail
        } else if self.attempts > 0 {
            Decision::Wait
        } else if self.began_at.is_some_and(|at| now.since(at) < INTERVAL) {
            Decision::Fail
        } else {
            Decision::Begin
        }
    }

    /// Begins a confirmation.
    pub fn begin(&mut self, now: Instant) {
        self.began_at = Some(now);
        self.attempts = 1;
    }

    /// Number of calls of the confirmation in progress.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }

    /// Counts a further call after one that was lost; returns whether there may be one.
    pub fn retry(&mut self) -> bool {
        let may_retry = self.attempts < ATTEMPTS;
        self.attempts += u32::from(may_retry);
        may_retry
    }

    /// Ends the confirmation in progress, and returns the time that it took.
    pub fn end(&mut self, now: Instant) -> Duration {
        self.attempts = 0;
        self.began_at.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Lets a request wait for the confirmation in progress.
    pub fn hold(&mut self, waiting: Waiting) {
        self.waiting.push(waiting);
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes the waiting requests for which `is_due` holds.
    pub fn take(&mut self, is_due: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        self.waiting.extract_if(.., |waiting| is_due(waiting)).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::super::request::Verb;
    use super::*;

    const SECOND: u64 = 1_000_000;

    fn waiting(ticket: u64, arrived: Instant) -> Waiting {
        let timeout = Duration::from_secs(3);
        let request =
            Request { host: "a".into(), path: "/b/".into(), verb: Verb::Read, timeout, min_config: 0 };
        Waiting { ticket: Ticket(ticket), request, is_forwarded: false, arrived }
    }

    /// Guards against an answer by an old confirmation, and against more than one confirmation a second.
    #[test]
    fn a_confirmation_is_young_and_rare() {
        let mut state = State::default();
        let now = Instant(10 * SECOND);
        assert_eq!(state.decide(now), Decision::Begin);
        state.begin(now);
        assert_eq!(state.decide(now), Decision::Wait);
        assert!(state.retry());
        assert!(!state.retry());
        state.end(now);
        assert_eq!(state.decide(now + AGE_MAX / 2), Decision::Fail);
        assert_eq!(state.decide(now + INTERVAL), Decision::Begin);
        state.confirm(now);
        assert_eq!(state.decide(now + AGE_MAX), Decision::Answer);
        assert_ne!(state.decide(now + AGE_MAX + Duration::from_micros(1)), Decision::Answer);
    }

    /// Guards against requests that wait without a bound, in number or in time.
    #[test]
    fn the_wait_is_bounded() {
        let mut state = State::default();
        let now = Instant(10 * SECOND);
        state.begin(now);
        for ticket in 0..WAITING_MAX as u64 {
            assert_eq!(state.decide(now), Decision::Wait);
            state.hold(waiting(ticket, now));
        }
        assert_eq!(state.decide(now), Decision::Fail);
        let until = now + Duration::from_millis(1_500);
        assert_eq!(state.take(|waiting| waiting.until() <= until).len(), WAITING_MAX);
        let rest = waiting(0, now).into_request(until);
        assert_eq!(rest.timeout, Duration::from_millis(1_500));
    }
}
