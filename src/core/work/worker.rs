//! Workers: their reports, leases, clocks and runs.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use super::gate::Gate;
use super::health::Suspicion;
use super::run::{Phase, Run};
use super::spec::{Name, Resources};
use super::store::Member;
use super::tuning::Tuning;
use super::{crash, image, run, symbol, task};
use crate::core::time::Instant;
use crate::hash::Map;

slotmap::new_key_type! {
    /// Key of a worker.
    pub struct Key;
}

/// Rate by which a worker's clock may run slow, in thousandths.
const CLOCK_SLOW_PER_MILLE: u64 = 20;

/// Step back of a worker's clock that shows a restart, in milliseconds. Answers that overtake each other cause smaller
/// ones.
const CLOCK_RESTART_STEP_MS: u64 = 2_000;

/// Shortest time from the end of a worker's process to the first answer of the next one.
pub const RESTART_MIN: Duration = Duration::from_millis(300);

/// Number of fencing tokens of a term, one for each process of a worker that its leader comes to know.
const FENCES_PER_TERM: u64 = 1 << 20;

/// Most time by which a late leader may start something after the end of its proof.
const LAG_ALLOWANCE_MAX: Duration = Duration::from_millis(1_200);

/// Time for which a process of a worker may still get orders to an earlier one with a lease by the clock of that one: they
/// last for the longest lease, and are sent until the restart is noticed.
const YOUNG_PROCESS_AGE_MS: u64 = 20_000;

/// Longest time after the last proof of its leadership in which a leader sends an order to start.
pub const PROOF_MAX: Duration = RESTART_MIN.saturating_add(LAG_ALLOWANCE_MAX);

/// Time left for an order to start when it is issued, in which it is sent and arrives.
const START_TRAVEL: Duration = Duration::from_millis(100);

/// Most tasks on workers that take no new runs that the roster names, which bounds its size.
const REMAINING_MAX: usize = 1_000;

/// Share of the processor time reserved by serving runs that they leave unused at usual load, in percent.
const SERVING_IDLE_PERCENT: i64 = 50;

/// Whether a worker takes new runs, according to its report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// The worker takes new runs.
    Ready,
    /// The worker is about to leave, and takes no new runs.
    Draining,
}

/// What a worker reports about itself in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Service whose tasks it runs.
    pub service: String,
    /// Address that orders are sent to.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Whether it takes new runs.
    pub readiness: Readiness,
    /// Total resources of the worker; `None` if they are not reported.
    pub capacity: Option<Resources>,
    /// Labels: its kind, then its rack.
    pub labels: Vec<String>,
    /// Start of the worker process in milliseconds since the Unix epoch; `None` if it is not reported.
    pub started_unix_ms: Option<u64>,
}

/// What is known of the leadership of this process, on which orders to start rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tenure {
    /// The time now.
    pub now: Instant,
    /// When the newest durable commit was sent.
    pub committed_at: Instant,
    /// When the newest call was sent that found the leader's key unchanged.
    pub led_at: Instant,
    /// Longest recent delay with which this process handles events.
    pub lag: Duration,
}

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// When the answer arrived.
    pub at: Instant,
}

/// What the acknowledgement of an end waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
    /// Another run of its task is gone.
    RunGone(run::Key),
    /// No order to start its task is carried out any more.
    At(Instant),
}

/// An end that is not acknowledged yet, since its task could start after that.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldEnd {
    /// Number of the end.
    pub number: u64,
    /// What its acknowledgement waits for.
    pub release: Release,
}

/// Room that a long-running run has left, kept for the next run of its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptRoom {
    /// The task.
    pub task: task::Key,
    /// Resources that the run had reserved.
    pub resources: Resources,
    /// Time until which they are kept.
    pub until: Instant,
}

