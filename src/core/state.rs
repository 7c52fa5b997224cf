//! State of the reducer in one entry VM.

use super::config::Config;
use super::effect::Effect;
use super::time::Instant;
use super::timer::{Queue, Timer};
use super::trace::{Entry, Subject};
use super::tuning::Tuning;
use super::{admin, apply, cell, exchange, grant, member, place, route, shutdown, store, task, work, worker};
use crate::hash;

/// All state of the reducer in one entry VM.
#[derive(Debug, Clone)]
pub struct State {
    /// Time of the input being reduced.
    pub now: Instant,
    /// Start of the process.
    pub started: Instant,
    /// Protocol parameters.
    pub tuning: Tuning,
    /// Placement policy of batch tasks.
    pub policy: place::Policy,
    /// Routing policy of requests.
    pub routing: route::Policy,
    /// Pending timers.
    pub timers: Queue<Timer>,
    /// Identity of this process as a member.
    pub me: member::Identity,
    /// Other entry VMs.
    pub members: member::Table,
    /// Configuration in force.
    pub config: Config,
    /// Apply operations of documents.
    pub apply: apply::Queue,
    /// Workers of this zone.
    pub workers: worker::Table,
    /// Cells that this process acts for; see [`cell::Role`].
    pub cells: cell::Table,
    /// Batch tasks of these cells.
    pub tasks: task::Table,
    /// Connection grants that this process holds.
    pub grants: grant::Table,
    /// Replicas that requests can be routed to.
    pub routes: route::Table,
    /// Requests in flight.
    pub exchanges: exchange::Table,
    /// Store calls in flight.
    pub store: store::Table,
    /// Counters for `status`.
    pub counters: admin::Counters,
    /// Progress of the graceful shutdown.
    pub shutdown: shutdown::Stage,
    /// State of the jobs that callers submit; `None` in a process that schedules declared work only.
    pub work: Option<work::State>,
    random: u64,
}

impl State {
    /// State of a process that schedules declared work and starts at `now`.
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
            counters: admin::Counters::default(),
            shutdown: shutdown::Stage::Running,
            work: None,
            random: 0,
        }
    }

    /// State of a process that schedules only jobs that callers submit and starts at `now`.
    pub fn with_work(me: member::Identity, work: work::State, now: Instant) -> Self {
        let state = Self::new(me, Tuning::default(), now);
        Self { timers: Queue::default(), work: Some(work), ..state }
    }

    /// Earliest timer, at which the reducer needs an [`super::event::Event::Wake`]; `None` when no timer is pending.
    pub fn next_due(&self) -> Option<Instant> {
        let work = self.work.as_ref().and_then(|work| work.timers.next_due());
        self.timers.next_due().into_iter().chain(work).min()
    }

    /// Whether the process accepts requests: it has a configuration and does not shut down.
    pub fn is_ready(&self) -> bool {
        self.config.index.version > 0 && self.shutdown == shutdown::Stage::Running
    }

    /// Sets the current time and the random state from an input.
    ///
    /// While this process is paused it receives no heartbeats, so a pause does not count as silence of other members.
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

    /// Returns the next pseudo-random number, derived from the entropy of the input.
    pub(crate) fn next_random(&mut self) -> u64 {
        self.random = hash::numbers([self.random, 0x9e37_79b9_7f4a_7c15]);
        self.random
    }
}

/// Appends an effect that adds an entry to the timeline.
pub(crate) fn record(
    out: &mut Vec<Effect>,
    subject: Subject,
    decision: &'static str,
    reason: impl Into<String>,
) {
    out.push(Effect::Record(Entry { subject, decision, reason: reason.into() }));
}
