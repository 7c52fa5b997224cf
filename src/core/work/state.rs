//! State of the job scheduler in one entry VM.

use std::net::SocketAddr;
use std::time::Duration;

use super::config::{Config, History};
use super::effect::Effect;
use super::lag::Lag;
use super::meter::Meter;
use super::order::Order;
use super::spec::Name;
use super::store::{Call, Item, Leader, Range, Reply, Request, Revision};
use super::timer::Timer;
use super::tuning::Tuning;
use super::{
    admission, backlog, confirm, dispatch, evacuation, handler, image, job, journal, late, leadership, load,
    place, relay, reserve, run, runtime, silence, speculate, worker,
};
use crate::core::effect::Effect as CoreEffect;
use crate::core::time::Instant;
use crate::core::timer::Queue;
use crate::core::trace::{Entry, Subject};
use crate::declare::zone;
use crate::hash::{self, Map};

/// Time after which a call to the store that would show the leadership counts as late; most are answered much earlier.
const PROOF_PATIENCE: Duration = Duration::from_millis(50);

/// Identity of this process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// Name of the VM.
    pub vm: String,
    /// Availability zone of the VM.
    pub zone: zone::Id,
    /// Address at which other entry VMs reach this process.
    pub address: SocketAddr,
    /// Random number that distinguishes this process from earlier ones on the same VM.
    pub nonce: u64,
    /// CPU capacity of the VM in thousandths of a core; 0 if it is not known.
    pub cpu_millicores: u32,
}

impl Identity {
    /// Value of the leader's key while this process leads `term`.
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

/// Purpose of a store call, which selects the handler of its reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Purpose {
    /// Lists one page of a watched range.
    List(Range),
    /// Waits for changes of a watched range.
    Watch(Range),
    /// Confirms that the active configuration is the newest one, with the changes after this revision.
    ConfirmConfig {
        /// Revision up to which it was known to be the newest one.
        after: Revision,
    },
    /// Creates the lease for a campaign.
    GrantLease,
    /// Writes the leader's key in a campaign.
    Campaign,
    /// Renews the lease of the leader's key.
    Renew,
    /// Reads the leader's key, which shows whether this process still leads.
    Confirm,
    /// Writes the relay's key of the own availability zone.
    ClaimRelay,
    /// Reads records at the start of a term.
    Load(load::Part),
    /// Commits journal changes.
    Commit,
    /// Deletes the leader's key of this process.
    Resign,
}

/// A store call in flight.
#[derive(Debug, Clone)]
pub struct Pending {
    /// Purpose of the call.
    pub purpose: Purpose,
    /// When the call was issued.
    pub sent: Instant,
}

/// Progress of the list and watch of one range of the store.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Watch {
    /// Revision after which the next watch starts; 0 if the range must be listed first.
    pub watch_from: u64,
    /// Items of the list in progress, from all pages read so far.
    pub pages: Vec<(Item, Revision)>,
    /// Store revision of the first page of the list in progress; 0 before that page.
    pub list_revision: Revision,
    /// List or watch call in flight.
    pub call: Option<Call>,
    /// Wait of the last watch call.
    pub wait: Duration,
    /// Number of timeouts that count for the allowance of the next watch.
    pub timeouts: u32,
    /// Whether the last call failed.
    pub has_failed: bool,
    /// Whether the range was listed completely at least once.
    pub was_listed: bool,
}