/// A worker and the leader's view of it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Identity of the worker in the store.
    pub id: String,
    /// Address that orders are sent to.
    pub address: SocketAddr,
    /// Newest report; `None` while the worker is known from the roster only.
    pub report: Option<Report>,
    /// Service in the report; `None` while there is no report.
    pub service: Option<symbol::Key>,
    /// Labels in the report: its kind, then its rack.
    pub labels: Vec<symbol::Key>,
    /// Number of changes of its report, its runs and their readings, by which what was derived from them is known to be
    /// outdated.
    pub version: u64,
    /// Whether the store lists it.
    pub is_listed: bool,
    /// Whether its availability zone is evacuated, so that it takes no new runs.
    pub is_evacuated: bool,
    /// Start of the worker process that answered last, in milliseconds since the Unix epoch.
    pub started_unix_ms: Option<u64>,
    /// Number of restarts of its process that this leader has noticed.
    pub restart_count: u64,
    /// When this term first had an answer of its current process; `None` before that.
    pub process_known_at: Option<Instant>,
    /// Newest reading of its clock; `None` before the first answer of its process.
    pub clock_reading: Option<ClockReading>,
    /// Clock in the last listing of its process, and a time before which the worker did not make that listing.
    pub listed_after: Option<ClockReading>,
    /// When the leases of its runs in the process that answered last have expired, unless they are renewed.
    pub leases_expire_at: Instant,
    /// When the leases of its runs in any other process have expired, which a restart that is not known of can have made.
    pub unknown_leases_expire_at: Instant,
    /// Latest end of a lease that was sent to it, in milliseconds on its clock; 0 if none was since its clock is known.
    pub lease_until_ms: u64,
    /// Whether the roster in the store contains it with its current address.
    pub is_enrolled: bool,
    /// Whether it is left out of the roster, since it takes no new runs and has none.
    pub is_retired: bool,
    /// While it takes no new runs, the tasks that may run on it, as the roster names them; `None` if any task may.
    pub remaining: Option<Vec<Name>>,
    /// Whether the roster in the store contains it with these tasks.
    pub is_enrolled_closed: bool,
    /// When it last answered a renewal in this term.
    pub last_answer_at: Option<Instant>,
    /// Since when it does not answer; `None` if it answers.
    pub silent_since: Option<Instant>,
    /// Whether its address refused the latest connection.
    pub refuses_connections: bool,
    /// When its connection was lost without a timeout, which is the time of a crash; `None` if it answers, or if a call
    /// timed out.
    pub reset_at: Option<Instant>,
    /// When the renewal in flight times out.
    pub renewal_timeout_at: Instant,
    /// When the renewal in flight was sent; `None` if none is in flight.
    pub renewal_sent_at: Option<Instant>,
    /// Address that the latest renewal was sent to.
    pub renewal_address: SocketAddr,
    /// Time of the next renewal.
    pub next_renewal_at: Instant,
    /// Time of the earliest renewal timer that is set.
    pub renewal_timer_at: Option<Instant>,
    /// Number of the last end that was read.
    pub last_end_read: u64,
    /// Whether its last listing left out ends.
    pub has_unread_ends: bool,
    /// Number of the last end whose record is durable, so that it may be acknowledged.
    pub durable_end: u64,
    /// Number of the last end whose acknowledgement the worker has confirmed.
    pub confirmed_end: u64,
    /// Number of the last end that the renewal in flight acknowledges; 0 if none.
    pub acknowledging_end: u64,
    /// Ends whose records are not durable yet: sequence number of the change, number of the end.
    pub pending_acknowledgements: VecDeque<(u64, u64)>,
    /// Ends that are not acknowledged yet although their records may be durable.
    pub held_ends: Vec<HeldEnd>,
    /// Runs that reserve resources on it.
    pub runs: Vec<run::Key>,
    /// When an order to start was last sent to it.
    pub last_start_at: Instant,
    /// Run of a task that may crash its workers, or the first run on a suspected worker, until it has survived its start;
    /// no other run is started beside it.
    pub trial_run: Option<run::Key>,
    /// Starts that may have crashed it before its leases expired; cleared when it answers.
    pub lost_starts: Vec<crash::Start>,
    /// Resources that the runs reserve.
    pub used_resources: Resources,
    /// Room that is kept for tasks whose long-running runs have ended here; some of it may have expired.
    pub kept_rooms: Vec<KeptRoom>,
    /// Processor time that serving runs reserve, in thousandths of a core.
    pub serving_cpu_millicores: u32,
    /// Number of filling runs.
    pub filling_runs: u32,
    /// Number of serving runs.
    pub serving_runs: u32,
    /// Number of long-running runs that reserve processor time.
    pub long_running_runs: u32,
    /// Jobs with a failed run on it since the last successful one.
    pub failed_jobs: Vec<super::spec::Id>,
    /// Time until which it gets no new runs, after a start that was refused or not sent.
    pub paused_until: Instant,
    /// Newest suspicion that it fails what it starts, which may be over; `None` if there was none.
    pub suspicion: Option<Suspicion>,
    /// When the pace of one of its runs was last changed.
    pub pace_changed_at: Instant,
    /// Earliest time of the next search for another worker for one of its slow filling runs.
    pub next_move_at: Instant,
    /// Processor time that the filling runs used at the last reading, by image.
    pub filling_usage: Vec<image::Usage>,
}

