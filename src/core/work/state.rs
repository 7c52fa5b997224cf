//! State of the scheduling of jobs in one entry VM.

use std::net::SocketAddr;
use std::time::Duration;

use super::config::Config;
use super::effect::Effect;
use super::order::Order;
use super::store::{Call, Item, Leader, Range, Reply, Request, Revision};
use super::timer::Timer;
use super::tuning::Tuning;
use super::{handler, image, job, journal, leadership, load, place, run, worker};
use crate::core::effect::Effect as CoreEffect;
use crate::core::time::Instant;
use crate::core::timer::Queue;
use crate::core::trace::{Entry, Subject};
use crate::hash::{self, Map};

/// This process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name of its VM.
    pub vm: String,
    /// Address for other entry VMs.
    pub address: SocketAddr,
    /// Distinguishes processes.
    pub nonce: u64,
    /// Processor time of its VM in thousandths of a core; 0 if it is not known.
    pub cpu_millicores: u32,
}

impl Identity {
    /// What the store says of this process when it leads.
    pub fn leader(&self, term: u64) -> Leader {
        Leader {
            vm: self.vm.clone(),
            address: self.address,
            term,
            nonce: self.nonce,
            cpu_millicores: self.cpu_millicores,
        }
    }
}

/// What a store call is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Purpose {
    /// A page of a range that is followed.
    List(Range),
    /// Changes of a range that is followed.
    Watch(Range),
    /// The lease of a campaign.
    GrantLease,
    /// The transaction of a campaign.
    Campaign,
    /// A renewal of the leadership.
    Renew,
    /// Records at the start of a term.
    Load(load::Part),
    /// Records that must last.
    Commit,
    /// The end of the leadership.
    Resign,
}

/// A store call in flight.
#[derive(Debug, Clone)]
pub struct Pending {
    /// What it is for.
    pub purpose: Purpose,
    /// When it was made.
    pub sent: Instant,
}

/// How a range of the store is followed.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Watch {
    /// Revision from which to watch; 0 before the range was listed.
    pub watch_from: u64,
    /// Pages of a list that is being read.
    pub pages: Vec<(Item, Revision)>,
    /// Revision of the first of these pages; 0 if there is none.
    pub list_revision: Revision,
    /// Call in flight.
    pub call: Option<Call>,
    /// Whether the range was read at least once.
    pub was_listed: bool,
}

/// State of the scheduling of jobs.
#[derive(Debug, Clone)]
pub struct State {
    /// Time of the input being reduced.
    pub now: Instant,
    /// Time of day of the input, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Times and limits.
    pub tuning: Tuning,
    /// What is due when.
    pub timers: Queue<Timer>,
    /// This process.
    pub identity: Identity,
    /// Configuration in force.
    pub config: Config,
    /// Who leads.
    pub leadership: leadership::State,
    /// Reading of the records at the start of a term.
    pub load: Option<load::State>,
    /// Workers.
    pub workers: worker::Table,
    /// Runs.
    pub runs: run::Table,
    /// Images of tasks, and how they disturb each other.
    pub images: image::Table,
    /// Jobs.
    pub jobs: job::Table,
    /// Records that wait for the store.
    pub journal: journal::State,
    /// Requests that wait.
    pub requests: handler::State,
    /// Since when calls to the store fail.
    pub store_unavailable_since: Option<Instant>,
    /// Ranges of the store that are followed.
    pub watches: Map<Range, Watch>,
    /// When the next placement pass is due, if one is.
    pub next_placement: Option<Instant>,
    /// The next placement pass is not made before this time.
    pub placement_not_before: Instant,
    /// Workers that placement has looked at, over all tasks and passes.
    pub placement_visits: u64,
    /// How the worker of a task is chosen.
    pub policy: place::Policy,
    /// Whether a graceful stop has begun.
    pub is_stopping: bool,
    /// When a graceful stop ends at the latest.
    pub stop_deadline: Instant,
    calls: Map<Call, Pending>,
    last_call: u64,
    random_state: u64,
}

