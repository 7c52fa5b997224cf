//! State of one entry VM.

use super::config::Config;
use super::effect::Effect;
use super::time::Instant;
use super::timer::{Queue, Timer};
use super::trace::{Entry, Subject};
use super::tuning::Tuning;
use super::{admin, apply, cell, exchange, grant, member, place, route, shutdown, store, task, work, worker};
use crate::hash;

/// All state of one entry VM.
#[derive(Debug, Clone)]
pub struct State {
    /// Time of the input being reduced.
    pub now: Instant,
    /// When the process started.
    pub started: Instant,
    /// Times and limits.
    pub tuning: Tuning,
    /// How batch tasks are placed.
    pub policy: place::Policy,
    /// How requests are routed.
    pub routing: route::Policy,
    /// What is due when.
    pub timers: Queue<Timer>,
    /// This process.
    pub me: member::Identity,
    /// Entry VMs.
    pub members: member::Table,
    /// Configuration in force.
    pub config: Config,
    /// Documents being applied.
    pub apply: apply::Queue,
    /// Workers of the zone.
    pub workers: worker::Table,
    /// Cells this process acts for.
    pub cells: cell::Table,
    /// Batch tasks of those cells.
    pub tasks: task::Table,
    /// Connection grants held.
    pub grants: grant::Table,
    /// Replicas that requests can be sent to.
    pub routes: route::Table,
    /// Requests in flight.
    pub exchanges: exchange::Table,
    /// Store calls in flight.
    pub store: store::Table,
    /// Counters for `status`.
    pub counters: admin::Tally,
    /// Progress of the graceful shutdown.
    pub shutdown: shutdown::Stage,
    /// Jobs that callers hand in; `None` in a process that schedules declared work only.
    pub work: Option<work::State>,
    random: u64,
}

impl State {
    /// State of a process that starts at `now`.
    pub fn new(me: member::Identity, tuning: Tuning, now: Instant) -> Self {
        let mut timers = Queue::default();
        for timer in [Timer::Heartbeat, Timer::ReadIndex, Timer::RenewGrants, Timer::ReviewOwnership] {
            timers.set(now, timer);
        }
        Self {
            now,
            started: now,
            tuning,
            policy: place::LEAST_LOADED,
            routing: route::TWO_CHOICES,
            timers,
            me,
            members: member::Table::default(),
            config: Config::default(),
            apply: apply::Queue::default(),
            workers: worker::Table::default(),
            cells: cell::Table::default(),
            tasks: task::Table::default(),
            grants: grant::Table::default(),
            routes: route::Table::default(),
            exchanges: exchange::Table::default(),
            store: store::Table::default(),
            counters: admin::Tally::default(),
            shutdown: shutdown::Stage::Running,
            work: None,
            random: 0,
        }
    }

    /// State of a process that schedules the jobs that callers hand in, and no declared work.
    pub fn with_work(me: member::Identity, work: work::State, now: Instant) -> Self {
        let state = Self::new(me, Tuning::default(), now);
        Self { timers: Queue::default(), work: Some(work), ..state }
    }

    /// When the reducer next wants an [`super::event::Event::Wake`].
    pub fn next_due(&self) -> Option<Instant> {
        let work = self.work.as_ref().and_then(|work| work.timers.next_due());
        self.timers.next_due().into_iter().chain(work).min()
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.config.index.version > 0 && self.shutdown == shutdown::Stage::Running
    }

    /// Takes over time and randomness of an input.
    ///
    /// After a pause of this process every other member looks silent, so the pause is not counted as silence.
    pub(crate) fn advance(&mut self, at: Instant, entropy: u64) {
        const PAUSE_MIN: std::time::Duration = std::time::Duration::from_secs(1);
        let idle_until = self.next_due().map_or(self.now, |due| due.max(self.now));
        let late = at.since(idle_until);
        if late > PAUSE_MIN {
            self.members.shift_last_heard(late);
        }
        self.now = self.now.max(at);
        self.random = entropy;
    }

    /// Next pseudo-random number, derived from the input's entropy.
    pub(crate) fn next_random(&mut self) -> u64 {
        self.random = hash::numbers([self.random, 0x9e37_79b9_7f4a_7c15]);
        self.random
    }
}

/// Adds an entry to the time line.
pub(crate) fn record(
    out: &mut Vec<Effect>,
    subject: Subject,
    decision: &'static str,
    reason: impl Into<String>,
) {
    out.push(Effect::Record(Entry { subject, decision, reason: reason.into() }));
}