impl Worker {
    /// Creates a worker that has not been contacted yet.
    pub fn new(id: String, address: SocketAddr, now: Instant) -> Self {
        Self {
            id,
            address,
            report: None,
            service: None,
            labels: Vec::new(),
            version: 0,
            is_listed: false,
            is_evacuated: false,
            started_unix_ms: None,
            restart_count: 0,
            process_known_at: None,
            clock_reading: None,
            listed_after: None,
            leases_expire_at: Instant::default(),
            unknown_leases_expire_at: Instant::default(),
            lease_until_ms: 0,
            is_enrolled: false,
            is_retired: false,
            remaining: None,
            is_enrolled_closed: false,
            last_answer_at: None,
            silent_since: None,
            refuses_connections: false,
            reset_at: None,
            renewal_timeout_at: Instant::default(),
            renewal_sent_at: None,
            renewal_address: address,
            next_renewal_at: now,
            renewal_timer_at: None,
            last_end_read: 0,
            has_unread_ends: false,
            durable_end: 0,
            confirmed_end: 0,
            acknowledging_end: 0,
            pending_acknowledgements: VecDeque::new(),
            held_ends: Vec::new(),
            runs: Vec::new(),
            last_start_at: Instant::default(),
            trial_run: None,
            lost_starts: Vec::new(),
            used_resources: Resources::default(),
            kept_rooms: Vec::new(),
            serving_cpu_millicores: 0,
            filling_runs: 0,
            serving_runs: 0,
            long_running_runs: 0,
            failed_jobs: Vec::new(),
            paused_until: Instant::default(),
            suspicion: None,
            pace_changed_at: Instant::default(),
            next_move_at: Instant::default(),
            filling_usage: Vec::new(),
        }
    }

    /// Records a newer report.
    pub fn set_report(&mut self, report: Report) {
        self.service = Some(symbol::Key::of(&report.service));
        self.labels = report.labels.iter().map(|label| symbol::Key::of(label)).collect();
        self.report = Some(report);
        self.version += 1;
    }

    /// Records whether its availability zone is evacuated.
    pub fn set_evacuated(&mut self, is_evacuated: bool) {
        self.is_evacuated = is_evacuated;
        self.version += 1;
    }

    /// Rack in the report, if there is one.
    pub fn rack(&self) -> Option<symbol::Key> {
        self.labels.get(1).copied()
    }

    /// Whether it belongs to a service and has a label.
    pub fn suits(&self, service: symbol::Key, label: Option<symbol::Key>) -> bool {
        self.service == Some(service) && label.is_none_or(|label| self.labels.contains(&label))
    }

    /// Returns the free resources; none while the capacity is unknown.
    pub fn free_resources(&self) -> Resources {
        self.report
            .as_ref()
            .and_then(|report| report.capacity)
            .unwrap_or_default()
            .saturating_sub(self.used_resources)
    }

    /// Returns the free resources that are not kept for tasks, with those that are kept for `task`.
    pub fn offered_resources(&self, task: Option<task::Key>, now: Instant) -> Resources {
        let is_kept = |room: &&KeptRoom| room.until > now && Some(room.task) != task;
        let kept = self.kept_rooms.iter().filter(is_kept);
        kept.fold(self.free_resources(), |free, room| free.saturating_sub(room.resources))
    }

    /// Whether it keeps room for a task.
    pub fn keeps_room(&self, task: task::Key, now: Instant) -> bool {
        self.kept_rooms.iter().any(|room| room.task == task && room.until > now)
    }

    /// Returns the processor time that is expected to be left for filling runs, without those on it, in thousandths of
    /// a core.
    pub fn fillable_cpu_millicores(&self) -> i64 {
        let reserved = i64::from(self.serving_cpu_millicores) * SERVING_IDLE_PERCENT / 100;
        i64::from(self.free_resources().cpu_millicores) + reserved
    }

    /// Whether its process has made a listing at `at` or later.
    pub fn has_listed_since(&self, at: Instant) -> bool {
        self.listed_after.is_some_and(|reading| reading.at >= at)
    }