impl State {
    /// State of a process that starts at `now`.
    pub fn new(me: Identity, tuning: Tuning, now: Instant) -> Self {
        let mut timers = Queue::default();
        timers.set(now, Timer::Follow(Range::Config));
        timers.set(now, Timer::Follow(Range::Leadership));
        Self {
            now,
            unix_ms: 0,
            tuning,
            timers,
            identity: me,
            config: Config::default(),
            leadership: leadership::State::default(),
            load: None,
            workers: worker::Table::default(),
            runs: run::Table::default(),
            images: image::Table::default(),
            jobs: job::Table::default(),
            journal: journal::State::default(),
            requests: handler::State::default(),
            store_unavailable_since: None,
            watches: Map::default(),
            next_placement: None,
            placement_not_before: Instant::default(),
            placement_visits: 0,
            policy: place::PACKED,
            is_stopping: false,
            stop_deadline: Instant::default(),
            calls: Map::default(),
            last_call: 0,
            random_state: 0,
        }
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        self.config.version > 0 && !self.is_stopping
    }

    /// Takes over time and randomness of an input.
    pub(super) fn advance(&mut self, now: Instant, unix_ms: u64, entropy: u64) {
        self.now = self.now.max(now);
        self.unix_ms = unix_ms;
        self.random_state = entropy;
    }

    /// Next pseudo-random number, derived from the input's entropy.
    pub(super) fn next_random(&mut self) -> u64 {
        self.random_state = hash::numbers([self.random_state, 0x9e37_79b9_7f4a_7c15]);
        self.random_state
    }

    /// A random share of `span`.
    pub(super) fn jitter(&mut self, span: Duration) -> Duration {
        span.mul_f64((self.next_random() % 1_000) as f64 / 1_000.0)
    }

    /// Calls the store.
    pub(super) fn call_store(
        &mut self,
        purpose: Purpose,
        request: Request,
        out: &mut Vec<CoreEffect>,
    ) -> Call {
        self.last_call += 1;
        let call = Call(self.last_call);
        self.calls.insert(call, Pending { purpose, sent: self.now });
        out.push(CoreEffect::Work(Effect::Store { call, request }));
        call
    }

    /// What a call was for, when it is answered.
    pub(super) fn remove_call(&mut self, call: Call) -> Option<Pending> {
        self.calls.remove(&call)
    }

    /// Whether a call for this purpose is in flight.
    pub(super) fn has_call_in_flight(&self, purpose: &Purpose) -> bool {
        self.calls.values().any(|pending| pending.purpose == *purpose)
    }

    /// Forgets the calls of the term that has ended; their answers are no longer of interest.
    pub(super) fn drop_term_calls(&mut self) {
        self.calls.retain(|_, pending| matches!(pending.purpose, Purpose::List(_) | Purpose::Watch(_)));
    }

    /// Notes whether the store answers, and when it no longer does, or does again.
    pub(super) fn track_store_health(&mut self, reply: &Reply, out: &mut Vec<CoreEffect>) {
        let has_failed = matches!(reply, Reply::Refused | Reply::Lost);
        match (has_failed, self.store_unavailable_since) {
            (true, None) => {
                self.store_unavailable_since = Some(self.now);
                record(out, Subject::Process, "store-lost", format!("a call ended as {reply:?}"));
            }
            (false, Some(since)) => {
                self.store_unavailable_since = None;
                let reason = format!("after {} ms", self.now.since(since).as_millis());
                record(out, Subject::Process, "store-back", reason);
            }
            _ => {}
        }
    }

    /// Sends an order to a worker, unless this process may not act.
    pub(super) fn send_order(&self, key: worker::Key, order: Order, out: &mut Vec<CoreEffect>) {
        let Some(worker) = self.workers.all.get(key) else { return };
        out.push(CoreEffect::Work(Effect::Worker {
            id: worker.id.clone(),
            address: worker.address,
            fence: self.leadership.term(),
            order,
            sent: self.now,
            not_after: self.leadership.valid_until(&self.tuning),
        }));
    }

    /// Lets a placement pass follow soon.
    pub(super) fn schedule_placement(&mut self) {
        self.schedule_placement_by(self.now + self.tuning.place_interval);
    }

    /// Lets a placement pass follow at `at`, unless one is due earlier; each pass says when the next is due.
    pub(super) fn schedule_placement_by(&mut self, at: Instant) {
        let at = at.max(self.placement_not_before);
        if self.next_placement.is_none_or(|due| due > at) {
            self.next_placement = Some(at);
            self.timers.set(at, Timer::Place);
        }
    }
}

/// Adds a decision to the time line.
pub(super) fn record(
    out: &mut Vec<CoreEffect>,
    subject: Subject,
    decision: &'static str,
    reason: impl Into<String>,
) {
    out.push(CoreEffect::Record(Entry { subject, decision, reason: reason.into() }));
}