/// State of the job scheduler.
#[derive(Debug, Clone)]
pub struct State {
    /// Time of the input being reduced.
    pub now: Instant,
    /// Time of day of the input, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Timeouts, intervals and limits.
    pub tuning: Tuning,
    /// Pending timers by expiry.
    pub timers: Queue<Timer>,
    /// Delay with which this process handles events.
    pub lag: Lag,
    /// Counts of the work of a leader.
    pub meter: Meter,
    /// Identity of this process.
    pub identity: Identity,
    /// The active configuration.
    pub config: Config,
    /// Newest changes of the configuration.
    pub config_history: History,
    /// Requests for newer configurations from and to other entry VMs.
    pub relay: relay::State,
    /// Role of this process and the known leader.
    pub leadership: leadership::State,
    /// Progress of loading the records at the start of a term; `None` outside of it.
    pub load: Option<load::State>,
    /// Evacuated availability zones; empty unless this process leads.
    pub evacuations: evacuation::Table,
    /// Workers; empty unless this process leads.
    pub workers: worker::Table,
    /// Time until which an order of an earlier leader may be carried out.
    pub earlier_orders_until: Instant,
    /// Orders to start that may still be carried out; empty unless this process leads.
    pub late: late::Table,
    /// Runs; empty unless this process leads.
    pub runs: run::Table,
    /// Planned runs; empty unless this process leads.
    pub dispatch: dispatch::State,
    /// Run times of the tasks of each queue; empty unless this process leads.
    pub runtimes: runtime::Table,
    /// Runs that may get speculative copies, and the copies; empty unless this process leads.
    pub speculation: speculate::State,
    /// Images of tasks and the interference between them.
    pub images: image::Table,
    /// Jobs; empty unless this process leads.
    pub jobs: job::Table,
    /// Changes that wait for a commit.
    pub journal: journal::State,
    /// Requests without an answer.
    pub requests: handler::State,
    /// When the first of the latest consecutive store failures was reported; `None` while the store answers.
    pub store_unavailable_since: Option<Instant>,
    /// Age of the connections to the store.
    pub silence: silence::State,
    /// Confirmations of the configuration.
    pub confirm: confirm::State,
    /// Lists and watches by range of the store.
    pub watches: Map<Range, Watch>,
    /// When the next placement pass runs; `None` if none is scheduled.
    pub next_placement: Option<Instant>,
    /// Earliest time of the next placement pass.
    pub placement_not_before: Instant,
    /// Time by which the placement pass of the previous input began late; `None` if it ran none.
    pub pass_lateness: Option<Duration>,
    /// Number of workers examined by placement, summed over all tasks and passes.
    pub placement_visits: u64,
    /// What all placement passes have examined.
    pub placement_tally: place::Tally,
    /// When the next report about waiting tasks is due; `None` if none is scheduled.
    pub next_wait_report: Option<Instant>,
    /// First tasks of waiting groups for which the last report found room, and the time of the first report that did.
    pub tasks_with_room: Map<Name, Instant>,
    /// What placement passes have found out.
    pub placement: place::Memory,
    /// Policy that selects the worker of a task.
    pub policy: place::Policy,
    /// Workers that are kept free of long-running runs, as of the newest placement pass.
    pub reserves: reserve::Table,
    /// Forecast of the start of submitted jobs; empty unless this process leads.
    pub admission: admission::State,
    /// Order of the groups of waiting tasks.
    pub order: backlog::Order,
    /// Whether a graceful shutdown is in progress.
    pub is_stopping: bool,
    /// Deadline of the graceful shutdown.
    pub stop_deadline: Instant,
    calls: Map<Call, Pending>,
    last_call: u64,
    random_state: u64,
}

impl State {
    /// Initial state of a process that starts at `now`; it lists the configuration and the leadership first.
    pub fn new(me: Identity, tuning: Tuning, now: Instant) -> Self {
        let mut timers = Queue::default();
        timers.set(now, Timer::Watch(Range::Leadership));
        // The list of the leadership triggers the first read of the configuration, since the leader relays a large one.
        timers.set(now + tuning.store_retry * 2, Timer::Watch(Range::Config));
        Self {
            now,
            unix_ms: 0,
            tuning,
            timers,
            lag: Lag::default(),
            meter: Meter::default(),
            identity: me,
            config: Config::default(),
            config_history: History::default(),
            relay: relay::State::default(),
            leadership: leadership::State::default(),
            load: None,
            evacuations: evacuation::Table::default(),
            workers: worker::Table::default(),
            earlier_orders_until: Instant::default(),
            late: late::Table::default(),
            runs: run::Table::default(),
            dispatch: dispatch::State::default(),
            runtimes: runtime::Table::default(),
            speculation: speculate::State::default(),
            images: image::Table::default(),
            jobs: job::Table::default(),
            journal: journal::State::default(),
            requests: handler::State::default(),
            store_unavailable_since: None,
            silence: silence::State::default(),
            confirm: confirm::State::default(),
            watches: Map::default(),
            next_placement: None,
            placement_not_before: Instant::default(),
            pass_lateness: None,
            placement_visits: 0,
            placement_tally: place::Tally::default(),
            next_wait_report: None,
            tasks_with_room: Map::default(),
            placement: place::Memory::default(),
            policy: place::PACKED,
            reserves: reserve::Table::default(),
            admission: admission::State::default(),
            order: backlog::rank,
            is_stopping: false,
            stop_deadline: Instant::default(),
            calls: Map::default(),
            last_call: 0,
            random_state: 0,
        }
    }

    /// Whether this process accepts requests of callers.
    pub fn is_ready(&self) -> bool {
        self.config.version > 0 && !self.is_stopping
    }