    /// Whether its process has probably ended: the store does not list it and its address refuses connections. A cut can
    /// look the same, so this is no reason to start its tasks elsewhere.
    pub fn seems_ended(&self) -> bool {
        !self.is_listed && self.refuses_connections
    }

    /// Describes for a timeline entry what is known of its process and of its leases.
    pub fn evidence(&self, now: Instant) -> String {
        let age_ms = |at: Instant| now.since(at).as_millis();
        let answer = self
            .last_answer_at
            .map_or("no answer".to_owned(), |at| format!("last answer {} ms ago", age_ms(at)));
        let silence =
            self.silent_since.map_or("not silent".to_owned(), |at| format!("silent for {} ms", age_ms(at)));
        let leases = if self.leases_expire_at > now {
            format!("leases expire in {} ms", self.leases_expire_at.since(now).as_millis())
        } else {
            format!("leases expired {} ms ago", age_ms(self.leases_expire_at))
        };
        let unknown = self.unknown_leases_expire_at;
        let unknown = if unknown > now {
            format!(", leases in an unknown process expire in {} ms", unknown.since(now).as_millis())
        } else {
            String::new()
        };
        let listed = if self.is_listed { "listed" } else { "not listed" };
        let refuses = if self.refuses_connections { ", refuses connections" } else { "" };
        format!("{}: {answer}, {silence}, {leases}, {listed}{refuses}{unknown}", self.id)
    }

    /// Whether it is suspected of failing what it starts.
    pub fn is_suspected(&self, now: Instant) -> bool {
        self.suspicion.is_some_and(|suspicion| suspicion.until > now)
    }

    /// Returns whether runs of all kinds may be sent to the worker.
    pub fn is_schedulable(&self, tenure: Tenure) -> bool {
        self.accepts(false, tenure)
    }

    /// Returns whether a run may be sent to the worker, which may be suspected if the task is long-running, once
    /// [`Self::has_proof`] holds.
    pub fn accepts(&self, is_long_running: bool, tenure: Tenure) -> bool {
        let now = tenure.now;
        let allows_trial = self.suspicion.is_some_and(|suspicion| suspicion.allows_long_running(now));
        let is_trusted = !self.is_suspected(now) || (is_long_running && allows_trial);
        self.is_available(tenure) && is_trusted
    }

    /// Time up to which an order to start that reaches the worker from this leader reaches no process that has forgotten
    /// a later leader.
    ///
    /// A process that has restarted does not know the highest term, so it does not refuse a leader that has been replaced. A
    /// restart takes at least [`RESTART_MIN`]. So for that time a worker cannot have seen a later leader and restarted
    /// since, if there was no later leader at its begin, or if the process answered at its begin and is older than the
    /// newest commit.
    ///
    /// A leader that handles replies and timers late would never start anything, since its proofs are that old. So its delay
    /// is added, up to `LAG_ALLOWANCE_MAX`. For that time there is no proof.
    pub fn proven_until(&self, tenure: Tenure) -> Instant {
        let is_older = self.process_known_at.is_some_and(|at| at <= tenure.committed_at);
        let listed_after = self.listed_after.filter(|_| is_older && self.silent_since.is_none());
        let proven_at = tenure.led_at.max(listed_after.map_or(Instant::default(), |reading| reading.at));
        proven_at + RESTART_MIN + (tenure.lag * 2).min(LAG_ALLOWANCE_MAX)
    }

    /// Whether an order to start that is issued now reaches no process of the worker that has forgotten a later leader.
    pub fn has_proof(&self, tenure: Tenure) -> bool {
        tenure.now + START_TRAVEL <= self.proven_until(tenure)
    }

    /// Returns whether the worker is known well enough for new runs, whatever the outcomes of earlier ones.
    ///
    /// No commit of a leader that has been replaced takes effect, so one that was sent since the process is known shows that
    /// the process had not forgotten a later leader when it was first seen.
    fn is_available(&self, tenure: Tenure) -> bool {
        self.is_reachable(tenure) && self.trial_run.is_none()
    }

    /// The same whatever is on trial there.
    fn is_reachable(&self, Tenure { now, committed_at, .. }: Tenure) -> bool {
        let is_ready = self.report.as_ref().is_some_and(|report| report.readiness == Readiness::Ready);
        is_ready
            && self.has_current_report()
            && self.is_listed
            && !self.is_evacuated
            && self.is_enrolled
            && self.last_answer_at.is_some()
            && self.clock_reading.is_some()
            && self.silent_since.is_none()
            && self.process_known_at.is_some_and(|at| at <= committed_at)
            && self.paused_until <= now
    }

