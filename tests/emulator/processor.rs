//! Processor of an entry VM: a single server that handles one input at a time.
//!
//! Inputs that arrive while it is busy wait in the order of their arrival, a due timer among them, and effects leave when
//! their input has been handled. A call times out by the clock of the VM: an answer that was not read by then counts as
//! lost, whenever it arrived, since the HTTP client of the VM sees the timeout no later than the answer.

use std::collections::VecDeque;
use std::time::Duration;

use nutmegfold::core::event::Event;
use nutmegfold::core::time::Instant;
use nutmegfold::core::work::event::Event as WorkEvent;
use nutmegfold::core::work::place::Tally;

use super::worker;
use super::{CALL_TIMEOUT, Envelope};

/// Processor time of one call to a worker with its answer, as docs/platform.md states it ("Not built").
const WORKER_CALL: Duration = Duration::from_micros(72);

/// Processor time of one call to the store, or of one request of a caller; like a call to a worker, each is one exchange
/// over HTTP.
const EXCHANGE: Duration = Duration::from_micros(72);

/// Processor time of a run in the answer to a renewal, as docs/CAPACITY.md states it (slope `reply-decode`).
const LISTED_RUN: Duration = Duration::from_nanos(500);

/// Processor time of a look at a worker: `VISITS_BETWEEN_EVENTS_MAX` of tests/backlog.rs counts 45,000 of them as 1 ms.
const WORKER_LOOK: Duration = Duration::from_nanos(22);

/// Looks at workers that placement counts for a look at a waiting task and at a group of them (`VISITS_PER_TASK`,
/// `VISITS_PER_GROUP`).
const LOOKS_PER_TASK: u64 = 8;
const LOOKS_PER_GROUP: u64 = 4;

/// Comparisons with a remembered need that take as long as a look at a worker. In the profile of the users' leader they take
/// a sixth of the time of placement, as they do here with this value.
const NEEDS_PER_LOOK: u64 = 8;

/// Processor time of what placement has examined. A run takes about as long as a worker.
pub fn placement_time(tally: &Tally) -> Duration {
    let Tally { workers, groups, tasks, needs, runs, .. } = *tally;
    let looks = workers + needs / NEEDS_PER_LOOK + runs + LOOKS_PER_GROUP * groups + LOOKS_PER_TASK * tasks;
    WORKER_LOOK * u32::try_from(looks).unwrap_or(u32::MAX)
}

/// Effects of one input that cost processor time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Effects {
    pub worker_calls: u32,
    pub store_calls: u32,
    pub answers: u32,
}

/// Processor time of one input and its effects, on a whole core.
pub fn handling_time(event: &Event, placed: &Tally, effects: Effects) -> Duration {
    let listed = match event {
        Event::Work(WorkEvent::LeaseRenewed { result: Ok(reply), .. }) => {
            reply.outcome.as_ref().map_or(0, |listing| listing.running.len() + listing.ended.len())
        }
        _ => 0,
    };
    WORKER_CALL * effects.worker_calls
        + EXCHANGE * (effects.store_calls + effects.answers)
        + LISTED_RUN * listed as u32
        + placement_time(placed)
}

/// An input that waits for the processor.
#[derive(Debug)]
pub struct Waiting {
    pub event: Event,
    /// The order that the event answers, and when its call times out; `None` for other events.
    pub call: Option<(Envelope, Instant)>,
    /// When it reached the VM.
    pub arrived: Instant,
}

impl Waiting {
    /// The event as the VM reads it at `now`: a call that has timed out is lost.
    pub fn read(self, now: Instant) -> Event {
        match self.call {
            Some((envelope, deadline)) if now >= deadline => Event::Work(worker::lost_reply(&envelope)),
            _ => self.event,
        }
    }
}

/// Processor of one entry VM.
#[derive(Debug, Default)]
pub struct Processor {
    /// Share of a core that the VM gets; 0 if handling an input takes no time.
    pub share: f64,
    /// Inputs that wait, in the order of their arrival.
    pub waiting: VecDeque<Waiting>,
    /// When the processor has handled its last input.
    pub busy_until: Instant,
    /// Processor time that was used, on a whole core.
    pub used: Duration,
    /// The part of it that placement used.
    pub used_by_placement: Duration,
    /// Longest time that an input has waited since this was last set to zero.
    pub longest_wait: Duration,
    /// Time that handling the last input took, by the clock of the VM.
    pub last_duration: Duration,
}

impl Processor {
    /// Whether handling an input takes time.
    pub fn is_limited(&self) -> bool {
        self.share > 0.0
    }

    /// Uses processor time for an input that is handled from `now` on.
    pub fn spend(&mut self, time: Duration, placed: &Tally, now: Instant) {
        self.used += time;
        self.used_by_placement += placement_time(placed);
        self.last_duration = time.div_f64(self.share);
        self.busy_until = now + self.last_duration;
    }
}

/// Time after which an order counts as lost: the wait that it asks for, and the timeout of a call.
pub fn timeout(envelope: &Envelope) -> Duration {
    let wait_ms = match envelope.order {
        nutmegfold::core::work::order::Order::Renew { wait_ms, .. } => wait_ms,
        _ => 0,
    };
    Duration::from_millis(wait_ms) + CALL_TIMEOUT
}