    /// Sets the time and the random seed from an input; the monotonic time never moves back.
    pub(super) fn advance(&mut self, now: Instant, unix_ms: u64, entropy: u64) {
        self.now = self.now.max(now);
        self.unix_ms = unix_ms;
        self.random_state = entropy;
    }

    /// Next pseudo-random number, derived from the entropy of the input.
    pub(super) fn next_random(&mut self) -> u64 {
        self.random_state = hash::numbers([self.random_state, 0x9e37_79b9_7f4a_7c15]);
        self.random_state
    }

    /// Random duration below `max`.
    pub(super) fn jitter(&mut self, max: Duration) -> Duration {
        max.mul_f64((self.next_random() % 1_000) as f64 / 1_000.0)
    }

    /// Issues a store call and records its purpose for the reply.
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

    /// Removes a call from those in flight; `None` if it was dropped or answered before.
    pub(super) fn remove_call(&mut self, call: Call) -> Option<Pending> {
        self.calls.remove(&call)
    }

    /// Whether a call for this purpose is in flight.
    pub(super) fn has_call_in_flight(&self, purpose: &Purpose) -> bool {
        self.calls.values().any(|pending| pending.purpose == *purpose)
    }

    /// When the watch of a range was sent that is in flight; `None` if there is none.
    pub(super) fn watch_sent_at(&self, range: Range) -> Option<Instant> {
        let pending = self.calls.get(&self.watches.get(&range)?.call?)?;
        (pending.purpose == Purpose::Watch(range)).then_some(pending.sent)
    }

    /// Whether the store is asked in vain whether this process still leads.
    pub(super) fn is_proof_late(&self) -> bool {
        let is_late = |pending: &Pending| {
            matches!(pending.purpose, Purpose::Commit | Purpose::Confirm)
                && self.now.since(pending.sent) >= PROOF_PATIENCE
        };
        self.store_unavailable_since.is_some() || self.calls.values().any(is_late)
    }

    /// Drops the calls of the ended term, so that their replies are ignored. Calls that any entry VM makes stay.
    pub(super) fn drop_term_calls(&mut self) {
        let is_kept = |purpose: &Purpose| {
            matches!(purpose, Purpose::List(_) | Purpose::Watch(_) | Purpose::ConfirmConfig { .. })
        };
        self.calls.retain(|_, pending| is_kept(&pending.purpose));
    }

    /// Tracks whether the store is available, and records when that changes.
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

    /// What is known now of the leadership of this process.
    pub(super) fn tenure(&self) -> worker::Tenure {
        worker::Tenure {
            now: self.now,
            committed_at: self.journal.confirmed_at,
            led_at: self.leadership.led_at(),
            lag: self.lag.longest(),
        }
    }

    /// Sends an order to a worker. The order is dropped if the leader's validity ends before it is sent, or if the proof ends
    /// on which an order to start rests.
    pub(super) fn send_order(&mut self, key: worker::Key, order: Order, out: &mut Vec<CoreEffect>) {
        let Some(worker) = self.workers.all.get(key) else { return };
        self.meter.counts.count_order(&order);
        let valid_until = self.leadership.valid_until(&self.tuning);
        let not_after = match order {
            Order::Start { .. } => valid_until.min(worker.proven_until(self.tenure())),
            _ => valid_until,
        };
        out.push(CoreEffect::Work(Effect::Worker {
            id: worker.id.clone(),
            address: worker.address,
            fence: worker.fence(self.leadership.term()),
            order,
            sent: self.now,
            not_after,
        }));
    }

    /// Schedules a placement pass after the shortest interval between passes.
    pub(super) fn schedule_placement(&mut self) {
        self.schedule_placement_by(self.now + self.tuning.place_interval);
    }

    /// Schedules a placement pass at `at`, or at the end of the rest after the last pass if that is later.
    ///
    /// A pass that is scheduled earlier stays as it is, since each pass schedules the next one.
    pub(super) fn schedule_placement_by(&mut self, at: Instant) {
        let at = at.max(self.placement_not_before);
        if self.next_placement.is_none_or(|due| due > at) {
            self.next_placement = Some(at);
            self.timers.set(at, Timer::Place);
        }
    }
}

/// Adds a decision to the timeline.
pub(super) fn record(
    out: &mut Vec<CoreEffect>,
    subject: Subject,
    decision: &'static str,
    reason: impl Into<String>,
) {
    out.push(CoreEffect::Record(Entry { subject, decision, reason: reason.into() }));
}