    /// Whether the order to start a run that was planned for it may be sent, once [`Self::has_proof`] holds.
    pub fn takes_planned(
        &self,
        run: run::Key,
        service: symbol::Key,
        label: Option<symbol::Key>,
        tenure: Tenure,
    ) -> bool {
        self.is_reachable(tenure)
            && self.suits(service, label)
            && self.trial_run.is_none_or(|trial| trial == run)
    }

    /// Whether it takes new runs of a service with a label as far as its report tells, however it answers.
    pub fn takes_runs(&self, service: symbol::Key, label: Option<symbol::Key>) -> bool {
        let is_ready = self.report.as_ref().is_some_and(|report| report.readiness == Readiness::Ready);
        is_ready
            && self.has_current_report()
            && self.is_listed
            && !self.is_evacuated
            && self.suits(service, label)
    }

    /// Whether its report is of the process that answered last, as far as both tell when their process started.
    ///
    /// A process that has restarted may be of another kind, service, size or zone. It answers before its report is in the store,
    /// and the report can arrive before its first answer.
    pub fn has_current_report(&self) -> bool {
        let reported = self.report.as_ref().and_then(|report| report.started_unix_ms);
        reported.zip(self.started_unix_ms).is_none_or(|(reported, answered)| reported == answered)
    }

    /// Whether it takes no new runs, being about to leave or not listed.
    pub fn is_closed(&self) -> bool {
        let is_ready = self.report.as_ref().is_some_and(|report| report.readiness == Readiness::Ready);
        !(self.is_listed && is_ready)
    }

    /// Whether it takes no new runs and has none.
    fn is_idle_and_leaving(&self) -> bool {
        self.is_closed() && self.runs.is_empty()
    }

    /// Names of the tasks of its runs, in ascending order.
    fn task_names(&self, runs: &run::Table) -> Vec<Name> {
        let mut names: Vec<Name> =
            self.runs.iter().filter_map(|run| runs.get(*run)).map(|run| run.name).collect();
        names.sort_unstable();
        names
    }

    /// Whether it may have ends whose records are not durable, so that the next leader has to read them.
    fn has_open_ends(&self) -> bool {
        self.has_unread_ends || !self.pending_acknowledgements.is_empty()
    }

    /// Whether the next leader need not ask the worker for runs: it takes no new ones, and this leader knows of none there
    /// and of no end that is not durable. The runs of a worker that does not answer may have been dropped unseen, and a
    /// start that reaches a restarted worker late lasts there for the longest lease.
    fn is_vacated(&self, now: Instant, tuning: &Tuning) -> bool {
        let longest = longest_lease(tuning.lease_max, tuning);
        let has_settled = self.silent_since.is_none() || self.last_start_at + longest <= now;
        self.is_idle_and_leaving() && has_settled && !self.has_open_ends()
    }

    /// Time until the leases of all runs that this leader knows on it have expired; zero if it has none.
    pub fn lease_wait(&self, runs: &run::Table, now: Instant, tuning: &Tuning) -> Duration {
        if self.runs.is_empty() && !self.has_open_ends() {
            return Duration::ZERO;
        }
        let runs = || self.runs.iter().filter_map(|run| runs.get(*run));
        let mut until = self.leases_expire_at.max(now);
        if runs().any(|run| !run.is_confirmed && run.phase != Phase::Planned) {
            until = until.max(self.unknown_leases_expire_at);
        }
        if runs().any(|run| run.phase == Phase::Starting) {
            until = until.max(now + longest_lease(tuning.lease_max, tuning));
        }
        until.since(now)
    }

    /// Grants a lease from now on, and returns its end in milliseconds on the worker's clock; `None` while that clock is
    /// unknown.
    pub fn grant_lease(&mut self, now: Instant, tuning: &Tuning) -> Option<u64> {
        let ClockReading { clock_ms, at } = self.clock_reading?;
        let until_ms = clock_ms + (now.since(at) + tuning.worker_lease).as_millis() as u64;
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
        self.extend_leases(at, Duration::from_millis(until_ms - clock_ms), tuning);
        Some(until_ms)
    }

    /// Accounts for a lease of `length` from `start` on, as the worker's clock measures it.
    fn extend_leases(&mut self, start: Instant, length: Duration, tuning: &Tuning) {
        self.leases_expire_at = self.leases_expire_at.max(start + longest_lease(length, tuning));
    }

    /// Whether its process may have started less than `YOUNG_PROCESS_AGE_MS` ago, by its clock or by the time of day.
    pub fn is_young(&self, clock_ms: Option<u64>, unix_ms: u64) -> bool {
        clock_ms.is_none_or(|clock_ms| clock_ms < YOUNG_PROCESS_AGE_MS)
            || self.started_unix_ms.is_none_or(|started_ms| unix_ms < started_ms + YOUNG_PROCESS_AGE_MS)
    }

    /// Time for which its process had run at a moment, as far as this leader knows: since the process is known, or longer by
    /// its clock, which starts with the process; zero before its first answer.
    pub fn uptime(&self, at: Instant) -> Duration {
        let Some(known_at) = self.process_known_at else { return Duration::ZERO };
        let by_clock = self.clock_reading.map_or(Duration::ZERO, |reading| {
            let at_reading = Duration::from_millis(reading.clock_ms);
            (at_reading + at.since(reading.at)).saturating_sub(reading.at.since(at))
        });
        at.since(known_at).max(by_clock)
    }

    /// Accounts for an answer of its process in `term`. Before the first one, an earlier leader may have computed a lease from
    /// the clock of an earlier process. A lease never shortens, so it can be the longest one that the worker grants, unless
    /// the process has run for long.
    pub fn note_answer(&mut self, now: Instant, term: u64, is_young: bool, tuning: &Tuning) {
        if self.process_known_at.is_none() && term > 1 && is_young {
            self.extend_leases(now, tuning.lease_max, tuning);
        }
        self.process_known_at.get_or_insert(now);
    }

    /// Accounts for a restart of the worker process. Its clock starts anew, so a lease that was computed from the old
    /// clock lasts there for as long as the worker grants.
    fn note_restart(&mut self, now: Instant, tuning: &Tuning) {
        self.process_known_at = Some(now);
        self.restart_count += 1;
        self.clock_reading = None;
        self.lease_until_ms = 0;
        self.listed_after = None;
        self.extend_leases(now, tuning.lease_max, tuning);
    }

    /// Accounts for an order with a lease that was sent at `sent` and has got no answer by `now`. A process that is not known
    /// of may have carried it out, on whose clock the lease lasts for as long as the worker grants. An order from before a
    /// restart was noticed may have reached the new process.
    pub fn note_unanswered_lease(&mut self, sent: Instant, now: Instant, tuning: &Tuning) {
        let longest = longest_lease(tuning.lease_max, tuning);
        self.unknown_leases_expire_at = self.unknown_leases_expire_at.max(now + longest);
        if self.precedes_process(sent) {
            self.extend_leases(now, tuning.lease_max, tuning);
        }
    }

    /// Fencing token of an order of the leader of `term`.
    ///
    /// A process that has restarted has forgotten the tokens that it had seen, so it would execute late orders to the earlier
    /// one. It gets a higher token, by which it refuses them.
    pub fn fence(&self, term: u64) -> u64 {
        term * FENCES_PER_TERM + self.restart_count.min(FENCES_PER_TERM - 1)
    }

    /// Whether an order that was sent at `sent` was sent to an earlier process than the one that is known, with its clock and
    /// its fencing token.
    pub fn precedes_process(&self, sent: Instant) -> bool {
        self.process_known_at.is_some_and(|at| sent < at)
    }

    /// Whether the lease of a run has expired. A run whose start got no answer may be in a process that is not known of.
    pub fn has_expired(&self, run: &Run, now: Instant) -> bool {
        let is_in_flight = matches!(run.phase, Phase::Planned | Phase::Starting);
        let has_unknown_lease = !run.is_confirmed && now <= self.unknown_leases_expire_at;
        self.leases_expire_at < now && !is_in_flight && !has_unknown_lease
    }

    /// Adds a run and reserves its resources.
    pub fn add_run(&mut self, run: run::Key, charged: Resources, profile: run::Profile) {
        self.version += 1;
        self.runs.push(run);
        self.used_resources = self.used_resources.saturating_add(charged);
        self.filling_runs += u32::from(profile.filling_cpu_millicores > 0);
        self.serving_runs += u32::from(profile.is_serving);
        self.long_running_runs += u32::from(profile.is_long_running);
        self.serving_cpu_millicores += if profile.is_serving { charged.cpu_millicores } else { 0 };
    }

    /// Removes a run and releases its resources.
    pub fn remove_run(&mut self, run: run::Key, charged: Resources, profile: run::Profile) {
        self.version += 1;
        self.runs.retain(|other| *other != run);
        self.trial_run.take_if(|trial| *trial == run);
        self.used_resources = self.used_resources.saturating_sub(charged);
        self.filling_runs -= u32::from(profile.filling_cpu_millicores > 0);
        self.serving_runs -= u32::from(profile.is_serving);
        self.long_running_runs -= u32::from(profile.is_long_running);
        self.serving_cpu_millicores -= if profile.is_serving { charged.cpu_millicores } else { 0 };
    }

    /// Clears the state that belonged to the previous incarnation of the worker process.
    pub fn reset_for_restart(&mut self, started_unix_ms: Option<u64>, now: Instant, tuning: &Tuning) {
        self.note_restart(now, tuning);
        self.started_unix_ms = started_unix_ms;
        self.last_end_read = 0;
        self.durable_end = 0;
        self.confirmed_end = 0;
        self.pending_acknowledgements.clear();
        self.held_ends.clear();
        self.failed_jobs.clear();
        self.filling_usage.clear();
        self.paused_until = Instant::default();
        self.suspicion = None;
    }

    /// Returns the number of the last end to acknowledge now, or 0 to acknowledge none.
    ///
    /// A restarted worker numbers its ends from 1 again, so an acknowledgement from before the restart could make it
    /// discard ends that have not been read. The number is therefore sent only shortly after an answer, until the worker
    /// confirms it, and never after a call without an answer.
    pub fn next_acknowledgement(&self, now: Instant) -> u64 {
        if self.may_acknowledge(now) && self.has_unconfirmed_end() { self.acknowledgeable_end() } else { 0 }
    }

    /// Returns whether an end may be acknowledged whose acknowledgement the worker has not confirmed.
    pub fn has_unconfirmed_end(&self) -> bool {
        self.acknowledgeable_end() > self.confirmed_end
    }

    /// Number of the last end that may be acknowledged: its record is durable, and no end up to it is held.
    fn acknowledgeable_end(&self) -> u64 {
        let held = self.held_ends.iter().map(|end| end.number.saturating_sub(1));
        held.fold(self.durable_end, u64::min)
    }

    /// Returns whether the process that answered last is taken as the one that receives the next order.
    fn may_acknowledge(&self, now: Instant) -> bool {
        self.silent_since.is_none() && self.last_answer_at.is_some_and(|at| now.since(at) <= RESTART_MIN)
    }

    /// Records that the worker's process answered with a listing the renewal that was sent at `sent`.
    ///
    /// The worker may have waited before it made the listing. Its clock is not fast, so the time since the previous listing
    /// is at least what it shows.
    pub fn record_listing(&mut self, sent: Instant, clock_ms: Option<u64>, now: Instant) {
        let Some(clock_ms) = clock_ms else { return };
        let previous = self.listed_after.filter(|previous| previous.clock_ms <= clock_ms);
        let after = previous
            .map_or(sent, |previous| previous.at + Duration::from_millis(clock_ms - previous.clock_ms));
        self.listed_after = Some(ClockReading { clock_ms, at: after.max(sent).min(now) });
    }

    /// Records a reading of the worker's clock in an answer to an order that was sent at `sent`. The answer arrived at `at`;
    /// it may have no reading.
    ///
    /// A lease that was sent lasts until a time on the clock of the process that received it. A clock that is behind the one
    /// that the lease was computed from makes it last longer, also where the step back is too small to show a restart.
    pub fn record_clock(&mut self, clock_ms: Option<u64>, sent: Instant, at: Instant, tuning: &Tuning) {
        let Some(clock_ms) = clock_ms else { return };
        let has_stepped_back = |previous: ClockReading| clock_ms + CLOCK_RESTART_STEP_MS < previous.clock_ms;
        if self.clock_reading.is_some_and(has_stepped_back) {
            self.note_restart(at, tuning);
        } else if self.precedes_process(sent) {
            self.extend_leases(at, tuning.lease_max, tuning);
            if self.clock_reading.is_some() {
                return;
            }
        }
        let left = Duration::from_millis(self.lease_until_ms.saturating_sub(clock_ms));
        self.extend_leases(at, left, tuning);
        self.clock_reading = Some(ClockReading { clock_ms, at });
    }
}

/// Longest time from a moment on until a lease of `length` from that moment on, as the worker's clock measures it, is taken
/// as expired.
pub fn longest_lease(length: Duration, tuning: &Tuning) -> Duration {
    length * (1000 + CLOCK_SLOW_PER_MILLE) as u32 / 1000 + tuning.lease_margin
}

/// All known workers.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Workers by key.
    pub all: SlotMap<Key, Worker>,
    /// Workers by identity.
    pub by_id: Map<String, Key>,
    /// Gate that delays tasks of earlier terms; `None` once it is open.
    pub gate: Option<Gate>,
}

impl Table {
    /// Returns the worker with this identity, which is added if it is new.
    pub fn get_or_insert(&mut self, id: &str, address: SocketAddr, now: Instant) -> Key {
        if let Some(key) = self.by_id.get(id) {
            return *key;
        }
        let key = self.all.insert(Worker::new(id.to_owned(), address, now));
        self.by_id.insert(id.to_owned(), key);
        key
    }

    /// Number of workers that take no new runs.
    pub fn closed_count(&self) -> usize {
        self.all.values().filter(|worker| worker.is_closed()).count()
    }

    /// Records a change of the runs of a worker or of their readings.
    pub fn touch(&mut self, key: Key) {
        if let Some(worker) = self.all.get_mut(key) {
            worker.version += 1;
        }
    }

    /// Records that the roster in the store contains a worker, unless its address has changed or it was retired since.
    ///
    /// A member whose remaining tasks are named gets no new runs before a roster that names none is durable.
    pub fn enroll(&mut self, member: &Member) {
        let Some(worker) = self.by_id.get(&member.id).and_then(|key| self.all.get_mut(*key)) else { return };
        if worker.address != member.address || worker.is_retired {
            return;
        }
        worker.is_enrolled = member.remaining.is_none();
        worker.is_enrolled_closed = member.remaining.is_some() && member.remaining == worker.remaining;
    }

    /// Records which tasks may run on the workers that take no new runs, so that the next leader holds only these for them.
    /// Returns whether the roster has changed.
    ///
    /// What a worker has that has not answered in this term is known from the stored roster only.
    pub fn review_remaining(&mut self, runs: &run::Table) -> bool {
        let mut has_changed = false;
        let mut total = 0;
        for (key, worker) in &mut self.all {
            let is_awaited = || self.gate.as_ref().is_some_and(|gate| gate.awaits(key));
            if !worker.is_closed() || worker.is_retired || worker.has_open_ends() || is_awaited() {
                continue;
            }
            total += worker.runs.len();
            let names = (total <= REMAINING_MAX).then(|| worker.task_names(runs));
            if worker.remaining != names {
                worker.remaining = names;
                worker.is_enrolled_closed = false;
                has_changed = true;
            }
        }
        has_changed
    }

    /// Retires the workers that are vacated, and takes back the others. Returns whether the roster has changed.
    ///
    /// From now on nothing is started on a retired worker until a later roster with it is durable. A worker that has not
    /// answered in this term may have runs, so it stays in the roster while the gate waits for it.
    pub fn review_retirement(&mut self, now: Instant, tuning: &Tuning) -> bool {
        let mut has_changed = false;
        for (key, worker) in &mut self.all {
            let is_awaited = || self.gate.as_ref().is_some_and(|gate| gate.awaits(key));
            let is_retired = if worker.is_retired {
                worker.is_idle_and_leaving()
            } else {
                worker.is_vacated(now, tuning) && !is_awaited()
            };
            has_changed |= is_retired != worker.is_retired;
            worker.is_retired = is_retired;
            worker.is_enrolled &= !is_retired;
            worker.is_enrolled_closed &= !is_retired;
        }
        has_changed
    }

    /// Removes a worker from the table.
    pub fn remove(&mut self, key: Key) {
        if let Some(worker) = self.all.remove(key) {
            self.by_id.remove(&worker.id);
        }
    }

    /// Marks a worker as one that has no unknown runs of earlier terms. Returns whether the gate waited for it.
    pub fn mark_reached(&mut self, key: Key) -> bool {
        self.gate.as_mut().is_some_and(|gate| gate.mark_reached(key))
    }
}
